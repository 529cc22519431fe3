from __future__ import annotations

import pytest

from edge.log_lines import LogCapture
from edge.loopback_edge import running_edge
from edge.loopback_edge import target
from support.loopback import on_trio
from yuccafold.standins import NO_FAULTS
from yuccafold.standins import Faults
from yuccafold.standins import TargetMode

STREAM_BYTES = 4 * len(b"id: 1\ndata: token 1\n\n")


@pytest.mark.parametrize(
    ("path", "faults", "framing", "body_bytes"),
    [
        pytest.param("/book/a", NO_FAULTS, "length", 4, id="length"),
        pytest.param("/chat/a", NO_FAULTS, "chunked", STREAM_BYTES, id="chunked"),
        pytest.param("/book/a", Faults(unframed=True), "until-close", 4, id="unframed"),
    ],
)
def test_log_and_metrics_tell_how_an_answer_was_framed(
    path, faults, framing, body_bytes, monkeypatch
):
    log = LogCapture(monkeypatch)

    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].server.set_faults(faults)
            assert (await edge.call("POST", path, b"body"))[0] == 200
            assert f'answers_total{{service="desk",framing="{framing}"}} 1' in (
                edge.router._metrics.render()
            )

    run()
    (ended,) = log.fields("call_ended")
    assert (ended["framing"], ended["body_bytes"]) == (framing, body_bytes)


def test_log_tells_how_much_of_a_broken_answer_was_received(monkeypatch):
    log = LogCapture(monkeypatch)

    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].server.set_faults(Faults(truncated=True))
            assert (await edge.call("POST", "/book/a", b"all bytes"))[0] == 502

    run()
    (failed,) = log.fields("attempt_failed")
    assert (failed["framing"], failed["body_bytes"]) == ("length", 4)
    (ended,) = log.fields("call_ended")
    assert ended["framing"] is None


def test_log_of_a_refused_connection_names_no_framing(monkeypatch):
    log = LogCapture(monkeypatch)

    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].server.crash()
            await edge.call("POST", "/book/a", b"x")

    run()
    assert {fields["framing"] for fields in log.fields("attempt_failed")} == {None}


@pytest.mark.parametrize("path", ["/chat/a", "/chat/once/a"], ids=["resumable", "once"])
def test_attempt_with_a_torn_stream_is_not_logged_as_complete(path, monkeypatch):
    log = LogCapture(monkeypatch)

    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            edge.targets[0].server.set_faults(Faults(unframed=True))
            edge.targets[0].mode = TargetMode.TEARING
            await edge.call("POST", path, b"question")

    run()
    (failed,) = log.fields("attempt_failed")
    assert failed["detail"] == "ended inside an event"
    assert (failed["framing"], failed["verdict"]) == ("until-close", "may-have-run")
    (ended,) = log.fields("call_ended")
    assert ended["outcome"] == "broken_off_target_failed"


def test_log_tells_which_connection_a_call_was_sent_and_refused_on(monkeypatch):
    log = LogCapture(monkeypatch)

    @on_trio
    async def run():
        async with running_edge(target()) as edge:
            assert (await edge.call("GET", "/book/a"))[0] == 200
            edge.targets[0].mode = TargetMode.FULL
            assert (await edge.call("GET", "/book/a"))[0] == 503

    run()
    first, second = log.fields("call_placed")
    (refused,) = log.fields("attempt_failed")
    assert first["connection"] == second["connection"] == refused["connection"]
