"""The latest known entries of the platform, to decode and to send to other VMs."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from yuccafold.edge._platform_source import Entry
from yuccafold.edge._positions import START
from yuccafold.edge._positions import Position
from yuccafold.edge._positions import StoreEra
from yuccafold.edge._positions import era_of

LONG_VALUE_BYTES = 4_096
"""Values of at least this size are sent to other VMs as differences."""

MAX_KEPT_VERSIONS = 6
"""Earlier versions of a long value that are kept as other VMs may still have them: VMs
ask at least once in the time in which a configuration changes a few times."""

MAX_REMEMBERED_REMOVALS = 1_000
"""Removals that are remembered for VMs that ask for changes: a day of churn."""

MAX_GAPS = 16
"""Lists that are remembered as gaps in the known removals; a VM reads one when it
starts, and further ones when the store has lost changes."""


@final
@dataclass(frozen=True, slots=True)
class Gap:
    """Positions between which removals are unknown, as a list was read after them.

    A key that was written and removed within the gap was never in the table, but VMs
    that had a state within the gap may have it.
    """

    after: Position
    until: Position

    def contains(self, position: Position) -> bool:
        """Return whether removals after ``position`` may be unknown."""
        return self.after < position < self.until

    def may_have_inferred(self, entry: Entry) -> bool:
        """Return whether ``entry`` may be a removal that was inferred from a list.

        It happened at any time within the gap, and bears the position of its end.
        """
        return entry.value is None and self.after < entry.position <= self.until


@final
@dataclass(frozen=True, slots=True)
class SettingsInForce:
    """The configuration that this VM applies: its version and its entry.

    It may be newer than the entry that the store has, if the store lost it.
    """

    version: int
    entry: Entry


@final
class EntryTable:
    """Holds the latest entry of each key, with a limited number of removed keys.

    Entries may arrive out of order and repeatedly; the highest position wins. Changes
    of an earlier era than the table's are ignored: the store has lost them, or writes
    them again in its present era. Entries that a later era has unchanged are not sent
    again to VMs that had them in the earlier one.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._earlier_versions: dict[str, deque[Entry]] = {}
        self._unchanged_since: dict[str, Position] = {}
        self._position = START
        self._forgotten = START
        self._era_ends: dict[StoreEra, Position] = {}
        self._gaps: deque[Gap] = deque(maxlen=MAX_GAPS)
        self._in_force: SettingsInForce | None = None

    @property
    def position(self) -> Position:
        """The position up to which all changes are known."""
        return self._position

    @property
    def era(self) -> StoreEra:
        """The era of the position."""
        return era_of(self._position)

    @property
    def in_force(self) -> SettingsInForce | None:
        """The configuration in force; it is sent to other VMs if the store lost it."""
        return self._in_force

    def put_in_force(self, settings: SettingsInForce) -> None:
        """Record the configuration in force."""
        self._in_force = settings

    def apply_changes(
        self,
        entries: Iterable[Entry],
        position: Position,
        lacks_removals: bool = False,
    ) -> list[Entry]:
        """Apply changes up to ``position``; return those that are new.

        ``lacks_removals`` is set if removals among them were inferred from the keys
        that are present, so that others may be missing.
        """
        current = [entry for entry in entries if era_of(entry.position) >= self.era]
        if lacks_removals and position > self._position:
            self._record_gap(Gap(self._position, position))
        return self._apply(current, position)

    def apply_list(self, entries: Collection[Entry], position: Position) -> list[Entry]:
        """Apply a complete list of entries; return the changes.

        Keys that aren't in the list are returned as removed, unless they are newer
        than the list.
        """
        carried_over = [entry for entry in entries if self._is_carried_over(entry)]
        known = {entry.key for entry in carried_over}
        listed = [entry for entry in entries if entry.key not in known]
        missing = self.absent({entry.key for entry in entries}, position)
        if position > self._position:
            self._record_gap(Gap(self._position, position))
        for entry in carried_over:
            earlier = self._entries[entry.key].position
            self._unchanged_since.setdefault(entry.key, earlier)
            self._entries[entry.key] = entry
        return self._apply([*listed, *missing], position)

    def lacks_removals(self, after: Position) -> bool:
        """Return whether ``changes_since`` may lack removals of keys.

        What tells a VM that was at ``after`` of them are the keys that are present.
        """
        return any(gap.contains(after) for gap in self._gaps)

    def absent(self, present: Collection[str], position: Position) -> list[Entry]:
        """Return the removals of keys that aren't ``present`` as of ``position``."""
        kept = frozenset(present)
        return [
            Entry(key, position, None)
            for key, entry in self._entries.items()
            if key not in kept
            and entry.value is not None
            and entry.position <= position
        ]

    def version_at(self, key: str, position: Position) -> Entry | None:
        """Return the entry of ``key`` as of ``position``.

        Returns ``None`` if the key was removed by then or that version isn't kept.
        """
        versions = [*self._earlier_versions.get(key, ()), *self._current(key)]
        known = [entry for entry in versions if entry.position <= position]
        return known[-1] if known and known[-1].value is not None else None

    def changes_since(self, after: Position) -> list[Entry] | None:
        """Return the changes after ``after`` in their order, as of ``sequence``.

        Returns ``None`` if some of them are forgotten, or if ``after`` is a state of an
        earlier era that this table has not had.
        """
        if after < self._forgotten or not self._has_had(after):
            return None
        changed = (
            entry
            for entry in self._entries.values()
            if self._changed_at(entry, era_of(after)) > after
        )
        return sorted(changed, key=self.sequence)

    def sequence(self, entry: Entry) -> Position:
        """Return where a change stands among others: its position if that is known.

        An inferred removal comes before all other changes: a VM that has only a part
        of them must not keep the key, as others can't tell that it does.
        """
        if any(gap.may_have_inferred(entry) for gap in self._gaps):
            return START
        return entry.position

    def present(self) -> list[Entry]:
        """Return the entries that were not removed."""
        return [entry for entry in self._entries.values() if entry.value is not None]

    def present_at(self, position: Position) -> list[Entry]:
        """Return the present entries that have not changed since ``position``."""
        return [entry for entry in self.present() if entry.position <= position]

    def _apply(self, entries: Iterable[Entry], position: Position) -> list[Entry]:
        new = [entry for entry in entries if self._is_new(entry)]
        if era_of(position) > self.era:
            self._era_ends[self.era] = self._position
        for entry in new:
            self._keep_current_version(entry.key)
            self._entries[entry.key] = entry
        self._position = max(self._position, position)
        self._forget_removed()
        return new

    def _record_gap(self, gap: Gap) -> None:
        if len(self._gaps) == MAX_GAPS:
            self._forgotten = max(self._forgotten, self._gaps[0].until)
        self._gaps.append(gap)

    def _current(self, key: str) -> list[Entry]:
        entry = self._entries.get(key)
        return [] if entry is None else [entry]

    def _changed_at(self, entry: Entry, era: StoreEra) -> Position:
        """Return the position of an entry's last change, as of a state of ``era``.

        A VM that had the entry in an earlier era has it unchanged. One that has not may
        have listed the store of this era before the entry was written again.
        """
        if era >= era_of(entry.position):
            return entry.position
        return self._unchanged_since.get(entry.key, entry.position)

    def _keep_current_version(self, key: str) -> None:
        """Keep the current version of a long value that is about to change.

        One of an earlier era has another position at VMs that had it then.
        """
        if self._unchanged_since.pop(key, None) is not None:
            return
        for entry in self._current(key):
            if entry.value is not None and len(entry.value) >= LONG_VALUE_BYTES:
                kept = self._earlier_versions.setdefault(
                    key, deque(maxlen=MAX_KEPT_VERSIONS)
                )
                kept.append(entry)

    def _has_had(self, position: Position) -> bool:
        """Return whether the table has had the state at ``position``."""
        era = era_of(position)
        return era >= self.era or position <= self._era_ends.get(era, START)

    def _is_carried_over(self, entry: Entry) -> bool:
        """Return whether a listed entry is known unchanged from an earlier era."""
        known = self._entries.get(entry.key)
        return (
            known is not None
            and era_of(known.position) < era_of(entry.position)
            and known.value == entry.value
        )

    def _is_new(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key)
        if known is None:
            return entry.value is not None or entry.position > self._forgotten
        return entry.position > known.position

    def _forget_removed(self) -> None:
        removed = [entry for entry in self._entries.values() if entry.value is None]
        if len(removed) <= MAX_REMEMBERED_REMOVALS:
            return
        removed.sort(key=lambda entry: entry.position)
        for entry in removed[: len(removed) // 2]:
            del self._entries[entry.key]
            self._unchanged_since.pop(entry.key, None)
            self._forgotten = max(self._forgotten, entry.position)
