from __future__ import annotations

import random
from dataclasses import replace

import pytest

from yuccafold import fleet
from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold.bench._virtual_fleet import START_UNIX_MS
from yuccafold.bench._virtual_fleet import Faults
from yuccafold.bench._virtual_fleet import VirtualFleet
from yuccafold.fleet._messages import Ack
from yuccafold.fleet._messages import MemberUpdate
from yuccafold.fleet._messages import Ping
from yuccafold.fleet._messages import Sync

ALIVE = fleet.MemberStatus.ALIVE
DEAD = fleet.MemberStatus.DEAD
SETTLED_MS = 10_000
DETECTED_MS = 15_000


def settled_fleet(size, **options):
    virtual = VirtualFleet(size, seed=7, **options)
    virtual.run(SETTLED_MS)
    virtual.events.clear()
    return virtual


def view(virtual, vm):
    return virtual.virtual_vms[vm].membership.view


def declared_dead(virtual):
    changes = [event for _, event in virtual.events]
    return [event.vm for event in changes if event.change is fleet.MemberChange.DEAD]


def test_all_vms_learn_every_incarnation():
    virtual = settled_fleet(8)
    for vm in virtual.vms:
        assert view(virtual, vm).reachable == set(virtual.vms)
        for other in virtual.vms:
            known = view(virtual, vm).incarnation(other)
            assert known == virtual.virtual_vms[other].incarnation


def test_stopped_vm_is_declared_dead_and_its_restart_is_seen():
    virtual = settled_fleet(8)
    stopped, *rest = virtual.vms
    virtual.stop(stopped)
    virtual.run(DETECTED_MS)
    assert all(view(virtual, vm).members[stopped].status is DEAD for vm in rest)
    assert set(declared_dead(virtual)) == {stopped}
    virtual.start(stopped)
    virtual.publish(to=[stopped])
    virtual.run(DETECTED_MS)
    incarnation = virtual.virtual_vms[stopped].incarnation
    for vm in rest:
        member = view(virtual, vm).members[stopped]
        assert member.status is ALIVE
        assert member.incarnation == incarnation


def test_pauses_and_message_loss_declare_no_vm_dead():
    virtual = settled_fleet(8, faults=Faults(loss=0.05))
    for vm in virtual.vms:
        virtual.pause(vm, 2_000)
        virtual.run(7_000)
    assert declared_dead(virtual) == []


def test_paused_vm_declares_no_other_vm_dead():
    virtual = settled_fleet(8)
    paused = virtual.vms[0]
    virtual.pause(paused, 60_000)
    virtual.run(60_000 + DETECTED_MS)
    assert set(declared_dead(virtual)) == {paused}
    assert all(view(virtual, vm).members[paused].reachable for vm in virtual.vms)


@pytest.mark.parametrize("cut_zones", [{"zone-0-0"}, {"zone-0-0", "zone-0-1"}])
def test_fleet_stays_connected_when_zones_are_lost(cut_zones):
    virtual = settled_fleet(18)
    lost = {
        vm
        for vm, member in virtual.virtual_vms.items()
        if member.entry.zone in cut_zones
    }
    for vm in lost:
        virtual.stop(vm)
    virtual.run(2 * DETECTED_MS)
    assert set(declared_dead(virtual)) == lost
    for vm in set(virtual.vms) - lost:
        assert view(virtual, vm).reachable == set(virtual.vms) - lost


def test_regions_rejoin_after_a_partition():
    virtual = settled_fleet(12)
    region = {vm: member.entry.region for vm, member in virtual.virtual_vms.items()}
    virtual.faults.severed = lambda one, other: region[one] != region[other]
    virtual.run(60_000)
    for vm in virtual.vms:
        own = {other for other in virtual.vms if region[other] == region[vm]}
        assert view(virtual, vm).reachable == own
    virtual.faults.severed = None
    virtual.run(30_000)
    for vm in virtual.vms:
        assert view(virtual, vm).reachable == set(virtual.vms)


def test_restarted_vm_learns_every_incarnation():
    virtual = settled_fleet(24)
    virtual.run(30_000)
    restarted = virtual.vms[0]
    virtual.stop(restarted)
    virtual.start(restarted)
    virtual.publish(to=[restarted])
    virtual.run(SETTLED_MS)
    for other in virtual.vms:
        known = view(virtual, restarted).incarnation(other)
        assert known == virtual.virtual_vms[other].incarnation


def test_one_cut_path_raises_no_suspicion():
    virtual = settled_fleet(8)
    cut = set(virtual.vms[:2])
    virtual.faults.severed = lambda one, other: {one, other} == cut
    virtual.run(60_000)
    assert virtual.events == []


def test_leaving_is_spread_and_leave_messages_declare_the_vm_dead():
    virtual = settled_fleet(6)
    leaver, *rest = virtual.vms
    virtual.virtual_vms[leaver].membership.announce_leaving()
    virtual.run(5_000)
    assert all(view(virtual, vm).members[leaver].leaving for vm in rest)
    virtual.send(leaver, virtual.virtual_vms[leaver].membership.leave_messages())
    virtual.stop(leaver)
    virtual.run(1_500)
    assert leaver in declared_dead(virtual)


