"""Targets that accept work, and the target count of the load bound."""

from __future__ import annotations

from collections.abc import Mapping
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.placement._view import LedgerSettings
from yuccafold.placement._view import TargetState


@final
class OpenTargets:
    """The divisor of the load bound, and the targets that are open.

    A target is counted from when it is first seen to accept work until twice the
    list's lag after it stopped. It is open only after it has been counted for the
    list's lag, because every other VM counts it as well by then. So no other VM
    counts more targets than this one.
    """

    def __init__(self, settings: LedgerSettings) -> None:
        self._lag_ms = settings.list_lag_ms
        self._counted_since: dict[TargetId, int] = {}
        self._closed_at: dict[ServiceId, dict[TargetId, int]] = {}
        self._accepting: dict[ServiceId, set[TargetId]] = {}

    def view_changed(
        self,
        targets: Mapping[ServiceId, tuple[TargetState, ...]],
        now: Milliseconds,
    ) -> None:
        """Replace the targets listed for each service."""
        for service in {*self._accepting, *targets}:
            accepting = {
                state.id for state in targets.get(service, ()) if state.accepts_work
            }
            closed = self._closed_at.setdefault(service, {})
            before = self._accepting.get(service, set())
            closed.update(dict.fromkeys(before - accepting, now))
            for target in accepting - before:
                self._reopen(target, closed.pop(target, None), now)
            self._accepting[service] = accepting

    def _reopen(
        self, target: TargetId, closed_at: int | None, now: Milliseconds
    ) -> None:
        if closed_at is None or now - closed_at >= self._lag_ms:
            self._counted_since[target] = now

    def reset(self, now: Milliseconds) -> None:
        """Restart the wait of every target after a pause."""
        self._counted_since = dict.fromkeys(self._counted_since, now)

    def count(self, service: ServiceId, now: Milliseconds) -> int:
        """Return how many targets of ``service`` any VM may consider open."""
        closed = self._closed_at.get(service, {})
        lingering = sum(
            now - closed_at < 2 * self._lag_ms for closed_at in closed.values()
        )
        return len(self._accepting.get(service, ())) + lingering

    def is_open(self, target: TargetId, now: Milliseconds) -> bool:
        """Return whether ``target`` accepts work and every VM counts it."""
        accepting = any(target in names for names in self._accepting.values())
        return accepting and now - self._counted_since[target] >= self._lag_ms
