"""Keeps the latest changes for VMs that are a few revisions behind."""

from __future__ import annotations

from collections import deque
from itertools import accumulate
from itertools import takewhile
from typing import final

from yuccafold.replica._messages import RevisionId
from yuccafold.replica._messages import SettingsChange
from yuccafold.replica._options import ReplicaOptions


@final
class ChangeLog:
    """A bounded chain of changes; the base of each is the revision before it."""

    def __init__(self, options: ReplicaOptions) -> None:
        self._options = options
        self._changes: deque[SettingsChange] = deque()
        self._bytes = 0

    def append(self, change: SettingsChange) -> None:
        """Add the change that led to the revision in force.

        The oldest changes are dropped when there are too many entries or bytes.
        """
        last = self._changes[-1].revision if self._changes else change.base
        assert change.base == last, f"{change.base} does not follow {last}"
        self._changes.append(change)
        self._bytes += len(change.patch)
        while (
            len(self._changes) > self._options.log_entries
            or self._bytes > self._options.log_bytes
        ):
            self._bytes -= len(self._changes.popleft().patch)

    def after(self, have: RevisionId) -> tuple[SettingsChange, ...]:
        """Return the changes that follow ``have``, up to ``reply_limit_bytes``.

        A first change that is larger is returned alone. The result is empty when
        ``have`` is no longer in the chain.
        """
        bases = [change.base for change in self._changes]
        if have not in bases:
            return ()
        following = list(self._changes)[bases.index(have) :]
        sizes = accumulate(len(change.patch) for change in following)
        fitting = list(
            takewhile(lambda size: size <= self._options.reply_limit_bytes, sizes)
        )
        return tuple(following[: max(1, len(fitting))])
