from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from edge.builders import DESK
from edge.builders import catalogue
from edge.builders import edge_settings
from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold.edge import Entry
from yuccafold.edge import HistoryLostError
from yuccafold.edge import PlatformChanges
from yuccafold.edge import PlatformState
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import SocketAddress
from yuccafold.edge import TargetGone
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._reader import ViewReader
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView

SEEDS = tuple(SocketAddress("10.0.0.1", 7_000 + n) for n in range(3))
APPLY = 2_000


class TrioClock:
    """The clock of a trio run whose time passes by itself when all tasks wait."""

    def now(self):
        return Milliseconds(round(trio.current_time() * 1000))


FACTS = []


def decode(entry):
    """Return the fact that an entry of ``Store`` stands for."""
    if entry.value is None:
        return TargetGone(entry.key.split("/")[1])
    return FACTS[int(entry.value)]


class Store:
    """A store whose changes, silence and lost history a test sets."""

    name = "store"

    def __init__(self):
        self.table = EntryTable()
        self.down = False
        self.deaf = False
        self.lost = 0
        self.reads = 0
        self.lists = 0
        self.watches = 0
        self._revision = 0
        self._changed = trio.Event()
        self.put("op/config", catalogue(version=1))
        self.put("servers/t1", target("t1"))

    @property
    def calls(self):
        return self.reads + self.lists + self.watches

    def put(self, key, fact):
        self._revision += 1
        value = None if fact is None else str(len(FACTS)).encode()
        FACTS.append(fact)
        self.table.take([Entry(key, self._revision, value)], self._revision)
        self._changed.set()
        self._changed = trio.Event()

    def cut_watches(self):
        self._changed.set()
        self._changed = trio.Event()

    async def read_all(self):
        self.lists += 1
        await self._answer()
        return PlatformState(tuple(self.table.present()), self._revision)

    async def changes(self, after, wait):
        if wait:
            self.watches += 1
            with trio.move_on_after(wait / 1000):
                while not self.down and (self.deaf or not self.table.since(after)):
                    await self._changed.wait()
        else:
            self.reads += 1
        await self._answer()
        if after < self.lost:
            raise HistoryLostError("compacted")
        return PlatformChanges(tuple(self.table.since(after)), self._revision)

    async def _answer(self):
        await trio.sleep(0.004)
        if self.down:
            raise PlatformUnavailableError("told to be down")


class Peer:
    """Another VM that is asked, with the view of ``node``."""

    def __init__(self, name, node):
        self.name = name
        self.node = node
        self.asked = 0
        self.silent = False

    async def read_all(self):
        await self._answer()
        entries = tuple(self.node.table.present())
        return PlatformState(entries, self.node.table.position, self.node.age)

    async def changes(self, after, wait):
        await self._answer()
        return PlatformChanges(
            tuple(self.node.table.since(after)),
            self.node.table.position,
            self.node.age,
            self.node.view.in_outage(TrioClock().now()),
        )

    async def _answer(self):
        self.asked += 1
        if self.silent:
            await trio.sleep(0.4)
            raise PlatformUnavailableError("no answer in time")
        await trio.sleep(0.002)
        if self.node.age is None:
            raise PlatformUnavailableError("status 503")


class Node:
    """The reader of one VM."""

    def __init__(self, store, peers, settings, seed):
        self.view = PlatformView(settings.drain_within)
        self.table = EntryTable()
        rng = random.Random(seed)
        self.reader = ViewReader(
            TrioClock(),
            rng,
            settings,
            store,
            peers,
            decode,
            self.table,
            self.view,
            Targets(self.view, settings, rng),
            EdgeMetrics(),
        )

    @property
    def age(self):
        return self.view.age(TrioClock().now())

    @property
    def ready_ids(self):
        known = self.view.ready(DESK, TrioClock().now())
        return [each.record.id for each in known]


def run_nodes(make, scenario, seconds=90):
    """Run ``scenario(store, nodes)`` beside the nodes' readers on virtual time."""

    async def run():
        store = Store()
        nodes = make(store)
        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(node.reader.run)
            with trio.fail_after(seconds):
                while not all(node.age is not None for node in nodes):
                    await trio.sleep(0.01)
                await scenario(store, nodes)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def play(scenario):
    """Run ``scenario(store, node)`` beside one VM that has no seeds."""

    async def alone(store, nodes):
        await scenario(store, nodes[0])

    run_nodes(lambda store: [Node(store, [], edge_settings(), 1)], alone)


