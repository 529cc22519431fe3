"""Reads the platform's store: lists and watches."""

from __future__ import annotations

import base64
import binascii
from typing import TypeVar
from typing import final
from urllib.parse import urlencode

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge import Entry
from yuccafold.edge import HistoryLostError
from yuccafold.edge import PlatformChanges
from yuccafold.edge import PlatformFact
from yuccafold.edge import PlatformState
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import SocketAddress
from yuccafold.edge import TargetGone
from yuccafold.http import CallFailedError
from yuccafold.http import CallLimits
from yuccafold.http import KeptConnection
from yuccafold.platform._catalogue import read_catalogue
from yuccafold.platform._catalogue import read_target
from yuccafold.platform._json import JsonObject
from yuccafold.platform._json import field
from yuccafold.platform._json import parse_object

LIMITS = CallLimits(connect=Milliseconds(300), silence=Milliseconds(700))
"""The store answers in 4 ms; connecting within a region takes a few ms."""

CONFIGURATION = "op/config"
TARGETS = "servers/"
EVERYTHING = ""
GONE = 410

Kind = TypeVar("Kind")


@final
class StoreSource:
    """Reads configuration and targets from the store at ``address``.

    One watch over all keys tells of both. The store is never written to.
    """

    def __init__(self, address: SocketAddress, limits: CallLimits = LIMITS) -> None:
        self._reads = KeptConnection(address.host, address.port, limits)
        self._watches = KeptConnection(address.host, address.port, limits)

    @property
    def name(self) -> str:
        """What logs call the source."""
        return "store"

    async def read_all(self) -> PlatformState:
        """Return the whole present state.

        Pages are read at different times, so changes go on behind the first.
        """
        entries: list[Entry] = []
        first: int | None = None
        after = ""
        while True:
            query = {"prefix": EVERYTHING} | ({"after": after} if after else {})
            page = await _get(self._reads, "/-/kv-range", query)
            first = _as_of(page) if first is None else first
            listed = [_entry(item) for item in _items(page, "items")]
            entries += listed
            if page.get("more_pages") is not True or not listed:
                break
            after = listed[-1].key
        return PlatformState(tuple(entries), first)

    async def changes(self, after: int, wait: Milliseconds) -> PlatformChanges:
        """Return what changed behind revision ``after``.

        Calls that wait have a connection of their own.
        """
        query = {"prefix": EVERYTHING, "after": after, "wait_ms": wait}
        connection = self._watches if wait else self._reads
        answer = await _get(connection, "/-/kv-watch", query, wait)
        entries = tuple(_entry(item) for item in _items(answer, "events"))
        return PlatformChanges(entries, max(after, _as_of(answer)))

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._reads.close()
        await self._watches.close()


async def _get(
    connection: KeptConnection,
    path: str,
    query: dict[str, object],
    wait: Milliseconds = Milliseconds(0),
) -> JsonObject:
    """Return the body of a successful answer."""
    try:
        status, body = await connection.get(f"{path}?{urlencode(query)}", wait)
    except CallFailedError as error:
        raise PlatformUnavailableError(str(error)) from error
    if status == GONE:
        raise HistoryLostError(f"status {status} for {path}")
    if status != 200:
        raise PlatformUnavailableError(f"status {status} for {path}")
    try:
        return parse_object(body)
    except ValueError as error:
        raise PlatformUnavailableError(str(error)) from error


def _as_of(answer: JsonObject) -> int:
    """Return the store's revision at the time of an answer."""
    return _usable(answer, "as_of", int)


def _items(answer: JsonObject, name: str) -> list[JsonObject]:
    return [item for item in _usable(answer, name, list) if isinstance(item, dict)]


def _usable(answer: JsonObject, name: str, kind: type[Kind]) -> Kind:
    try:
        return field(answer, name, kind)
    except ValueError as error:
        raise PlatformUnavailableError(f"malformed answer: {error}") from error


def _entry(item: JsonObject) -> Entry:
    key = _usable(item, "key", str)
    revision = _usable(item, "revision", int)
    if item.get("removed") is True:
        return Entry(key, revision, None)
    try:
        value = base64.b64decode(_usable(item, "value", str), validate=True)
    except (binascii.Error, ValueError) as error:
        log_event("entry_unreadable", key=key, revision=revision, error=str(error))
        value = None
    return Entry(key, revision, value)


def decode(entry: Entry) -> PlatformFact | None:
    """Return what an entry says; one that can't be read names no target to use."""
    try:
        return _fact(entry)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        log_event(
            "entry_malformed", key=entry.key, revision=entry.revision, error=str(error)
        )
        return _target_gone(entry)


def _fact(entry: Entry) -> PlatformFact | None:
    if entry.value is None:
        return _target_gone(entry)
    if entry.key == CONFIGURATION:
        return read_catalogue(entry.value)
    if entry.key.startswith(TARGETS):
        return read_target(TargetId(entry.key.removeprefix(TARGETS)), entry.value)
    return None


def _target_gone(entry: Entry) -> TargetGone | None:
    if not entry.key.startswith(TARGETS):
        return None
    return TargetGone(TargetId(entry.key.removeprefix(TARGETS)))
