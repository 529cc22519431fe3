from __future__ import annotations

import json
import random
from dataclasses import replace

import xxhash
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.bench._settings_world import SettingsWorld
from yuccafold.replica import NO_REVISION
from yuccafold.replica import Outcome
from yuccafold.replica import Readiness
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import RevisionId
from yuccafold.replica import SettingsAdvert
from yuccafold.replica import SettingsChange
from yuccafold.replica import SettingsReplica
from yuccafold.replica import SettingsRequest
from yuccafold.replica import read_revision
from yuccafold.replica._patch import difference
from yuccafold.replica._patch import pack

VMS = tuple(VmId(f"vm-{number}") for number in range(6))
NOW = Milliseconds(0)
SMALL_CHUNKS = ReplicaOptions(chunk_bytes=64, log_entries=2, push_limit_bytes=90)


def tree(revision, attempts=3, accounts=4):
    names = "".join(f"  account-{n}: {{}}\n" for n in range(accounts))
    return (
        f"revision: {revision}\ndefaults: {{max_attempts: {attempts}}}\n"
        f"accounts:\n{names}"
    )


def new_replica(vm="vm-0"):
    return SettingsReplica(
        VmId(vm), Incarnation(1), ReplicaOptions(), random.Random(1), NOW
    )


def advert(revision, *, ready=True):
    return SettingsAdvert(Incarnation(1), revision, ready, ())


def test_refused_text_leaves_the_last_accepted_in_force():
    replica = new_replica()
    assert replica.offer(tree(1), NOW).outcome is Outcome.ACCEPTED
    result = replica.offer(tree(2, attempts=99), NOW)
    assert result.outcome is Outcome.REFUSED
    assert [(fault.path, fault.line) for fault in result.faults] == [
        ("defaults.max_attempts", 2)
    ]
    assert replica.revision.number == 1
    assert replica.status(NOW).refused.faults == result.faults


def test_older_text_is_stale():
    replica = new_replica()
    replica.offer(tree(5), NOW)
    assert replica.offer(tree(4), NOW).outcome is Outcome.STALE
    assert replica.revision.number == 5
    assert replica.status(NOW).counts.stale == 1


def test_conflicting_contents_converge_in_either_order():
    revisions = set()
    for order in ((2, 4), (4, 2)):
        replica = new_replica()
        outcomes = [replica.offer(tree(1, attempts), NOW).outcome for attempts in order]
        assert outcomes[1] in (Outcome.ACCEPTED, Outcome.CONFLICT)
        assert replica.status(NOW).counts.conflicts == 1
        revisions.add(replica.revision)
    assert len(revisions) == 1


def test_change_with_an_unexpected_result_is_dropped():
    replica = new_replica()
    replica.set_partners((VmId("vm-1"),))
    replica.offer(tree(1), NOW)
    other = new_replica("vm-1")
    other.set_partners((VmId("vm-0"),))
    other.offer(tree(1), NOW)
    change = other.offer(tree(2), NOW).outgoing[0].message
    wrong = RevisionId(change.revision.number, b"12345678")
    for bad in (replace(change, revision=wrong), replace(change, patch=b"no patch")):
        answers = replica.handle(VmId("vm-1"), bad, NOW)
        assert [entry.message for entry in answers] == [SettingsRequest(NO_REVISION)]
        assert replica.revision.number == 1
    assert replica.status(NOW).counts.malformed == 2
    replica.handle(VmId("vm-1"), change, NOW)
    assert replica.revision == change.revision


def test_revision_that_this_release_refuses_is_not_fetched_again():
    replica = new_replica()
    replica.offer(tree(1), NOW)
    base = read_revision(tree(1)).unwrap()
    newer = base.canonical.replace(b'"revision":1', b'"new_key":1,"revision":2')
    revision = RevisionId(2, xxhash.xxh3_64_digest(newer))
    patch = pack(difference(json.loads(base.canonical), json.loads(newer)))
    replica.handle(VMS[1], SettingsChange(base.id, revision, patch), NOW)
    status = replica.status(NOW)
    assert (status.number, status.counts.refused) == (1, 1)
    assert status.refused.faults[0].path == "new_key"
    answers = replica.handle(VMS[1], advert(revision), NOW)
    assert SettingsRequest not in {type(entry.message) for entry in answers}


def test_starting_vm_waits_for_newest_revision_of_a_serving_peer():
    replica = new_replica()
    assert replica.readiness(NOW) is Readiness.NO_VM_LIST
    replica.set_listed(frozenset(VMS))
    replica.offer(tree(1), NOW)
    assert replica.readiness(NOW) is Readiness.WAITING_FOR_PEERS
    replica.handle(VMS[1], advert(RevisionId(2, b"x" * 8)), NOW)
    assert replica.readiness(NOW) is Readiness.CATCHING_UP
    replica.offer(tree(3), NOW)
    assert replica.readiness(NOW) is Readiness.READY


