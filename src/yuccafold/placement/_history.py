"""Ramp-up of joining targets and damping of flapping ones, per service."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold.placement._view import RankerSettings
from yuccafold.placement._view import TargetState

MIN_STOPS_PER_FLAP = 2
"""A target that stopped this often within the window is flapping."""


@final
class TargetHistory:
    """Tracks when targets joined, stopped and came back.

    Targets of the first update get their full weight immediately.
    """

    def __init__(self, settings: RankerSettings) -> None:
        self._settings = settings
        self._joined: dict[TargetId, int] = {}
        self._states: dict[TargetId, TargetState] = {}
        self._damped_until: dict[TargetId, int] = {}
        self._stops: dict[TargetId, list[int]] = {}

    def update(self, states: Sequence[TargetState], now: Milliseconds) -> None:
        """Replace the list of targets."""
        ramped_since = now - self._settings.ramp_ms
        for state in states:
            known = self._states.get(state.id)
            if known is None:
                self._joined[state.id] = now if self._states else ramped_since
            elif known.accepts_work and not state.accepts_work:
                self._stops.setdefault(state.id, []).append(now)
            elif state.accepts_work and not known.accepts_work:
                self._on_return(state.id, now)
        if states and not self._states:
            self._joined = dict.fromkeys((state.id for state in states), ramped_since)
        self._states = {state.id: state for state in states}
        for name in set(self._joined) - set(self._states):
            del self._joined[name]
            self._damped_until.pop(name, None)
            self._stops.pop(name, None)

    def _on_return(self, name: TargetId, now: Milliseconds) -> None:
        # A single stop isn't flapping: damping a large share of a service's
        # targets after they return would move the chats of all other targets.
        since = now - self._settings.flap_window_ms
        stops = [
            stopped_at
            for stopped_at in self._stops.get(name, ())
            if stopped_at >= since
        ]
        self._stops[name] = stops
        if len(stops) >= MIN_STOPS_PER_FLAP:
            self._damped_until[name] = now + self._settings.flap_damping_ms

    def weights(self, now: Milliseconds) -> dict[TargetId, float]:
        """Return each listed target's weight, which ramps up after it joins."""
        return {
            state.id: state.capacity * self._ramp(state.id, now)
            for state in self._states.values()
        }

    def _ramp(self, name: TargetId, now: Milliseconds) -> float:
        steps = self._settings.ramp_steps
        passed = (now - self._joined[name]) * steps // self._settings.ramp_ms
        return min(steps, passed + 1) / steps

    def next_step(self, now: Milliseconds) -> float:
        """Return when a weight grows next, or infinity if all are at full weight."""
        step = self._settings.ramp_ms / self._settings.ramp_steps
        growing = [
            joined + ((now - joined) // step + 1) * step
            for joined in self._joined.values()
            if now - joined < self._settings.ramp_ms
        ]
        return min(growing, default=float("inf"))

    def accepts_work(self, name: TargetId) -> bool:
        """Return whether ``name`` is listed and accepts work."""
        state = self._states.get(name)
        return state is not None and state.accepts_work

    def is_damped(self, name: TargetId, now: Milliseconds) -> bool:
        """Return whether ``name`` flapped and is still damped after its return."""
        return self._damped_until.get(name, now) > now

    def state(self, name: TargetId) -> TargetState:
        """Return the listed state of ``name``."""
        return self._states[name]
