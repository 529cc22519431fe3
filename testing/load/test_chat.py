from __future__ import annotations

import json
import random

import pytest
import trio
import trio.testing

from support.loopback import on_trio
from support.loopback import serving
from yuccafold.load import CallerSettings
from yuccafold.load import ChatCaller
from yuccafold.load import ChatSettings
from yuccafold.load import LoadReport
from yuccafold.load import LoadSettings
from yuccafold.load import Outcome
from yuccafold.load import run_load
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import Faults
from yuccafold.standins import GenerationSettings
from yuccafold.standins import HttpServer
from yuccafold.standins import ModelEngine
from yuccafold.standins import ServerSettings


def engine():
    generation = GenerationSettings(cost=CostModel(time_scale=0))
    return ModelEngine(EngineSettings(generation=generation))


def chat_of(address, report, *, stream=True, attempts=1):
    caller = CallerSettings((address,), key="k", attempts=attempts, backoff_ms=1)
    settings = ChatSettings(caller, stream=stream)
    return ChatCaller("chat-1", settings, random.Random(1), report)


class FixedAnswer:
    """A server that sends the same answer to every request."""

    def __init__(self, status=200, body=b"", headers=()):
        self.requests = []
        self._answer = (status, body, headers)
        self.server = HttpServer(ServerSettings(), self._handle)
        self.serve = self.server.serve

    async def _handle(self, exchange):
        self.requests.append(exchange.request)
        await exchange.respond(*self._answer)


def event(content, finish_reason=None):
    delta = {"content": content} if content else {}
    choice = {"delta": delta, "finish_reason": finish_reason}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "whole"])
@on_trio
async def test_chat_grows_and_reuses_the_cache(stream):
    target, report = engine(), LoadReport()
    async with serving(target):
        chat = chat_of(target.server.address, report, stream=stream)
        outcomes = [await chat.turn() for _ in range(3)]
        await chat.close()
    assert outcomes == [Outcome.WHOLE] * 3
    roles = [message.role for message in chat.messages]
    assert roles == ["system", *["user", "assistant"] * 3]
    assert report.cache_reuse > 0.5
    assert report.first_token_us.get_total_count() == 3
    assert report.all_whole


@pytest.mark.parametrize(
    ("body", "outcome"),
    [
        pytest.param(event("x") + event("", "stop") + DONE, Outcome.WRONG, id="wrong"),
        pytest.param(event("x"), Outcome.CUT, id="no-end"),
        pytest.param(event("x") + event("", "stop"), Outcome.CUT, id="no-done"),
        pytest.param(event("x") + DONE, Outcome.CUT, id="no-finish-reason"),
        pytest.param(
            event("x") + b'event: error\ndata: {"error": {"code": "cut"}}\n\n',
            Outcome.BROKEN,
            id="error-event",
        ),
        pytest.param(b"data: nonsense\n\n", Outcome.WRONG, id="no-json"),
    ],
)
@on_trio
async def test_wrong_or_incomplete_answer_is_detected(body, outcome):
    target, report = FixedAnswer(body=body), LoadReport()
    async with serving(target):
        chat = chat_of(target.server.address, report)
        assert await chat.turn() is outcome
    assert report.turns == {outcome: 1}
    assert len(chat.messages) == 1
    assert not report.all_whole


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(Faults(truncated=True, exchanges=1), id="truncated"),
        pytest.param(Faults(close_at_response_byte=300, exchanges=1), id="closed"),
        pytest.param(Faults(close_at_request_byte=50, exchanges=1), id="not-read"),
    ],
)
@on_trio
async def test_broken_turn_is_retried(faults):
    target, report = engine(), LoadReport()
    async with serving(target):
        target.server.set_faults(faults)
        chat = chat_of(target.server.address, report, attempts=2)
        assert await chat.turn() is Outcome.WHOLE
        await chat.close()
    assert report.attempts == 2
    assert sum(report.errors.values()) == 1


@on_trio
async def test_refusal_counts_as_not_run_only_with_that_verdict():
    headers = (("Yuccafold-Verdict", "not-run"), ("Yuccafold-Revision", "7"))
    stated, unstated = FixedAnswer(503, b"{}", headers), FixedAnswer(503, b"{}")
    report = LoadReport()
    async with serving(stated, unstated):
        outcomes = [
            await chat_of(target.server.address, report).turn()
            for target in (stated, unstated)
        ]
    assert outcomes == [Outcome.REFUSED, Outcome.BROKEN]
    assert report.verdicts == {"not-run": 1}
    assert report.revisions == {"7": 1}


@on_trio
async def test_hint_is_sent_with_the_next_turn():
    target = FixedAnswer(body=event("x"), headers=(("Yuccafold-Hint", "menu-3"),))
    async with serving(target):
        chat = chat_of(target.server.address, LoadReport())
        await chat.turn()
        await chat.turn()
    hints = [request.header("yuccafold-hint") for request in target.requests]
    assert hints == [None, "menu-3"]
    assert target.requests[0].header("authorization") == "Bearer k"


def test_timed_out_turn_is_broken():
    async def check():
        target, report = engine(), LoadReport()
        async with serving(target):
            target.server.set_faults(Faults(silent=True))
            chat = chat_of(target.server.address, report)
            assert await chat.turn() is Outcome.BROKEN
        assert report.errors == {"TooSlowError": 1}

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0.01))


@on_trio
async def test_same_seed_sends_the_same_load():
    sent = []
    for _ in range(2):
        target = engine()
        async with serving(target):
            chat = ChatSettings(CallerSettings((target.server.address,)))
            report = await run_load(LoadSettings(chat, chats=4, turns=3))
        assert report.turns == {Outcome.WHOLE: 12}
        sent.append(sorted(run.prompt for run in target.runs))
    assert sent[0] == sent[1]
