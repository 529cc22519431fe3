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
    have forgotten claims. ``list_lag``: how old a confirmed VM list may be.
    ``view_life``: how long a superseded VM list is still counted with.
    """

    window: Milliseconds
    send_validity: Milliseconds
    resend: Milliseconds
    grace: Milliseconds
    hold: Milliseconds
    list_lag: Milliseconds
    view_life: Milliseconds

    @classmethod
    def of(cls, settings: ClaimSettings) -> ClaimTiming:
        """Return the durations for ``settings``."""
        lifetime = settings.key_lifetime_ms
        window = min(LONGEST_WINDOW, max(1, lifetime // 8))
        validity = min(LONGEST_SEND_VALIDITY, max(1, lifetime // 4))
        grace = min(LONGEST_GRACE, max(1, lifetime // 4))
        hold = lifetime + window + validity + grace
        return cls(
            window=Milliseconds(window),
            send_validity=Milliseconds(validity),
            resend=Milliseconds(max(1, window // 4)),
            grace=Milliseconds(grace),
            hold=Milliseconds(hold),
            list_lag=Milliseconds(settings.list_lag_ms),
            view_life=Milliseconds(hold + settings.list_lag_ms + grace),
        )
