"""Limits the calls of all VMs to targets that are cold, without asking other VMs."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.edge.warmup._cold_share import TERM
from yuccafold.edge.warmup._cold_share import ColdBound
from yuccafold.edge.warmup._cold_share import ColdShare
from yuccafold.edge.warmup._cold_share import cold_share

UNKNOWN_VM_COUNT = 200
"""The number of VMs assumed while it is unknown: more than large fleets have."""

COUNT_SETTLE_TIME = Milliseconds(5_000)
"""How long after the first report the number of VMs is not relied on: when all VMs
start, seeds have heard of all others within 2 s, and count some twice for as long."""

SETTLED_COUNTS = Milliseconds(2_000)
"""Time before that from which numbers count: a seed that has just started may name too
few in one report."""

RESERVATION_LIFETIME = Milliseconds(1_000)
"""How long a call that was placed may take to connect before its permit lapses."""

MAX_REMEMBERED_TARGETS = 1_000
"""Targets whose last calls are remembered, several times as many as are cold at once.
Those that were not asked for the longest are dropped."""

MAX_TERMS_AHEAD = 8
"""Terms searched for the next one in which this VM sends calls to a cold target."""


@final
@dataclass(slots=True)
class ColdUse:
    """This VM's use of a cold target.

    ``answered_until`` is until when the target is cold by its own answers,
    ``reserved_at`` when a call was placed there that is still connecting.
    """

    answered_until: Milliseconds = Milliseconds(0)
    sent_at: Milliseconds | None = None
    reserved_at: Milliseconds | None = None

    def is_reserved(self, now: Milliseconds) -> bool:
        """Return whether a call was placed there that may still be connecting."""
        reserved_at = self.reserved_at
        return reserved_at is not None and now - reserved_at < RESERVATION_LIFETIME


@final
class ColdTargets:
    """Gives permits for calls to cold targets, so few that all VMs stay in the bound.

    Each VM decides alone, by a share that depends on the number of VMs only. No permit
    is kept for later. A VM that starts gives none in its first second, in which calls
    of the one before it still count.
    """

    def __init__(self, vm: VmId, multiple: float, slack: float) -> None:
        self._vm = vm
        self._multiple = multiple
        self._slack = slack
        self._uses: dict[TargetId, ColdUse] = {}
        self._started_at: Milliseconds | None = None
        self._counted_at: Milliseconds | None = None
        self._is_settled = False
        self._vm_count = 0

    def record_vm_count(self, vms: int, now: Milliseconds) -> None:
        """Record how many VMs there are by a fresh report, 0 if there is none.

        The largest number after the first reports counts for good: a lower one may be
        that of the VMs in reach, and VMs that are out of reach send calls, too. Seeds
        that start count some VMs twice at first.
        """
        if self._started_at is None:
            self._started_at = now
        if not vms:
            return
        if self._counted_at is None:
            self._counted_at = now
        if now - self._counted_at >= COUNT_SETTLE_TIME - SETTLED_COUNTS:
            self._vm_count = max(self._vm_count, vms)
        self._is_settled = now - self._counted_at >= COUNT_SETTLE_TIME

    def record_answer(
        self, target: TargetId, cold_for: Milliseconds, now: Milliseconds
    ) -> None:
        """Record for how long a target is cold by its own answer."""
        if cold_for or target in self._uses:
            self._use(target).answered_until = Milliseconds(now + cold_for)

    def cold_until(self, target: TargetId) -> Milliseconds:
        """Return until when a target is cold by its own answers."""
        use = self._uses.get(target)
        return Milliseconds(0) if use is None else use.answered_until

    def has_permit(self, target: TargetId, rate: float, now: Milliseconds) -> bool:
        """Return whether a call may go to a cold target that takes ``rate``."""
        is_reserved = self._use(target).is_reserved(now)
        return not is_reserved and self.next_permit(target, rate, now) == now

    def reserve(self, target: TargetId, now: Milliseconds) -> None:
        """Record that a call was placed at a cold target."""
        self._use(target).reserved_at = now

    def may_send(self, target: TargetId, rate: float, now: Milliseconds) -> bool:
        """Return whether a call may be sent to a cold target now, and count it.

        It has a permit from when it was placed, unless the target became cold since or
        connecting took too long.
        """
        use = self._use(target)
        pause = self._share(rate).pause
        has_paused = use.sent_at is None or now - use.sent_at >= pause
        was_placed = use.is_reserved(now) and has_paused
        if not was_placed and self.next_permit(target, rate, now) != now:
            return False
        use.reserved_at = None
        use.sent_at = now
        return True

    def forget(self, target: TargetId) -> None:
        """Drop what answers of a restarted or gone target said.

        Calls are still counted: the target may be back within a second.
        """
        if target in self._uses:
            self._uses[target].answered_until = Milliseconds(0)

    def _use(self, target: TargetId) -> ColdUse:
        use = self._uses.pop(target, None) or ColdUse()
        self._uses[target] = use
        if len(self._uses) > MAX_REMEMBERED_TARGETS:
            del self._uses[next(iter(self._uses))]
        return use

    def _share(self, rate: float) -> ColdShare:
        bound = ColdBound.of(rate, self._multiple, self._slack)
        return cold_share(bound, self._assumed_vm_count())

    def _assumed_vm_count(self) -> int:
        return self._vm_count if self._is_settled else UNKNOWN_VM_COUNT

    def next_permit(
        self, target: TargetId, rate: float, now: Milliseconds
    ) -> Milliseconds | None:
        """Return when this VM may next send a call to a cold target, if it soon may."""
        share = self._share(rate)
        started_at = now if self._started_at is None else self._started_at
        earliest = max(now, started_at + MS_PER_SECOND)
        sent_at = self._use(target).sent_at
        if sent_at is not None:
            earliest = max(earliest, sent_at + share.pause)
        for _ in range(MAX_TERMS_AHEAD):
            term, elapsed = divmod(earliest + self._phase(target), TERM)
            if self._draw(target, term) < share.members:
                return Milliseconds(earliest)
            earliest += TERM - elapsed
        return None

    def _phase(self, target: TargetId) -> int:
        """Return a time by which this VM's terms are apart from those of others."""
        return int(self._draw(target, -1) * TERM)

    def _draw(self, target: TargetId, term: int) -> float:
        """Return a number from 0 up to 1 that is random to VM, target and term."""
        text = f"{self._vm} {target} {term}".encode()
        digest = blake2b(text, digest_size=4).digest()
        return int.from_bytes(digest, "big") / 2**32
