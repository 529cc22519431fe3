"""What this VM says of itself, and what it makes of rumours about itself."""

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
    """This VM's own record; ``incarnation`` is its Unix time at ``now``."""

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
        """The start of this process."""
        return self._incarnation

    @property
    def started_at(self) -> Milliseconds:
        """The start of this process by the monotonic clock."""
        return self._started_at

    @property
    def leaving(self) -> bool:
        """Whether this VM finishes its work and goes."""
        return self._leaving

    @property
    def superseded_by(self) -> Incarnation | None:
        """A later incarnation of this VM that the fleet knows."""
        return self._superseded_by

    def leave(self) -> bool:
        """Begin to leave; return whether that is news."""
        news = not self._leaving
        self._leaving = True
        return news

    def update(self, status: MemberStatus = MemberStatus.ALIVE) -> MemberUpdate:
        """Return the record in the form in which it travels."""
        return MemberUpdate(
            self._vm, self._incarnation, self._refutation, status, self._leaving
        )

    def answer(self, rumour: MemberUpdate) -> bool:
        """Contradict that this VM is suspect or dead; return whether it must."""
        if rumour.incarnation > self._incarnation:
            self._superseded_by = rumour.incarnation
        harmless = rumour.status is MemberStatus.ALIVE
        if harmless or rumour.incarnation != self._incarnation:
            return False
        if not self._refutation <= rumour.refutation < MAX_REFUTATION:
            return False
        self._refutation = rumour.refutation + 1
        return True

    def finds_plausible(self, update: MemberUpdate, now: Milliseconds) -> bool:
        """Whether ``update`` of another VM could be true by this VM's clock."""
        unix_now = self._incarnation + now - self._started_at
        latest = unix_now + self._settings.max_clock_ahead_ms
        in_time = 0 <= update.incarnation <= latest
        return in_time and 0 <= update.refutation <= MAX_REFUTATION
