"""Calls of one service and priority, served fairly over client accounts."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections import deque
from collections.abc import Iterator
from typing import final

from yuccafold._ids import AccountId
from yuccafold.admission._waiting import WaitingCall


@final
class Lane:
    """Deficit round robin over client accounts, by expected tokens.

    Between two accounts that both have calls waiting, the tokens served differ
    by at most two quanta and the largest call of each.
    """

    def __init__(self, quantum: int) -> None:
        self._quantum = quantum
        self._ring: OrderedDict[AccountId, deque[WaitingCall]] = OrderedDict()
        self._credit: dict[AccountId, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[WaitingCall]:
        for calls in self._ring.values():
            yield from calls

    def append(self, call: WaitingCall) -> None:
        """Add a call after the others of its account."""
        self._calls(call.account).append(call)
        self._length += 1

    def put_back(self, call: WaitingCall) -> None:
        """Return a call that ``pop`` gave, with what it was charged."""
        self._calls(call.account).appendleft(call)
        self._credit[call.account] += call.tokens
        self._ring.move_to_end(call.account, last=False)
        self._length += 1

    def pop(self) -> WaitingCall:
        """Take the call whose turn it is; the lane is not empty."""
        passed = 0
        while True:
            account, calls = next(iter(self._ring.items()))
            if self._credit[account] >= calls[0].tokens:
                self._credit[account] -= calls[0].tokens
                return self._take_first(account)
            if passed == len(self._ring):
                self._skip_rounds()
                passed = 0
            self._credit[account] += self._quantum
            self._ring.move_to_end(account)
            passed += 1

    def remove(self, call: WaitingCall) -> None:
        """Take out a call that no longer waits."""
        self._ring[call.account].remove(call)
        self._removed(call.account)

    def heaviest(self) -> WaitingCall:
        """Return the newest call of the account with the most tokens waiting."""
        calls = max(self._ring.values(), key=lambda held: sum(c.tokens for c in held))
        return calls[-1]

    def _calls(self, account: AccountId) -> deque[WaitingCall]:
        if account not in self._ring:
            self._ring[account] = deque()
            self._credit[account] = 0
        return self._ring[account]

    def _take_first(self, account: AccountId) -> WaitingCall:
        call = self._ring[account].popleft()
        self._removed(account)
        return call

    def _removed(self, account: AccountId) -> None:
        self._length -= 1
        if not self._ring[account]:
            # An account saves no credit up while nothing of it waits.
            del self._ring[account]
            del self._credit[account]

    def _skip_rounds(self) -> None:
        """Credit the rounds in which no account could be served."""
        lacking = min(
            calls[0].tokens - self._credit[account]
            for account, calls in self._ring.items()
        )
        rounds = max(0, math.ceil(lacking / self._quantum) - 1)
        for account in self._ring:
            self._credit[account] += rounds * self._quantum
