"""Gives each engine to one VM at a time, within the fleet's limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.orders._desired import desired_engines
from yuccafold.orders._desired import least_serving
from yuccafold.orders._desired import loads_per_minute
from yuccafold.orders._fence import MAX_SERIAL
from yuccafold.orders._fence import MAX_TERM
from yuccafold.orders._fence import Fence
from yuccafold.orders._lease import LeaseHolder
from yuccafold.orders._messages import PermitAnswer
from yuccafold.orders._messages import PermitAsk
from yuccafold.orders._messages import PermitRelease
from yuccafold.orders._messages import Refused
from yuccafold.orders._options import OrderOptions
from yuccafold.settings import SettingsTree


@final
@dataclass(frozen=True, slots=True)
class Permit:
    """The sole right of one process of ``vm`` to order an engine until ``until``."""

    vm: VmId
    incarnation: Incarnation
    ask: int
    service: ServiceId
    fence: Fence
    until: Milliseconds


@final
class PermitIssuer:
    """Issues permits while this VM holds the lease.

    A VM that wins the lease knows nothing of the permits before it and issues
    none until all of them have lapsed.
    """

    def __init__(self, lease: LeaseHolder, options: OrderOptions) -> None:
        self._lease = lease
        self._options = options
        self._tree: SettingsTree | None = None
        self._serving: Mapping[TargetId, bool] = {}
        self._view_at = Milliseconds(0)
        self._permits: dict[TargetId, Permit] = {}
        self._acquired_at: Milliseconds | None = None
        self._loads_from = Milliseconds(0)
        self._rate = 0
        self._serial = 0

    @property
    def permits(self) -> Mapping[TargetId, Permit]:
        """The permits issued in this tenure and not given back."""
        return self._permits

    def set_tree(self, tree: SettingsTree) -> None:
        """Take the settings in force."""
        self._tree = tree

    def set_serving(self, serving: Mapping[TargetId, bool], now: Milliseconds) -> None:
        """Take which engines serve, as far as is known; others count as serving.

        Nothing is issued without a view that is newer than every order of
        those permits that are no longer counted.
        """
        self._serving = serving
        self._view_at = now

    def answer(self, sender: VmId, ask: PermitAsk, now: Milliseconds) -> PermitAnswer:
        """Issue, extend or refuse a permit."""
        refused = self._refusal(sender, ask, now)
        if refused is not None:
            return PermitAnswer(ask.ask, ask.engine, 0, refused)
        permit = self._issue(sender, ask, now)
        return PermitAnswer(ask.ask, ask.engine, permit.fence.number, None)

    def release(self, sender: VmId, release: PermitRelease, now: Milliseconds) -> None:
        """Take a permit back; an engine left out of service stays counted."""
        permit = self._permits.get(release.engine)
        if permit is None:
            return
        is_its_own = (permit.vm, permit.incarnation) == (sender, release.incarnation)
        if not is_its_own or permit.ask > release.ask:
            return
        if release.serving:
            del self._permits[release.engine]
        else:
            self._permits[release.engine] = replace(
                permit, until=min(now, permit.until)
            )

    def _refusal(
        self, sender: VmId, ask: PermitAsk, now: Milliseconds
    ) -> Refused | None:
        """Return why ``ask`` is refused; checked from the cheapest on."""
        self._note_tenure()
        tree = self._tree
        if tree is None or not self._lease.is_held(now):
            return Refused.NOT_ISSUER
        newest = max(self._lease.known_floor, Fence.of(ask.seen).revision)
        if ask.revision != tree.revision or newest > tree.revision:
            return Refused.REVISION
        self._learn_term(ask)
        self._pace(tree, now)
        if self._is_quiet(tree, now):
            return Refused.NOT_ISSUER
        held = self._permits.get(ask.engine)
        if held is not None and held.until > now and not _extends(held, sender, ask):
            return Refused.BUSY
        if not self._leaves_enough(tree, ask.engine):
            return Refused.SHARE
        return Refused.RATE if ask.load and now < self._loads_from else None

    def _note_tenure(self) -> None:
        """Forget everything when the lease was lost and won again."""
        if self._lease.acquired_at == self._acquired_at:
            return
        self._acquired_at = self._lease.acquired_at
        self._permits.clear()
        self._serial = 0
        # No minute may hold loads of two holders, who don't know of each other's.
        spacing = self._options.load_spacing(1)
        self._loads_from = Milliseconds((self._acquired_at or 0) + spacing)

    def _is_quiet(self, tree: SettingsTree, now: Milliseconds) -> bool:
        """Return whether permits of an earlier holder may still be in use."""
        if self._acquired_at is None or self._lease.term == 0:
            return True
        if self._lease.floor < tree.revision:
            return True
        return now < self._acquired_at + self._options.permit_ms

    def _learn_term(self, ask: PermitAsk) -> None:
        """Move above a term that only the engine remembers."""
        seen = Fence.of(ask.seen)
        coming = Fence(ask.revision, self._lease.term, self._serial + 1)
        if seen.revision == ask.revision and coming <= seen and seen.term < MAX_TERM:
            self._lease.raise_term(seen.term)
            self._serial = 0

    def _pace(self, tree: SettingsTree, now: Milliseconds) -> None:
        """Let the loads of a higher rate pass before a lower one begins."""
        rate = loads_per_minute(tree)
        if rate < self._rate:
            wait = self._options.load_spacing(1)
            self._loads_from = max(self._loads_from, Milliseconds(now + wait))
        self._rate = rate

    def _leaves_enough(self, tree: SettingsTree, engine: TargetId) -> bool:
        """Return whether enough engines serve without ``engine``."""
        wanted = desired_engines(tree).get(engine)
        earlier = Milliseconds((self._acquired_at or 0) + self._options.permit_ms)
        if wanted is None or not self._view_shows(earlier):
            return False
        service = tree.services[wanted.service]
        taken = {
            other
            for other, permit in self._permits.items()
            if not self._view_shows(permit.until)
        }
        serving = {
            TargetId(target.id)
            for target in service.targets
            if not target.draining and self._serving.get(TargetId(target.id), True)
        }
        if engine not in serving:
            return True
        return len(serving - taken - {engine}) >= least_serving(service)

    def _view_shows(self, instant: Milliseconds) -> bool:
        """Return whether the view holds what an order did up to ``instant``."""
        return self._view_at >= instant + self._options.view_ms

    def _issue(self, sender: VmId, ask: PermitAsk, now: Milliseconds) -> Permit:
        assert self._tree is not None, "a permit needs settings in force"
        held = self._permits.get(ask.engine)
        if held is not None and held.until > now:
            fence = held.fence
        else:
            fence = self._next_fence(ask)
        if ask.load:
            spacing = self._options.load_spacing(loads_per_minute(self._tree))
            self._loads_from = Milliseconds(now + spacing)
        service = desired_engines(self._tree)[ask.engine].service
        until = Milliseconds(now + self._options.permit_ms)
        permit = Permit(sender, ask.incarnation, ask.ask, service, fence, until)
        self._permits[ask.engine] = permit
        return permit

    def _next_fence(self, ask: PermitAsk) -> Fence:
        self._serial += 1
        assert self._serial <= MAX_SERIAL, f"serial {self._serial} in one term"
        fence = Fence(ask.revision, self._lease.term, self._serial)
        if self._serial == MAX_SERIAL:
            self._lease.raise_term(self._lease.term)
            self._serial = 0
        return fence


def _extends(held: Permit, sender: VmId, ask: PermitAsk) -> bool:
    """Return whether ``ask`` is for more time of the permit ``held``."""
    same_process = (held.vm, held.incarnation) == (sender, ask.incarnation)
    return same_process and held.fence.revision == ask.revision
