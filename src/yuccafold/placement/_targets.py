"""Which targets take work, counted so that no other VM counts more."""

from __future__ import annotations

from collections.abc import Mapping
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.placement._view import LedgerSettings
from yuccafold.placement._view import TargetState


@final
class TakingTargets:
    """The divisor of the load bound, and the targets that are open.

    A target is counted as soon as it is seen to take work and for twice the
    list's lag after it stopped. It is open only once it has been counted for
    the list's lag, so that by then every other VM counts it as well.
    """

    def __init__(self, settings: LedgerSettings) -> None:
        self._lag = settings.list_lag_ms
        self._since: dict[TargetId, int] = {}
        self._closed: dict[ServiceId, dict[TargetId, int]] = {}
        self._open: dict[ServiceId, set[TargetId]] = {}

    def view_changed(
        self,
        targets: Mapping[ServiceId, tuple[TargetState, ...]],
        now: Milliseconds,
    ) -> None:
        """Adopt the targets listed for each service."""
        for service in {*self._open, *targets}:
            taking = {
                state.id for state in targets.get(service, ()) if state.taking_work
            }
            closed = self._closed.setdefault(service, {})
            before = self._open.get(service, set())
            closed.update(dict.fromkeys(before - taking, now))
            for target in taking - before:
                self._reopen(target, closed.pop(target, None), now)
            self._open[service] = taking

    def _reopen(
        self, target: TargetId, closed_at: int | None, now: Milliseconds
    ) -> None:
        if closed_at is None or now - closed_at >= self._lag:
            self._since[target] = now

    def void(self, now: Milliseconds) -> None:
        """Wait anew with every target after a pause."""
        self._since = dict.fromkeys(self._since, now)

    def count(self, service: ServiceId, now: Milliseconds) -> int:
        """Return how many targets of ``service`` may take work anywhere."""
        closed = self._closed.get(service, {})
        lingering = sum(now - at < 2 * self._lag for at in closed.values())
        return len(self._open.get(service, ())) + lingering

    def is_open(self, target: TargetId, now: Milliseconds) -> bool:
        """Return whether ``target`` takes work and every VM counts it."""
        taking = any(target in names for names in self._open.values())
        return taking and now - self._since[target] >= self._lag
