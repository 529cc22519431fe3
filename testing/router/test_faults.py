"""Tests of calls through a router whose targets fail, over real sockets."""

from __future__ import annotations

import hashlib
import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
import trio
import yaml

from router.fakes import caller
from router.fakes import process
from support.loopback import on_trio
from yuccafold.load import CallerSettings
from yuccafold.load import ChatCaller
from yuccafold.load import ChatSettings
from yuccafold.load import LoadReport
from yuccafold.load import Outcome
from yuccafold.router import Router
from yuccafold.standins import NO_FAULTS
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import Faults
from yuccafold.standins import GenerationSettings
from yuccafold.standins import Malformed
from yuccafold.standins import ModelEngine
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import Relay
from yuccafold.standins import ServerSettings
from yuccafold.standins import body_digest

KEY = "secret"
BODY = b'{"item": 3}'
TOKENS = 3
SHORT_TIMEOUT_MS = 400


@dataclass
class Answer:
    """The answer that a caller received."""

    status: int
    verdict: str
    body: bytes
    whole: bool

    @property
    def matches_request(self):
        if not self.whole or self.status != 200:
            return False
        return json.loads(self.body)["digest"] == body_digest(BODY)


class Fleet:
    """A router in front of plain targets and engines."""

    def __init__(self, plains, engines):
        self.plains = plains
        self.engines = engines
        self.relays = []
        self.address = ""

    @property
    def plain(self):
        return self.plains[0]

    @property
    def runs(self):
        return sum(len(plain.runs) for plain in self.plains)

    def set_faults(self, targets, faults):
        for target in targets:
            target.server.set_faults(faults)

    async def call(self, method="POST", *headers):
        async with caller(self.address) as client:
            body = BODY if method == "POST" else b""
            status, got, body, whole = await client.call(
                method, "/desk/items", body, headers
            )
            return Answer(status, got.get("yuccafold-verdict", ""), body, whole)

    async def turn(self, *, stream=True, tokens=TOKENS):
        report = LoadReport()
        settings = ChatSettings(
            CallerSettings((self.address,), KEY, attempts=1),
            stream=stream,
            max_tokens=tokens,
        )
        chat = ChatCaller("chat", settings, random.Random(1), report)
        outcome = await chat.turn()
        await chat.close()
        return outcome, report


@asynccontextmanager
async def fleet(*, attempts=1, resume=False, expect=True, targets=1, **policy):
    """Run a router in front of targets that fail only once faults are set."""
    generation = GenerationSettings(
        cost=CostModel(time_scale=0), resume_ms=1_000, resume_anywhere=resume
    )
    server = ServerSettings(expect_continue=expect)
    running = Fleet(
        [PlainService(PlainSettings(server)) for _ in range(targets)],
        [ModelEngine(EngineSettings(generation=generation)) for _ in range(targets)],
    )
    async with trio.open_nursery() as nursery:
        for target in (*running.plains, *running.engines):
            await nursery.start(target.serve)
        for plain in running.plains:
            running.relays.append(Relay(plain.server.address))
            await nursery.start(running.relays[-1].serve)
        traits = {"resume": resume, "expect_continue": expect}
        router = Router(
            process(), settings_tree(running, traits, attempts, policy), seed=1
        )
        running.address = (await nursery.start(router.serve)).callers
        await router.state.became_ready.wait()
        while router.control.plane.once.is_recovering(router.clock.now()):
            await trio.sleep(0.01)
        yield running
        router.kill()
        nursery.cancel_scope.cancel()


