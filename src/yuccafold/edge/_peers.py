"""VMs that tell each other what they read from the platform, and how old it is.

A seed follows the platform; the others ask a seed. An answer carries the age of
the seed's view, so a view never looks younger than the platform's word.
"""

from __future__ import annotations

import base64
import json
import zlib
from typing import Any
from typing import final
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._platform_source import Entry
from yuccafold.edge._platform_source import PlatformChanges
from yuccafold.edge._platform_source import PlatformState
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._settings import SocketAddress
from yuccafold.edge._view import PlatformView
from yuccafold.http import CallFailedError
from yuccafold.http import CallLimits
from yuccafold.http import KeptConnection

LIMITS = CallLimits(connect=Milliseconds(200), silence=Milliseconds(400))
"""A VM of the region answers in a few ms; a frozen one must be noticed in time."""

VIEW_PATH = "/view"


@final
class PeerSource:
    """Reads the platform's entries from another VM."""

    def __init__(self, address: SocketAddress) -> None:
        self._address = address
        self._connection = KeptConnection(address.host, address.port, LIMITS)

    @property
    def name(self) -> str:
        """What logs call the source."""
        return str(self._address)

    async def read_all(self) -> PlatformState:
        """Return the other VM's whole view."""
        changes, _ = await self._get(VIEW_PATH)
        return PlatformState(changes.entries, changes.position, changes.age)

    async def changes(self, after: int, wait: Milliseconds) -> PlatformChanges:
        """Return what the other VM has behind ``after``; it never waits."""
        changes, is_whole = await self._get(f"{VIEW_PATH}?after={after}")
        if is_whole:
            raise PlatformUnavailableError("has forgotten what changed")
        return changes

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()

    async def _get(self, target: str) -> tuple[PlatformChanges, bool]:
        try:
            status, body = await self._connection.get(target)
        except CallFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        if status != 200:
            raise PlatformUnavailableError(f"status {status}")
        try:
            answer = json.loads(body)
            entries = tuple(_entry(row) for row in answer["entries"])
            changes = PlatformChanges(
                entries,
                int(answer["position"]),
                Milliseconds(int(answer["age_ms"])),
                bool(answer["in_outage"]),
            )
            return changes, bool(answer["whole"])
        except (ValueError, TypeError, KeyError, zlib.error) as error:
            raise PlatformUnavailableError(f"malformed answer: {error!r}") from error


@final
class ViewPage:
    """Answers other VMs with what this one knows."""

    def __init__(self, clock: Clock, table: EntryTable, view: PlatformView) -> None:
        self._clock = clock
        self._table = table
        self._view = view
        self._encoded: dict[str, tuple[int, str]] = {}

    def answer(self, target: str) -> tuple[int, str]:
        """Return status and body for a request of another VM."""
        now = self._clock.now()
        age = self._view.age(now)
        if age is None:
            return 503, "no view yet\n"
        after = parse_qs(urlsplit(target).query).get("after", [""])[0]
        known = self._table.since(int(after)) if after.isdigit() else None
        entries = self._table.present() if known is None else known
        value = {
            "position": self._table.position,
            "age_ms": age,
            "in_outage": self._view.in_outage(now),
            "whole": known is None,
            "entries": [
                [entry.key, entry.revision, self._encode(entry)] for entry in entries
            ],
        }
        return 200, json.dumps(value)

    def _encode(self, entry: Entry) -> str | None:
        """Return an entry's value, compressed once for all VMs that ask.

        A configuration of some hundred routes shrinks to a tenth, which matters
        on links of a few Mbit/s.
        """
        if entry.value is None:
            self._encoded.pop(entry.key, None)
            return None
        revision, text = self._encoded.get(entry.key, (0, ""))
        if revision != entry.revision:
            text = base64.b64encode(zlib.compress(entry.value)).decode()
            self._encoded[entry.key] = (entry.revision, text)
        return text


def _entry(row: list[Any]) -> Entry:
    key, revision, text = row
    if text is None:
        return Entry(str(key), int(revision), None)
    value = zlib.decompress(base64.b64decode(text, validate=True))
    return Entry(str(key), int(revision), value)
