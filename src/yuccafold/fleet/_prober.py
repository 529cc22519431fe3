"""Pings that wait for their answer."""

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
    """One ping under way.

    ``requester`` is who asked for it, with the sequence of its own ping, when
    it is made for another VM; such a probe blames nobody.
    """

    sequence: int
    subject: VmId
    deadline: Milliseconds
    requester: VmId | None = None
    request: PingRequest | None = None
    indirect: bool = False


@final
class Prober:
    """Keeps the probes under way and the order in which partners are pinged."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._probes: dict[int, Probe] = {}
        self._sequence = 0
        self._last_pinged: dict[VmId, int] = {}

    def next_partner(self, partners: Iterable[VmId]) -> VmId | None:
        """Return the partner whose last ping is the longest ago."""
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
        """Begin a probe of ``subject``."""
        self._sequence += 1
        deadline = Milliseconds(now + self._settings.ack_timeout_ms)
        probe = Probe(self._sequence, subject, deadline, requester, request)
        self._probes[probe.sequence] = probe
        if subject in self._last_pinged:
            self._last_pinged[subject] = self._sequence
        return probe

    def finish(self, sequence: int, subject: VmId) -> Probe | None:
        """End the probe that ``subject`` answered; ``None`` when there is none."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject != subject:
            return None
        return self._probes.pop(sequence)

    def due(self, now: Milliseconds) -> list[Probe]:
        """Return the probes whose deadline passed.

        One that just became indirect stays under way with a later deadline;
        the others have ended without an answer.
        """
        due = [probe for probe in self._probes.values() if probe.deadline <= now]
        for probe in due:
            if probe.indirect or probe.requester is not None:
                del self._probes[probe.sequence]
        return due

    def ask_others(self, probe: Probe, now: Milliseconds) -> None:
        """Give ``probe`` the time that helpers need."""
        probe.indirect = True
        probe.deadline = Milliseconds(now + self._settings.indirect_timeout_ms)

    def clear(self) -> None:
        """Drop every probe: this VM slept and may have missed the answers."""
        self._probes.clear()
