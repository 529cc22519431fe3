"""The platform's entries as this VM knows them, to decode and to pass on."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from yuccafold.edge._platform_source import Entry

MAX_REMOVED = 1_000
"""Removals that are remembered for VMs that ask what changed: a day of churn."""


@final
class EntryTable:
    """The latest entry of each key; a removed key stays for a while as removed.

    Entries may arrive late and twice; the larger revision wins.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
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

    def since(self, after: int) -> list[Entry] | None:
        """Return what changed behind ``after``, ``None`` if that is forgotten."""
        if after < self._forgotten:
            return None
        changed = (entry for entry in self._entries.values() if entry.revision > after)
        return sorted(changed, key=lambda entry: entry.revision)

    def present(self) -> list[Entry]:
        """Return the entries that were not removed."""
        return [entry for entry in self._entries.values() if entry.value is not None]

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
