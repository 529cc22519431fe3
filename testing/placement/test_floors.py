from __future__ import annotations

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import VmId
from yuccafold.placement import LedgerSettings
from yuccafold.placement._floors import GivenFloors
from yuccafold.placement._floors import TakenFloors

SERVICE = ServiceId("chat")
SENDER, OWNER = VmId("sender"), VmId("owner")
SETTINGS = LedgerSettings(floor_lease_ms=Milliseconds(2_000))
OWNER_CLOCK = 500_000
"""What the owner's clock shows when the sender's shows 0."""


class Pair:
    def __init__(self):
        self.given = GivenFloors(Incarnation(7), SETTINGS)
        self.taken = TakenFloors(Incarnation(9), SETTINGS)
        self.given.receivers_changed([OWNER])

    def promise(self, in_flight, now):
        (out,) = self.given.messages({SERVICE: in_flight}, [OWNER], now)
        return out.message

    def arrive(self, message, now):
        return self.taken.on_floors(SENDER, message, (), OWNER_CLOCK + now)

    def exchange(self, in_flight, now):
        reply = self.arrive(self.promise(in_flight, now), now)
        self.given.on_reply(OWNER, reply, now)

    def total(self, now):
        return self.taken.total(SERVICE, Milliseconds(OWNER_CLOCK + now))


def test_first_floor_counts_only_once_the_owner_gave_a_stamp():
    pair = Pair()
    pair.exchange(5, 0)
    assert pair.total(0) == 0
    pair.exchange(5, 1_000)
    assert pair.total(1_000) == 5


def test_floor_lapses_when_its_lease_ends_by_the_stamp_and_not_the_arrival():
    pair = Pair()
    pair.exchange(5, 0)
    late = pair.promise(5, 1_000)
    pair.arrive(late, 1_900)
    assert pair.total(1_999) == 5
    assert pair.total(2_000) == 0


def test_sender_is_bound_at_least_as_long_as_the_owner_counts():
    pair = Pair()
    pair.exchange(5, 0)
    pair.arrive(pair.promise(5, 1_000), 1_900)
    for now in range(1_900, 2_100):
        assert pair.given.bound(SERVICE, now) >= pair.total(now)


def test_sender_stays_bound_by_the_higher_floor_until_the_lower_is_acknowledged():
    pair = Pair()
    pair.exchange(5, 0)
    pair.exchange(5, 1_000)
    lower = pair.promise(2, 1_010)
    assert pair.given.bound(SERVICE, 1_010) == 5
    pair.given.on_reply(OWNER, pair.arrive(lower, 1_012), 1_014)
    assert pair.given.bound(SERVICE, 1_014) == 2
    assert pair.total(1_014) == 2


def test_floors_that_arrive_out_of_order_never_raise_the_count_again():
    pair = Pair()
    pair.exchange(5, 0)
    higher = pair.promise(5, 1_000)
    pair.given.on_reply(OWNER, pair.arrive(higher, 1_000), 1_000)
    pair.arrive(pair.promise(2, 1_001), 1_001)
    pair.arrive(higher, 1_002)
    assert pair.total(1_002) == 2


def test_stamp_of_an_earlier_process_of_the_owner_gives_no_lease():
    pair = Pair()
    pair.exchange(5, 0)
    message = pair.promise(5, 1_000)
    restarted = TakenFloors(Incarnation(10), SETTINGS)
    restarted.on_floors(SENDER, message, (), Milliseconds(OWNER_CLOCK + 1_000))
    assert restarted.total(SERVICE, Milliseconds(OWNER_CLOCK + 1_000)) == 0