def test_vm_starts_without_ready_peers_once_all_are_known():
    replica = new_replica()
    replica.set_listed(frozenset(VMS[:3]))
    replica.offer(tree(1), NOW)
    replica.handle(VMS[1], advert(replica.revision, ready=False), NOW)
    assert replica.readiness(NOW) is Readiness.WAITING_FOR_PEERS
    replica.handle(VMS[2], advert(replica.revision, ready=False), NOW)
    assert replica.readiness(NOW) is Readiness.READY


def test_vm_alone_on_the_list_waits_only_for_the_service():
    replica = new_replica()
    replica.set_listed(frozenset(VMS[:1]))
    assert replica.readiness(NOW) is Readiness.NO_REVISION
    replica.offer(tree(1), NOW)
    assert replica.readiness(NOW) is Readiness.READY


def test_vm_renews_its_view_after_a_pause():
    replica = new_replica()
    replica.set_listed(frozenset(VMS))
    replica.offer(tree(1), NOW)
    replica.handle(VMS[1], advert(replica.revision), NOW)
    assert replica.readiness(NOW) is Readiness.READY
    replica.record_pause()
    assert replica.readiness(NOW) is Readiness.RENEWING
    replica.handle(VMS[1], advert(replica.revision), NOW)
    assert replica.readiness(NOW) is Readiness.READY


def test_fleet_becomes_ready_and_a_restarted_vm_gets_the_tree_in_chunks():
    world = SettingsWorld(VMS, 2, seed=1, options=SMALL_CHUNKS)
    for vm in VMS:
        world.offer(vm, tree(1))
    world.advance(10_000)
    now = world.now
    assert {replica.readiness(now) for replica in world.replicas.values()} == {
        Readiness.READY
    }
    world.restart(VMS[3])
    world.advance(5_000)
    assert world.replicas[VMS[3]].revision == world.replicas[VMS[0]].revision
    assert world.replicas[VMS[3]].readiness(world.now) is Readiness.READY


def test_status_lists_lagging_vms():
    world = SettingsWorld(VMS, 4, seed=1)
    for vm in VMS:
        world.offer(vm, tree(1))
    world.advance(3_000)
    world.stop(VMS[2])
    world.offer(VMS[0], tree(2))
    world.advance(20_000)
    status = world.replicas[VMS[5]].status(world.now)
    assert status.vms_by_revision == {1: 1, 2: 5}
    assert status.lagging == (VMS[2],)


class Fleet(RuleBasedStateMachine):
    """Readers of a stale and faulty service on a lossy, parted network."""

    vms = st.sampled_from(VMS)

    def __init__(self):
        super().__init__()
        self.world = SettingsWorld(VMS, 4, seed=7, options=SMALL_CHUNKS)
        self.texts = [tree(1)]
        self.newest = 0

    @rule(
        attempts=st.integers(1, 11),
        accounts=st.integers(0, 30),
        conflicting=st.booleans(),
    )
    def publish(self, attempts, accounts, conflicting):
        step = 0 if conflicting else 1
        self.texts.append(tree(len(self.texts) + step, attempts, accounts))

    @rule(vm=vms, age=st.integers(0, 3))
    def read_service(self, vm, age):
        result = self.world.offer(vm, self.texts[max(0, len(self.texts) - 1 - age)])
        assert (result.outcome is Outcome.REFUSED) == bool(result.faults)

    @rule(ms=st.integers(1, 5_000))
    def pass_time(self, ms):
        self.world.advance(ms)

    @rule(loss=st.sampled_from([0.0, 0.3, 0.9]), jitter=st.sampled_from([0, 3_000]))
    def degrade(self, loss, jitter):
        links = self.world.network.links
        links.loss = loss
        links.duplicates = loss / 2
        links.jitter_ms = jitter

    @rule(side=st.sets(vms))
    def part(self, side):
        self.world.network.links.partition(side, VMS)

    @rule(vm=vms)
    def restart(self, vm):
        self.world.network.resume(vm)
        self.world.restart(vm)

    @rule(vm=vms)
    def stop(self, vm):
        self.world.stop(vm)

    @rule(vm=vms)
    def resume(self, vm):
        if vm in self.world.network.stopped:
            self.world.resume(vm)

    def teardown(self):
        links = self.world.network.links
        links.loss = links.duplicates = links.jitter_ms = 0
        links.cut = set()
        for vm in VMS:
            self.resume(vm)
        replicas = self.world.replicas.values()
        newest = max((node.revision for node in replicas), key=lambda r: r.rank)
        self.world.advance(60_000)
        assert {node.revision for node in self.world.replicas.values()} == {newest}


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
