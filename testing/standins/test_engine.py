from __future__ import annotations

import json

import pytest
import trio
import trio.testing

from support.loopback import call_json
from support.loopback import connect
from support.loopback import exchange
from support.loopback import message
from support.loopback import on_trio
from support.loopback import serving
from support.loopback import until
from yuccafold.standins import ChatMessage
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import Faults
from yuccafold.standins import GenerationSettings
from yuccafold.standins import ModelEngine
from yuccafold.standins import Order
from yuccafold.standins import OrderKind
from yuccafold.standins import Priority
from yuccafold.standins import RunState
from yuccafold.standins import WeightStore
from yuccafold.standins import WeightStoreSettings
from yuccafold.standins import answer_text
from yuccafold.standins import answer_tokens
from yuccafold.standins import prompt_blocks

CHAT = "/v1/chat/completions"
PROMPT = (ChatMessage("system", "Plan menus."), ChatMessage("user", "Soup for forty?"))
STUCK = CostModel(time_scale=1e9)
"""A cost model under which no step ends within a test."""


def engine_with(*, weights=None, fencing=True, **generation):
    generation.setdefault("cost", CostModel(time_scale=0))
    settings = GenerationSettings(load_lag_ms=0, events_lag_ms=0)
    values = {name: getattr(settings, name) for name in settings.__slots__}
    chosen = GenerationSettings(**{**values, **generation})
    return ModelEngine(EngineSettings(generation=chosen, fencing=fencing), weights)


def turn(messages=PROMPT, **extra):
    wire = [entry.as_json() for entry in messages]
    return {"model": "menu-large", "messages": wire, **extra}


async def chat(engine, messages=PROMPT, *headers, **extra):
    return await call_json(
        engine.server, "POST", CHAT, turn(messages, **extra), *headers
    )


async def open_chat(engine, *headers, messages=PROMPT, **extra):
    """Begin a streamed chat; return its connection."""
    stream = await connect(engine.server)
    body = json.dumps(turn(messages, stream=True, **extra)).encode()
    await stream.send_all(message("POST", CHAT, body, *headers))
    return stream


async def streamed_events(engine, *headers, **extra):
    body = json.dumps(turn(stream=True, **extra)).encode()
    raw = await exchange(engine.server, "POST", CHAT, body, *headers)
    lines = (line for line in raw.split(b"\r\n") if line.startswith(b"data: "))
    events = b"".join(lines).removesuffix(b"\n\n").split(b"\n\n")
    return [event.removeprefix(b"data: ") for event in events]


def contents(events):
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    return [delta["content"] for delta in deltas if delta]


@on_trio
async def test_complete_answer_is_a_function_of_the_prompt():
    engine = engine_with()
    async with serving(engine):
        status, answer = await chat(engine)
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == answer_text(PROMPT)
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert answer_text(PROMPT) != answer_text(PROMPT[:1])


@on_trio
async def test_stream_has_an_event_for_each_token_and_a_last_one():
    engine = engine_with()
    async with serving(engine):
        events = await streamed_events(engine, max_tokens=6)
    assert contents(events) == list(answer_tokens(PROMPT, 6))
    assert events[-1] == b"[DONE]"
    last = json.loads(events[-2])
    assert last["choices"][0]["finish_reason"] == "length"
    assert last["usage"]["completion_tokens"] == 6


@on_trio
async def test_stream_cut_short_by_a_fault_ends_cleanly():
    engine = engine_with()
    async with serving(engine):
        engine.server.set_faults(Faults(end_stream_after_events=2))
        body = json.dumps(turn(stream=True, max_tokens=6)).encode()
        raw = await exchange(engine.server, "POST", CHAT, body)
    assert raw.count(b"data: ") == 2
    assert raw.endswith(b"\r\n0\r\n\r\n")


@on_trio
async def test_next_turn_uses_the_cache_of_earlier_turns():
    engine = engine_with()
    async with serving(engine):
        _, first = await chat(engine)
        answered = (*PROMPT, ChatMessage("assistant", answer_text(PROMPT)))
        _, second = await chat(engine, (*answered, ChatMessage("user", "And rice?")))
    assert first["usage"]["prompt_tokens_details"]["cached_tokens"] == 0
    expected = sum(entry.tokens for entry in answered)
    assert second["usage"]["prompt_tokens_details"]["cached_tokens"] == expected


@pytest.mark.parametrize(
    "value",
    [
        pytest.param([], id="no-object"),
        pytest.param({"model": "m"}, id="no-messages"),
        pytest.param({"model": "m", "messages": []}, id="empty"),
        pytest.param(
            {"model": 3, "messages": [{"role": "a", "content": "b"}]},
            id="model-is-no-text",
        ),
        pytest.param(turn(max_tokens=0), id="max-tokens"),
    ],
)
@on_trio
async def test_bad_chat_is_refused(value):
    engine = engine_with()
    async with serving(engine):
        status, answer = await call_json(engine.server, "POST", CHAT, value)
    assert status == 400
    assert answer["error"]["code"] == "bad-request"
    assert engine.runs == ()


