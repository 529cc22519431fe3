"""This VM's record of itself, and how it refutes reports that it is dead."""

from __future__ import annotations

from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.fleet._messages import MemberStatus
from yuccafold.fleet._messages import MemberUpdate
from yuccafold.fleet._settings import MembershipSettings
from yuccafold.fleet._table import MAX_REFUTATION


@final
class OwnRecord:
    """This VM's record of itself; ``incarnation`` is the Unix time at ``now``."""

    def __init__(
        self,
        settings: MembershipSettings,
        vm: VmId,
        incarnation: Incarnation,
        now: Milliseconds,
    ) -> None:
        self._settings = settings
        self._vm = vm
        self._incarnation = incarnation
        self._started_at = now
        self._refutation = 0
        self._leaving = False
        self._superseded_by: Incarnation | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The start of this process in Unix milliseconds."""
        return self._incarnation

    @property
    def started_at(self) -> Milliseconds:
        """The start of this process by the monotonic clock."""
        return self._started_at

    @property
    def leaving(self) -> bool:
        """Whether this VM stops after it has finished its work."""
        return self._leaving

    @property
    def superseded_by(self) -> Incarnation | None:
        """A later incarnation of this VM that peers know, if any."""
        return self._superseded_by

    def leave(self) -> bool:
        """Mark this VM as leaving; return whether it was not before."""
        changed = not self._leaving
        self._leaving = True
        return changed

    def as_update(self, status: MemberStatus = MemberStatus.ALIVE) -> MemberUpdate:
        """Return the record as an update for peers."""
        return MemberUpdate(
            self._vm, self._incarnation, self._refutation, status, self._leaving
        )

    def refute(self, update: MemberUpdate) -> bool:
        """Refute ``update`` if it reports this VM as suspect or dead.

        Returns whether it was refuted, so that peers must be informed. Reports
        about other incarnations and those refuted before are ignored, but a
        later incarnation is stored as ``superseded_by``.
        """
        if update.incarnation > self._incarnation:
            self._superseded_by = update.incarnation
        says_alive = update.status is MemberStatus.ALIVE
        if says_alive or update.incarnation != self._incarnation:
            return False
        if not self._refutation <= update.refutation < MAX_REFUTATION:
            return False
        self._refutation = update.refutation + 1
        return True

    def is_plausible(self, update: MemberUpdate, now: Milliseconds) -> bool:
        """Return whether ``update`` of another VM can be true by this VM's clock.

        Its incarnation, a Unix time, may be ahead by ``max_clock_ahead_ms``.
        """
        unix_now = self._incarnation + now - self._started_at
        latest = unix_now + self._settings.max_clock_ahead_ms
        possible_start = 0 <= update.incarnation <= latest
        return possible_start and 0 <= update.refutation <= MAX_REFUTATION
