"""Stand-in for the platform's metadata store: keys with revisions and watches."""

from __future__ import annotations

import base64
import json
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any
from typing import final

import trio

from yuccafold.standins._http import BoundAddress
from yuccafold.standins._http import Exchange
from yuccafold.standins._http import Headers
from yuccafold.standins._http import HttpServer
from yuccafold.standins._http import ServerSettings
from yuccafold.standins._platform_forms import CONFIGURATION_KEY
from yuccafold.standins._platform_forms import EVACUATION_KEY_PREFIX
from yuccafold.standins._platform_forms import TARGET_KEY_PREFIX
from yuccafold.standins._platform_forms import PublishedTarget

MS_PER_SECOND = 1000
MAX_WAIT_MS = 30_000
ERA_HEADER = "Store-Era"


@final
@dataclass(frozen=True, slots=True)
class PlatformStoreSettings:
    """Where the store is served and how many items a page holds."""

    server: ServerSettings = ServerSettings()
    page_items: int = 500


@final
@dataclass(frozen=True, slots=True)
class StoredChange:
    """One write, or one removal if ``value`` is ``None``.

    ``created`` is the revision at which the key was written first.
    """

    key: str
    revision: int
    value: bytes | None
    created: int

    def as_json(self) -> dict[str, Any]:
        """Return the JSON of the change, as in lists and watch answers."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "removed": True}
        text = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "value": text,
            "revision": self.revision,
            "create_rev": self.created,
            "lease": 0,
        }


@final
@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store's items, history and revision, to return from later."""

    items: Mapping[str, StoredChange]
    history: tuple[StoredChange, ...]
    revision: int


@final
class PlatformStore:
    """Serves lists and watches; tests write to it by ``put`` and ``remove``.

    While ``refuse_with`` is set, every call is answered with that status. While
    ``watches_unresponsive`` is set, watches wait for their whole time and report
    no change. All answers name ``era`` unless it is ``None``; ``return_from`` raises
    it.
    """

    def __init__(self, settings: PlatformStoreSettings) -> None:
        self._page_items = settings.page_items
        self._items: dict[str, StoredChange] = {}
        self._history: list[StoredChange] = []
        self._compacted_revision = 0
        self._revision = 1
        self._changed = trio.Event()
        self._calls: list[str] = []
        self._server = HttpServer(settings.server, self._handle)
        self.refuse_with: int | None = None
        self.watches_unresponsive = False
        self.era: int | str | None = None

    @property
    def server(self) -> HttpServer:
        """The HTTP server, which has the address, the faults and ``crash``."""
        return self._server

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    @property
    def calls(self) -> tuple[str, ...]:
        """The path of every call, the oldest first."""
        return tuple(self._calls)

    def put(self, key: str, value: bytes) -> int:
        """Write a key; return its revision."""
        change = self._change(key, value)
        self._items[key] = change
        return change.revision

    def configure(self, value: bytes) -> int:
        """Write the operator's configuration; return its revision."""
        return self.put(CONFIGURATION_KEY, value)

    def evacuate(self, zone: str, value: bytes = b"{}") -> int:
        """Write that a zone is evacuated; return the revision."""
        return self.put(f"{EVACUATION_KEY_PREFIX}{zone}", value)

    def take_back(self, zone: str) -> None:
        """Remove that a zone is evacuated."""
        self.remove(f"{EVACUATION_KEY_PREFIX}{zone}")

    def list_target(self, name: str, target: PublishedTarget) -> int:
        """Write a target's entry; return its revision."""
        return self.put(
            f"{TARGET_KEY_PREFIX}{name}", json.dumps(target.as_json()).encode()
        )

    def unlist_target(self, name: str) -> None:
        """Remove a target's entry, if there is one."""
        if f"{TARGET_KEY_PREFIX}{name}" in self._items:
            self.remove(f"{TARGET_KEY_PREFIX}{name}")

    def remove(self, key: str) -> None:
        """Remove a key."""
        del self._items[key]
        self._change(key, None)

    def compact(self) -> None:
        """Drop the history, so that watches must start again from a list."""
        self._history.clear()
        self._compacted_revision = self._revision

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(dict(self._items), tuple(self._history), self._revision)

    def return_from(self, copy: StoreCopy) -> None:
        """Lose all changes since ``copy`` was made, and begin the next era.

        Later changes get the revisions of lost ones.
        """
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._revision = copy.revision
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self.era = self.era + 1 if isinstance(self.era, int) else self.era
        self._wake_watches()

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address once listening."""
        await self._server.serve(task_status=task_status)

    def _change(self, key: str, value: bytes | None) -> StoredChange:
        self._revision += 1
        present = self._items.get(key)
        created = self._revision if present is None else present.created
        change = StoredChange(key, self._revision, value, created)
        self._history.append(change)
        self._wake_watches()
        return change

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _headers(self) -> Headers:
        return () if self.era is None else ((ERA_HEADER, str(self.era)),)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.request.path
        self._calls.append(path)
        if self.refuse_with is not None:
            message = "told to refuse"
            return await exchange.refuse(
                self.refuse_with, "refused", message, self._headers()
            )
        try:
            if path == "/-/kv-range":
                return await self._list(exchange)
            if path == "/-/kv-watch":
                return await self._watch(exchange)
        except ValueError as error:
            return await exchange.refuse(
                400, "bad-request", str(error), self._headers()
            )
        return await exchange.refuse(
            404, "unknown-path", "expected a read", self._headers()
        )

    async def _list(self, exchange: Exchange) -> None:
        prefix = exchange.request.query("prefix") or ""
        after = exchange.request.query("after") or ""
        keys = (
            key for key in sorted(self._items) if key.startswith(prefix) and key > after
        )
        page = list(islice(keys, self._page_items + 1))
        shown = page[: self._page_items]
        await exchange.respond_json(
            200,
            {
                "items": [self._items[key].as_json() for key in shown],
                "more_pages": len(page) > len(shown),
                "as_of": self._revision,
            },
            self._headers(),
        )

    async def _watch(self, exchange: Exchange) -> None:
        prefix = exchange.request.query("prefix") or ""
        after = exchange.request.query_number("after", 0)
        wait_ms = min(MAX_WAIT_MS, exchange.request.query_number("wait_ms", 0))
        with trio.move_on_after(wait_ms / MS_PER_SECOND):
            while self._has_history(after) and (
                self.watches_unresponsive or not self._changes_since(prefix, after)
            ):
                await self._changed.wait()
        if not self._has_history(after):
            return await exchange.refuse(
                410, "compacted", "history is gone", self._headers()
            )
        events = [] if self.watches_unresponsive else self._changes_since(prefix, after)
        return await exchange.respond_json(
            200,
            {
                "events": [change.as_json() for change in events],
                "as_of": after if self.watches_unresponsive else self._revision,
            },
            self._headers(),
        )

    def _has_history(self, after: int) -> bool:
        """Return whether the store has ``after``, and all changes since."""
        return self._compacted_revision <= after <= self._revision

    def _changes_since(self, prefix: str, after: int) -> list[StoredChange]:
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]
