"""A caller of plain services, which makes non-idempotent calls and lookups."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import final

import trio

from yuccafold.load._caller import Attempts
from yuccafold.load._caller import CallerSettings
from yuccafold.load._caller import record_failure
from yuccafold.load._caller import record_headers
from yuccafold.load._caller import refused_outcome
from yuccafold.load._caller import retry_after_ms
from yuccafold.load._client import Answer
from yuccafold.load._client import BrokenCallError
from yuccafold.load._client import CallRequest
from yuccafold.load._client import HttpCaller
from yuccafold.load._report import US_PER_SECOND
from yuccafold.load._report import CallRecord
from yuccafold.load._report import LoadReport
from yuccafold.load._report import Outcome
from yuccafold.standins import body_digest

IDEMPOTENCY_HEADER = "Idempotency-Key"


@final
@dataclass(frozen=True, slots=True)
class PlainCallerSettings:
    """Where one caller of a plain service sends its calls."""

    caller: CallerSettings
    path: str = "/reservations"


@final
@dataclass(frozen=True, slots=True)
class _AttemptResult:
    """The result of one attempt."""

    outcome: Outcome
    retry_after_ms: int = 0


@final
class PlainCaller:
    """Makes calls and checks that each answer echoes the request.

    A failed non-idempotent call is retried with the same idempotency key
    through the next address.
    """

    def __init__(
        self,
        name: str,
        settings: PlainCallerSettings,
        rng: random.Random,
        report: LoadReport,
    ) -> None:
        self._name = name
        self._settings = settings
        self._rng = rng
        self._report = report
        self._http = HttpCaller()
        self._calls = 0

    async def call(self) -> CallRecord:
        """Make one non-idempotent call; return its key and outcome."""
        self._calls += 1
        key = f"{self._name}-{self._calls}-{self._rng.getrandbits(64):016x}"
        body = json.dumps({"item": key, "note": self._rng.getrandbits(64)}).encode()
        headers = ((IDEMPOTENCY_HEADER, key), *self._settings.caller.headers)
        request = CallRequest("POST", self._settings.path, headers, body)
        record = CallRecord(key, await self._send_until_answered(request, key))
        self._report.calls.append(record)
        return record

    async def look_up(self) -> Outcome:
        """Make one idempotent lookup; return its outcome."""
        self._calls += 1
        headers = self._settings.caller.headers
        target = f"{self._settings.path}?number={self._calls}"
        outcome = await self._send_until_answered(
            CallRequest("GET", target, headers), ""
        )
        self._report.lookups[outcome] += 1
        return outcome

    async def close(self) -> None:
        """Close the caller's connections."""
        await self._http.close()

    async def _send_until_answered(self, request: CallRequest, key: str) -> Outcome:
        """Send ``request`` until it is answered or no attempt is left.

        Return the outcome of the last attempt. If any attempt may have run, the
        call counts as broken even when the last attempt was refused as not run.
        """
        attempts = Attempts(self._settings.caller, self._rng)
        may_have_run = False
        while True:
            result = await self._attempt(attempts.next_address(), request, key)
            may_have_run = may_have_run or result.outcome is Outcome.BROKEN
            if result.outcome in (Outcome.WHOLE, Outcome.WRONG):
                return result.outcome
            if attempts.is_last:
                return Outcome.BROKEN if may_have_run else result.outcome
            await attempts.wait(result.retry_after_ms)

    async def _attempt(
        self, address: str, request: CallRequest, key: str
    ) -> _AttemptResult:
        self._report.attempts += 1
        caller = self._settings.caller
        sent_at = trio.current_time()
        try:
            with trio.fail_after(caller.timeout_ms / 1000):
                async with self._http.call(address, request, caller.host) as answer:
                    return await self._read(answer, request, key, sent_at)
        except (BrokenCallError, trio.TooSlowError) as error:
            return _AttemptResult(record_failure(error, self._report))

    async def _read(
        self, answer: Answer, request: CallRequest, key: str, sent_at: float
    ) -> _AttemptResult:
        record_headers(answer, self._report)
        body = await answer.read()
        if answer.status != 200:
            self._report.errors[f"status {answer.status}"] += 1
            return _AttemptResult(refused_outcome(answer), retry_after_ms(answer))
        microseconds = round((trio.current_time() - sent_at) * US_PER_SECOND)
        self._report.call_us.record_value(max(1, microseconds))
        echoes = _echoes_request(body, request, key)
        return _AttemptResult(Outcome.WHOLE if echoes else Outcome.WRONG)


def _echoes_request(body: bytes, request: CallRequest, key: str) -> bool:
    """Return whether ``body`` echoes the method, path, key and body of ``request``."""
    try:
        value = json.loads(body)
        path = request.target.partition("?")[0]
        expected = (request.method, key, body_digest(request.body))
        echoed = (value["method"], value["idempotency_key"], value["digest"])
        return echoed == expected and path.endswith(value["path"])
    except (ValueError, KeyError, TypeError):
        return False
