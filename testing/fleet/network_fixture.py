"""Peer networks on loopback, their certificates, and a relay between them."""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

import trio
import trustme

from yuccafold import fleet
from yuccafold._clock import MonotonicClock
from yuccafold._ids import Incarnation
from yuccafold._ids import RegionId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold._outgoing import Outgoing
from yuccafold.fleet._messages import PingRequest
from yuccafold.settings import ProcessSettings
from yuccafold.settings import TlsFiles

ANY_PORT = "127.0.0.1:0"
TEST_TIMEOUT_S = 60


class CertificateFiles:
    """Certificate files of each VM, signed by one CA, in ``directory``."""

    def __init__(self, directory: Path):
        self.directory = directory
        self.ca = trustme.CA()

    def write(self, vm, ca=None, trusted=()):
        issuer = ca or self.ca
        issued = issuer.issue_cert(vm)
        files = TlsFiles(
            ca=str(self.directory / f"{vm}-ca.pem"),
            certificate=str(self.directory / f"{vm}.pem"),
            key=str(self.directory / f"{vm}.key"),
        )
        authorities = (item.cert_pem.bytes() for item in (issuer, *trusted))
        Path(files.ca).write_bytes(b"".join(authorities))
        chain = (pem.bytes() for pem in issued.cert_chain_pems)
        Path(files.certificate).write_bytes(b"".join(chain))
        Path(files.key).write_bytes(issued.private_key_pem.bytes())
        return files


class Vm:
    """A VM with a peer network and its inbox."""

    def __init__(self, name, tls, link_settings=None, inbox_size=1000):
        self.id = VmId(name)
        settings = ProcessSettings(
            vm=name,
            zone="z",
            region="r",
            listen=ANY_PORT,
            operator=ANY_PORT,
            peer=ANY_PORT,
            tls=tls,
        )
        inbox, self.received = trio.open_memory_channel(inbox_size)
        self.network = fleet.PeerNetwork(
            settings,
            Incarnation(7),
            MonotonicClock(),
            inbox,
            random.Random(name),
            link_settings,
        )

    @property
    def counters(self):
        return self.network.stats().counters

    def set_peers(self, *others, through=None):
        addresses = {
            vm.id: fleet.PeerAddress(
                vm.id, through or vm.network.address, ZoneId("z"), RegionId("r")
            )
            for vm in others
        }
        self.network.set_peers(addresses)

    def send(self, to, number):
        self.network.send(Outgoing(to.id, PingRequest(number, self.id)))

    async def receive(self):
        received = await self.received.receive()
        return received.sender, received.message.sequence

    async def send_until_received(self, to, number):
        """Send the same message repeatedly until ``to`` has received it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, to, number)
            while await to.receive() != (self.id, number):
                pass
            nursery.cancel_scope.cancel()

    async def _repeat(self, to, number):
        while True:
            self.send(to, number)
            await trio.sleep(0.05)

    async def wait_for(self, condition):
        """Wait until ``condition`` is true for the counters."""
        while not condition(self.counters):
            await trio.sleep(0.01)


class Relay:
    """Forwards connections to ``target``; silenced ones stay open but pass no data."""

    def __init__(self, target):
        self.target = target
        self.silenced = set()
        self.connections = []

    async def run(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        task_status.started(f"{host}:{port}")
        await trio.serve_listeners(self._serve, listeners)

    def silence_open_connections(self):
        self.silenced.update(self.connections)

    async def _serve(self, stream):
        connection = object()
        self.connections.append(connection)
        host, port = self.target.split(":")
        with contextlib.suppress(trio.BrokenResourceError):
            async with await trio.open_tcp_stream(host, int(port)) as upstream:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._forward, connection, stream, upstream)
                    nursery.start_soon(self._forward, connection, upstream, stream)

    async def _forward(self, connection, source, sink):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                if connection in self.silenced:
                    await trio.sleep_forever()
                await sink.send_all(data)
            await sink.send_eof()


def run(scenario, *arguments):
    """Run ``scenario(nursery, ...)``, then cancel the tasks it started."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await scenario(nursery, *arguments)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def start(nursery, *vms):
    for vm in vms:
        await nursery.start(vm.network.run)
    for vm in vms:
        vm.set_peers(*(other for other in vms if other is not vm))
