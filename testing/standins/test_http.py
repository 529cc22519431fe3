from __future__ import annotations

import h11
import pytest
import trio
import trio.testing

from support.loopback import connect
from support.loopback import exchange
from support.loopback import has_no_input
from support.loopback import message
from support.loopback import on_trio
from support.loopback import read_to_end
from support.loopback import serving
from support.loopback import until
from yuccafold.standins import NO_FAULTS
from yuccafold.standins import Faults
from yuccafold.standins import Malformed
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import ServerSettings

BODY = b'{"item": 3}'
REQUEST = message("POST", "/reservations", BODY, "Connection: close")


def plain_service(faults=NO_FAULTS, *, expect_continue=True):
    server = ServerSettings(expect_continue=expect_continue, faults=faults)
    return PlainService(PlainSettings(server))


async def read_until_closed(stream):
    async for _ in stream:
        pass


async def book(service):
    return await exchange(service.server, "POST", "/reservations", BODY)


@on_trio
async def test_closes_at_every_request_byte_without_a_run():
    service = plain_service()
    async with serving(service):
        for end in range(len(REQUEST) + 1):
            service.server.set_faults(Faults(close_at_request_byte=end))
            assert await book(service) == b""
        assert service.runs == ()


@on_trio
async def test_closes_at_every_response_byte_after_one_run():
    service = plain_service()
    async with serving(service):
        whole = await book(service)
        for end in range(len(whole)):
            service.server.set_faults(Faults(close_at_response_byte=end))
            assert await book(service) == whole[:end]
        assert len(service.runs) == len(whole) + 1


@on_trio
async def test_reset_breaks_the_connection():
    service = plain_service(Faults(close_at_response_byte=5, reset=True))
    async with serving(service), await connect(service.server) as stream:
        await stream.send_all(REQUEST)
        with pytest.raises(trio.BrokenResourceError):
            await read_until_closed(stream)


@on_trio
async def test_silent_server_reads_and_never_answers():
    service = plain_service(Faults(silent=True, exchanges=1))
    async with serving(service), await connect(service.server) as silent:
        await silent.send_all(REQUEST)
        await until(lambda: service.server.faults == NO_FAULTS)
        assert (await book(service)).startswith(b"HTTP/1.1 200")
        assert has_no_input(silent)
        assert len(service.runs) == 1


@on_trio
async def test_goes_silent_within_the_response():
    service = plain_service(Faults(silent_at_response_byte=20))
    async with serving(service), await connect(service.server) as stream:
        await stream.send_all(REQUEST)
        got = b""
        while len(got) < 20:
            got += await stream.receive_some()
        await trio.testing.wait_all_tasks_blocked()
        assert len(got) == 20
        assert has_no_input(stream)


@on_trio
async def test_answers_before_the_body_without_a_run():
    service = plain_service(Faults(early_status=503))
    async with serving(service), await connect(service.server) as stream:
        await stream.send_all(REQUEST[: -len(BODY)])
        assert b" 503 " in await stream.receive_some()
        assert service.runs == ()


@on_trio
async def test_writes_past_the_response():
    service = plain_service()
    async with serving(service):
        whole = await book(service)
        service.server.set_faults(Faults(answer_twice=True))
        assert (await book(service)).count(b"HTTP/1.1 200") == 2
        service.server.set_faults(Faults(overlong=True))
        assert (await book(service)) == whole + b"further bytes"


@on_trio
async def test_truncates_the_response():
    service = plain_service()
    async with serving(service):
        whole = await book(service)
        service.server.set_faults(Faults(truncated=True))
        assert await book(service) == whole[:-5]


@pytest.mark.parametrize("form", list(Malformed), ids=lambda form: form.value)
@on_trio
async def test_malformed_response_is_refused_by_a_client(form):
    service = plain_service(Faults(malformed=form))
    async with serving(service):
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("Host", "test")]))
        client.send(h11.EndOfMessage())
        client.receive_data(await book(service))
        with pytest.raises(h11.RemoteProtocolError):
            list(iter(client.next_event, h11.NEED_DATA))


