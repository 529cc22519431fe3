"""The platform's VM lists that this VM has used, the latest last."""

from __future__ import annotations

from collections import deque
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.fleet._settings import MembershipSettings
from yuccafold.fleet._view import ListedVms
from yuccafold.fleet._vm_list import VmListSnapshot


@final
class ListHistory:
    """Accepts lists in the order of their versions and remembers them.

    A replica of the platform that lags may return an older list, which is
    ignored; when nothing newer comes for ``list_regress_ms`` it is taken, for
    then the platform has begun to count anew.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._lists: deque[ListedVms] = deque()
        self._regressed_since: Milliseconds | None = None

    @property
    def lists(self) -> tuple[ListedVms, ...]:
        """The lists, the latest last."""
        return tuple(self._lists)

    @property
    def latest(self) -> frozenset[VmId]:
        """The VMs of the latest list; empty before the first."""
        return self._lists[-1].vms if self._lists else frozenset()

    def take(self, snapshot: VmListSnapshot, now: Milliseconds) -> bool:
        """Take ``snapshot`` unless it is out of date; return whether it was taken."""
        if self._is_regress(snapshot, now):
            return False
        self._regressed_since = None
        vms = frozenset(entry.id for entry in snapshot.vms)
        unchanged = bool(self._lists) and self._lists[-1].vms == vms
        since = self._lists.pop().at if unchanged else now
        self._lists.append(ListedVms(since, snapshot.version, vms))
        self._trim(now)
        return True

    def _is_regress(self, snapshot: VmListSnapshot, now: Milliseconds) -> bool:
        if not self._lists or snapshot.version >= self._lists[-1].version:
            return False
        if self._regressed_since is None:
            self._regressed_since = now
        return now - self._regressed_since < self._settings.list_regress_ms

    def _trim(self, now: Milliseconds) -> None:
        """Drop lists that were replaced before the history begins."""
        oldest = now - self._settings.list_history_ms
        while len(self._lists) > 1 and self._lists[1].at < oldest:
            self._lists.popleft()
