"""Placement strategies that decide at once; the fleet's own is in ``_routers``."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections import defaultdict
from collections.abc import Sequence
from typing import Protocol
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ChatId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.bench._arrivals import Turn
from yuccafold.bench._world import MULTIPLE
from yuccafold.bench._world import World
from yuccafold.placement import Ranker
from yuccafold.placement import RankerSettings
from yuccafold.placement import TargetState

SERVICE = ServiceId("chat")


class Strategy(Protocol):
    """Places turns in a world and hears of changes."""

    def place(self, turn: Turn) -> None:
        """Start ``turn`` on some engine, now or later, or refuse it."""
        ...

    def targets_changed(self) -> None:
        """Hear that ``world.taking`` changed."""
        ...

    def replace_routers(self, share: float) -> None:
        """Replace a share of the routers."""
        ...


def states_of(world: World) -> tuple[TargetState, ...]:
    """Return every engine as it is listed, those out of work included."""
    return tuple(
        TargetState(name, ZoneId("a"), 1.0, name in world.taking)
        for name in world.engines
    )


class _Immediate:
    def __init__(self, world: World, routers: int, seed: int) -> None:
        self._world = world
        self._rng = random.Random(seed)
        self._routers = routers
        self._taking: Sequence[TargetId] = tuple(world.taking)

    def targets_changed(self) -> None:
        """Use the engines that take work now."""
        self._taking = tuple(self._world.taking)

    def replace_routers(self, share: float) -> None:
        """Do nothing: the routers keep no state that matters."""

    def _start(self, turn: Turn, name: TargetId) -> None:
        self._world.admit(name)
        self._world.start(turn, name, lambda: None)


@final
class RandomChoice(_Immediate):
    """Any engine."""

    def place(self, turn: Turn) -> None:
        """Start ``turn``."""
        self._start(turn, self._rng.choice(self._taking))


@final
class LeastOfTwo(_Immediate):
    """The less loaded of two by the router's own counts."""

    def __init__(self, world: World, routers: int, seed: int) -> None:
        super().__init__(world, routers, seed)
        self._counts: dict[int, Counter[TargetId]] = defaultdict(Counter)

    def place(self, turn: Turn) -> None:
        """Start ``turn``."""
        counts = self._counts[self._rng.randrange(self._routers)]
        two = self._rng.sample(self._taking, 2)
        name = min(two, key=lambda candidate: counts[candidate])
        counts[name] += 1
        self._world.admit(name)

        def done() -> None:
            counts[name] -= 1

        self._world.start(turn, name, done)

    def replace_routers(self, share: float) -> None:
        """Forget the counts of the replaced routers."""
        for router in range(round(share * self._routers)):
            self._counts[router] = Counter()


@final
class PlainRanking(_Immediate):
    """The first choice by hashing alone, without hints or bound."""

    def __init__(self, world: World, routers: int, seed: int) -> None:
        super().__init__(world, routers, seed)
        self._ranker = Ranker(ZoneId("a"), RankerSettings())
        self.targets_changed()

    def targets_changed(self) -> None:
        """Adopt the engines that take work."""
        now = Milliseconds(self._world.now)
        self._ranker.targets_changed(SERVICE, states_of(self._world), now)

    def place(self, turn: Turn) -> None:
        """Start ``turn``."""
        now = Milliseconds(self._world.now)
        chat = ChatId(turn.chat)
        self._start(turn, self._ranker.rank(SERVICE, chat, None, now)[0].target)


@final
class Ceiling(_Immediate):
    """Every load and cache known at once: most cached, then least loaded."""

    def __init__(self, world: World, routers: int, seed: int) -> None:
        super().__init__(world, routers, seed)
        self._visited: dict[str, set[TargetId]] = defaultdict(set)

    def place(self, turn: Turn) -> None:
        """Start ``turn`` within the bound, which some engine always allows."""
        world = self._world
        targets = len(world.taking)
        limit = math.ceil(MULTIPLE * (world.in_flight + 1) / targets - 1e-9)
        holders = [
            name
            for name in self._visited[turn.chat]
            if name in world.taking
            and world.engines[name].holds(turn.chat)
            and world.engines[name].in_flight < limit
        ]
        if holders:
            name = max(holders, key=lambda held: world.engines[held].cached(turn))
        else:
            name = min(self._taking, key=lambda free: world.engines[free].in_flight)
        self._visited[turn.chat].add(name)
        self._start(turn, name)
