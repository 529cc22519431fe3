from __future__ import annotations

import json

import h11
import pytest
import trio

from router.fakes import caller
from router.fakes import echo
from router.fakes import fleet
from router.fakes import read_request
from router.fakes import stream_events
from yuccafold.settings import TelemetrySettings

CHAT = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "hi"}], "stream": True}
).encode()


def run(test):
    async def bounded():
        with trio.fail_after(30):
            await test()

    trio.run(bounded)


def test_plain_call_is_answered_whole():
    async def test():
        async with fleet(echo) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                status, headers, body, whole = await client.call(
                    "POST", "/desk/search", b"abc"
                )
                assert (status, whole) == (200, True)
                assert json.loads(body) == {"path": "/desk/search", "body": "abc"}
                assert headers["yuccafold-verdict"] == "complete"
                assert headers["yuccafold-revision"] == "1"

    run(test)


def test_connection_serves_several_calls():
    async def test():
        async with fleet(echo) as (_, addresses, targets):
            async with caller(addresses.callers) as client:
                for n in range(3):
                    status, _, body, _ = await client.call("GET", f"/desk/{n}")
                    assert status == 200
                    assert json.loads(body)["path"] == f"/desk/{n}"
            assert targets[0].connections == 1

    run(test)


def test_stream_reaches_the_caller_whole():
    async def test():
        async with fleet(stream_events) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                answer = await client.call("POST", "/v1/chat/completions", CHAT)
                status, headers, body, whole = answer
                assert (status, whole) == (200, True)
                assert body == b"data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
                assert headers["yuccafold-hint"] == "t0"

    run(test)


@pytest.mark.parametrize(
    ("request_bytes", "status", "message_part"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, "HTTP/1.1", id="not-http"),
        pytest.param(
            b"POST /desk HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            "got both",
            id="two-framings",
        ),
        pytest.param(
            b"POST /desk HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            400,
            "Content-Length",
            id="two-lengths",
        ),
        pytest.param(
            b"GET http://a/ HTTP/1.1\r\nHost: x\r\n\r\n", 400, "path", id="absolute"
        ),
        pytest.param(b"GET /desk HTTP/1.0\r\n\r\n", 505, "HTTP/1.1", id="old-version"),
        pytest.param(
            b"GET /desk HTTP/1.1\r\nHost: x\r\n\r\n", 401, "Bearer", id="no-key"
        ),
    ],
)
def test_bad_request_is_refused_as_not_run(request_bytes, status, message_part):
    async def test():
        async with fleet(echo) as (_, addresses, targets):
            async with caller(addresses.callers) as client:
                await client.send(request_bytes)
                answered, headers, body, _ = await client.read_answer()
                assert answered == status
                assert headers["yuccafold-verdict"] == "not-run"
                assert message_part in json.loads(body)["error"]["message"]
            assert targets[0].requests == []

    run(test)


def test_bad_chat_body_names_what_was_expected():
    async def test():
        async with fleet(echo) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                status, _, body, _ = await client.call(
                    "POST", "/v1/x", b'{"messages":1}'
                )
                assert status == 400
                assert "messages" in json.loads(body)["error"]["message"]

    run(test)


async def close_at_once(target, stream):
    """Receive the request and close without an answer."""
    if await stream.receive_some(65536):
        target.requests.append(b"some")


async def cut_stream(target, stream):
    """Send one event of a stream, then close."""
    await stream.receive_some(65536)
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n"
    )


async def stay_silent(target, stream):
    """Receive the request and never answer."""
    while await stream.receive_some(65536):
        pass


def test_non_idempotent_call_is_not_sent_twice():
    async def test():
        async with fleet(close_at_once, close_at_once) as (_, addresses, targets):
            async with caller(addresses.callers) as client:
                status, headers, _, _ = await client.call("POST", "/desk/book")
                assert status == 502
                assert headers["yuccafold-verdict"] == "may-have-run"
            assert sum(len(target.requests) for target in targets) == 1

    run(test)


def test_call_is_retried_if_a_target_ignores_expect_continue():
    async def test():
        async with fleet(stay_silent, echo, stay_silent) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                status, headers, _, _ = await client.call("POST", "/desk/book", b"b")
                assert status == 200
                assert headers["yuccafold-verdict"] == "complete"

    run(test)


def test_idempotent_call_moves_to_another_target():
    async def test():
        async with fleet(close_at_once, echo) as (_, addresses, _targets):
            for n in range(6):
                async with caller(addresses.callers) as client:
                    status, _, _, _ = await client.call("GET", f"/desk/{n}")
                    assert status == 200

    run(test)


def test_truncated_stream_is_never_whole():
    async def test():
        async with fleet(cut_stream) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                answer = await client.call("POST", "/v1/chat/completions", CHAT)
                _, _, body, whole = answer
                assert not whole
                assert b"event: error" in body

    run(test)


def test_repeated_idempotency_key_gets_the_first_answer():
    async def test():
        async with fleet(echo) as (_, addresses, targets):
            async with caller(addresses.callers) as client:
                key = [("Idempotency-Key", "k1")]
                first = await client.call("POST", "/desk/book", b"x", key)
                again = await client.call("POST", "/desk/book", b"x", key)
                other = await client.call("POST", "/desk/book", b"y", key)
                assert first[2] == again[2]
                assert again[1]["yuccafold-replayed"] == "true"
                assert other[0] == 422
            assert len(targets[0].requests) == 1

    run(test)


