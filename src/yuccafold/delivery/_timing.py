"""Durations of the claim protocol, derived from its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold.settings import ClaimSettings

LONGEST_WINDOW = Milliseconds(1_000)
LONGEST_SEND_VALIDITY = Milliseconds(5_000)
LONGEST_GRACE = Milliseconds(5_000)


@final
@dataclass(frozen=True, slots=True)
class ClaimTiming:
    """Every duration of the claim protocol, in milliseconds.

    ``window``: a claim's votes are gathered within it, or the claim fails.
    ``send_validity``: a granted claim allows sending this long after its start.
    ``resend``: an unanswered message is sent again after it.
    ``grace``: longer than a message takes; covers clock drift within ``hold``.
    ``hold``: how long a seat holds a claim, and how long one that restarted may
    have forgotten claims. ``list_fresh``: how long ago the VM list must have been
    confirmed; the other half of the list lag is left to the platform's replicas.
    ``view_demand``: how long a superseded VM list is demanded of claimants,
    ``view_count``: counted with by a claimant and ``view_life``: known. The gaps
    between these exceed the time of messages, so that two VMs which tell each
    other of a list can't keep it alive for ever.
    """

    window: Milliseconds
    send_validity: Milliseconds
    resend: Milliseconds
    grace: Milliseconds
    hold: Milliseconds
    list_fresh: Milliseconds
    view_demand: Milliseconds
    view_count: Milliseconds
    view_life: Milliseconds

    @classmethod
    def of(cls, settings: ClaimSettings) -> ClaimTiming:
        """Return the durations for ``settings``."""
        lifetime = settings.key_lifetime_ms
        window = min(LONGEST_WINDOW, max(1, lifetime // 8))
        validity = min(LONGEST_SEND_VALIDITY, max(1, lifetime // 4))
        grace = min(LONGEST_GRACE, max(1, lifetime // 4))
        hold = lifetime + window + validity + grace
        demand = hold + settings.list_lag_ms
        return cls(
            window=Milliseconds(window),
            send_validity=Milliseconds(validity),
            resend=Milliseconds(max(1, window // 4)),
            grace=Milliseconds(grace),
            hold=Milliseconds(hold),
            list_fresh=Milliseconds(max(1, settings.list_lag_ms // 2)),
            view_demand=Milliseconds(demand),
            view_count=Milliseconds(demand + grace),
            view_life=Milliseconds(demand + 2 * grace),
        )
