"""Reads the platform's store by lists and watches, and decodes its entries."""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Iterable
from typing import TypeVar
from typing import final
from urllib.parse import urlencode

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold._log import log_event
from yuccafold.edge import MAX_REVISION
from yuccafold.edge import NO_ERA
from yuccafold.edge import Entry
from yuccafold.edge import HistoryLostError
from yuccafold.edge import PlatformChanges
from yuccafold.edge import PlatformFact
from yuccafold.edge import PlatformState
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import Position
from yuccafold.edge import RememberedChanges
from yuccafold.edge import SocketAddress
from yuccafold.edge import StoreEra
from yuccafold.edge import TargetGone
from yuccafold.edge import ZoneEvacuated
from yuccafold.edge import ZoneRestored
from yuccafold.edge import era_of
from yuccafold.edge import position_of
from yuccafold.edge import revision_of
from yuccafold.http import CallFailedError
from yuccafold.http import CallTimeouts
from yuccafold.http import Headers
from yuccafold.http import PersistentConnection
from yuccafold.http import first_value
from yuccafold.platform._catalogue import read_catalogue
from yuccafold.platform._catalogue import read_target
from yuccafold.platform._json import JsonObject
from yuccafold.platform._json import field
from yuccafold.platform._json import parse_object

STORE_TIMEOUTS = CallTimeouts(
    connect_timeout=Milliseconds(300), silence_timeout=Milliseconds(700)
)
"""The store answers in 4 ms, and connecting within a region takes a few ms."""

CONFIGURATION_KEY = "op/config"
TARGET_KEY_PREFIX = "servers/"
EVACUATION_KEY_PREFIX = "op/evacuate/"
ALL_KEYS_PREFIX = ""
GONE_STATUS = 410

LIST_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"
ERA_HEADER = b"store-era"
ERA_VALUE = re.compile(r"[0-9]{1,9}", re.ASCII)

HISTORY_STEP = 4
"""How much further back each step looks for changes that the store remembers."""

Kind = TypeVar("Kind")


@final
class StoreSource:
    """Reads configuration and targets from the store at ``address``.

    One watch over all keys reports changes of both. The store is never written to.
    """

    def __init__(
        self, address: SocketAddress, timeouts: CallTimeouts = STORE_TIMEOUTS
    ) -> None:
        self._read_connection = PersistentConnection(
            address.host, address.port, timeouts
        )
        self._watch_connection = PersistentConnection(
            address.host, address.port, timeouts
        )
        self._era = NO_ERA

    @property
    def name(self) -> str:
        """The name of the source in logs and metrics."""
        return "store"

    async def read_all(self) -> PlatformState:
        """Return the whole current state.

        The pages are read one after the other, and entries may change between them.
        So the position is that of the first page: changes after it are read again.
        Raises ``PlatformUnavailableError`` if the store comes back older meanwhile.
        """
        entries: list[Entry] = []
        first_position: Position | None = None
        after = ""
        while True:
            query = {"prefix": ALL_KEYS_PREFIX} | ({"after": after} if after else {})
            page, era = await self._get(self._read_connection, LIST_PATH, query)
            position = position_of(era, _store_revision(page))
            first_position = position if first_position is None else first_position
            if era != era_of(first_position):
                raise PlatformUnavailableError(f"store is in era {era} within a list")
            listed = [_entry(item, era) for item in _items(page, "items")]
            entries += listed
            if page.get("more_pages") is not True or not listed:
                break
            after = listed[-1].key
        return PlatformState(tuple(entries), first_position)

    async def changes(self, after: Position, wait: Milliseconds) -> PlatformChanges:
        """Return the changes after ``after``.

        Requests that wait use a connection of their own, so that they don't delay
        others. Revisions of another era are those of other changes, so the state must
        be read again when the store is in a later one.
        """
        query = {
            "prefix": ALL_KEYS_PREFIX,
            "after": revision_of(after),
            "wait_ms": wait,
        }
        connection = self._watch_connection if wait else self._read_connection
        answer, era = await self._get(connection, WATCH_PATH, query, wait)
        if era > era_of(after):
            raise HistoryLostError(f"store is in era {era}, expected {era_of(after)}")
        position = position_of(era, _store_revision(answer))
        if era < era_of(after):
            return PlatformChanges((), position)
        entries = tuple(_entry(item, era) for item in _items(answer, "events"))
        return PlatformChanges(entries, max(after, position))

    async def remembered_changes(self, until: Position) -> RememberedChanges:
        """Return the changes of targets up to ``until`` that it still remembers.

        How far back that is can't be asked, so it is found by a search.
        """
        known, forgotten = revision_of(until), -1
        items: list[JsonObject] = []
        entries: tuple[Entry, ...] = ()
        while known > 0 and known - forgotten > 1:
            if forgotten < 0:
                after = known - HISTORY_STEP * max(1, revision_of(until) - known)
                after = max(0, after)
            else:
                after = (known + forgotten) // 2
            query = {"prefix": TARGET_KEY_PREFIX, "after": after, "wait_ms": 0}
            try:
                answer, era = await self._get(self._read_connection, WATCH_PATH, query)
            except HistoryLostError:
                forgotten = after
                continue
            known = after
            items = _items(answer, "events")
            entries = tuple(_entry(item, era) for item in items)
        after = position_of(era_of(until), known)
        return RememberedChanges(entries, after, _keys_from_before(items))

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._read_connection.close()
        await self._watch_connection.close()

    async def _get(
        self,
        connection: PersistentConnection,
        path: str,
        query: dict[str, object],
        wait: Milliseconds = Milliseconds(0),
    ) -> tuple[JsonObject, StoreEra]:
        """Return the JSON object of a successful answer, and the era of the store.

        An answer that names no era belongs to the one that was named last.
        """
        try:
            answer = await connection.get(f"{path}?{urlencode(query)}", wait)
        except CallFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        named_era = _parse_era(answer.headers)
        era = self._era if named_era is None else named_era
        if answer.status == GONE_STATUS and path == WATCH_PATH:
            raise HistoryLostError(f"status {answer.status} for {path}")
        if answer.status != 200:
            raise PlatformUnavailableError(f"status {answer.status} for {path}")
        try:
            value = parse_object(answer.body)
        except ValueError as error:
            raise PlatformUnavailableError(str(error)) from error
        self._era = max(self._era, era)
        return value, era


