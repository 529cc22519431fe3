"""Permits: each engine is ordered by one VM at a time, within fleet-wide limits."""

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
from yuccafold.orders._desired import loads_per_minute
from yuccafold.orders._desired import min_serving_engines
from yuccafold.orders._fence import MAX_SERIAL
from yuccafold.orders._fence import MAX_TERM
from yuccafold.orders._fence import Fence
from yuccafold.orders._lease import LeaseHolder
from yuccafold.orders._messages import PermitAnswer
from yuccafold.orders._messages import PermitRefusal
from yuccafold.orders._messages import PermitRelease
from yuccafold.orders._messages import PermitRequest
from yuccafold.orders._options import OrderOptions
from yuccafold.settings import SettingsTree


@final
@dataclass(frozen=True, slots=True)
class Permit:
    """The exclusive right of one process of ``vm`` to send orders to an engine.

    It expires at ``expires_at``.
    """

    vm: VmId
    incarnation: Incarnation
    request_number: int
    service: ServiceId
    fence: Fence
    expires_at: Milliseconds


@final
class PermitIssuer:
    """Issues permits while this VM holds the lease.

    A VM that acquires the lease does not know the permits issued before, and
    issues none until all of them have expired.
    """

    def __init__(self, lease: LeaseHolder, options: OrderOptions) -> None:
        self._lease = lease
        self._options = options
        self._tree: SettingsTree | None = None
        self._serving: Mapping[TargetId, bool] = {}
        self._view_received_at = Milliseconds(0)
        self._permits: dict[TargetId, Permit] = {}
        self._acquired_at: Milliseconds | None = None
        self._next_load_at = Milliseconds(0)
        self._rate = 0
        self._serial = 0

    @property
    def permits(self) -> Mapping[TargetId, Permit]:
        """The latest permit of each engine under the current lease, expired or not.

        Permits that were released with the engine serving are left out.
        """
        return self._permits

    def set_tree(self, tree: SettingsTree) -> None:
        """Apply the settings in force."""
        self._tree = tree

    def set_serving(self, serving: Mapping[TargetId, bool], now: Milliseconds) -> None:
        """Set which engines are known to serve or not; others count as serving.

        An engine whose permit is held or has expired counts as not serving until
        a view shows the effects of every order under that permit. No permit is
        issued until a view shows those of all orders under permits of earlier
        leases, which this VM does not know.
        """
        self._serving = serving
        self._view_received_at = now

    def answer(
        self, sender: VmId, request: PermitRequest, now: Milliseconds
    ) -> PermitAnswer:
        """Issue, extend or refuse a permit."""
        refused = self._refusal(sender, request, now)
        if refused is not None:
            return PermitAnswer(request.number, request.engine, 0, refused)
        permit = self._issue(sender, request, now)
        return PermitAnswer(request.number, request.engine, permit.fence.number, None)

    def release(self, sender: VmId, release: PermitRelease, now: Milliseconds) -> None:
        """Release a permit.

        An engine that was left out of service counts as not serving until the view
        shows it, ``serving_view_lag_ms`` after the release.
        """
        permit = self._permits.get(release.engine)
        if permit is None:
            return
        is_holder = (permit.vm, permit.incarnation) == (sender, release.incarnation)
        if not is_holder or permit.request_number > release.request_number:
            return
        if release.serving:
            del self._permits[release.engine]
        else:
            self._permits[release.engine] = replace(
                permit, expires_at=min(now, permit.expires_at)
            )

    def _refusal(
        self, sender: VmId, request: PermitRequest, now: Milliseconds
    ) -> PermitRefusal | None:
        """Return why ``request`` is refused, if so; the cheapest checks come first."""
        self._reset_after_new_lease()
        tree = self._tree
        if tree is None or not self._lease.is_held(now):
            return PermitRefusal.NOT_ISSUER
        newest_revision = max(
            self._lease.known_floor, Fence.from_number(request.engine_fence).revision
        )
        if request.revision != tree.revision or newest_revision > tree.revision:
            return PermitRefusal.REVISION
        self._raise_term_above_engine(request)
        self._delay_loads_after_rate_drop(tree, now)
        if self._is_in_waiting_period(tree, now):
            return PermitRefusal.NOT_ISSUER
        held = self._permits.get(request.engine)
        if (
            held is not None
            and held.expires_at > now
            and not _extends(held, sender, request)
        ):
            return PermitRefusal.BUSY
        if not self._leaves_enough_serving(tree, request.engine):
            return PermitRefusal.SHARE
        return PermitRefusal.RATE if request.load and now < self._next_load_at else None

    def _reset_after_new_lease(self) -> None:
        """Forget all permits once the lease was lost or acquired again."""
        if self._lease.acquired_at == self._acquired_at:
            return
        self._acquired_at = self._lease.acquired_at
        self._permits.clear()
        self._serial = 0
        # No minute may contain loads granted by two lease holders, as neither knows of
        # the loads of the other.
        spacing = self._options.load_spacing(1)
        self._next_load_at = Milliseconds((self._acquired_at or 0) + spacing)

    def _is_in_waiting_period(self, tree: SettingsTree, now: Milliseconds) -> bool:
        """Return whether permits must wait.

        Permits of an earlier holder may still be in use, or a majority of the voters
        does not know the term and the revision yet.
        """
        if self._acquired_at is None or self._lease.term == 0:
            return True
        if self._lease.floor < tree.revision:
            return True
        return now < self._acquired_at + self._options.permit_ms

    def _raise_term_above_engine(self, request: PermitRequest) -> None:
        """Raise the term above a term that only the engine remembers.

        Without this, the next fence would not be above the one that the engine
        reported.
        """
        engine_fence = Fence.from_number(request.engine_fence)
        next_fence = Fence(request.revision, self._lease.term, self._serial + 1)
        if (
            engine_fence.revision == request.revision
            and next_fence <= engine_fence
            and engine_fence.term < MAX_TERM
        ):
            self._lease.raise_term(engine_fence.term)
            self._serial = 0

    def _delay_loads_after_rate_drop(
        self, tree: SettingsTree, now: Milliseconds
    ) -> None:
        """Delay loads by over a minute after the rate was lowered.

        No minute then contains loads granted at the higher and at the lower rate.
        """
        rate = loads_per_minute(tree)
        if rate < self._rate:
            wait = self._options.load_spacing(1)
            self._next_load_at = max(self._next_load_at, Milliseconds(now + wait))
        self._rate = rate

    def _leaves_enough_serving(self, tree: SettingsTree, engine: TargetId) -> bool:
        """Return whether enough engines keep serving without ``engine``."""
        desired = desired_engines(tree).get(engine)
        earlier_permits_end = Milliseconds(
            (self._acquired_at or 0) + self._options.permit_ms
        )
        if desired is None or not self._view_covers(earlier_permits_end):
            return False
        service = tree.services[desired.service]
        maybe_not_serving = {
            other
            for other, permit in self._permits.items()
            if not self._view_covers(permit.expires_at)
        }
        serving = {
            TargetId(target.id)
            for target in service.targets
            if not target.draining and self._serving.get(TargetId(target.id), True)
        }
        if engine not in serving:
            return True
        return len(serving - maybe_not_serving - {engine}) >= min_serving_engines(
            service
        )

    def _view_covers(self, instant: Milliseconds) -> bool:
        """Return whether the view shows the effects of orders up to ``instant``."""
        return self._view_received_at >= instant + self._options.serving_view_lag_ms

    def _issue(self, sender: VmId, request: PermitRequest, now: Milliseconds) -> Permit:
        assert self._tree is not None, "a permit needs settings in force"
        held = self._permits.get(request.engine)
        if held is not None and held.expires_at > now:
            fence = held.fence
        else:
            fence = self._next_fence(request)
        if request.load:
            spacing = self._options.load_spacing(loads_per_minute(self._tree))
            self._next_load_at = Milliseconds(now + spacing)
        service = desired_engines(self._tree)[request.engine].service
        expires_at = Milliseconds(now + self._options.permit_ms)
        permit = Permit(
            sender, request.incarnation, request.number, service, fence, expires_at
        )
        self._permits[request.engine] = permit
        return permit

    def _next_fence(self, request: PermitRequest) -> Fence:
        self._serial += 1
        assert self._serial <= MAX_SERIAL, f"serial {self._serial} in one term"
        fence = Fence(request.revision, self._lease.term, self._serial)
        if self._serial == MAX_SERIAL:
            self._lease.raise_term(self._lease.term)
            self._serial = 0
        return fence


def _extends(held: Permit, sender: VmId, request: PermitRequest) -> bool:
    """Return whether ``request`` extends the permit ``held``."""
    same_process = (held.vm, held.incarnation) == (sender, request.incarnation)
    return same_process and held.fence.revision == request.revision
