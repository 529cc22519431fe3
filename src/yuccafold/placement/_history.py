"""How joins and flaps of one service's targets are smoothed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.placement._view import RankerSettings
from yuccafold.placement._view import TargetState

FLAP_STOPS = 2
"""So many stops within the window make a flap."""


@final
class TargetHistory:
    """Remembers when targets joined, stopped and came back.

    Targets of the first update have their full weight at once.
    """

    def __init__(self, settings: RankerSettings) -> None:
        self._settings = settings
        self._joined: dict[TargetId, int] = {}
        self._states: dict[TargetId, TargetState] = {}
        self._damped_until: dict[TargetId, int] = {}
        self._stops: dict[TargetId, list[int]] = {}

    def update(self, states: Sequence[TargetState], now: Milliseconds) -> None:
        """Adopt the targets now listed."""
        full = now - self._settings.ramp_ms
        for state in states:
            known = self._states.get(state.id)
            if known is None:
                self._joined[state.id] = now if self._states else full
            elif known.taking_work and not state.taking_work:
                self._stops.setdefault(state.id, []).append(now)
            elif state.taking_work and not known.taking_work:
                self._on_return(state.id, now)
        if states and not self._states:
            self._joined = dict.fromkeys((state.id for state in states), full)
        self._states = {state.id: state for state in states}
        for name in set(self._joined) - set(self._states):
            del self._joined[name]
            self._damped_until.pop(name, None)
            self._stops.pop(name, None)

    def _on_return(self, name: TargetId, now: Milliseconds) -> None:
        # One stop is no flap: damping a large share of a service that is back
        # would scatter the chats of all the others.
        since = now - self._settings.flap_window_ms
        stops = [at for at in self._stops.get(name, ()) if at >= since]
        self._stops[name] = stops
        if len(stops) >= FLAP_STOPS:
            self._damped_until[name] = now + self._settings.flap_damping_ms

    def weights(self, now: Milliseconds) -> dict[TargetId, float]:
        """Return the weight of each listed target, which grows after a join."""
        return {
            state.id: state.capacity * self._ramp(state.id, now)
            for state in self._states.values()
        }

    def _ramp(self, name: TargetId, now: Milliseconds) -> float:
        steps = self._settings.ramp_steps
        passed = (now - self._joined[name]) * steps // self._settings.ramp_ms
        return min(steps, passed + 1) / steps

    def next_step(self, now: Milliseconds) -> float:
        """Return when some weight grows next; infinity when all are full."""
        step = self._settings.ramp_ms / self._settings.ramp_steps
        growing = [
            joined + ((now - joined) // step + 1) * step
            for joined in self._joined.values()
            if now - joined < self._settings.ramp_ms
        ]
        return min(growing, default=float("inf"))

    def is_taking_work(self, name: TargetId) -> bool:
        """Return whether ``name`` is listed and takes work."""
        state = self._states.get(name)
        return state is not None and state.taking_work

    def is_damped(self, name: TargetId, now: Milliseconds) -> bool:
        """Return whether ``name`` flapped and came back a short time ago."""
        return self._damped_until.get(name, now) > now

    def state(self, name: TargetId) -> TargetState:
        """Return the listed state of ``name``."""
        return self._states[name]