def settings_tree(running, traits, attempts, policy):
    def service(kind, path, addresses):
        targets = [
            {"id": f"{kind}-{number}", "address": address, "zone": "a"}
            for number, address in enumerate(addresses)
        ]
        return {
            "kind": kind,
            "paths": [path],
            "targets": targets,
            "traits": dict(traits),
        }

    timeouts = ("first_byte_timeout_ms", "continue_timeout_ms", "stream_gap_timeout_ms")
    value = {
        "revision": 1,
        "defaults": {
            **dict.fromkeys(timeouts, SHORT_TIMEOUT_MS),
            "max_attempts": attempts,
            "retry_backoff_ms": 1,
            **policy,
        },
        "services": {
            "desk": service(
                "plain", "/desk", [relay.address for relay in running.relays]
            ),
            "chat": service(
                "model", "/v1", [engine.server.address for engine in running.engines]
            ),
        },
        "accounts": {"acme": {"keys": [hashlib.sha256(KEY.encode()).hexdigest()]}},
    }
    return yaml.safe_dump(value)


def assert_consistent(answer, runs):
    """Check what must hold for a non-idempotent call under any fault."""
    assert runs <= 1, runs
    if answer.verdict == "not-run":
        assert runs == 0
        assert answer.status != 200
    if answer.whole and answer.status == 200:
        assert answer.matches_request
        assert runs == 1
    elif answer.whole and answer.verdict != "complete":
        assert answer.verdict in ("not-run", "may-have-run")
        assert json.loads(answer.body)["error"]["verdict"] == answer.verdict


async def call_with_faults(running, faults, *headers):
    """Make one call while targets have ``faults``; return its answer and runs."""
    before = running.runs
    running.set_faults(running.plains, faults)
    answer = await running.call("POST", *headers)
    running.set_faults(running.plains, NO_FAULTS)
    return answer, running.runs - before


@pytest.mark.parametrize("expect", [True, False], ids=["continue", "no-continue"])
@on_trio
async def test_target_that_closes_at_any_request_byte_gives_a_correct_verdict(expect):
    async with fleet(expect=expect) as running:
        verdicts = []
        for end in range(400):
            faults = Faults(close_at_request_byte=end, exchanges=1)
            answer, runs = await call_with_faults(running, faults)
            assert_consistent(answer, runs)
            verdicts.append(answer.verdict)
            if answer.matches_request:
                break
        assert answer.matches_request
        body_starts = len(verdicts) - 1 - len(BODY)
        expected = {"not-run"} if expect else {"may-have-run"}
        assert set(verdicts[:body_starts]) == expected
        assert set(verdicts[body_starts + 1 : -1]) == {"may-have-run"}


@pytest.mark.parametrize("expect", [True, False], ids=["continue", "no-continue"])
@on_trio
async def test_target_that_closes_at_any_response_byte_is_never_not_run(expect):
    async with fleet(expect=expect) as running:
        for end in range(600):
            faults = Faults(close_at_response_byte=end, exchanges=1)
            answer, runs = await call_with_faults(running, faults)
            assert_consistent(answer, runs)
            if answer.matches_request:
                break
            if runs:
                assert answer.verdict != "not-run"
                assert not (answer.whole and answer.status == 200)
        assert answer.matches_request


@on_trio
async def test_keyed_call_runs_once_whatever_byte_its_reply_is_lost_at():
    async with fleet(attempts=3, targets=2) as running:
        for end in range(0, 400, 7):
            key = f"k{end}"
            faults = Faults(close_at_response_byte=end, exchanges=1)
            for _ in range(3):
                await call_with_faults(running, faults, ("Idempotency-Key", key))
            assert sum(plain.runs_by_key[key] for plain in running.plains) <= 1


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(Faults(close_at_response_byte=0), id="closed"),
        pytest.param(Faults(silent_at_response_byte=0), id="silent"),
        pytest.param(Faults(malformed=Malformed.HEADER), id="malformed"),
        pytest.param(Faults(truncated=True), id="truncated"),
    ],
)
@pytest.mark.parametrize("headers", [(), (("Idempotency-Key", "k"),)], ids=["", "key"])
@on_trio
async def test_non_idempotent_call_is_never_sent_twice(faults, headers):
    async with fleet(attempts=3, targets=2, expect=False) as running:
        answer, runs = await call_with_faults(running, faults, *headers)
        assert_consistent(answer, runs)
        assert runs == 1