@on_trio
async def test_crash_closes_everything_and_the_port_can_be_served_again():
    service = plain_service(Faults(crash_marker=b"item"))
    async with serving(service) as nursery:
        idle = await connect(service.server)
        assert await book(service) == b""
        assert await read_to_end(idle) == b""
        with pytest.raises(OSError, match="attempts to connect"):
            await connect(service.server)
        assert service.runs == ()
        address = service.server.address
        service.server.set_faults(NO_FAULTS)
        await nursery.start(service.serve)
        assert service.server.address == address
        assert b" 200 " in await book(service)


@on_trio
async def test_body_without_the_marker_does_not_crash():
    service = plain_service(Faults(crash_marker=b"other"))
    async with serving(service):
        assert b" 200 " in await book(service)


@on_trio
async def test_refuses_connections():
    service = plain_service(Faults(refuse_connections=True))
    async with serving(service):
        with pytest.raises(OSError, match="attempts to connect"):
            await connect(service.server)


def test_delay_comes_before_the_run():
    async def check():
        service = plain_service(Faults(delay_ms=60_000))
        async with serving(service):
            await book(service)
            assert service.runs[0].started_at >= 60

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0.01))


@on_trio
async def test_faults_hold_for_the_stated_number_of_exchanges():
    service = plain_service(Faults(close_at_response_byte=0, exchanges=2))
    async with serving(service):
        answers = [bool(await book(service)) for _ in range(3)]
        assert answers == [False, False, True]


@on_trio
async def test_continue_is_sent_before_the_body_is_read():
    service = plain_service()
    head = message("POST", "/reservations", BODY, "Expect: 100-continue")
    async with serving(service), await connect(service.server) as stream:
        await stream.send_all(head[: -len(BODY)])
        assert (await stream.receive_some()).startswith(b"HTTP/1.1 100")
        await stream.send_all(BODY)
        assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")


@on_trio
async def test_continue_is_not_sent_where_the_server_ignores_expect():
    service = plain_service(expect_continue=False)
    head = message("POST", "/reservations", BODY, "Expect: 100-continue")
    async with serving(service), await connect(service.server) as stream:
        await stream.send_all(head[: -len(BODY)])
        await until(lambda: service.server.open_connections)
        await trio.testing.wait_all_tasks_blocked()
        assert has_no_input(stream)
        await stream.send_all(BODY)
        assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")


@on_trio
async def test_connection_serves_pipelined_requests_in_order():
    service = plain_service()
    async with serving(service), await connect(service.server) as stream:
        first = message("POST", "/first", BODY)
        await stream.send_all(
            first + message("GET", "/second", b"", "Connection: close")
        )
        answers = await read_to_end(stream)
        assert answers.count(b"HTTP/1.1 200") == 2
        assert answers.index(b"/first") < answers.index(b"/second")
        assert service.server.connections == 1


@on_trio
async def test_invalid_request_does_not_run():
    service = plain_service()
    async with serving(service), await connect(service.server) as stream:
        await stream.send_all(b"no request at all\r\n\r\n")
        assert await read_to_end(stream) == b""
        assert service.runs == ()


@on_trio
async def test_unframed_response_ends_with_its_connection():
    service = plain_service(Faults(unframed=True))
    async with serving(service):
        async with await connect(service.server) as stream:
            await stream.send_all(message("POST", "/reservations", BODY))
            head, _, body = (await read_to_end(stream)).partition(b"\r\n\r\n")
        service.server.set_faults(NO_FAULTS)
        whole_body = (await book(service)).partition(b"\r\n\r\n")[2]
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()
    assert body == whole_body


@on_trio
async def test_unframed_response_is_cut_at_every_byte():
    service = plain_service(Faults(unframed=True))
    async with serving(service):
        whole = await book(service)
        for end in range(len(whole)):
            service.server.set_faults(Faults(unframed=True, close_at_response_byte=end))
            assert await book(service) == whole[:end]
