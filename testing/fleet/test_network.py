from __future__ import annotations

import contextlib
import ssl
from dataclasses import dataclass
from pathlib import Path

import cbor2
import pytest
import trio
import trustme
from websockets.exceptions import ConnectionClosed
from websockets.trio.client import connect

from fleet import network_fixture as fixture
from yuccafold import fleet
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.fleet._codec import MAX_FRAME_BYTES
from yuccafold.fleet._codec import encode_frame
from yuccafold.fleet._messages import Hello
from yuccafold.fleet._tls import load_contexts

Vm = fixture.Vm
run = fixture.run
start = fixture.start


@dataclass(frozen=True, slots=True)
class Large:
    body: bytes


fleet.register("test-large", Large)


@pytest.fixture
def certificates(tmp_path):
    return fixture.CertificateFiles(tmp_path)


def pair(certificates, link_settings=None):
    return [Vm(name, certificates.write(name), link_settings) for name in ("a", "b")]


def test_messages_pass_both_ways_over_one_link(certificates):
    async def scenario(nursery):
        one, other = pair(certificates)
        await start(nursery, one, other)
        one.send(other, 1)
        one.send(other, 2)
        assert await other.receive() == ("a", 1)
        assert await other.receive() == ("a", 2)
        other.send(one, 3)
        assert await one.receive() == ("b", 3)
        assert (one.counters.opened, other.counters.opened) == (1, 0)
        assert one.counters.frames_sent == 1
        stats = one.network.stats()
        sent = stats.peers[other.id].bytes.sent[fleet.ByteClass.MEMBERSHIP]
        assert 0 < sent < stats.total.wire_sent

    run(scenario)


def test_links_without_tls_need_no_certificate_files():
    async def scenario(nursery):
        one, other = Vm("a", None), Vm("b", None)
        await start(nursery, one, other)
        one.send(other, 1)
        assert await other.receive() == ("a", 1)

    run(scenario)


@pytest.mark.parametrize("stranger_connects", [True, False])
def test_peer_of_another_authority_is_refused_and_counted(
    certificates, stranger_connects
):
    async def scenario(nursery):
        stranger = Vm(
            "x", certificates.write("x", ca=trustme.CA(), trusted=[certificates.ca])
        )
        member = Vm("m", certificates.write("m"))
        await start(nursery, stranger, member)
        caller, to = (stranger, member) if stranger_connects else (member, stranger)
        caller.send(to, 1)
        await member.wait_for(lambda counters: counters.unauthenticated > 0)
        assert member.network.stats().peers[stranger.id].links == 0
        assert member.received.statistics().current_buffer_used == 0

    run(scenario)


def test_certificate_of_another_vm_is_refused(certificates):
    async def scenario(nursery):
        impostor = Vm("b", certificates.write("c"))
        member = Vm("a", certificates.write("a"))
        await start(nursery, member, impostor)
        impostor.send(member, 1)
        await member.wait_for(lambda counters: counters.unauthenticated > 0)
        member.send(impostor, 2)
        await member.wait_for(lambda counters: counters.connect_failures > 0)
        assert member.counters.accepted == 0
        assert member.counters.opened == 0

    run(scenario)


def test_plain_connection_is_refused_by_tls(certificates):
    async def scenario(nursery):
        plain, member = Vm("a", None), Vm("b", certificates.write("b"))
        await start(nursery, plain, member)
        plain.send(member, 1)
        await member.wait_for(lambda counters: counters.unauthenticated > 0)
        assert member.counters.accepted == 0

    run(scenario)


def test_rotation_to_another_authority_loses_no_message(certificates):
    link_settings = fleet.LinkSettings(
        tls_check_ms=20, retire_spread_ms=50, retire_grace_ms=200
    )

    async def scenario(nursery):
        one, other = pair(certificates, link_settings)
        await start(nursery, one, other)
        one.send(other, 0)
        assert await other.receive() == ("a", 0)
        old, new = certificates.ca, trustme.CA()
        steps = [(old, [new]), (new, [old]), (new, [])]
        sent = 0
        for step, (ca, trusted) in enumerate(steps, start=1):
            for vm in (one, other):
                certificates.write(vm.id, ca=ca, trusted=trusted)
            while not all(vm.counters.tls_reloads >= step for vm in (one, other)):
                sent += 1
                one.send(other, sent)
                assert await other.receive() == ("a", sent)
                await trio.sleep(0.01)
            for _ in range(40):
                sent += 1
                one.send(other, sent)
                assert await other.receive() == ("a", sent)
                await trio.sleep(0.01)
        assert one.counters.opened + other.counters.opened > 1
        assert one.network.stats().dropped == ()

    run(scenario)


def test_mismatched_certificate_files_keep_the_old_in_use(certificates):
    link_settings = fleet.LinkSettings(tls_check_ms=20)

    async def scenario(nursery):
        one, other = pair(certificates, link_settings)
        await start(nursery, one, other)
        files = certificates.write("a")
        Path(files.key).write_bytes(b"half a key")
        await one.wait_for(lambda counters: counters.tls_reload_failures > 0)
        one.send(other, 1)
        assert await other.receive() == ("a", 1)

    run(scenario)


