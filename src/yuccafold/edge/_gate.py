"""Decides whether a call is taken at all, from the view of the platform."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import final

from result import Err
from result import Ok
from result import Result

from yuccafold._clock import Milliseconds
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge._attempts import spread
from yuccafold.edge._model import Account
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Route
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._view import PlatformView

KEY_MARGIN = Milliseconds(100)
"""Taken off a key's lifetime for clocks that differ in speed and rounding."""


HAND_OVER_SHARE = 0.6
"""Share of a key's lifetime after which callers are sent elsewhere: by then two
confirmations of the view have failed."""

RETRY_AFTER_START = Milliseconds(500)
"""When a caller may come back to VMs that all started at once: a long configuration
takes half a second on a slow link, and no other VM has it sooner."""

RETRY_ELSEWHERE = Milliseconds(30)
"""When a caller may come back that another VM probably serves: retries go there."""


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """The route and account of a call, and the catalogue that says so."""

    catalogue: Catalogue
    route: Route
    account: Account | None


@final
class Gate:
    """Matches calls to routes and accounts, and refuses what can't be known.

    While the view is older than a configuration takes to be in force, an
    unknown route or key may be a new one: such calls are refused as not run.
    """

    def __init__(
        self, view: PlatformView, settings: EdgeSettings, rng: random.Random
    ) -> None:
        self._view = view
        self._settings = settings
        self._rng = rng

    @property
    def version(self) -> int:
        """The version of the configuration that decides; 0 before the first."""
        return self._view.version

    def view_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return how old the view is that decides."""
        return self._view.age(now)

    def is_ready(self, now: Milliseconds) -> bool:
        """Return whether callers should come here.

        False some time before keys lapse, so that they reach another VM, which
        may have a fresher view, before this one refuses them.
        """
        catalogue = self._view.catalogue
        if catalogue is None:
            return False
        if catalogue.accounts is None or not self._settings.fails_closed:
            return True
        age = self._view.age(now)
        limit = self._settings.key_lifetime * HAND_OVER_SHARE
        return age is not None and age <= limit

    def admit(
        self, host: str, path: str, api_key: str | None, now: Milliseconds
    ) -> Result[Admitted, Refusal]:
        """Return what a call is handled as; ``now`` is taken after it arrived."""
        catalogue = self._view.catalogue
        if catalogue is None:
            wait = spread(RETRY_AFTER_START, self._rng)
            reason = "no configuration read yet"
            return Err(Refusal(503, "no_settings", reason, Verdict.NOT_RUN, wait))
        route = catalogue.route_of(host, path)
        if route is None:
            return Err(self._unknown(404, "no_route", "no route for the path", now))
        if route.public or catalogue.accounts is None:
            return Ok(Admitted(catalogue, route, None))
        if self._keys_lapsed(now):
            return Err(self._later("keys_lapsed", "view of keys is too old"))
        account = catalogue.accounts.get(api_key or "")
        if account is None:
            return Err(self._unknown(401, "unknown_key", "unknown API key", now))
        return Ok(Admitted(catalogue, route, account))

    def _keys_lapsed(self, now: Milliseconds) -> bool:
        age = self._view.age(now)
        if age is None:
            return True
        lifetime = self._settings.key_lifetime - KEY_MARGIN
        return self._settings.fails_closed and age > lifetime

    def _unknown(
        self, status: int, code: str, reason: str, now: Milliseconds
    ) -> Refusal:
        age = self._view.age(now)
        if age is None or age > self._settings.apply_within:
            return self._later(code, f"{reason} in an old view")
        return Refusal(status, code, reason, Verdict.NOT_RUN)

    def _later(self, code: str, reason: str) -> Refusal:
        wait = spread(RETRY_ELSEWHERE, self._rng)
        return Refusal(503, code, reason, Verdict.NOT_RUN, wait)
