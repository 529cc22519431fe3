"""Reads the platform's store: one kept connection, lists and watches."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar
from typing import final
from urllib.parse import urlencode

import h11
import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge import Catalogue
from yuccafold.edge import HistoryLostError
from yuccafold.edge import PlatformChanges
from yuccafold.edge import PlatformFact
from yuccafold.edge import PlatformState
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import SocketAddress
from yuccafold.edge import TargetGone
from yuccafold.edge import TargetRecord
from yuccafold.http import HttpStream
from yuccafold.platform._catalogue import read_catalogue
from yuccafold.platform._catalogue import read_target
from yuccafold.platform._json import JsonObject
from yuccafold.platform._json import field
from yuccafold.platform._json import parse_object

CONNECT_TIMEOUT = Milliseconds(300)
"""A connection within a region takes a few ms."""

ANSWER_TIMEOUT = Milliseconds(700)
"""How long an answer may take after the wait that was asked for: 4 ms is usual."""

MAX_HEAD_BYTES = 65_536
CONFIGURATION = "op/config"
TARGETS = "servers/"
EVERYTHING = ""
GONE = 410

Kind = TypeVar("Kind")


@final
@dataclass(frozen=True, slots=True)
class Item:
    """One key as it was written at a revision; ``value`` is ``None`` if removed."""

    key: str
    revision: int
    value: bytes | None


@final
class StoreConnection:
    """One kept connection to the store, for one call at a time."""

    def __init__(self, address: SocketAddress) -> None:
        self._address = address
        self._http: HttpStream | None = None

    async def get(
        self, path: str, query: dict[str, object], wait: int = 0
    ) -> JsonObject:
        """Return the body of a successful answer."""
        try:
            with trio.fail_after((ANSWER_TIMEOUT + wait) / MS_PER_SECOND):
                status, body = await self._call(f"{path}?{urlencode(query)}")
        except trio.TooSlowError as error:
            await self.close()
            raise PlatformUnavailableError("no answer in time") from error
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            await self.close()
            raise PlatformUnavailableError(repr(error)) from error
        except BaseException:
            await self.close()
            raise
        if status == GONE:
            raise HistoryLostError(f"status {status} for {path}")
        if status != 200:
            raise PlatformUnavailableError(f"status {status} for {path}")
        try:
            return parse_object(body)
        except ValueError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def close(self) -> None:
        """Close the connection; the next call opens another."""
        http, self._http = self._http, None
        if http is not None:
            await http.close()

    async def _call(self, target: str) -> tuple[int, bytes]:
        http = await self._connection()
        request = h11.Request(
            method="GET", target=target, headers=[("Host", str(self._address))]
        )
        await http.send(request, h11.EndOfMessage())
        status, body = 0, bytearray()
        while not isinstance(event := await http.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed without an answer")
        if http.http.our_state is h11.DONE and http.http.their_state is h11.DONE:
            http.http.start_next_cycle()
        else:
            await self.close()
        return status, bytes(body)

    async def _connection(self) -> HttpStream:
        if self._http is not None and not self._http.is_clean():
            await self.close()
        if self._http is None:
            with trio.fail_after(CONNECT_TIMEOUT / MS_PER_SECOND):
                stream = await trio.open_tcp_stream(
                    self._address.host, self._address.port
                )
            self._http = HttpStream(stream, h11.CLIENT, MAX_HEAD_BYTES)
        return self._http


@final
class StoreSource:
    """Reads configuration and targets from the store at ``address``.

    One watch over all keys tells of both. The store is never written to.
    """

    def __init__(self, address: SocketAddress) -> None:
        self._reads = StoreConnection(address)
        self._watches = StoreConnection(address)
        self._revisions: dict[str, int] = {}

    async def read_all(self) -> PlatformState:
        """Return the whole present state.

        Pages are read at different times, so changes go on behind the first.
        """
        items: dict[str, Item] = {}
        first: int | None = None
        after = ""
        while True:
            query = {"prefix": EVERYTHING} | ({"after": after} if after else {})
            page = await self._reads.get("/-/kv-range", query)
            first = _as_of(page) if first is None else first
            listed = [_item(entry) for entry in _entries(page, "items")]
            items |= {item.key: item for item in listed}
            if page.get("more_pages") is not True or not listed:
                break
            after = listed[-1].key
        self._revisions = {item.key: item.revision for item in items.values()}
        facts = list(_facts(items.values()))
        catalogues = [fact for fact in facts if isinstance(fact, Catalogue)]
        targets = tuple(fact for fact in facts if isinstance(fact, TargetRecord))
        return PlatformState(catalogues[0] if catalogues else None, targets, first)

    async def changes(self, after: int, wait: Milliseconds) -> PlatformChanges:
        """Return what changed behind revision ``after``.

        Calls that wait have a connection of their own.
        """
        query = {"prefix": EVERYTHING, "after": after, "wait_ms": wait}
        connection = self._watches if wait else self._reads
        answer = await connection.get("/-/kv-watch", query, wait)
        events = [_item(entry) for entry in _entries(answer, "events")]
        new = [item for item in events if item.revision > self._known(item.key)]
        self._revisions |= {item.key: item.revision for item in new}
        return PlatformChanges(tuple(_facts(new)), max(after, _as_of(answer)))

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._reads.close()
        await self._watches.close()

    def _known(self, key: str) -> int:
        return self._revisions.get(key, 0)


def _as_of(answer: JsonObject) -> int:
    """Return the store's revision at the time of an answer."""
    return _usable(answer, "as_of", int)


def _entries(answer: JsonObject, name: str) -> list[JsonObject]:
    return [entry for entry in _usable(answer, name, list) if isinstance(entry, dict)]


def _usable(answer: JsonObject, name: str, kind: type[Kind]) -> Kind:
    try:
        return field(answer, name, kind)
    except ValueError as error:
        raise PlatformUnavailableError(f"malformed answer: {error}") from error


def _item(entry: JsonObject) -> Item:
    key = _usable(entry, "key", str)
    revision = _usable(entry, "revision", int)
    if entry.get("removed") is True:
        return Item(key, revision, None)
    try:
        value = base64.b64decode(_usable(entry, "value", str), validate=True)
    except (binascii.Error, ValueError) as error:
        log_event("item_unreadable", key=key, revision=revision, error=str(error))
        value = None
    return Item(key, revision, value)


def _facts(items: Iterable[Item]) -> Iterator[PlatformFact]:
    """Yield what items say; one that can't be read names no target to use."""
    for item in items:
        try:
            fact = _fact(item)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            log_event(
                "item_malformed", key=item.key, revision=item.revision, error=str(error)
            )
            fact = _target_gone(item)
        if fact is not None:
            yield fact


def _fact(item: Item) -> PlatformFact | None:
    if item.value is None:
        return _target_gone(item)
    if item.key == CONFIGURATION:
        return read_catalogue(item.value)
    if item.key.startswith(TARGETS):
        return read_target(TargetId(item.key.removeprefix(TARGETS)), item.value)
    return None


def _target_gone(item: Item) -> TargetGone | None:
    if not item.key.startswith(TARGETS):
        return None
    return TargetGone(TargetId(item.key.removeprefix(TARGETS)))