def test_change_is_in_force_at_once():
    async def scenario(store, node):
        store.put("op/config", catalogue(version=2))
        store.put("servers/t2", target("t2"))
        await trio.sleep(0.2)
        assert node.view.version == 2
        assert node.ready_ids == ["t1", "t2"]

    play(scenario)


def test_view_is_confirmed_well_within_the_lifetime_of_keys():
    async def scenario(store, node):
        oldest = 0
        for _ in range(400):
            await trio.sleep(0.05)
            oldest = max(oldest, node.age)
        # An outage that begins at any time leaves three fifths of the lifetime.
        assert oldest <= 2_050

    play(scenario)


def test_quiet_platform_costs_one_call_in_two_seconds():
    async def scenario(store, node):
        before = store.calls
        await trio.sleep(20)
        assert store.calls - before <= 12

    play(scenario)


def test_burst_of_changes_is_gathered():
    async def scenario(store, node):
        before = store.watches
        for version in range(2, 42):
            store.put("op/config", catalogue(version=version))
            await trio.sleep(0.01)
        await trio.sleep(0.3)
        assert node.view.version == 41
        assert store.watches - before <= 6

    play(scenario)


def test_outage_ages_the_view_and_its_end_renews_it():
    async def scenario(store, node):
        store.down = True
        await trio.sleep(6)
        assert node.age >= 6_000
        store.put("op/config", catalogue(version=7))
        store.down = False
        await trio.sleep(1)
        assert node.age <= 1_000
        assert node.view.version == 7

    play(scenario)


def test_changes_are_pushed_again_after_an_outage():
    async def scenario(store, node):
        store.down = True
        store.cut_watches()
        await trio.sleep(6)
        store.down = False
        await trio.sleep(1.5)
        # The confirmation that follows comes in two seconds.
        store.put("op/config", catalogue(version=7))
        await trio.sleep(0.1)
        assert node.view.version == 7

    play(scenario)


def test_lost_history_is_read_from_a_list():
    async def scenario(store, node):
        store.lost = 99
        store.put("servers/t1", None)
        store.put("op/config", catalogue(version=3))
        store.put("servers/t2", target("t2"))
        store.lost = store.table.position
        await trio.sleep(0.5)
        assert store.lists >= 2
        assert node.view.version == 3
        assert node.ready_ids == ["t2"]

    play(scenario)


def test_deaf_watch_is_replaced_when_the_confirmation_finds_changes():
    async def scenario(store, node):
        await trio.sleep(1)
        store.deaf = True
        store.put("op/config", catalogue(version=2))
        await trio.sleep(2.5)
        assert node.view.version == 2
        await trio.sleep(2)
        store.deaf = False
        store.put("op/config", catalogue(version=3))
        await trio.sleep(0.3)
        assert node.view.version == 3

    play(scenario)


def fleet(size):
    """Return what makes a fleet of three seeds and ``size`` VMs that ask them."""

    def make(store):
        nodes = []
        peers = []
        for number, address in enumerate(SEEDS):
            settings = edge_settings(seeds=SEEDS, peers=address)
            others = [peer for peer in peers if peer.name != str(address)]
            nodes.append(Node(store, others, settings, number))
            peers.append(Peer(str(address), nodes[-1]))
        for number in range(size):
            own = SocketAddress("10.0.0.9", 7_000 + number)
            settings = edge_settings(seeds=SEEDS, peers=own)
            asked = [Peer(peer.name, peer.node) for peer in peers]
            nodes.append(Node(store, asked, settings, 100 + number))
            nodes[-1].asked = asked
        return nodes

    return make


def test_calls_to_the_store_do_not_grow_with_the_fleet():
    counts = {}

    def count(size):
        async def scenario(store, nodes):
            before = store.calls
            await trio.sleep(20)
            counts[size] = store.calls - before

        run_nodes(fleet(size), scenario)

    count(5)
    count(60)
    assert counts[60] == counts[5] <= 3 * 32