def _parse_era(headers: Headers) -> StoreEra | None:
    """Return the era that an answer names; a malformed one counts as none."""
    text = first_value(headers, ERA_HEADER)
    if text is None:
        return None
    if ERA_VALUE.fullmatch(text) is None:
        log_event("store_era_malformed", value=text)
        return None
    return StoreEra(int(text))


def _store_revision(answer: JsonObject) -> int:
    """Return the revision of the store at the time of its answer."""
    return _revision(answer, "as_of")


def _revision(source: JsonObject, name: str) -> int:
    """Return a revision; raises ``PlatformUnavailableError`` if it can't be one."""
    revision = _required_field(source, name, int)
    if not 0 <= revision <= MAX_REVISION:
        detail = f"{name}: expected 0 to {MAX_REVISION}, got {revision}"
        raise PlatformUnavailableError(f"malformed answer: {detail}")
    return revision


def _items(answer: JsonObject, name: str) -> list[JsonObject]:
    return [
        item for item in _required_field(answer, name, list) if isinstance(item, dict)
    ]


def _required_field(answer: JsonObject, name: str, kind: type[Kind]) -> Kind:
    try:
        return field(answer, name, kind)
    except ValueError as error:
        raise PlatformUnavailableError(f"malformed answer: {error}") from error


def _keys_from_before(items: Iterable[JsonObject]) -> frozenset[str]:
    """Return the keys whose first change in ``items`` doesn't create them."""
    first = {str(item.get("key")): item for item in reversed(list(items))}
    return frozenset(
        key
        for key, item in first.items()
        if item.get("removed") is True or item.get("create_rev") != item["revision"]
    )


def _entry(item: JsonObject, era: StoreEra) -> Entry:
    key = _required_field(item, "key", str)
    revision = _revision(item, "revision")
    position = position_of(era, revision)
    if item.get("removed") is True:
        return Entry(key, position, None)
    if key.startswith(EVACUATION_KEY_PREFIX):
        # The key says it all, so that a malformed value evacuates the zone, too.
        return Entry(key, position, b"{}")
    try:
        value = base64.b64decode(_required_field(item, "value", str), validate=True)
    except (binascii.Error, ValueError) as error:
        log_event("entry_unreadable", key=key, revision=revision, error=str(error))
        value = None
    return Entry(key, position, value)


def decode(entry: Entry) -> PlatformFact | None:
    """Decode an entry; ``None`` if the router doesn't use it.

    A malformed target entry counts as removed, whatever is wrong with it. A malformed
    or removed configuration is ignored.
    """
    try:
        return _fact(entry)
    except Exception as error:  # an entry must not keep the others from being read
        log_event(
            "entry_malformed",
            key=entry.key,
            revision=revision_of(entry.position),
            error=f"{error!r:.200}",
        )
        return _target_gone(entry)


def _fact(entry: Entry) -> PlatformFact | None:
    if entry.key.startswith(EVACUATION_KEY_PREFIX):
        zone = ZoneId(entry.key.removeprefix(EVACUATION_KEY_PREFIX))
        return ZoneRestored(zone) if entry.value is None else ZoneEvacuated(zone)
    if entry.value is None:
        return _target_gone(entry)
    if entry.key == CONFIGURATION_KEY:
        return read_catalogue(entry.value)
    if entry.key.startswith(TARGET_KEY_PREFIX):
        return read_target(
            TargetId(entry.key.removeprefix(TARGET_KEY_PREFIX)), entry.value
        )
    return None


def _target_gone(entry: Entry) -> TargetGone | None:
    if not entry.key.startswith(TARGET_KEY_PREFIX):
        return None
    return TargetGone(TargetId(entry.key.removeprefix(TARGET_KEY_PREFIX)))
