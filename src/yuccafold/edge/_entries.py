"""The platform's entries as this VM knows them, to decode and to pass on."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import final

from yuccafold.edge._platform_source import Entry

LONG_VALUE_BYTES = 4_096
"""Values from this size on are passed on as differences."""

KEPT_VERSIONS = 6
"""Earlier versions of a long value that others may still have: they ask at least
once in a time in which a configuration changes a few times."""

MAX_REMOVED = 1_000
"""Removals that are remembered for VMs that ask what changed: a day of churn."""


@final
class EntryTable:
    """The latest entry of each key; a removed key stays for a while as removed.

    Entries may arrive late and twice; the larger revision wins.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._earlier: dict[str, deque[Entry]] = {}
        self._position = 0
        self._forgotten = 0

    @property
    def position(self) -> int:
        """The revision up to which all changes are known; 0 before the first list."""
        return self._position

    def take(self, entries: Iterable[Entry], position: int) -> list[Entry]:
        """Take changes up to ``position``; return those that are new."""
        new = [entry for entry in entries if self._is_new(entry)]
        for entry in new:
            self._keep_earlier(entry.key)
            self._entries[entry.key] = entry
        self._position = max(self._position, position)
        self._forget_removed()
        return new

    def replace(self, entries: Iterable[Entry], position: int) -> list[Entry]:
        """Take a whole list; return what is new, keys that are gone as removed."""
        listed = list(entries)
        names = {entry.key for entry in listed}
        gone = [
            Entry(key, position, None)
            for key, entry in self._entries.items()
            if key not in names
            and entry.value is not None
            and entry.revision <= position
        ]
        return self.take([*listed, *gone], position)

    def version_at(self, key: str, position: int) -> Entry | None:
        """Return the entry of ``key`` as it was at ``position``, if it is kept."""
        versions = [*self._earlier.get(key, ()), *self._present(key)]
        known = [entry for entry in versions if entry.revision <= position]
        return known[-1] if known and known[-1].value is not None else None

    def since(self, after: int) -> list[Entry] | None:
        """Return what changed behind ``after``, ``None`` if that is forgotten."""
        if after < self._forgotten:
            return None
        changed = (entry for entry in self._entries.values() if entry.revision > after)
        return sorted(changed, key=lambda entry: entry.revision)

    def present(self) -> list[Entry]:
        """Return the entries that were not removed."""
        return [entry for entry in self._entries.values() if entry.value is not None]

    def _present(self, key: str) -> list[Entry]:
        entry = self._entries.get(key)
        return [] if entry is None else [entry]

    def _keep_earlier(self, key: str) -> None:
        """Keep the present version of a long value, which is about to change."""
        for entry in self._present(key):
            if entry.value is not None and len(entry.value) >= LONG_VALUE_BYTES:
                kept = self._earlier.setdefault(key, deque(maxlen=KEPT_VERSIONS))
                kept.append(entry)

    def _is_new(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key)
        if known is None:
            return entry.value is not None or entry.revision > self._forgotten
        return entry.revision > known.revision

    def _forget_removed(self) -> None:
        removed = [entry for entry in self._entries.values() if entry.value is None]
        if len(removed) <= MAX_REMOVED:
            return
        removed.sort(key=lambda entry: entry.revision)
        for entry in removed[: len(removed) // 2]:
            del self._entries[entry.key]
            self._forgotten = max(self._forgotten, entry.revision)
