"""What the forwarding of a call asks of the fleet's decisions."""

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
    """A target that may take a call, and why it was chosen."""

    target: Target
    reason: str
    engines: int
    """How many targets the service has."""
    slot: int
    """The number of the slot that is held."""


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

    def may_send(self, call: Call) -> Refusal | None:
        """Return why the first byte may not be written right now, if so."""
        ...

    def not_sent(self, call: Call) -> None:
        """Note that the last send certainly did not run, before another one."""
        ...

    def finish(self, call: Call, verdict: Verdict, answer: StoredAnswer | None) -> None:
        """Tell the fleet how the call ended."""
        ...


class RequestGuard(Protocol):
    """Keeps requests that kill targets from reaching more of them."""

    async def enter(self, call: Call, target: Target) -> Refusal | None:
        """Return why the request may not go to ``target``, if so."""
        ...

    def may_send(self, call: Call, target: Target) -> bool:
        """Return whether the first byte may be written to ``target`` now."""
        ...

    def leave(self, call: Call, target: Target, answered: bool) -> None:
        """Record that the request left ``target``, perhaps with its answer."""
        ...

    async def connection_lost(self, call: Call, target: Target) -> bool:
        """Return whether ``target`` died; if so, the fleet knows of it."""
        ...
