"""Targets that say in their answers that they are about to stop."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId


@final
@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """The start of a target that is about to stop, and when a VM was told so."""

    born_ms: int
    at: Milliseconds


@final
class LeavingTargets:
    """The targets that are known to stop, by their own answers."""

    def __init__(self) -> None:
        self._notices: dict[TargetId, LeavingNotice] = {}

    def record(self, target: TargetId, notice: LeavingNotice) -> bool:
        """Record a notice; return whether this start of the target had none."""
        known = self._notices.get(target)
        if known is not None and known.born_ms == notice.born_ms:
            return False
        self._notices[target] = notice
        return True

    def age(
        self, target: TargetId, born_ms: int, now: Milliseconds
    ) -> Milliseconds | None:
        """Return how long a start of a target is known to leave, ``None`` if not."""
        notice = self._notices.get(target)
        if notice is None or notice.born_ms != born_ms:
            return None
        return Milliseconds(now - notice.at)

    def forget(self, target: TargetId) -> None:
        """Drop the notice of a target that restarted or is gone."""
        self._notices.pop(target, None)
