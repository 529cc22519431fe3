"""Tells callers that came back after a refusal, and what calls usually take."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import final

from yuccafold._clock import Milliseconds

LEAST_ABSENCE_SHARE = 0.04
"""Share of the usual deadline after which a call counts as one that came back. Calls
that are refused are told to stay away for longer; those that come back at once have
about the usual deadline, and count as new."""

FORGETTING = 0.01
"""Part of the distance by which the usual deadline follows each shorter one, so that
one that is no longer used is forgotten within a few hundred calls."""

LEARNING = 0.05
"""Weight of a call in the usual duration."""

MAX_KINDS = 1_024
"""Kinds of calls that are remembered."""

UNKNOWN_COST = 1_000.0
"""Milliseconds that a call is taken to need before any was seen."""


@final
class ReturnDetector:
    """Tells calls that came back by the time that is left to their callers.

    Each attempt has a new id and mostly reaches another VM, but callers count their
    deadline from the first attempt.
    """

    def __init__(self) -> None:
        self._usual: OrderedDict[Hashable, float] = OrderedDict()

    def is_return(self, kind: Hashable, deadline: Milliseconds) -> bool:
        """Return whether a call with ``deadline`` left of its ``kind`` came back."""
        usual = self._usual.get(kind, 0.0)
        if deadline >= usual:
            usual = float(deadline)
        else:
            usual += FORGETTING * (deadline - usual)
        self._usual[kind] = usual
        self._usual.move_to_end(kind)
        if len(self._usual) > MAX_KINDS:
            self._usual.popitem(last=False)
        return deadline < (1 - LEAST_ABSENCE_SHARE) * usual


@final
class UsualCosts:
    """How long calls of each kind hold a place on average, where nothing better is."""

    def __init__(self) -> None:
        self._by_kind: OrderedDict[Hashable, float] = OrderedDict()

    def record(self, kind: Hashable, held_ms: float) -> None:
        """Record how long a call of ``kind`` held a place."""
        known = self._by_kind.get(kind, held_ms)
        self._by_kind[kind] = known + LEARNING * (held_ms - known)
        self._by_kind.move_to_end(kind)
        if len(self._by_kind) > MAX_KINDS:
            self._by_kind.popitem(last=False)

    def cost(self, kind: Hashable) -> float:
        """Return the mean of a kind."""
        return self._by_kind.get(kind, UNKNOWN_COST)
