"""Decisions of a VM that knows no others, behind the same interfaces."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import final

import xxhash
from result import Err
from result import Ok
from result import Result

from yuccafold._ids import TargetId
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.router._call import Call
from yuccafold.router._interfaces import Placement
from yuccafold.router._interfaces import StoredAnswer
from yuccafold.settings import Target


@final
class LocalAdmission:
    """Rendezvous placement under a load bound over this VM's own counts."""

    def __init__(self) -> None:
        self._in_flight: dict[TargetId, int] = {}

    async def admit(
        self, call: Call, excluded: frozenset[TargetId]
    ) -> Result[Placement, Refusal]:
        """Return the first target of the call's order that is under the bound."""
        targets = [target for target in call.settings.targets if not target.draining]
        total = sum(self._in_flight.get(TargetId(t.id), 0) for t in targets)
        engines = max(1, len(targets))
        bound = math.ceil(call.policy.load_multiple * (total + 1) / engines)
        for target in _order(call, targets):
            target_id = TargetId(target.id)
            used = self._in_flight.get(target_id, 0)
            if target_id not in excluded and used < bound:
                self._in_flight[target_id] = used + 1
                return Ok(Placement(target, "first under the bound", engines))
        reason = f"no target of {call.service!r} takes work"
        return Err(Refusal(503, "no_target", reason, Verdict.NOT_RUN, 1_000))

    def finish(self, call: Call, placement: Placement) -> None:
        """Give the target's place back."""
        self._in_flight[TargetId(placement.target.id)] -= 1


def _order(call: Call, targets: list[Target]) -> list[Target]:
    name = call.id if call.turn is None else call.turn.chat

    def weight(target: Target) -> int:
        return xxhash.xxh3_64_intdigest(f"{name}/{target.id}".encode())

    return sorted(targets, key=weight, reverse=True)


@final
@dataclass(slots=True)
class _Run:
    """One run of a key: the body's digest, and the answer once it ended."""

    digest: bytes
    answer: StoredAnswer | None = None
    running: bool = True


@final
class LocalOnce:
    """Remembers keys in this VM alone."""

    def __init__(self) -> None:
        self._runs: dict[str, _Run] = {}

    async def claim(self, call: Call) -> Result[StoredAnswer | None, Refusal]:
        """Claim the key unless it ran or runs."""
        digest = hashlib.sha256(call.body or b"").digest()
        run = self._runs.setdefault(_scoped(call), _Run(digest))
        if run.digest != digest:
            reason = "expected the body that this Idempotency-Key came with before"
            return Err(Refusal(422, "key_reused", reason, Verdict.NOT_RUN))
        if run.answer is not None:
            return Ok(run.answer)
        if not run.running:
            reason = "the call ran, but its answer is no longer held"
            return Err(Refusal(409, "answer_gone", reason, Verdict.MAY_HAVE_RUN))
        run.running = False
        return Ok(None)

    def may_send(self, call: Call) -> bool:
        """Return whether the claim holds; in one VM it always does."""
        return _scoped(call) in self._runs

    def finish(self, call: Call, verdict: Verdict, answer: StoredAnswer | None) -> None:
        """Keep the answer, or free the key when the call did not run."""
        if verdict is Verdict.NOT_RUN:
            del self._runs[_scoped(call)]
        else:
            self._runs[_scoped(call)].answer = answer


def _scoped(call: Call) -> str:
    return f"{call.account}/{call.service}/{call.key}"


@final
class LocalGuard:
    """Lets every request pass."""

    async def check(self, call: Call) -> Refusal | None:
        """Return ``None``: nothing is quarantined."""
        return None

    async def target_died(self, call: Call, target: TargetId) -> bool:
        """Return whether the call may be tried again."""
        return call.idempotent

    def finish(self, call: Call, answered: bool) -> None:
        """Take note of the end of a call."""
