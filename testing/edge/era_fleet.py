"""Plays the views of a fleet on virtual time, with the stand-in store in memory."""

from __future__ import annotations

import json
import random
from collections import Counter
from functools import partial

import trio
from trio.testing import MockClock

from edge.builders import DESK
from edge.builders import edge_settings
from edge.builders import wire_config
from edge.builders import wire_route
from edge.builders import wire_target
from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.edge import SocketAddress
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._gate import Gate
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._peers import PeerSource
from yuccafold.edge._peers import ViewPage
from yuccafold.edge._reader import ViewReader
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView
from yuccafold.edge.reports import FleetReports
from yuccafold.http import CallFailedError
from yuccafold.http._client import HttpAnswer
from yuccafold.platform import StoreSource
from yuccafold.platform import decode
from yuccafold.standins import PlatformStore
from yuccafold.standins import PlatformStoreSettings
from yuccafold.standins import ServedRequest

SEED_COUNT = 3
STORE_ADDRESS = SocketAddress("10.0.0.100", 1)
ERA_FIELDS = ("era", "base_era", "settings")


class TrioClock:
    """The virtual time of a trio run, which jumps ahead when all tasks wait."""

    def now(self):
        return Milliseconds(round(trio.current_time() * 1000))


class MemoryExchange:
    """A call to the stand-in store whose answer is returned instead of sent."""

    def __init__(self, target):
        self.request = ServedRequest("GET", target, (), b"")
        self.answer = None

    async def respond_json(self, status, value, headers=()):
        lowered = tuple(
            (name.lower().encode(), text.encode()) for name, text in headers
        )
        self.answer = HttpAnswer(status, lowered, json.dumps(value).encode())

    async def refuse(self, status, code, text, headers=()):
        await self.respond_json(status, {"error": code}, headers)


class Line:
    """A VM's way to the store or to another VM, which a test can cut."""

    def __init__(self, vm, serve, delay_s):
        self._vm = vm
        self._serve = serve
        self._delay_s = delay_s
        self.is_cut = False

    async def get(self, target, wait=0):
        await self._vm.running()
        if not self.is_cut:
            await trio.sleep(self._delay_s)
            answer = await self._serve(target)
            await self._vm.running()
            if not self.is_cut:
                return answer
        await trio.sleep(0.4)
        raise CallFailedError("no answer in time")

    async def close(self):
        pass


class EraVm:
    """The view of one VM, its reader, and the page that it serves to others."""

    def __init__(self, fleet, number, settings):
        rng = random.Random(number)
        self.fleet = fleet
        self.address = settings.peers
        self.is_earlier_build = False
        self.scope = trio.CancelScope()
        self._resumed = trio.Event()
        self._resumed.set()
        self.table = EntryTable()
        self.view = PlatformView(
            settings.drain_within, evacuate_within=settings.evacuate_within
        )
        self.targets = Targets(self.view, settings, rng)
        self.metrics = EdgeMetrics()
        self.gate = Gate(self.view, settings, rng)
        evidence = self.targets.evidence
        self.page = ViewPage(
            TrioClock(), self.table, self.view, evidence, FleetReports(evidence.topics)
        )
        self.store_line = Line(self, fleet.answer_from_store, 0.004)
        source = StoreSource(STORE_ADDRESS)
        source._read_connection = source._watch_connection = self.store_line
        self.peers = [
            self._peer(seed, evidence) for seed in fleet.seeds if seed is not self
        ]
        self.reader = ViewReader(
            TrioClock(),
            rng,
            settings,
            source,
            [peer for _, peer in self.peers],
            decode,
            self.table,
            self.view,
            self.targets,
            self.metrics,
        )

    def _peer(self, seed, evidence):
        source = PeerSource(
            VmId(str(self.address)), seed.address, self.table, evidence, TrioClock()
        )
        serve = partial(self.fleet.answer_from_seed, seed.address)
        source._connection = Line(self, serve, 0.002)
        return seed, source

    async def run(self):
        with self.scope:
            await self.reader.run()

    async def running(self):
        await self._resumed.wait()

    def pause(self):
        self._resumed = trio.Event()

    def resume(self):
        self._resumed.set()

    async def answer(self, target):
        await self.running()
        status, text = self.page.answer(target)
        if self.is_earlier_build and status == 200:
            text = json.dumps(without_eras(json.loads(text)))
        return HttpAnswer(status, (), text.encode())

    def status(self, path, key):
        """Return the status of a call by the settings in force; 200 if admitted."""
        result = self.gate.admit("fleet.example", path, key, TrioClock().now())
        return result.err_value.status if result.is_err() else 200

    @property
    def ready_ids(self):
        ready = self.view.ready(DESK, TrioClock().now())
        return sorted(each.record.id for each in ready)