@on_trio
async def test_lookup_is_answered_by_another_target():
    async with fleet(attempts=2, targets=2) as running:
        for end in (0, 10, 40):
            for target in running.plains:
                target.server.set_faults(NO_FAULTS)
            running.plain.server.set_faults(Faults(close_at_response_byte=end))
            answers = [await running.call("GET") for _ in range(3)]
            assert [(answer.status, answer.whole) for answer in answers] == [
                (200, True)
            ] * 3
        assert running.plain.runs


@on_trio
async def test_stream_that_closes_at_any_byte_is_never_taken_for_whole():
    async with fleet() as running:
        for end in range(1, 2_000):
            faults = Faults(close_at_response_byte=end, exchanges=1)
            running.set_faults(running.engines, faults)
            outcome, _ = await running.turn(tokens=1)
            running.set_faults(running.engines, NO_FAULTS)
            if outcome is Outcome.WHOLE:
                break
            assert outcome is Outcome.BROKEN, (end, outcome)
        assert outcome is Outcome.WHOLE


@on_trio
async def test_stream_that_ends_without_its_last_event_is_not_taken_for_whole():
    async with fleet() as running:
        for events in range(TOKENS + 1):
            faults = Faults(end_stream_after_events=events, exchanges=1)
            running.set_faults(running.engines, faults)
            outcome, _ = await running.turn()
            assert outcome is Outcome.BROKEN, (events, outcome)


@on_trio
async def test_stream_is_resumed_by_another_engine_wherever_it_closed():
    async with fleet(attempts=2, targets=2, resume=True) as running:
        for end in range(200, 900, 83):
            faults = Faults(close_at_response_byte=end, exchanges=1)
            running.set_faults(running.engines[:1], faults)
            outcome, report = await running.turn()
            assert outcome is Outcome.WHOLE, (end, outcome, report.errors)
        assert running.engines[0].runs


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "whole"])
@on_trio
async def test_stream_that_goes_silent_breaks_with_an_explicit_error(stream):
    async with fleet() as running:
        for end in (0, 60, 400):
            faults = Faults(silent_at_response_byte=end, exchanges=1)
            running.set_faults(running.engines, faults)
            outcome, _ = await running.turn(stream=stream)
            assert outcome is Outcome.BROKEN, (end, outcome)


@on_trio
async def test_target_silent_before_the_body_was_sent_did_not_run_the_call():
    async with fleet() as running:
        faults = Faults(silent_at_response_byte=0, exchanges=1)
        answer, runs = await call_with_faults(running, faults)
        assert (answer.verdict, runs) == ("not-run", 0)


@on_trio
async def test_target_silent_after_the_body_may_have_run_the_call():
    async with fleet() as running:
        answer, runs = await call_with_faults(running, Faults(silent=True, exchanges=1))
        assert (answer.verdict, runs) == ("may-have-run", 0)


@on_trio
async def test_early_answer_reaches_only_its_own_caller():
    async with fleet() as running:
        answer, runs = await call_with_faults(
            running, Faults(early_status=503, exchanges=1)
        )
        assert (answer.status, answer.verdict, runs) == (503, "complete", 0)
        assert json.loads(answer.body)["error"]["code"] == "early"
        assert (await running.call()).matches_request


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(Faults(answer_twice=True), id="twice"),
        pytest.param(Faults(overlong=True), id="overlong"),
    ],
)
@on_trio
async def test_bytes_after_an_answer_never_reach_another_caller(faults):
    async with fleet() as running:
        for _ in range(20):
            answer, runs = await call_with_faults(running, faults)
            assert_consistent(answer, runs)
            assert answer.matches_request
        assert (await running.call()).matches_request


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(Faults(truncated=True, exchanges=1), id="truncated"),
        *(
            pytest.param(Faults(malformed=form, exchanges=1), id=form.value)
            for form in Malformed
        ),
    ],
)
@on_trio
async def test_answer_that_is_not_well_formed_is_an_error(faults):
    async with fleet(expect=False) as running:
        answer, runs = await call_with_faults(running, faults)
        assert_consistent(answer, runs)
        assert not answer.matches_request
        assert answer.verdict != "not-run"
        assert (await running.call()).matches_request


