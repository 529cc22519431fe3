"""Call identifiers that are unique across VMs and restarts."""

from __future__ import annotations

from itertools import count
from typing import final

from yuccafold._ids import CallId
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId


@final
class CallIds:
    """Generates the identifiers of the calls that one process receives."""

    def __init__(self, vm: VmId, incarnation: Incarnation) -> None:
        self._prefix = f"{vm}-{incarnation:x}"
        self._numbers = count(1)

    def next(self) -> CallId:
        """Return the identifier of a new call."""
        return CallId(f"{self._prefix}-{next(self._numbers):x}")
