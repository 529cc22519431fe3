"""A fair queue over client accounts for calls of one service and priority."""

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

    An account that had no waiting calls is served first, for one quantum, so that
    light accounts don't wait for the turns of heavy ones. It stays in the ring
    until its next turn, so it gains nothing by leaving and returning.
    """

    def __init__(self, quantum: int) -> None:
        self._quantum = quantum
        self._ring: OrderedDict[AccountId, deque[WaitingCall]] = OrderedDict()
        self._new_accounts: OrderedDict[AccountId, None] = OrderedDict()
        self._credit: dict[AccountId, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[WaitingCall]:
        for calls in self._ring.values():
            yield from calls

    def append(self, call: WaitingCall) -> None:
        """Add a call behind the other calls of its account."""
        if call.account not in self._ring:
            self._enter(call.account)
            self._new_accounts[call.account] = None
        self._ring[call.account].append(call)
        self._length += 1

    def put_back(self, call: WaitingCall) -> None:
        """Put a call from ``pop`` back at the front and refund its tokens."""
        if call.account not in self._ring:
            self._enter(call.account)
            self._credit[call.account] = 0
        self._ring[call.account].appendleft(call)
        self._credit[call.account] += call.tokens
        self._ring.move_to_end(call.account, last=False)
        self._length += 1

    def pop(self) -> WaitingCall:
        """Remove and return the next call; the lane must not be empty."""
        skipped = 0
        while True:
            account = next(iter(self._new_accounts or self._ring))
            calls = self._ring[account]
            if not calls:
                self._leave(account)
            elif self._credit[account] >= calls[0].tokens:
                return self._serve(account)
            else:
                if skipped >= len(self._ring):
                    self._skip_rounds()
                    skipped = 0
                self._credit[account] += self._quantum
                self._end_turn(account)
                skipped += 1

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that no longer waits."""
        self._ring[call.account].remove(call)
        self._length -= 1

    def call_to_shed(self) -> WaitingCall:
        """Return the newest call of the account with the most tokens waiting."""
        calls = max(
            self._ring.values(), key=lambda queued: sum(c.tokens for c in queued)
        )
        return calls[-1]

    def _enter(self, account: AccountId) -> None:
        self._ring[account] = deque()
        self._credit[account] = self._quantum

    def _leave(self, account: AccountId) -> None:
        """Remove an account, so it saves no credit while it has no waiting calls."""
        del self._ring[account]
        del self._credit[account]
        self._new_accounts.pop(account, None)

    def _end_turn(self, account: AccountId) -> None:
        self._new_accounts.pop(account, None)
        self._ring.move_to_end(account)

    def _serve(self, account: AccountId) -> WaitingCall:
        call = self._ring[account].popleft()
        self._credit[account] -= call.tokens
        self._length -= 1
        if not self._ring[account]:
            self._end_turn(account)
        return call

    def _skip_rounds(self) -> None:
        """Credit all accounts at once for rounds in which none could be served."""
        lacking = min(
            calls[0].tokens - self._credit[account]
            for account, calls in self._ring.items()
            if calls
        )
        rounds = max(0, math.ceil(lacking / self._quantum) - 1)
        for account in self._ring:
            self._credit[account] += rounds * self._quantum
