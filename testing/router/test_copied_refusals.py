"""Plays two targets at one address that write the refusal of a call once more.

Guards against a call that runs while the copy of its refusal is believed.
"""

from __future__ import annotations

import re

import h11
import pytest

from router.fakes import caller
from router.fakes import fleet
from router.fakes import read_request
from support.loopback import on_trio

REFUSAL = (
    b"HTTP/1.1 503 Full\r\nYuccafold-Call-Id: %s\r\nYuccafold-Verdict: not-run\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ANSWER = b"HTTP/1.1 200 OK\r\nYuccafold-Call-Id: %s\r\nContent-Length: 3\r\n\r\nran"


async def refuse_at_first(target, stream):
    """Refuse each call, and run it if it comes again.

    On the connection of a refusal, that is written once more before an answer.
    """
    copy = b""
    http = h11.Connection(h11.SERVER)
    while (request := await read_request(target, stream, http)) is not None:
        call = call_of(request[0])
        http = h11.Connection(h11.SERVER)
        if [call_of(head) for head, _ in target.requests].count(call) == 1:
            copy = REFUSAL % call
            await stream.send_all(copy)
        else:
            await stream.send_all(copy + ANSWER % call)


def call_of(head):
    return dict(head.headers)[b"yuccafold-call-id"]


def at_one_address(tree):
    """Give all targets one address, and trust them when they refuse a call."""
    (first, *_) = re.findall(r'address: "(.*?)"', tree)
    traits = "paths: [/desk]\n    traits: {trusted_not_run: true}"
    tree = tree.replace("paths: [/desk]", traits)
    return re.sub(r'address: ".*?"', f'address: "{first}"', tree)


@pytest.mark.parametrize(("method", "body"), [("GET", b""), ("POST", b"book")])
def test_call_refused_at_an_address_runs_once_if_it_comes_there_again(method, body):
    @on_trio
    async def run():
        async with (
            fleet(refuse_at_first, refuse_at_first, edit=at_one_address) as running,
            caller(running[1].callers) as client,
        ):
            status, _, received, _ = await client.call(method, "/desk/book", body)
            assert len(running[2][0].requests) == 2
            assert (status, received) == (200, b"ran")

    run()