def test_drain_lets_a_call_finish():
    async def test():
        released = trio.Event()
        arrived = trio.Event()

        async def slow(target, stream):
            await stream.receive_some(65536)
            arrived.set()
            await released.wait()
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async with fleet(slow) as (router, addresses, _targets):
            async with caller(addresses.callers) as client:
                answers = []

                async def call():
                    answers.append(await client.call("GET", "/desk/slow"))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    await arrived.wait()
                    router.drain()
                    await trio.testing.wait_all_tasks_blocked()
                    released.set()
                await router.stopped.wait()
                assert answers[0][0] == 200
                assert answers[0][2] == b"ok"

    run(test)


def test_caller_that_leaves_cancels_the_target():
    async def test():
        closed = trio.Event()
        arrived = trio.Event()

        async def watch(target, stream):
            await stream.receive_some(65536)
            arrived.set()
            assert await stream.receive_some(1) == b""
            closed.set()

        async with fleet(watch) as (_, addresses, _targets):
            async with trio.open_nursery() as nursery:

                async def call():
                    async with caller(addresses.callers) as client:
                        await client.call("GET", "/desk/slow")

                nursery.start_soon(call)
                await arrived.wait()
                nursery.cancel_scope.cancel()
            await closed.wait()

    run(test)


def test_unreachable_telemetry_endpoint_delays_neither_calls_nor_drain():
    async def test():
        unreachable = TelemetrySettings(
            otlp_endpoint="http://127.0.0.1:9", export_interval_ms=50
        )
        async with fleet(echo, telemetry=unreachable) as (router, addresses, _targets):
            for _ in range(3):
                async with caller(addresses.callers) as client:
                    status, _, _, _ = await client.call("GET", "/desk/1")
                    assert status == 200
            router.drain()
            await router.stopped.wait()

    run(test)


def test_kill_ends_a_call_with_a_key_at_once():
    arrived = trio.Event()

    async def continue_then_stay_silent(target, stream):
        await stream.receive_some(65536)
        await stream.send_all(b"HTTP/1.1 100 Continue\r\n\r\n")
        arrived.set()
        while await stream.receive_some(65536):
            pass

    def with_long_timeout(text):
        return text.replace(
            "first_byte_timeout_ms: 500", "first_byte_timeout_ms: 60000"
        )

    async def test():
        async with fleet(continue_then_stay_silent, edit=with_long_timeout) as (
            router,
            addresses,
            _,
        ):
            async with trio.open_nursery() as nursery:

                async def call():
                    async with caller(addresses.callers) as client:
                        key = [("Idempotency-Key", "k")]
                        await client.call("POST", "/desk/book", b"x", key)

                nursery.start_soon(call)
                await arrived.wait()
                router.kill()
                await router.stopped.wait()
                nursery.cancel_scope.cancel()

    run(test)


def test_refused_head_gets_its_answer_without_a_body():
    async def test():
        async with fleet(echo) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                status, _, body, whole = await client.call(
                    "HEAD", "/desk/search", key=None
                )
                assert (status, body, whole) == (401, b"", True)

    run(test)


def test_operator_page_answers_head_without_a_body():
    async def test():
        async with fleet(echo) as (_, addresses, _targets):
            async with caller(addresses.operators) as client:
                for _ in range(2):
                    status, _, body, whole = await client.call("HEAD", "/ready")
                    assert (status, body, whole) == (404, b"", True)

    run(test)


async def head_only(target, stream):
    """Send the head of an answer and nothing of its body."""
    http = h11.Connection(h11.SERVER)
    await read_request(target, stream, http)
    head = h11.Response(status_code=200, headers=[("Content-Length", "5")])
    await stream.send_all(http.send(head))
    await trio.sleep_forever()


def test_call_is_answered_when_its_target_sends_a_head_only():
    async def test():
        async with fleet(head_only) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                status, headers, _, whole = await client.call(
                    "POST",
                    "/desk/search",
                    b"abc",
                    headers=[("Yuccafold-Timeout-Ms", "200")],
                )
                assert (status, whole) == (504, True)
                assert headers["yuccafold-verdict"] == "may-have-run"

    run(test)


def answering(response):
    """Return a target that answers each connection's request with these bytes."""

    async def answer(target, stream):
        await read_request(target, stream, h11.Connection(h11.SERVER))
        await stream.send_all(response)

    return answer


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_unframed_answer_is_not_relayed_as_complete(method):
    async def test():
        unframed = answering(b"HTTP/1.1 200 OK\r\n\r\nhalf of the answ")
        async with fleet(unframed) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                status, _, body, _ = await client.call(method, "/desk/search")
                assert status == 502
                assert b"half" not in body

    run(test)


@pytest.mark.parametrize(
    ("method", "head", "length"),
    [
        pytest.param("HEAD", b"200 OK\r\nContent-Length: 5", "5", id="head"),
        pytest.param("GET", b"204 No Content", None, id="204"),
        pytest.param("GET", b"304 Not Modified\r\nContent-Length: 5", "5", id="304"),
    ],
)
def test_answer_without_a_body_keeps_the_length_that_its_target_states(
    method, head, length
):
    async def test():
        bodiless = answering(b"HTTP/1.1 " + head + b"\r\n\r\n")
        async with fleet(bodiless) as (_, addresses, _targets):
            async with caller(addresses.callers) as client:
                status, headers, body, whole = await client.call(method, "/desk/a")
                assert (status, body, whole) == (int(head[:3]), b"", True)
                assert headers.get("content-length") == length

    run(test)