@on_trio
async def test_disconnect_cancels_the_run():
    engine = engine_with(cost=STUCK)
    async with serving(engine):
        stream = await open_chat(engine)
        await until(lambda: engine.generator.load.in_flight == 1)
        await stream.aclose()
        await until(lambda: engine.runs[0].state is RunState.CANCELLED)
        assert engine.generator.load.in_flight == 0


@on_trio
async def test_batch_is_bounded_and_the_higher_priority_enters_first():
    engine = engine_with(cost=CostModel(max_batch=1, time_scale=1e9), max_queue=2)
    async with serving(engine):
        first = await open_chat(engine)
        await until(lambda: engine.generator.batch.running == 1)
        low = await open_chat(engine, "Priority: low", "Yuccafold-Call-Id: low")
        await until(lambda: engine.generator.batch.waiting == 1)
        high = await open_chat(engine, "Priority: high", "Yuccafold-Call-Id: high")
        await until(lambda: engine.generator.batch.waiting == 2)
        status, answer = await chat(engine)
        assert (status, answer["error"]["code"]) == (503, "overloaded")
        waiting = engine.generator.batch.waiting_priorities
        assert waiting == (Priority.HIGH, Priority.LOW)
        for stream in (first, low, high):
            await stream.aclose()


@on_trio
async def test_interrupted_answer_is_resumed_from_a_token():
    engine = engine_with(resume_ms=600_000, cost=CostModel(decode_ms=1))
    async with serving(engine):
        call = "Yuccafold-Call-Id: c1"
        stream = await open_chat(engine, call, max_tokens=400)
        await until(lambda: engine.generator.batch.steps > 5)
        await stream.aclose()
        await until(lambda: engine.runs and engine.runs[0].state is RunState.CANCELLED)
        assert 0 < engine.generator.batch.steps < 400
        resume = "Yuccafold-Resume: c1;from=3"
        events = await streamed_events(engine, resume, max_tokens=400)
    assert contents(events) == list(answer_tokens(PROMPT, 400))[3:]


@pytest.mark.parametrize(
    ("resume_ms", "header"),
    [
        pytest.param(0, "c1;from=1", id="engine-cannot-resume"),
        pytest.param(600_000, "c2;from=1", id="unknown-call"),
        pytest.param(600_000, "c1;from=7", id="beyond-generated-tokens"),
    ],
)
@on_trio
async def test_unknown_answer_is_not_resumed(resume_ms, header):
    engine = engine_with(resume_ms=resume_ms)
    async with serving(engine):
        await chat(engine, PROMPT, "Yuccafold-Call-Id: c1", max_tokens=6)
        status, _ = await chat(
            engine, PROMPT, f"Yuccafold-Resume: {header}", max_tokens=6
        )
    assert status == 409


@on_trio
async def test_engine_can_resume_the_answer_of_another_one():
    engine = engine_with(resume_anywhere=True)
    async with serving(engine):
        resume = "Yuccafold-Resume: c9;from=2"
        events = await streamed_events(engine, resume, max_tokens=6)
    assert contents(events) == list(answer_tokens(PROMPT, 6))[2:]


def test_expired_answer_is_not_resumed():
    async def check():
        engine = engine_with(resume_ms=5_000)
        resume = "Yuccafold-Resume: c1;from=1"
        async with serving(engine):
            await chat(engine, PROMPT, "Yuccafold-Call-Id: c1")
            in_time, _ = await chat(engine, PROMPT, resume)
            await trio.sleep(6)
            late, _ = await chat(engine, PROMPT, resume)
        assert (in_time, late) == (200, 409)

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0.01))


@on_trio
async def test_load_report_shows_work():
    engine = engine_with(cost=STUCK)
    async with serving(engine):
        async with await open_chat(engine, max_tokens=10):
            await until(lambda: engine.generator.batch.running == 1)
            _, load = await call_json(engine.server, "GET", "/load")
    tokens = sum(entry.tokens for entry in PROMPT)
    assert load == {
        "in_flight": 1,
        "queued": 0,
        "work_tokens": tokens + 10,
        "cache_tokens": tokens,
    }


@on_trio
async def test_load_report_lags():
    engine = engine_with(cost=STUCK, load_lag_ms=3_600_000)
    async with serving(engine):
        async with await open_chat(engine):
            await until(lambda: engine.generator.batch.running == 1)
            _, load = await call_json(engine.server, "GET", "/load")
    assert load["in_flight"] == 0


@on_trio
async def test_cache_evicts_the_least_recently_used_and_reports_it():
    one = (ChatMessage("user", "a" * 400),)
    two = (ChatMessage("user", "b" * 400),)
    engine = engine_with(cache_tokens=180)
    async with serving(engine):
        await chat(engine, one, max_tokens=1)
        await chat(engine, two, max_tokens=1)
        _, answer = await call_json(engine.server, "GET", "/cache-events?after=0")
        _, later = await call_json(engine.server, "GET", "/cache-events?after=2")
    block = prompt_blocks(one)[0].hash
    kinds = [event["kind"] for event in answer["events"] if event["block"] == block]
    assert kinds == ["stored", "evicted"]
    assert engine.generator.cache.tokens <= 180
    assert later["events"] == answer["events"][2:]