def without_eras(answer):
    """Return an answer as an earlier build gives it."""
    rows = [without_eras(row) for row in answer.get("entries", ())]
    kept = {name: value for name, value in answer.items() if name not in ERA_FIELDS}
    return kept | ({"entries": rows} if rows or "entries" in kept else {})


class EraFleet:
    """VMs that read the stand-in store, the operator and the targets behind it."""

    def __init__(self):
        self.store = PlatformStore(PlatformStoreSettings())
        self.store.era = 1
        self.calls = Counter()
        self.seeds = []
        self.vms = []
        self.nursery = None

    async def answer_from_store(self, target):
        self.calls[int(trio.current_time() * 10)] += 1
        exchange = MemoryExchange(target)
        await self.store._handle(exchange)
        return exchange.answer

    async def answer_from_seed(self, address, target):
        """Answer from the seed that runs at ``address`` now, if one does."""
        for seed in self.seeds:
            if seed.address == address:
                return await seed.answer(target)
        raise CallFailedError("connection refused")

    async def restart_seed(self, number, away_s):
        """Stop a seed, and start another one that knows nothing in its place."""
        seed = self.vms[number]
        seed.scope.cancel()
        self.seeds.remove(seed)
        await trio.sleep(away_s)
        others = list(self.seeds)
        self.vms[number] = self._make_vm(number)
        self.seeds = [*others, self.vms[number]]
        self.nursery.start_soon(self.vms[number].run)

    def add_vm(self, number):
        vm = self._make_vm(number)
        if number < SEED_COUNT:
            for other in self.seeds:
                other.peers.append(other._peer(vm, other.targets.evidence))
                other.reader._choice._sources.append(other.peers[-1][1])
            self.seeds.append(vm)
        self.vms.append(vm)
        self.nursery.start_soon(vm.run)
        return vm

    def _make_vm(self, number):
        is_seed = number < SEED_COUNT
        addresses = tuple(SocketAddress(f"10.0.0.{n}", 1) for n in range(SEED_COUNT))
        own = SocketAddress(f"10.0.{number // 200 + 1}.{number % 200}", 1)
        settings = edge_settings(
            vm=VmId(f"vm-{number}"),
            seeds=addresses,
            peers=addresses[number] if is_seed else own,
            evacuate_within=Milliseconds(5_000),
        )
        return EraVm(self, number, settings)

    def restart_all(self):
        """Stop all VMs at once, and start others that know nothing in their place."""
        count = len(self.vms)
        for vm in self.vms:
            vm.scope.cancel()
        self.vms, self.seeds = [], []
        for number in range(count):
            self.add_vm(number)

    def configure(self, version, *paths, keys=("a",)):
        routes = [wire_route(path, "safe") for path in paths]
        self.store.put("op/config", wire_config(*routes, version=version, keys=keys))

    def list_target(self, name, born=1_000, **changes):
        entry = wire_target(f"10.0.1.1:{8000 + int(name[1:])}", born=born, **changes)
        self.store.put(f"servers/{name}", entry)

    def churn(self, count=40):
        """Let a target write often, so that revisions go on."""
        for step in range(count):
            self.list_target("t9", cold_remaining_ms=step)

    async def lose(self, copy, away_s=0.7):
        """Let the store be away, and come back from ``copy``."""
        self.store.refuse_with = 503
        await trio.sleep(away_s)
        self.store.return_from(copy)
        self.store.refuse_with = None

    def calls_between(self, start_s, end_s):
        return sum(
            count
            for tenth, count in self.calls.items()
            if start_s <= tenth / 10 < end_s
        )


def run_fleet(size, scenario, timeout_s=90):
    """Run ``scenario(fleet)`` on virtual time once ``size`` VMs have a view."""

    async def run():
        fleet = EraFleet()
        fleet.configure(2, "/kept/", "/dropped/")
        for number in range(1, 4):
            fleet.list_target(f"t{number}")
        async with trio.open_nursery() as nursery:
            fleet.nursery = nursery
            for number in range(size):
                fleet.add_vm(number)
            with trio.fail_after(timeout_s):
                while not all(vm.reader.first_view.is_set() for vm in fleet.vms):
                    await trio.sleep(0.01)
                await trio.sleep(1)
                await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
