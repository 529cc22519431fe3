"""Admission of calls: matches them to routes and accounts of the configuration."""

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
from yuccafold.edge._attempts import MAX_WAIT_SHARE
from yuccafold.edge._attempts import RETRY_ELSEWHERE
from yuccafold.edge._attempts import with_jitter
from yuccafold.edge._model import Account
from yuccafold.edge._model import Catalogue
from yuccafold.edge._model import Route
from yuccafold.edge._positions import StoreEra
from yuccafold.edge._positions import revision_of
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._view import LOST_SETTINGS_SHARE
from yuccafold.edge._view import PlatformView

KEY_LIFETIME_MARGIN = Milliseconds(100)
"""Subtracted from the lifetime of keys, for clock drift and rounding."""

READY_KEY_LIFETIME_SHARE = 0.6
"""Share of the lifetime of keys after which this VM reports not ready: by then two
confirmations of the view have failed."""

RETRY_AFTER_START = Milliseconds(500)
"""Retry delay while this VM has no configuration. If all VMs started at once, a long
configuration takes half a second on a slow link, and no other VM has it sooner."""

NO_TIME_STATED = Milliseconds(0)

RETURN_SPREAD = 0.25
"""Part by which the longest delay that callers accept is shortened at random, so that
they don't all return at once when the platform can be read again."""


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """The route and account of an admitted call, and the catalogue they come from."""

    catalogue: Catalogue
    route: Route
    account: Account | None


@final
class Gate:
    """Matches calls to routes and accounts, and refuses those that don't match.

    While the view is older than ``apply_within``, the time in which a configuration
    has to take effect, an unknown route or key may be a new one: such calls are
    refused as not run, with a delay after which the caller may retry. The same holds
    right after the store came back from an older copy. If keys fail
    closed, they expire before the view is older than ``key_lifetime``, the time for
    which a revoked key may still be accepted.
    """

    def __init__(
        self, view: PlatformView, settings: EdgeSettings, rng: random.Random
    ) -> None:
        self._view = view
        self._settings = settings
        self._rng = rng

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 before the first."""
        return self._view.version

    @property
    def era(self) -> StoreEra:
        """The era of the store that the view was read from."""
        return self._view.era

    @property
    def revision(self) -> int:
        """The revision of the store up to which the view is known."""
        return revision_of(self._view.position)

    def view_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the age of the view, ``None`` before it was confirmed."""
        return self._view.age(now)

    def is_ready(self, now: Milliseconds) -> bool:
        """Return whether this VM should get calls.

        It stops being ready some time before keys expire, so that callers move to
        another VM, which may have a fresher view, before this one refuses them.
        """
        catalogue = self._view.catalogue
        if catalogue is None:
            return False
        if catalogue.accounts is None or not self._settings.fails_closed:
            return True
        age = self._view.keys_age(now)
        limit = self._settings.key_lifetime * READY_KEY_LIFETIME_SHARE
        return age is not None and age <= limit

    def admit(
        self,
        host: str,
        path: str,
        api_key: str | None,
        now: Milliseconds,
        time_left: Milliseconds = NO_TIME_STATED,
    ) -> Result[Admitted, Refusal]:
        """Return the route and account of a call, or why it is refused.

        ``now`` is a time after the call arrived, and ``time_left`` how long its caller
        waits, 0 if it didn't say.
        """
        catalogue = self._view.catalogue
        if catalogue is None:
            wait = with_jitter(RETRY_AFTER_START, self._rng)
            reason = "no configuration read yet"
            return Err(Refusal(503, "no_settings", reason, Verdict.NOT_RUN, wait))
        route = catalogue.route_of(host, path)
        if route is None:
            return Err(
                self._refuse_unknown(
                    404, "no_route", "no route for the path", now, time_left
                )
            )
        if route.public or catalogue.accounts is None:
            return Ok(Admitted(catalogue, route, None))
        time_left = time_left or route.timeout
        if self._keys_expired(now):
            reason = "view of keys is too old"
            return Err(self._refuse_with_retry("keys_lapsed", reason, now, time_left))
        account = catalogue.accounts.get(api_key or "")
        if account is None:
            reason = "unknown API key"
            return Err(self._refuse_unknown(401, "unknown_key", reason, now, time_left))
        return Ok(Admitted(catalogue, route, account))

    def _keys_expired(self, now: Milliseconds) -> bool:
        age = self._view.keys_age(now)
        if age is None:
            return True
        lifetime = self._settings.key_lifetime - KEY_LIFETIME_MARGIN
        return self._settings.fails_closed and age > lifetime

    def _refuse_unknown(
        self,
        status: int,
        code: str,
        reason: str,
        now: Milliseconds,
        time_left: Milliseconds,
    ) -> Refusal:
        age = self._view.age(now)
        if age is None or age > self._settings.apply_within:
            reason = f"{reason} in an old view"
            return self._refuse_with_retry(code, reason, now, time_left)
        doubt_time = self._settings.apply_within * LOST_SETTINGS_SHARE
        if self._view.may_lack_settings(now, Milliseconds(round(doubt_time))):
            reason = f"{reason}, but the store lost some"
            return self._refuse_with_retry(code, reason, now, time_left)
        return Refusal(status, code, reason, Verdict.NOT_RUN)

    def _refuse_with_retry(
        self, code: str, reason: str, now: Milliseconds, time_left: Milliseconds
    ) -> Refusal:
        """Refuse a call that a VM with a later view may admit.

        While no VM can read the platform, a caller that returns at once is refused once
        more, so it is told to wait for as long as it does.
        """
        wait = with_jitter(RETRY_ELSEWHERE, self._rng)
        if self._view.is_outage_shared(now):
            longest = time_left * MAX_WAIT_SHARE
            spread = 1 - RETURN_SPREAD * self._rng.random()
            wait = Milliseconds(max(wait, int(longest * spread)))
            reason = f"{reason}, as other VMs' are"
        return Refusal(503, code, reason, Verdict.NOT_RUN, wait)