@on_trio
async def test_cache_events_have_gaps_and_a_lag():
    gappy = engine_with(events_loss=0.5)
    late = engine_with(events_lag_ms=3_600_000)
    async with serving(gappy, late):
        for engine in (gappy, late):
            for number in range(20):
                await chat(engine, (ChatMessage("user", f"{number}"),))
        _, some = await call_json(gappy.server, "GET", "/cache-events?after=0")
        _, none = await call_json(late.server, "GET", "/cache-events?after=0")
    assert 0 < len(some["events"]) < 40
    assert none["events"] == []


def order(kind, fence, **values):
    return {"kind": kind, "fence": fence, **values}


@pytest.mark.parametrize("fencing", [True, False], ids=["fencing", "ignoring"])
@on_trio
async def test_older_fence_is_refused_where_the_engine_checks_it(fencing):
    engine = engine_with(fencing=fencing)
    async with serving(engine):
        newer = order("load_model", 7, model="menu", version="2")
        older = order("load_model", 6, model="menu", version="1")
        first, _ = await call_json(engine.server, "POST", "/orders", newer)
        second, _ = await call_json(engine.server, "POST", "/orders", older)
        _, state = await call_json(engine.server, "GET", "/state")
    assert first == 200
    assert (second, state["version"]) == ((409, "2") if fencing else (200, "1"))


@on_trio
async def test_orders_change_the_state():
    engine = engine_with()
    async with serving(engine):
        for value in (
            order("load_adapter", 1, adapter="spice"),
            order("load_adapter", 1, adapter="rice"),
            order("unload_adapter", 2, adapter="spice"),
            order("set_role", 2, role="prefill"),
        ):
            status, state = await call_json(engine.server, "POST", "/orders", value)
            assert status == 200
    assert state["adapters"] == ["rice"]
    assert (state["role"], state["fence"]) == ("prefill", 2)
    assert engine.orders[-1] == Order(OrderKind.SET_ROLE, 2, role="prefill")


@pytest.mark.parametrize(
    "value", [None, {}, order("dance", 1), order("set_role", 1), order("drain", "x")]
)
@on_trio
async def test_bad_order_is_refused(value):
    engine = engine_with()
    async with serving(engine):
        status, _ = await call_json(engine.server, "POST", "/orders", value)
    assert status == 400
    assert engine.orders == ()


@on_trio
async def test_weight_store_refuses_loads_above_its_rate():
    weights = WeightStore(WeightStoreSettings(loads_per_minute=1))
    engine = engine_with(weights=weights)
    async with serving(engine):
        value = order("load_adapter", 1, adapter="rice")
        first, _ = await call_json(engine.server, "POST", "/orders", value)
        weights.assert_rate_kept()
        second, _ = await call_json(engine.server, "POST", "/orders", value)
    assert (first, second) == (200, 503)
    assert (weights.loads, weights.refused) == (1, 1)
    with pytest.raises(AssertionError, match="above the rate"):
        weights.assert_rate_kept()


@on_trio
async def test_draining_engine_refuses_new_chats_and_finishes_old_ones():
    engine = engine_with(cost=CostModel(decode_ms=1))
    async with serving(engine):
        stream = await open_chat(engine, "Connection: close", max_tokens=200)
        await until(lambda: engine.generator.batch.running == 1)
        status, _ = await call_json(engine.server, "POST", "/orders", order("drain", 1))
        assert status == 200
        assert (await chat(engine))[0] == 503
        assert (await call_json(engine.server, "GET", "/health"))[0] == 503
        received = b"".join([part async for part in stream])
    assert b"[DONE]" in received
    assert engine.runs[0].state is RunState.COMPLETE


@on_trio
async def test_exported_prefix_is_cached_where_it_is_imported():
    source, sink = engine_with(), engine_with()
    async with serving(source, sink):
        await chat(source)
        prefix = prompt_blocks(PROMPT)[-1].hash
        _, exported = await call_json(
            source.server, "GET", f"/kv/export?prefix={prefix}"
        )
        status, _ = await call_json(sink.server, "POST", "/kv/import", exported)
        assert status == 200
        _, answer = await chat(sink)
        unknown, _ = await call_json(source.server, "GET", "/kv/export?prefix=0")
    cached = answer["usage"]["prompt_tokens_details"]["cached_tokens"]
    assert cached == sum(entry.tokens for entry in PROMPT)
    assert unknown == 404


@on_trio
async def test_restarted_engine_has_an_empty_cache():
    engine = engine_with()
    async with serving(engine) as nursery:
        await chat(engine)
        engine.server.crash()
        await trio.testing.wait_all_tasks_blocked()
        await nursery.start(engine.serve)
        _, answer = await chat(engine)
    assert answer["usage"]["prompt_tokens_details"]["cached_tokens"] == 0
