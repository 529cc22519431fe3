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

    An account of which nothing waited is served first for one quantum, so a
    light account does not wait for the turns of heavy ones; it keeps its place
    in the ring until its next turn, so leaving and returning gains nothing.
    """

    def __init__(self, quantum: int) -> None:
        self._quantum = quantum
        self._ring: OrderedDict[AccountId, deque[WaitingCall]] = OrderedDict()
        self._fresh: OrderedDict[AccountId, None] = OrderedDict()
        self._credit: dict[AccountId, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[WaitingCall]:
        for calls in self._ring.values():
            yield from calls

    def append(self, call: WaitingCall) -> None:
        """Add a call after the others of its account."""
        if call.account not in self._ring:
            self._enter(call.account)
            self._fresh[call.account] = None
        self._ring[call.account].append(call)
        self._length += 1

    def put_back(self, call: WaitingCall) -> None:
        """Return a call that ``pop`` gave, with what it was charged."""
        if call.account not in self._ring:
            self._enter(call.account)
            self._credit[call.account] = 0
        self._ring[call.account].appendleft(call)
        self._credit[call.account] += call.tokens
        self._ring.move_to_end(call.account, last=False)
        self._length += 1

    def pop(self) -> WaitingCall:
        """Take the call whose turn it is; the lane is not empty."""
        passed = 0
        while True:
            account = next(iter(self._fresh or self._ring))
            calls = self._ring[account]
            if not calls:
                self._leave(account)
            elif self._credit[account] >= calls[0].tokens:
                return self._serve(account)
            else:
                if passed >= len(self._ring):
                    self._skip_rounds()
                    passed = 0
                self._credit[account] += self._quantum
                self._turn_over(account)
                passed += 1

    def remove(self, call: WaitingCall) -> None:
        """Take out a call that no longer waits."""
        self._ring[call.account].remove(call)
        self._length -= 1

    def heaviest(self) -> WaitingCall:
        """Return the newest call of the account with the most tokens waiting."""
        calls = max(self._ring.values(), key=lambda held: sum(c.tokens for c in held))
        return calls[-1]

    def _enter(self, account: AccountId) -> None:
        self._ring[account] = deque()
        self._credit[account] = self._quantum

    def _leave(self, account: AccountId) -> None:
        """An account saves no credit up while nothing of it waits."""
        del self._ring[account]
        del self._credit[account]
        self._fresh.pop(account, None)

    def _turn_over(self, account: AccountId) -> None:
        self._fresh.pop(account, None)
        self._ring.move_to_end(account)

    def _serve(self, account: AccountId) -> WaitingCall:
        call = self._ring[account].popleft()
        self._credit[account] -= call.tokens
        self._length -= 1
        if not self._ring[account]:
            self._turn_over(account)
        return call

    def _skip_rounds(self) -> None:
        """Credit the rounds in which no account could be served."""
        lacking = min(
            calls[0].tokens - self._credit[account]
            for account, calls in self._ring.items()
            if calls
        )
        rounds = max(0, math.ceil(lacking / self._quantum) - 1)
        for account in self._ring:
            self._credit[account] += rounds * self._quantum