@on_trio
async def test_call_after_a_lost_idle_connection_runs_once():
    async with fleet(attempts=3, targets=2) as running:
        for _ in range(10):
            assert (await running.call()).matches_request
            assert (await running.call()).matches_request
            before = running.runs
            running.relays[0].silence()
            answer = await running.call()
            assert answer.matches_request
            assert running.runs == before + 1
        assert all(plain.runs for plain in running.plains)


@on_trio
async def test_crashed_target_is_reported_and_used_again_once_it_is_back():
    async with fleet() as running, trio.open_nursery() as nursery:
        answer, runs = await call_with_faults(running, Faults(crash_marker=b"item"))
        assert_consistent(answer, runs)
        assert answer.verdict == "may-have-run"
        answer, runs = await call_with_faults(running, NO_FAULTS)
        assert (answer.verdict, runs) == ("not-run", 0)
        await nursery.start(running.plain.serve)
        assert (await running.call()).matches_request
        nursery.cancel_scope.cancel()


@on_trio
async def test_lookup_that_ran_is_not_refused_as_not_run():
    async with fleet(attempts=2, targets=1) as running:
        running.plain.server.set_faults(Faults(close_at_response_byte=0, exchanges=1))
        answer = await running.call("GET")
        assert running.runs
        assert answer.verdict != "not-run"


@on_trio
async def test_keyed_call_whose_targets_all_refuse_connections_can_be_made_again():
    async with fleet(attempts=2, targets=2) as running:
        key = ("Idempotency-Key", "k")
        for relay in running.relays:
            relay.cut()
        refused = await running.call("POST", key)
        assert refused.verdict == "not-run"
        for relay in running.relays:
            relay.restore()
        answers = [await running.call("POST", key) for _ in range(20)]
        assert answers[-1].status == 200
        assert running.runs == 1


@on_trio
async def test_keyed_call_that_runs_out_of_time_unsent_frees_its_key():
    async with fleet(attempts=1) as running:
        running.plain.server.set_faults(Faults(silent_at_response_byte=0))
        key = ("Idempotency-Key", "k")
        late = await running.call("POST", key, ("Yuccafold-Timeout-Ms", "20"))
        assert (late.status, late.verdict) == (504, "not-run")
        running.plain.server.set_faults(NO_FAULTS)
        again = await running.call("POST", key)
        assert again.status == 200
        assert running.runs == 1


@pytest.mark.parametrize("headers", [(), (("Idempotency-Key", "k"),)], ids=["", "key"])
@on_trio
async def test_call_whose_deadline_passes_after_it_was_sent_may_have_run(headers):
    async with fleet(attempts=1, expect=False) as running:
        running.plain.server.set_faults(Faults(silent_at_response_byte=0))
        timeout = ("Yuccafold-Timeout-Ms", "50")
        late = await running.call("POST", timeout, *headers)
        assert (late.status, late.verdict) == (504, "may-have-run")
        assert running.runs == 1


@pytest.mark.parametrize("method", ["GET", "POST"])
@on_trio
async def test_idle_connection_that_went_silent_does_not_delay_a_call(method):
    policy = {"first_byte_timeout_ms": 60_000, "doubt_after_idle_ms": 1}
    async with fleet(attempts=3, **policy) as running:
        assert (await running.call(method)).status == 200
        running.relays[0].silence()
        await trio.sleep(0.01)  # The connection has to be idle for longer than 1 ms.
        answer = await running.call(method, ("Yuccafold-Timeout-Ms", "5000"))
        assert answer.status == 200
