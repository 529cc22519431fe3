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

    ``window``: time in which a claim must get its votes, or it fails.
    ``send_validity``: time after a claim's start in which its call may be sent.
    ``resend``: interval after which an unanswered message is resent.
    ``grace``: longer than a message takes; covers clock drift within ``hold``.
    ``hold``: time for which a voter holds a claim, and for which a restarted
    voter may have forgotten claims.
    ``list_fresh``: maximum age of the last confirmation of the VM list. It is
    half of the list lag; the other half is left to the platform's replicas.
    ``view_demand``: time for which voters require claimants to count votes in a
    superseded VM list.
    ``view_count``: time for which claimants count votes in it.
    ``view_life``: time for which it is remembered. The gaps between these three
    exceed the time that messages take, so that two VMs that announce a list to
    each other can't keep it alive forever.
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
