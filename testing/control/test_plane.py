from __future__ import annotations

import random
from collections import Counter

import pytest
from result import Ok

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import RegionId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.control import ApplyVmList
from yuccafold.control import ControlPlane
from yuccafold.control import OfferSettings
from yuccafold.control._commands import ClaimCall
from yuccafold.control._commands import ReportCrash
from yuccafold.delivery import Granted
from yuccafold.delivery import body_digest
from yuccafold.delivery import claim_key
from yuccafold.fleet import Received
from yuccafold.fleet import VmListEntry
from yuccafold.fleet import VmListSnapshot
from yuccafold.fleet import decode
from yuccafold.fleet import encode
from yuccafold.replica import read_revision
from yuccafold.settings import ClaimSettings
from yuccafold.settings import Policy
from yuccafold.settings import ProcessSettings

LOCAL = "127.0.0.1:1"
FRAME_BYTES = 60
BUDGET_BYTES_PER_SECOND = 6_144
TREE = """\
revision: 1
services:
  chat:
    kind: model
    paths: [/v1]
    targets:
      - {id: t0, address: "127.0.0.1:2", zone: a}
      - {id: t1, address: "127.0.0.1:3", zone: b}
"""


class Fleet:
    """Control planes that exchange messages through the peer codec."""

    def __init__(self, names):
        self.now = Milliseconds(1_000_000)
        self.bytes = Counter()
        self.planes = {VmId(name): self._plane(VmId(name)) for name in names}
        entries = [
            VmListEntry(vm, LOCAL, ZoneId("a"), RegionId("r")) for vm in self.planes
        ]
        for vm in self.planes:
            self.apply(vm, ApplyVmList(VmListSnapshot(1, tuple(entries))))
            self.apply(vm, OfferSettings(read_revision(TREE)))

    def _plane(self, vm):
        settings = ProcessSettings(
            vm=vm,
            zone="a",
            region="r",
            listen=LOCAL,
            operator=LOCAL,
            peer=LOCAL,
            claims=ClaimSettings(first_start_unix_ms=1_000, first_start_window_ms=100),
        )
        incarnation = Incarnation(1_000)
        rng = random.Random(vm)
        return ControlPlane(settings, incarnation, rng, self.now, lambda tree: None)

    def apply(self, vm, command):
        self._deliver(vm, self.planes[vm].apply(command, self.now))

    def _deliver(self, sender, outgoing):
        for outgoing_message in outgoing:
            data = encode(outgoing_message.message)
            self.bytes[sender] += len(data) + FRAME_BYTES
            message = decode(data)
            assert message == Ok(outgoing_message.message), message
            received = Received(sender, Incarnation(1_000), message.ok_value)
            self.apply(outgoing_message.to, received)

    def run(self, duration):
        for step in range(duration // 50):
            self.now = Milliseconds(self.now + 50)
            for vm, plane in self.planes.items():
                if step % 40 == 0:
                    self.apply(vm, ApplyVmList(None))
                self._deliver(vm, plane.tick(self.now))


@pytest.mark.parametrize("size", [1, 2, 5, 8])
def test_fleet_becomes_ready_with_every_message_encoded_and_decoded(size):
    # The names depend on the size, so that some digests have the top bit set.
    fleet = Fleet([f"vm-{size}-{n}" for n in range(size)])
    fleet.run(30_000)
    for plane in fleet.planes.values():
        assert plane.may_serve(fleet.now)
        assert not plane.once.is_recovering(fleet.now)


def test_idle_control_traffic_stays_within_its_budget():
    fleet = Fleet([f"vm-{n}" for n in range(8)])
    fleet.run(30_000)
    fleet.bytes.clear()
    fleet.run(20_000)
    assert max(fleet.bytes.values()) / 20 <= BUDGET_BYTES_PER_SECOND


def test_claim_is_granted_once_in_the_fleet():
    fleet = Fleet([f"vm-{n}" for n in range(5)])
    fleet.run(30_000)
    commands = [
        ClaimCall(
            CallId(f"call-{vm}"),
            claim_key("acme", "k"),
            body_digest("POST", "/desk", b"body"),
        )
        for vm in fleet.planes
    ]
    for vm, command in zip(fleet.planes, commands, strict=True):
        fleet.apply(vm, command)
    fleet.run(3_000)
    outcomes = [command.reply.value for command in commands]
    assert all(outcome is not None for outcome in outcomes)
    assert sum(isinstance(outcome, Granted) for outcome in outcomes) == 1


def test_crash_report_is_answered_once_peers_know():
    fleet = Fleet([f"vm-{n}" for n in range(3)])
    fleet.run(30_000)
    command = ReportCrash("chat", "t0", Policy())
    fleet.apply(VmId("vm-0"), command)
    fleet.run(3_000)
    assert command.reply.value is True
