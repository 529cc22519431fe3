"""Remembers between which services routes were divided until lately."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import RouteName
from yuccafold.edge.split._choice import WeightedServices
from yuccafold.edge.split._choice import choose_service


@final
@dataclass(frozen=True, slots=True)
class FormerServices:
    """The services of a route until a configuration changed them."""

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

    def apply(
        self, catalogue: Catalogue, now: Milliseconds, kept_for: Milliseconds
    ) -> None:
        """Apply a catalogue; former services are remembered for ``kept_for``."""
        present = {
            route.name: route.services
            for route in catalogue.routes
            if route.repeatability is Repeatability.RESUMABLE
        }
        replaced = {
            name: FormerServices(services, now)
            for name, services in self._present.items()
            if present.get(name) != services
        }
        self._former = {
            name: kept
            for name in {*self._former, *replaced}
            if (kept := self._kept(name, replaced, Milliseconds(now - kept_for)))
        }
        self._present = present

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
