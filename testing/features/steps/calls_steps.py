from __future__ import annotations

import json

import h11
import trio
from behave import given
from behave import then
from behave import when

from router.fakes import KEY
from router.fakes import caller
from router.fakes import echo
from router.fakes import fleet
from router.fakes import read_request

CHAT = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "hi"}], "stream": True}
).encode()
LIMIT_SECONDS = 60


async def close_without_answer(target, stream):
    """Read the complete request, then close without an answer."""
    http = h11.Connection(h11.SERVER)
    await read_request(target, stream, http)


async def cut_stream(target, stream):
    """Send the start of a streamed answer, then close."""
    await stream.receive_some(65536)
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n"
    )


SCRIPTS = {
    "answer": echo,
    "answers": echo,
    "close without an answer": close_without_answer,
}


@given("a router before {count:d} targets that {manner}")
def targets(context, count, manner):
    context.scripts = [SCRIPTS[manner]] * count


@given("a router before 1 target that {manner}")
def one_target(context, manner):
    context.scripts = [cut_stream if manner == "cuts its streams" else SCRIPTS[manner]]


@given("a router before a target that closes and one that answers")
def mixed_targets(context):
    context.scripts = [close_without_answer, echo]


def make_calls(context, calls):
    """Make ``calls``, each (method, path, body, headers, key), one after another."""

    async def run():
        with trio.fail_after(LIMIT_SECONDS):
            async with fleet(*context.scripts) as (_, addresses, router_targets):
                for method, path, body, headers, key in calls:
                    async with caller(addresses.callers) as client:
                        answer = await client.call(method, path, body, headers, key)
                        context.answers.append(answer)
                context.runs = sum(len(target.requests) for target in router_targets)

    context.answers = []
    trio.run(run)


@when('a caller posts "{path}" with the key "{key}" {times}')
def post_keyed(context, path, key, times):
    headers = [("Idempotency-Key", key)]
    count = {"once": 1, "twice": 2}[times]
    make_calls(context, [("POST", path, b"body", headers, KEY)] * count)


@when('a caller gets "{path}" {count:d} times')
def get_times(context, path, count):
    calls = [("GET", f"{path}/{number}", b"", (), KEY) for number in range(count)]
    make_calls(context, calls)


@when("a caller posts a streamed chat turn")
def post_turn(context):
    make_calls(context, [("POST", "/v1/chat/completions", CHAT, (), KEY)])


@when('a caller with the key "{key}" gets "{path}"')
def get_with_key(context, key, path):
    make_calls(context, [("GET", path, b"", (), key)])


@then("both answers are the same")
def answers_are_same(context):
    first, second = context.answers
    assert first[2] == second[2], context.answers
    assert first[3]
    assert second[3]


@then("the targets ran {count:d} call")
@then("the targets ran {count:d} calls")
def targets_ran(context, count):
    assert context.runs == count, context.runs


@then("the answer's status is {status:d}")
def status_is(context, status):
    assert context.answers[-1][0] == status, context.answers


@then('the answer\'s verdict is "{verdict}"')
def verdict_is(context, verdict):
    assert context.answers[-1][1]["yuccafold-verdict"] == verdict, context.answers


@then("every answer is whole")
def every_answer_is_whole(context):
    assert all(answer[0] == 200 and answer[3] for answer in context.answers)


@then("the answer is not whole")
def answer_is_not_whole(context):
    assert not context.answers[-1][3], context.answers


@then("it contains an explicit error event")
def has_error_event(context):
    assert b"event: error" in context.answers[-1][2], context.answers
