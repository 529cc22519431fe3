"""Tracks pings until they are answered or time out."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.fleet._messages import PingRequest
from yuccafold.fleet._settings import MembershipSettings


@final
@dataclass(slots=True)
class Probe:
    """A ping that was not answered yet.

    A ping on behalf of another VM has that VM as ``requester`` and the
    ``request`` with the sequence number of its own ping. No VM is suspected
    when it times out. ``indirect`` is set once other VMs are requested to ping
    ``subject``, too.
    """

    sequence: int
    subject: VmId
    deadline: Milliseconds
    requester: VmId | None = None
    request: PingRequest | None = None
    indirect: bool = False


@final
class Prober:
    """Holds the pending probes and the order in which partners are pinged."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._probes: dict[int, Probe] = {}
        self._sequence = 0
        self._last_pinged: dict[VmId, int] = {}

    def next_partner(self, partners: Iterable[VmId]) -> VmId | None:
        """Return the partner that was not pinged for the longest time."""
        pinged = {vm: self._last_pinged.get(vm, 0) for vm in partners}
        self._last_pinged = pinged
        return min(pinged, key=lambda vm: pinged[vm], default=None)

    def start(
        self,
        subject: VmId,
        now: Milliseconds,
        requester: VmId | None = None,
        request: PingRequest | None = None,
    ) -> Probe:
        """Start a probe of ``subject``."""
        self._sequence += 1
        deadline = Milliseconds(now + self._settings.ack_timeout_ms)
        probe = Probe(self._sequence, subject, deadline, requester, request)
        self._probes[probe.sequence] = probe
        if subject in self._last_pinged:
            self._last_pinged[subject] = self._sequence
        return probe

    def finish(self, sequence: int, subject: VmId) -> Probe | None:
        """Remove and return the probe that ``subject`` answered, if it is pending."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject != subject:
            return None
        return self._probes.pop(sequence)

    def take_due(self, now: Milliseconds) -> list[Probe]:
        """Return the probes whose deadline has passed.

        Indirect probes and those for a requester have timed out and are
        removed. The others stay pending until the caller makes them indirect
        or finishes them.
        """
        due = [probe for probe in self._probes.values() if probe.deadline <= now]
        for probe in due:
            if probe.indirect or probe.requester is not None:
                del self._probes[probe.sequence]
        return due

    def start_indirect(self, probe: Probe, now: Milliseconds) -> None:
        """Mark ``probe`` as indirect and set its deadline for the helpers' pings."""
        probe.indirect = True
        probe.deadline = Milliseconds(now + self._settings.indirect_timeout_ms)

    def clear(self) -> None:
        """Drop all probes, after a pause in which answers may have been missed."""
        self._probes.clear()
