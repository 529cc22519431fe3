"""What the forwarding of a call asks of the fleet's decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from typing import final

from result import Result

from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.router._call import Call
from yuccafold.router._http import Headers
from yuccafold.settings import Target


@final
@dataclass(frozen=True, slots=True)
class Placement:
    """A target that may take a call, and why it was chosen."""

    target: Target
    reason: str
    engines: int
    """How many targets take work in the service."""


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer of a target, kept for callers that repeat the call."""

    status: int
    headers: Headers
    body: bytes


class Admission(Protocol):
    """Chooses targets and keeps them under their load bound."""

    async def admit(
        self, call: Call, excluded: frozenset[TargetId]
    ) -> Result[Placement, Refusal]:
        """Return a target that takes the call, or why none does."""
        ...

    def finish(self, call: Call, placement: Placement) -> None:
        """Give back what ``admit`` took."""
        ...


class OnceGate(Protocol):
    """Keeps a non-idempotent call with a key from running twice."""

    async def claim(self, call: Call) -> Result[StoredAnswer | None, Refusal]:
        """Return ``None`` if the call may run now, or the answer of its run."""
        ...

    def may_send(self, call: Call) -> bool:
        """Return whether the claim still holds, right before the first byte."""
        ...

    def finish(self, call: Call, verdict: Verdict, answer: StoredAnswer | None) -> None:
        """Tell the fleet how the call ended."""
        ...


class RequestGuard(Protocol):
    """Keeps requests that kill targets from reaching more of them."""

    async def check(self, call: Call) -> Refusal | None:
        """Return why the request may not run, if so."""
        ...

    async def target_died(self, call: Call, target: TargetId) -> bool:
        """Record that a target died with the call; return whether to go on."""
        ...

    def finish(self, call: Call, answered: bool) -> None:
        """Record that the call ended, and whether a target answered it."""
        ...
