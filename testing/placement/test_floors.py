from __future__ import annotations

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import VmId
from yuccafold.placement import LedgerSettings
from yuccafold.placement._floors import ReceivedFloors
from yuccafold.placement._floors import SentFloors

SERVICE = ServiceId("chat")
SENDER, OWNER = VmId("sender"), VmId("owner")
SETTINGS = LedgerSettings(floor_lease_ms=Milliseconds(2_000))
OWNER_CLOCK = 500_000
"""The time of the owner's clock when the sender's clock is 0."""


class Pair:
    def __init__(self):
        self.sent = SentFloors(Incarnation(7), SETTINGS)
        self.received = ReceivedFloors(Incarnation(9), SETTINGS)
        self.sent.receivers_changed([OWNER])

    def next_floors(self, in_flight, now):
        (out,) = self.sent.messages({SERVICE: in_flight}, [OWNER], now)
        return out.message

    def deliver(self, message, now):
        return self.received.on_floors(SENDER, message, (), OWNER_CLOCK + now)

    def exchange(self, in_flight, now):
        reply = self.deliver(self.next_floors(in_flight, now), now)
        self.sent.on_reply(OWNER, reply, now)

    def total(self, now):
        return self.received.total(SERVICE, Milliseconds(OWNER_CLOCK + now))


def test_floor_is_not_counted_before_the_owner_sent_a_stamp():
    pair = Pair()
    pair.exchange(5, 0)
    assert pair.total(0) == 0
    pair.exchange(5, 1_000)
    assert pair.total(1_000) == 5


def test_lease_starts_at_the_stamp_and_not_at_the_arrival():
    pair = Pair()
    pair.exchange(5, 0)
    late = pair.next_floors(5, 1_000)
    pair.deliver(late, 1_900)
    assert pair.total(1_999) == 5
    assert pair.total(2_000) == 0


def test_sender_is_bound_at_least_as_long_as_the_owner_counts_the_floor():
    pair = Pair()
    pair.exchange(5, 0)
    pair.deliver(pair.next_floors(5, 1_000), 1_900)
    for now in range(1_900, 2_100):
        assert pair.sent.bound(SERVICE, now) >= pair.total(now)


def test_sender_stays_bound_by_the_higher_floor_until_the_lower_is_acknowledged():
    pair = Pair()
    pair.exchange(5, 0)
    pair.exchange(5, 1_000)
    lower = pair.next_floors(2, 1_010)
    assert pair.sent.bound(SERVICE, 1_010) == 5
    pair.sent.on_reply(OWNER, pair.deliver(lower, 1_012), 1_014)
    assert pair.sent.bound(SERVICE, 1_014) == 2
    assert pair.total(1_014) == 2


def test_reordered_floors_do_not_raise_the_count_again():
    pair = Pair()
    pair.exchange(5, 0)
    higher = pair.next_floors(5, 1_000)
    pair.sent.on_reply(OWNER, pair.deliver(higher, 1_000), 1_000)
    pair.deliver(pair.next_floors(2, 1_001), 1_001)
    pair.deliver(higher, 1_002)
    assert pair.total(1_002) == 2


def test_stamp_of_an_earlier_owner_process_gives_no_lease():
    pair = Pair()
    pair.exchange(5, 0)
    message = pair.next_floors(5, 1_000)
    restarted = ReceivedFloors(Incarnation(10), SETTINGS)
    restarted.on_floors(SENDER, message, (), Milliseconds(OWNER_CLOCK + 1_000))
    assert restarted.total(SERVICE, Milliseconds(OWNER_CLOCK + 1_000)) == 0
