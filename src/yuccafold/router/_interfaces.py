"""Interfaces through which the forwarder uses admission, claims and quarantine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final

from result import Result

from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.http import Headers
from yuccafold.router._call import Call
from yuccafold.settings import Target


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a call, and why it was chosen."""

    target: Target
    reason: str
    target_count: int
    """How many targets the service has."""
    slot: int
    """The number of the slot that is held."""


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer of a target, stored to be replayed for repeated calls."""

    status: int
    headers: Headers
    body: bytes


class Admission(Protocol):
    """Chooses targets and keeps each within its load bound."""

    async def admit(
        self, call: Call, excluded: frozenset[TargetId]
    ) -> Result[Placement, Refusal]:
        """Return a target for the call, or the refusal."""
        ...

    def release(self, call: Call, placement: Placement) -> None:
        """Release the slot that ``admit`` acquired."""
        ...


class OnceGate(Protocol):
    """Prevents non-idempotent calls with the same key from running twice."""

    async def claim(self, call: Call) -> Result[StoredAnswer | None, Refusal]:
        """Return ``None`` if the call may run, or the answer of an earlier run."""
        ...

    def may_send(self, call: Call) -> Refusal | None:
        """Allow the call to be sent once, right now, or return the refusal."""
        ...

    def record_not_run(self, call: Call) -> None:
        """Allow another send, since the last attempt certainly did not run."""
        ...

    def finish(self, call: Call, verdict: Verdict, answer: StoredAnswer | None) -> None:
        """End the claim with the verdict of the call and its answer, if stored."""
        ...


class RequestGuard(Protocol):
    """Keeps requests that crash targets away from further targets."""

    async def enter(self, call: Call, target: Target) -> Refusal | None:
        """Return the refusal if the request may not be sent to ``target``."""
        ...

    def may_send(self, call: Call, target: Target) -> bool:
        """Return whether the first byte may be sent to ``target`` now."""
        ...

    def leave(self, call: Call, target: Target, answered: bool) -> None:
        """Record that the request left ``target``, and whether it was answered."""
        ...

    async def report_if_crashed(self, call: Call, target: Target) -> bool:
        """Return whether ``target`` crashed; if so, report it to the fleet."""
        ...