def test_link_that_goes_silent_is_replaced(certificates):
    """A connection may stop carrying data without being closed."""
    link_settings = fleet.LinkSettings(ping_after_ms=50, ping_timeout_ms=200)

    async def scenario(nursery):
        one, other = pair(certificates, link_settings)
        await start(nursery, one, other)
        relay = fixture.Relay(other.network.address)
        one.set_peers(other, through=await nursery.start(relay.run))
        one.send(other, 1)
        assert await other.receive() == ("a", 1)
        relay.silence_open_connections()
        await one.send_until_received(other, 2)
        assert one.counters.replaced_silent == 1
        assert len(relay.connections) == 2

    run(scenario)


async def send_raw_frames(vm, certificates, frames):
    """Open a link, send a valid ``Hello`` and ``frames``, and wait for the close."""
    context = load_contexts(certificates.write("raw")).unwrap().client
    uri = f"wss://{vm.network.address}/"
    async with connect(uri, ssl=context, proxy=None, compression=None) as raw:
        await raw.send(encode_frame([fleet.encode(Hello(VmId("raw"), Incarnation(1)))]))
        for frame in frames:
            await raw.send(frame)
        await vm.wait_for(lambda counters: counters.accepted == 1)
        with contextlib.suppress(ConnectionClosed):
            await raw.recv()


def test_malformed_input_is_counted_and_too_much_closes_the_link(certificates):
    limit = fleet.LinkSettings().malformed_limit

    async def scenario(nursery):
        vm = Vm("a", certificates.write("a"))
        await start(nursery, vm)
        newer = cbor2.dumps([[9, "later", []], [1, "later", []]])
        frames = [newer] + [b"\xff\x00"] * (limit + 1)
        await send_raw_frames(vm, certificates, frames)
        assert vm.counters.malformed == limit + 1
        assert vm.counters.from_newer == 2

    run(scenario)


def test_frame_over_the_limit_closes_the_link(certificates):
    async def scenario(nursery):
        vm = Vm("a", certificates.write("a"))
        await start(nursery, vm)
        await send_raw_frames(vm, certificates, [bytes(MAX_FRAME_BYTES + 1)])
        await vm.wait_for(lambda counters: counters.too_large == 1)

    run(scenario)


def test_undeliverable_messages_are_counted_by_cause(certificates):
    async def scenario(nursery):
        one, other = pair(certificates)
        await start(nursery, one)
        await start(nursery, other)
        one.send(other, 1)
        one.set_peers(other, through="127.0.0.1:1")
        one.network.send(Outgoing(other.id, Large(bytes(100_000))))
        one.send(other, 2)
        await one.wait_for(lambda counters: counters.connect_failures > 0)
        causes = {drop.cause for drop in one.network.stats().dropped}
        assert causes == {
            fleet.DropCause.UNKNOWN_PEER,
            fleet.DropCause.TOO_LARGE,
            fleet.DropCause.UNREACHABLE,
        }

    run(scenario)


def test_network_runs_again_after_it_was_stopped(certificates):
    async def scenario(nursery):
        one, other = pair(certificates)
        await start(nursery, other)
        async with trio.open_nursery() as first_run:
            await start(first_run, one)
            one.set_peers(other)
            one.send(other, 1)
            assert await other.receive() == ("a", 1)
            first_run.cancel_scope.cancel()
        one.send(other, 2)
        assert one.network.stats().dropped[0].cause is fleet.DropCause.UNKNOWN_PEER
        await start(nursery, one)
        one.set_peers(other)
        await one.send_until_received(other, 3)

    run(scenario)


def test_full_inbox_drops_messages_and_counts_them(certificates):
    async def scenario(nursery):
        one = Vm("a", certificates.write("a"))
        other = Vm("b", certificates.write("b"), inbox_size=1)
        await start(nursery, one, other)
        for number in range(3):
            one.send(other, number)
        await other.wait_for(lambda counters: counters.messages_received == 3)
        (drop,) = other.network.stats().dropped
        assert (drop.cause, drop.messages) == (fleet.DropCause.INBOX_FULL, 2)

    run(scenario)


def test_unusable_certificate_files_raise_at_start(certificates):
    files = certificates.write("a")
    Path(files.certificate).write_text("none")

    async def scenario(nursery):
        await Vm("a", files).network.run()

    with pytest.raises(ExceptionGroup) as raised:
        run(scenario)
    assert raised.group_contains(fleet.NetworkError)


def test_peers_accept_nothing_below_tls_1_3(certificates):
    contexts = load_contexts(certificates.write("a")).unwrap()
    assert contexts.server.minimum_version is ssl.TLSVersion.TLSv1_3
    assert contexts.server.verify_mode is ssl.CERT_REQUIRED
    assert contexts.client.verify_mode is ssl.CERT_REQUIRED