def test_unlisted_vm_stays_in_view_while_it_is_in_contact():
    virtual = settled_fleet(6)
    newcomer, *rest = virtual.vms
    shorter = virtual.snapshot(without=[newcomer])
    for vm in rest:
        now = Milliseconds(virtual.now)
        virtual.virtual_vms[vm].membership.apply_vm_list(shorter, now)
    virtual.run(SETTLED_MS)
    partner = virtual.virtual_vms[newcomer].membership.partners[0]
    assert newcomer in view(virtual, partner).reachable
    assert newcomer not in view(virtual, partner).listed
    virtual.stop(newcomer)
    virtual.run(20_000)
    assert all(newcomer not in view(virtual, vm).reachable for vm in rest)


def make_membership():
    entries = VirtualFleet(3, seed=1).snapshot().vms
    membership = fleet.Membership(
        fleet.MembershipSettings(),
        entries[0],
        Incarnation(START_UNIX_MS),
        Milliseconds(0),
        random.Random(1),
    )
    membership.apply_vm_list(fleet.VmListSnapshot(5, entries), Milliseconds(0))
    return membership, entries


def tick_at(membership, *times):
    return [item for now in times for item in membership.tick(Milliseconds(now))]


def test_ping_in_flight_during_a_pause_raises_no_suspicion():
    """Its answer may have been missed while this process was paused."""
    membership, _ = make_membership()
    assert tick_at(membership, 500, 1_000)
    tick_at(membership, *range(60_000, 61_600, 100))
    statuses = {member.status for member in membership.view.members.values()}
    assert statuses == {ALIVE}


def test_suspicion_does_not_expire_during_a_pause():
    """A refutation may have been missed while this process was paused."""
    membership, entries = make_membership()
    suspect = fleet.MemberStatus.SUSPECT
    report = MemberUpdate(entries[1].id, Incarnation(5), 0, suspect, False)
    membership.handle(entries[2].id, Sync((report,)), Milliseconds(10))
    tick_at(membership, 100, 60_000)
    assert membership.view.members[entries[1].id].status is suspect
    tick_at(membership, *range(60_100, 66_500, 100))
    assert membership.view.members[entries[1].id].status is DEAD


def test_second_hand_report_only_suspects_a_vm_in_recent_contact():
    membership, entries = make_membership()
    own_update = MemberUpdate(entries[1].id, Incarnation(5), 0, ALIVE, False)
    membership.handle(own_update.vm, Ack(1, own_update, (), ()), Milliseconds(10))
    report = replace(own_update, status=DEAD)
    membership.handle(entries[2].id, Sync((report,)), Milliseconds(20))
    status = membership.view.members[own_update.vm].status
    assert status is fleet.MemberStatus.SUSPECT


def test_later_incarnation_of_the_local_vm_supersedes_it():
    membership, entries = make_membership()
    later = Incarnation(START_UNIX_MS + 5)
    report = MemberUpdate(entries[0].id, later, 0, ALIVE, False)
    membership.handle(entries[1].id, Sync((report,)), Milliseconds(10))
    assert membership.superseded_by == later


def test_implausible_and_impersonated_updates_are_refused():
    membership, entries = make_membership()
    one, other = entries[1].id, entries[2].id
    future = Incarnation(START_UNIX_MS + 10**9)
    update = MemberUpdate(one, future, 0, DEAD, False)
    membership.handle(other, Sync((update,)), Milliseconds(10))
    ping = Ping(1, replace(update, incarnation=Incarnation(1)), 0, (), ())
    assert membership.handle(other, ping, Milliseconds(10)) == []
    assert membership.refused_updates == 2
    assert one in membership.view.reachable


def test_report_that_the_local_vm_is_dead_is_refuted():
    membership, entries = make_membership()
    peer = entries[1].id
    report = MemberUpdate(entries[0].id, Incarnation(START_UNIX_MS), 3, DEAD, False)
    sender = MemberUpdate(peer, Incarnation(START_UNIX_MS), 0, ALIVE, False)
    ping = Ping(9, sender, 0, (report,), ())
    ack = membership.handle(peer, ping, Milliseconds(10))[0].message
    assert isinstance(ack, Ack)
    assert ack.sender.refutation == 4
    assert ack.sender.status is ALIVE


def test_older_list_is_ignored_until_it_persists():
    membership, entries = make_membership()
    older = fleet.VmListSnapshot(4, entries[:1])
    membership.apply_vm_list(older, Milliseconds(10))
    assert len(membership.view.listed) == 3
    membership.apply_vm_list(older, Milliseconds(30_010))
    assert len(membership.view.listed) == 1
    assert [listed.version for listed in membership.view.lists] == [5, 4]