def test_vms_do_not_press_a_store_that_is_down():
    outage_s = 8
    counts = {}

    def count(size):
        async def scenario(store, nodes):
            await trio.sleep(3)
            before = store.calls
            store.down = True
            await trio.sleep(outage_s)
            counts[size] = store.calls - before
            store.down = False
            await trio.sleep(1.5)
            assert all(node.age < 1_500 for node in nodes)

        run_nodes(fleet(size), scenario)

    count(5)
    count(65)
    # One call in a quarter of a key's lifetime of 5 s, and the first one.
    assert counts[65] - counts[5] <= 60 * (outage_s / 1.25 + 1)


def test_change_reaches_every_vm_of_a_fleet_in_time():
    async def scenario(store, nodes):
        store.put("op/config", catalogue(version=2))
        await trio.sleep(0.8)
        assert {node.view.version for node in nodes} == {2}

    run_nodes(fleet(20), scenario)


@pytest.mark.parametrize("down", [1, 2, 3])
def test_change_is_in_force_in_time_though_seeds_fall_silent(down):
    async def scenario(store, nodes):
        await trio.sleep(3)
        askers = nodes[3:]
        for node in askers:
            for peer in node.asked[:down]:
                peer.silent = True
        store.put("op/config", catalogue(version=2))
        store.put("servers/t1", None)
        await trio.sleep(APPLY / 1000 - 0.1)
        assert {node.view.version for node in askers} == {2}
        assert {tuple(node.ready_ids) for node in askers} == {()}

    run_nodes(fleet(12), scenario)


def test_change_is_in_force_in_time_though_seeds_lost_the_platform():
    async def scenario(store, nodes):
        await trio.sleep(3)
        seeds, askers = nodes[:3], nodes[3:]
        cut_off = Store()
        cut_off.down = True
        for node in seeds:
            node.reader._store = cut_off
            node.reader._choice._sources = [cut_off]
            if node.reader._watch is not None:
                node.reader._watch.cancel()
        store.put("op/config", catalogue(version=2))
        await trio.sleep(APPLY / 1000 - 0.1)
        assert {node.view.version for node in askers} == {2}

    run_nodes(fleet(12), scenario)


def test_vm_that_lost_the_platform_keeps_a_fresh_view_by_others():
    async def scenario(store, nodes):
        cut_off = Store()
        cut_off.down = True
        last = nodes[-1]
        last.reader._store = cut_off
        await trio.sleep(8)
        assert last.age <= 3_000

    run_nodes(fleet(4), scenario)


def test_new_seeds_are_asked_instead_of_the_old_ones():
    async def scenario(store, nodes):
        seeds, asker = nodes[:3], nodes[-1]
        moved = tuple(SocketAddress("10.0.0.5", 7_000 + n) for n in range(2))
        peers = [Peer(str(moved[n]), seeds[n]) for n in range(2)]
        asker.reader.use(edge_settings(seeds=moved, peers=SEEDS[0]), peers)
        old = [peer.asked for peer in asker.asked]
        store.put("op/config", catalogue(version=2))
        await trio.sleep(2)
        assert asker.view.version == 2
        assert sum(peer.asked for peer in peers) >= 3
        assert [peer.asked for peer in asker.asked] == old

    run_nodes(fleet(2), scenario)


def test_vm_that_became_a_seed_follows_the_store():
    async def scenario(store, nodes):
        asker = nodes[-1]
        before = store.watches
        own = SocketAddress("10.0.0.9", 7_001)
        asker.reader.use(edge_settings(seeds=(own,), peers=own), [])
        await trio.sleep(1.5)
        assert store.watches > before
        store.put("op/config", catalogue(version=2))
        await trio.sleep(0.1)
        assert asker.view.version == 2

    run_nodes(fleet(2), scenario)


def test_age_of_a_view_is_never_less_than_the_platforms_own_word():
    async def scenario(store, nodes):
        await trio.sleep(3)
        store.down = True
        down_since = TrioClock().now()
        for _ in range(30):
            await trio.sleep(0.2)
            silent = TrioClock().now() - down_since
            assert all(node.age >= silent - 10 for node in nodes)

    run_nodes(fleet(6), scenario)
