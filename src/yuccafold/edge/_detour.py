"""Sends a call through another VM while this VM is cut off from the call's targets.

The other VM handles it like a call of its own callers, with its own checks, limits and
retries, except that it never sends the call on to a third VM.
"""

from __future__ import annotations

from typing import final

import trio

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold._log import log_event
from yuccafold._verdict import Verdict
from yuccafold.edge._attempts import Failure
from yuccafold.edge._call import Call
from yuccafold.edge._call import RunRecord
from yuccafold.edge._exchange import AttemptFailedError
from yuccafold.edge._exchange import Exchange
from yuccafold.edge._helpers import HelperTable
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._model import TargetState
from yuccafold.edge._platform_source import CallTranslator
from yuccafold.edge._relay import AnswerRelay
from yuccafold.http import ConnectionPool

MAX_HELPERS = 3
"""Other VMs that one call is sent to, one after the other, if they refuse it."""


@final
class Detour:
    """Serves calls through VMs that reach the targets."""

    def __init__(
        self,
        clock: Clock,
        helpers: HelperTable,
        pool: ConnectionPool,
        translator: CallTranslator,
        metrics: EdgeMetrics,
    ) -> None:
        self._clock = clock
        self._helpers = helpers
        self._pool = pool
        self._translator = translator
        self._metrics = metrics

    async def serve(
        self, call: Call, relay: AnswerRelay, record: RunRecord
    ) -> Failure | None:
        """Serve a call through another VM; return why none did, ``None`` if one did."""
        tried: set[str] = set()
        failure = Failure.UNREACHABLE
        while len(tried) < MAX_HELPERS and _may_send(call, relay, record):
            address = self._helpers.choose(call.service, tried, self._clock.now())
            if address is None:
                break
            tried.add(address)
            try:
                await self._run_attempt(call, address, relay, record)
            except AttemptFailedError as error:
                failure = error.failure
                record.end_attempt()
                self._helpers.record_failure(address)
                self._count(call.service, failure.value)
                log_event(
                    "detour_failed",
                    call=call.head.id,
                    vm=address,
                    failure=failure.value,
                    detail=str(error),
                    verdict=record.verdict.value,
                )
                if failure.sent and failure is not Failure.REFUSED:
                    break
            else:
                self._count(call.service, "served")
                return None
        return failure

    def _count(self, service: ServiceId, outcome: str) -> None:
        self._metrics.count("detours", service=service, outcome=outcome)

    async def _run_attempt(
        self, call: Call, address: str, relay: AnswerRelay, record: RunRecord
    ) -> None:
        exchange = Exchange(
            call,
            _as_target(address, call.service),
            self._pool,
            self._translator,
            record,
            self._clock,
            names_calls=False,
        )
        try:
            await exchange.open(self._max_idle_time(call))
            left = Milliseconds(call.deadline - self._clock.now())
            log_event(
                "call_detoured",
                call=call.head.id,
                service=call.service,
                vm=address,
                connection=exchange.connection,
                resume_after=relay.resume_after,
                left_ms=left,
            )
            headers = self._translator.detour_headers(
                call.headers, call.head, left, relay.resume_after
            )
            await exchange.send(headers)
            head, facts = await exchange.receive_head()
            await exchange.check_answer(head, facts)
            await relay.relay_answer(exchange, head)
        finally:
            with trio.CancelScope(shield=True):
                await exchange.close()

    def _max_idle_time(self, call: Call) -> Milliseconds | None:
        """Return ``None`` for calls that may be sent again if a connection is stale."""
        is_once = call.repeatability is Repeatability.ONCE
        return Milliseconds(MS_PER_SECOND) if is_once else None


def _may_send(call: Call, relay: AnswerRelay, record: RunRecord) -> bool:
    """Return whether a call may be sent, after what happened to it so far."""
    if relay.started and relay.resume_after is None:
        return False
    return (
        call.repeatability is not Repeatability.ONCE
        or record.verdict is Verdict.NOT_RUN
    )


def _as_target(address: str, service: ServiceId) -> TargetRecord:
    """Return the record of a VM that serves a call in place of a target."""
    return TargetRecord(
        TargetId(address), service, address, ZoneId(""), 0, TargetState.READY
    )
