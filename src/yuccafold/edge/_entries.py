"""The latest known entries of the platform, to decode and to send to other VMs."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import final

from yuccafold.edge._platform_source import Entry

LONG_VALUE_BYTES = 4_096
"""Values of at least this size are sent to other VMs as differences."""

MAX_KEPT_VERSIONS = 6
"""Earlier versions of a long value that are kept as other VMs may still have them: VMs
ask at least once in the time in which a configuration changes a few times."""

MAX_REMEMBERED_REMOVALS = 1_000
"""Removals that are remembered for VMs that ask for changes: a day of churn."""


@final
class EntryTable:
    """Holds the latest entry of each key, with a limited number of removed keys.

    Entries may arrive out of order and repeatedly; the highest revision wins.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._earlier_versions: dict[str, deque[Entry]] = {}
        self._position = 0
        self._forgotten_revision = 0

    @property
    def position(self) -> int:
        """The revision up to which all changes are known; 0 before any are applied."""
        return self._position

    def apply_changes(self, entries: Iterable[Entry], position: int) -> list[Entry]:
        """Apply changes up to ``position``; return those that are new."""
        new = [entry for entry in entries if self._is_new(entry)]
        for entry in new:
            self._keep_current_version(entry.key)
            self._entries[entry.key] = entry
        self._position = max(self._position, position)
        self._forget_removed()
        return new

    def apply_list(self, entries: Iterable[Entry], position: int) -> list[Entry]:
        """Apply a complete list of entries; return the changes.

        Keys that aren't in the list are returned as removed, unless they are newer
        than the list.
        """
        listed = list(entries)
        listed_keys = {entry.key for entry in listed}
        missing = [
            Entry(key, position, None)
            for key, entry in self._entries.items()
            if key not in listed_keys
            and entry.value is not None
            and entry.revision <= position
        ]
        return self.apply_changes([*listed, *missing], position)

    def version_at(self, key: str, position: int) -> Entry | None:
        """Return the entry of ``key`` as of ``position``.

        Returns ``None`` if the key was removed by then or that version isn't kept.
        """
        versions = [*self._earlier_versions.get(key, ()), *self._current(key)]
        known = [entry for entry in versions if entry.revision <= position]
        return known[-1] if known and known[-1].value is not None else None

    def changes_since(self, after: int) -> list[Entry] | None:
        """Return the changes after revision ``after``.

        Returns ``None`` if some of them are forgotten.
        """
        if after < self._forgotten_revision:
            return None
        changed = (entry for entry in self._entries.values() if entry.revision > after)
        return sorted(changed, key=lambda entry: entry.revision)

    def present(self) -> list[Entry]:
        """Return the entries that were not removed."""
        return [entry for entry in self._entries.values() if entry.value is not None]

    def _current(self, key: str) -> list[Entry]:
        entry = self._entries.get(key)
        return [] if entry is None else [entry]

    def _keep_current_version(self, key: str) -> None:
        """Keep the current version of a long value that is about to change."""
        for entry in self._current(key):
            if entry.value is not None and len(entry.value) >= LONG_VALUE_BYTES:
                kept = self._earlier_versions.setdefault(
                    key, deque(maxlen=MAX_KEPT_VERSIONS)
                )
                kept.append(entry)

    def _is_new(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key)
        if known is None:
            return entry.value is not None or entry.revision > self._forgotten_revision
        return entry.revision > known.revision

    def _forget_removed(self) -> None:
        removed = [entry for entry in self._entries.values() if entry.value is None]
        if len(removed) <= MAX_REMEMBERED_REMOVALS:
            return
        removed.sort(key=lambda entry: entry.revision)
        for entry in removed[: len(removed) // 2]:
            del self._entries[entry.key]
            self._forgotten_revision = max(self._forgotten_revision, entry.revision)
