from __future__ import annotations

import random

import trio
from trio.testing import MockClock

from edge.builders import DESK
from edge.builders import catalogue
from edge.builders import edge_settings
from edge.builders import target
from yuccafold._clock import Milliseconds
from yuccafold.edge import HistoryLostError
from yuccafold.edge import PlatformChanges
from yuccafold.edge import PlatformState
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import TargetGone
from yuccafold.edge._metrics import EdgeMetrics
from yuccafold.edge._reader import ViewReader
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView


class TrioClock:
    """The clock of a trio run whose time passes by itself when all tasks wait."""

    def now(self):
        return Milliseconds(round(trio.current_time() * 1000))


class ScriptedSource:
    """A platform whose state, silence and lost history a test sets."""

    def __init__(self):
        self.state = PlatformState(catalogue(version=1), (target("t1"),), 1)
        self.log = []
        self.down = False
        self.deaf = False
        self.lost = 0
        self.reads = 0
        self.lists = 0
        self.watches = 0
        self._changed = trio.Event()

    def change(self, *facts):
        self.log.append((self.state.position + len(self.log) + 1, facts))
        self._changed.set()
        self._changed = trio.Event()

    async def read_all(self):
        self.lists += 1
        await self._answer()
        position = self.log[-1][0] if self.log else self.state.position
        return PlatformState(self.state.catalogue, self.state.targets, position)

    async def changes(self, after, wait):
        if not wait:
            self.reads += 1
            return await self._since(after)
        self.watches += 1
        with trio.move_on_after(wait / 1000):
            while self.deaf or not [at for at, _ in self.log if at > after]:
                if self.down:
                    break
                await self._changed.wait()
        return await self._since(after)

    async def _since(self, after):
        await self._answer()
        if after < self.lost:
            raise HistoryLostError("compacted")
        news = [(at, facts) for at, facts in self.log if at > after]
        facts = tuple(fact for _, each in news for fact in each)
        return PlatformChanges(facts, news[-1][0] if news else after)

    async def _answer(self):
        await trio.sleep(0.004)
        if self.down:
            raise PlatformUnavailableError("told to be down")


def play(scenario, seconds=60):
    """Run ``scenario(source, view)`` beside a reader, on virtual time."""

    async def run():
        clock = TrioClock()
        settings = edge_settings()
        source = ScriptedSource()
        view = PlatformView(settings.drain_within)
        targets = Targets(view, settings, random.Random(1))
        reader = ViewReader(
            clock, random.Random(1), settings, source, view, targets, EdgeMetrics()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.run)
            with trio.fail_after(seconds):
                while view.age(clock.now()) is None:
                    await trio.sleep(0.01)
                await scenario(source, view)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def ready_ids(view):
    now = TrioClock().now()
    return [known.record.id for known in view.ready(DESK, now)]


def test_change_is_in_force_at_once():
    async def scenario(source, view):
        source.change(catalogue(version=2), target("t2"))
        await trio.sleep(0.2)
        assert view.version == 2
        assert ready_ids(view) == ["t1", "t2"]

    play(scenario)


def test_view_is_confirmed_well_within_the_lifetime_of_keys():
    async def scenario(source, view):
        oldest = 0
        for _ in range(400):
            await trio.sleep(0.05)
            oldest = max(oldest, view.age(TrioClock().now()))
        # An outage that begins at any time leaves three fifths of the lifetime.
        assert oldest <= 2_050
        assert source.reads <= 11

    play(scenario)


def test_quiet_platform_costs_one_call_in_two_seconds():
    async def scenario(source, view):
        before = source.reads + source.lists + source.watches
        await trio.sleep(20)
        assert source.reads + source.lists + source.watches - before <= 12

    play(scenario)


def test_burst_of_changes_is_gathered():
    async def scenario(source, view):
        before = source.watches
        for version in range(2, 42):
            source.change(catalogue(version=version))
            await trio.sleep(0.01)
        await trio.sleep(0.3)
        assert view.version == 41
        assert source.watches - before <= 6

    play(scenario)


def test_outage_ages_the_view_and_its_end_renews_it():
    async def scenario(source, view):
        source.down = True
        await trio.sleep(6)
        assert view.age(TrioClock().now()) >= 6_000
        source.change(catalogue(version=7))
        source.down = False
        await trio.sleep(1)
        assert view.age(TrioClock().now()) <= 1_000
        assert view.version == 7

    play(scenario)


def test_lost_history_is_read_from_a_list():
    async def scenario(source, view):
        source.change(TargetGone(target("t1").id))
        source.state = PlatformState(catalogue(version=3), (target("t2"),), 1)
        source.lost = 99
        source.change(target("t2"))
        await trio.sleep(0.5)
        assert source.lists == 2
        assert view.version == 3
        assert ready_ids(view) == ["t2"]

    play(scenario)


def test_deaf_watch_is_replaced_when_the_confirmation_finds_changes():
    async def scenario(source, view):
        await trio.sleep(1)
        source.deaf = True
        source.change(catalogue(version=2))
        await trio.sleep(2.5)
        assert view.version == 2
        source.deaf = False
        source.change(catalogue(version=3))
        await trio.sleep(0.3)
        assert view.version == 3

    play(scenario)
