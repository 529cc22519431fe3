"""History of the platform's VM lists that this VM has used."""

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
    """Accepts lists in the order of their versions and keeps recent ones.

    A lagging replica of the platform may return an older list, which is
    ignored. When only older lists arrive for ``list_version_reset_ms``, the
    next one is accepted, because the platform has then restarted its numbering.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._lists: deque[ListedVms] = deque()
        self._outdated_since: Milliseconds | None = None

    @property
    def lists(self) -> tuple[ListedVms, ...]:
        """The recent lists in the order of ``used_since``, the latest last."""
        return tuple(self._lists)

    @property
    def latest(self) -> frozenset[VmId]:
        """The VMs of the latest list; empty before the first."""
        return self._lists[-1].vms if self._lists else frozenset()

    def apply(self, snapshot: VmListSnapshot, now: Milliseconds) -> bool:
        """Use ``snapshot`` unless it is outdated; return whether it is used."""
        if self._is_outdated(snapshot, now):
            return False
        self._outdated_since = None
        vms = frozenset(entry.id for entry in snapshot.vms)
        unchanged = bool(self._lists) and self._lists[-1].vms == vms
        since = self._lists.pop().used_since if unchanged else now
        self._lists.append(ListedVms(since, snapshot.version, vms))
        self._trim(now)
        return True

    def _is_outdated(self, snapshot: VmListSnapshot, now: Milliseconds) -> bool:
        if not self._lists or snapshot.version >= self._lists[-1].version:
            return False
        if self._outdated_since is None:
            self._outdated_since = now
        return now - self._outdated_since < self._settings.list_version_reset_ms

    def _trim(self, now: Milliseconds) -> None:
        """Drop lists that were replaced more than ``list_history_ms`` ago."""
        oldest = now - self._settings.list_history_ms
        while len(self._lists) > 1 and self._lists[1].used_since < oldest:
            self._lists.popleft()
