"""Placement strategies for comparison, which decide without a slot request.

The strategy of the fleet itself is in ``_routers``.
"""

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
from yuccafold.bench._world import LOAD_MULTIPLE
from yuccafold.bench._world import World
from yuccafold.placement import Ranker
from yuccafold.placement import RankerSettings
from yuccafold.placement import TargetState

SERVICE = ServiceId("chat")


class Strategy(Protocol):
    """Places turns in a simulated world, and handles changes of the world."""

    def place(self, turn: Turn) -> None:
        """Start ``turn`` on some engine, now or later, or refuse it."""
        ...

    def targets_changed(self) -> None:
        """Handle a change of ``world.accepting``."""
        ...

    def replace_routers(self, share: float) -> None:
        """Replace a share of the routers."""
        ...


def states_of(world: World) -> tuple[TargetState, ...]:
    """Return the state of every engine, including those that accept no work."""
    return tuple(
        TargetState(target, ZoneId("a"), 1.0, target in world.accepting)
        for target in world.engines
    )


class _ImmediateStrategy:
    def __init__(self, world: World, routers: int, seed: int) -> None:
        self._world = world
        self._rng = random.Random(seed)
        self._routers = routers
        self._accepting: Sequence[TargetId] = tuple(world.accepting)

    def targets_changed(self) -> None:
        """Use the engines that accept work now."""
        self._accepting = tuple(self._world.accepting)

    def replace_routers(self, share: float) -> None:
        """Do nothing, as the routers keep no state between turns."""

    def _start(self, turn: Turn, target: TargetId) -> None:
        self._world.admit(target)
        self._world.start(turn, target, lambda: None)


@final
class RandomChoice(_ImmediateStrategy):
    """Chooses an engine at random."""

    def place(self, turn: Turn) -> None:
        """Start ``turn``."""
        self._start(turn, self._rng.choice(self._accepting))


@final
class LeastOfTwo(_ImmediateStrategy):
    """Chooses the less loaded of two random engines, by the router's local counts."""

    def __init__(self, world: World, routers: int, seed: int) -> None:
        super().__init__(world, routers, seed)
        self._counts: dict[int, Counter[TargetId]] = defaultdict(Counter)

    def place(self, turn: Turn) -> None:
        """Start ``turn``."""
        counts = self._counts[self._rng.randrange(self._routers)]
        candidates = self._rng.sample(self._accepting, 2)
        target = min(candidates, key=lambda candidate: counts[candidate])
        counts[target] += 1
        self._world.admit(target)

        def done() -> None:
            counts[target] -= 1

        self._world.start(turn, target, done)

    def replace_routers(self, share: float) -> None:
        """Forget the counts of the replaced routers."""
        for router in range(round(share * self._routers)):
            self._counts[router] = Counter()


@final
class PlainRanking(_ImmediateStrategy):
    """Chooses the first engine by hashing alone, without hints or a load bound."""

    def __init__(self, world: World, routers: int, seed: int) -> None:
        super().__init__(world, routers, seed)
        self._ranker = Ranker(ZoneId("a"), RankerSettings())
        self.targets_changed()

    def targets_changed(self) -> None:
        """Use the engines that accept work now."""
        now = Milliseconds(self._world.now)
        self._ranker.targets_changed(SERVICE, states_of(self._world), now)

    def place(self, turn: Turn) -> None:
        """Start ``turn``."""
        now = Milliseconds(self._world.now)
        chat = ChatId(turn.chat)
        self._start(turn, self._ranker.rank(SERVICE, chat, None, now)[0].target)


@final
class Ceiling(_ImmediateStrategy):
    """An upper bound of cache reuse: knows all engines' current loads and caches.

    Chooses the engine with the most cached tokens of the prompt, and the least
    loaded engine if none below the bound has cached the chat.
    """

    def __init__(self, world: World, routers: int, seed: int) -> None:
        super().__init__(world, routers, seed)
        self._visited: dict[str, set[TargetId]] = defaultdict(set)

    def place(self, turn: Turn) -> None:
        """Start ``turn`` within the load bound, which some engine always allows."""
        world = self._world
        targets = len(world.accepting)
        limit = math.ceil(LOAD_MULTIPLE * (world.in_flight + 1) / targets - 1e-9)
        holders = [
            target
            for target in self._visited[turn.chat]
            if target in world.accepting
            and world.engines[target].has_cached_chat(turn.chat)
            and world.engines[target].in_flight < limit
        ]
        if holders:
            target = max(
                holders, key=lambda holder: world.engines[holder].cached_tokens(turn)
            )
        else:
            target = min(
                self._accepting,
                key=lambda candidate: world.engines[candidate].in_flight,
            )
        self._visited[turn.chat].add(target)
        self._start(turn, target)
