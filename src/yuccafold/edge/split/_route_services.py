"""Remembers between which services routes were divided until lately.

A VM that starts has seen no former services. What it learns of them from another VM
reaches back as far as that one's own knowledge.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import chain
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import RouteName
from yuccafold.edge._positions import START
from yuccafold.edge._positions import Position
from yuccafold.edge.split._choice import WeightedServices
from yuccafold.edge.split._choice import choose_service

MAX_ROWS = 200
"""Former services of routes in one message between VMs, of some 60 bytes each."""


@final
@dataclass(frozen=True, slots=True)
class FormerServices:
    """The services of a route until a configuration changed them."""

    route: RouteName
    services: WeightedServices
    until: Milliseconds


@final
class RouteServices:
    """The services of routes whose streams may be taken up, and those of before.

    A stream goes on at the service that began it. That is the one that the settings
    of the time choose, which may be other ones than those in force now.
    """

    def __init__(self) -> None:
        self._present: dict[RouteName, WeightedServices] = {}
        self._former: dict[RouteName, tuple[FormerServices, ...]] = {}
        self._chosen_at_random_until: Milliseconds | None = None
        self._known_since: Milliseconds | None = None
        self._first_position = START
        self._kept_for = Milliseconds(0)

    def apply(
        self,
        catalogue: Catalogue,
        now: Milliseconds,
        kept_for: Milliseconds,
        position: Position = START,
    ) -> None:
        """Apply a catalogue that was written at ``position``.

        Former services are remembered for ``kept_for``.
        """
        if self._known_since is None:
            self._known_since = now
            self._first_position = position
        self._kept_for = kept_for
        present = {
            route.name: route.services
            for route in catalogue.routes
            if route.repeatability is Repeatability.RESUMABLE
        }
        replaced = {
            name: FormerServices(name, services, now)
            for name, services in self._present.items()
            if present.get(name) != services
        }
        self._former = {
            name: kept
            for name in {*self._former, *replaced}
            if (kept := self._kept(name, replaced, Milliseconds(now - kept_for)))
        }
        self._present = present

    def age(self, now: Milliseconds) -> Milliseconds:
        """Return how far back this VM knows the services, up to what it remembers."""
        if self._known_since is None:
            return Milliseconds(0)
        return Milliseconds(min(max(0, now - self._known_since), self._kept_for))

    def rows(
        self, now: Milliseconds, max_rows: int = MAX_ROWS
    ) -> tuple[list[list[Any]], Milliseconds]:
        """Return the former services, and how far back the rows reach.

        A row is ``[route, [[service, weight], ...], age of their end]``.
        """
        age = self.age(now)
        former = sorted(
            (
                (Milliseconds(now - each.until), each)
                for each in chain.from_iterable(self._former.values())
                if now - each.until <= age
            ),
            key=lambda pair: pair[0],
        )
        limit = min(max_rows, MAX_ROWS)
        if len(former) > limit:
            age = Milliseconds(former[limit][0] - 1)
        return [
            [each.route, [list(pair) for pair in each.services], ended]
            for ended, each in former[:limit]
        ], age

    def merge(
        self,
        rows: Iterable[Sequence[Any]],
        age: Milliseconds,
        now: Milliseconds,
        seen_up_to: Position,
    ) -> bool:
        """Add what another VM knows, if that reaches back further.

        It had seen the store's changes up to ``seen_up_to``. If the settings that this
        VM applied first are not among them, it doesn't know which ones they replaced.
        Returns whether anything was added. Raises ``ValueError`` or ``TypeError`` if a
        row is malformed.
        """
        reported = [_former_services(row, now) for row in rows]
        known_since = Milliseconds(now - age)
        if self._known_since is None or known_since >= self._known_since:
            return False
        if seen_up_to < self._first_position:
            return False
        self._known_since = known_since
        for former in reported:
            known = self._former.get(former.route, ())
            if former not in known:
                self._former[former.route] = (*known, former)
        return True

    def record_builds(self, all_choose_alike: bool, now: Milliseconds) -> None:
        """Record whether there are VMs of builds that choose services at random."""
        if not all_choose_alike:
            self._chosen_at_random_until = now

    def is_evident(
        self,
        route: RouteName,
        call: CallId | None,
        service: ServiceId,
        since: Milliseconds,
    ) -> bool:
        """Return whether ``call`` went to ``service`` at whichever VM it came to.

        It came after ``since``. ``None`` stands for a call that isn't named.
        """
        divided = [
            former.services
            for former in self._former.get(route, ())
            if former.until >= since
        ]
        if route in self._present:
            divided.append(self._present[route])
        random_until = self._chosen_at_random_until
        if call is None or (random_until is not None and random_until >= since):
            return all(each == service for services in divided for each, _ in services)
        return all(choose_service(services, call) == service for services in divided)

    def _kept(
        self,
        name: RouteName,
        replaced: dict[RouteName, FormerServices],
        since: Milliseconds,
    ) -> tuple[FormerServices, ...]:
        former = self._former.get(name, ())
        added = (replaced[name],) if name in replaced else ()
        return tuple(each for each in (*former, *added) if each.until >= since)


def _former_services(row: Sequence[Any], now: Milliseconds) -> FormerServices:
    route, pairs, ended = row
    services = tuple((ServiceId(str(name)), float(weight)) for name, weight in pairs)
    if not services:
        raise ValueError(f"expected services of route {route}, got none")
    return FormerServices(
        RouteName(str(route)), services, Milliseconds(now - int(ended))
    )
