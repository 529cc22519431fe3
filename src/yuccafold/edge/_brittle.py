"""Derives a limit for targets that fall over if they have to reject many calls."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.edge._model import TargetRecord

BURST_DEVIATIONS = 1.28
"""Standard deviations of the calls in flight that a target's slots leave room for:
calls come at random at many VMs, and so a slot is free nine times out of ten."""

DURATION_WEIGHT = 0.2
"""Weight of the latest call in the mean duration."""

REJECTION_FACTOR = 0.6
"""What a rejection leaves of a limit; rejections are allowed to be few only."""

RECOVERY_PER_SECOND = 0.04
"""How much of a limit comes back a second."""

MIN_FACTOR = 0.1

SIGN_LIFETIME = Milliseconds(5_000)
"""How long after the last brittle answer of a service its new targets count as brittle
before they state it."""


@final
@dataclass(slots=True)
class BrittleTarget:
    """The part of its limit that a target gets after rejections, at ``at``.

    ``names_limit`` if its last answer named a limit as well.
    """

    factor: float = 1.0
    at: Milliseconds = Milliseconds(0)
    names_limit: bool = False


@final
class BrittleTargets:
    """Turns the sign that targets are brittle into limits of calls a second.

    A target holds as many calls as it has slots, so the mean duration of calls tells
    how many it can take in a second. What all VMs send is kept below that by the same
    means as limits that targets name. Rejections lower the limit for a while.
    """

    def __init__(self) -> None:
        self._targets: dict[TargetId, BrittleTarget] = {}
        self._durations: dict[ServiceId, float] = {}
        self._signs: dict[ServiceId, Milliseconds] = {}

    def record_duration(
        self, service: ServiceId, duration: Milliseconds, now: Milliseconds
    ) -> None:
        """Record how long a call ran, while targets of its service are brittle."""
        if not self.is_brittle(service, now):
            return
        mean = self._durations.setdefault(service, float(duration))
        self._durations[service] = mean + DURATION_WEIGHT * (duration - mean)

    def record_answer(
        self,
        target: TargetRecord,
        is_rejection: bool,
        now: Milliseconds,
        names_limit: bool = False,
    ) -> None:
        """Record an answer in which ``target`` states that it is brittle."""
        self._signs[target.service] = now
        state = self._targets.setdefault(target.id, BrittleTarget(at=now))
        recovered = RECOVERY_PER_SECOND * (now - state.at) / MS_PER_SECOND
        state.factor, state.at = min(1.0, state.factor + recovered), now
        state.names_limit = names_limit
        if is_rejection:
            state.factor = max(MIN_FACTOR, state.factor * REJECTION_FACTOR)

    def is_brittle(self, service: ServiceId, now: Milliseconds) -> bool:
        """Return whether targets of a service recently stated that they are brittle."""
        sign_at = self._signs.get(service)
        return sign_at is not None and now - sign_at < SIGN_LIFETIME

    def brittle_until(self, service: ServiceId) -> Milliseconds:
        """Return until when targets of a service count as brittle by their answers."""
        sign_at = self._signs.get(service)
        return Milliseconds(0 if sign_at is None else sign_at + SIGN_LIFETIME)

    def names_limit(self, target: TargetId) -> bool:
        """Return whether a brittle target named a limit in its last answer."""
        state = self._targets.get(target)
        return state is not None and state.names_limit

    def limit(self, target: TargetRecord, objective: Milliseconds) -> float:
        """Return how many calls a second ``target`` may get from all VMs together.

        ``objective`` stands for the duration of calls before one has ended.
        """
        state = self._targets.get(target.id, BrittleTarget())
        duration = max(1.0, self._durations.get(target.service, float(objective)))
        rate = _filled_slots(max(1, target.slots)) * MS_PER_SECOND / duration
        return rate * state.factor

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that restarted or is gone."""
        self._targets.pop(target, None)


def _filled_slots(slots: int) -> float:
    """Return how many of a target's slots calls may fill on average.

    With ``n`` of them filled on average, the standard deviation is the square root of
    ``n``.
    """
    root = math.sqrt(BURST_DEVIATIONS**2 + 4 * slots) - BURST_DEVIATIONS
    return root**2 / 4
