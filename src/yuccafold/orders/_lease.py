"""The one lease of the fleet: the right to issue permits for orders.

It is held by votes of a majority of the listed VMs, in plain memory. Voters
that started lately abstain, and while two VM lists may be in use a majority of
each is needed, so that two majorities always share a voter that remembers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

import xxhash

from yuccafold._clock import Milliseconds
from yuccafold._ids import Incarnation
from yuccafold._ids import RevisionNumber
from yuccafold._ids import VmId
from yuccafold._outgoing import Outgoing
from yuccafold.orders._messages import LeaseAnswer
from yuccafold.orders._messages import LeaseAsk
from yuccafold.orders._options import OrderOptions


def ranked(name: str, vms: Iterable[VmId]) -> list[VmId]:
    """Return ``vms`` in the order of their rendezvous hash with ``name``."""
    return sorted(
        vms, key=lambda vm: (xxhash.xxh3_64_intdigest(f"{name}\0{vm}".encode()), vm)
    )


@final
class LeaseVoter:
    """Votes for one holder at a time."""

    def __init__(self, options: OrderOptions, now: Milliseconds) -> None:
        self._options = options
        self._votes_from = now + options.abstain_ms
        self._holder: tuple[VmId, Incarnation] | None = None
        self._until = now
        self._term = 0
        self._floor = RevisionNumber(0)

    def vote(
        self, sender: VmId, ask: LeaseAsk, revision: RevisionNumber, now: Milliseconds
    ) -> LeaseAnswer:
        """Answer ``ask``; ``revision`` is the one in force on this VM."""
        self._floor = max(self._floor, revision)
        asker = (sender, ask.incarnation)
        taken = self._holder not in (None, asker) and now < self._until
        granted = now >= self._votes_from and not taken
        answer = LeaseAnswer(ask.round, granted, self._term, self._floor)
        if granted:
            self._holder = asker
            self._until = Milliseconds(now + self._options.lease_ms)
            self._term = max(self._term, ask.term)
            self._floor = max(self._floor, ask.floor)
        return answer


@final
@dataclass(frozen=True, slots=True)
class _Electorate:
    """The voters of one VM list, first seen at ``seen_at``."""

    seats: frozenset[VmId]
    seen_at: Milliseconds

    def is_majority(self, votes: set[VmId]) -> bool:
        return 2 * len(votes & self.seats) > len(self.seats)


@final
@dataclass(slots=True)
class _Round:
    """One round of asking, and the answers to it."""

    ask: LeaseAsk
    asked_at: Milliseconds
    granted: dict[VmId, LeaseAnswer]


@final
class LeaseHolder:
    """Asks for the lease and knows for how long it is held."""

    def __init__(
        self,
        vm: VmId,
        incarnation: Incarnation,
        options: OrderOptions,
        now: Milliseconds,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._options = options
        self._asks_from = now + options.abstain_ms
        self._lists: list[_Electorate] = []
        self._round = _Round(LeaseAsk(incarnation, 0, 0, RevisionNumber(0)), now, {})
        self._rounds = 0
        self._due = now
        self._until = now
        self._acquired_at: Milliseconds | None = None
        self._term = 0
        self._known_term = 0
        self._known_floor = RevisionNumber(0)
        self._acked_term = 0
        self._acked_floor = RevisionNumber(0)

    @property
    def term(self) -> int:
        """The term that a majority knows of; 0 before."""
        return self._acked_term

    @property
    def floor(self) -> RevisionNumber:
        """The highest revision that a majority knows to be ordered by."""
        return self._acked_floor

    @property
    def known_floor(self) -> RevisionNumber:
        """The highest revision that any voter reported."""
        return self._known_floor

    @property
    def acquired_at(self) -> Milliseconds | None:
        """When the lease was won, for as long as it was renewed in time."""
        return self._acquired_at

    def is_held(self, now: Milliseconds) -> bool:
        """Return whether no other VM can hold the lease at ``now``."""
        return self._acquired_at is not None and now < self._until

    def set_list(self, vms: Iterable[VmId], now: Milliseconds) -> None:
        """Take the platform's VM list; earlier ones count for a while longer."""
        seats = frozenset(ranked("orders", vms)[: self._options.seats])
        if not self._lists or self._lists[-1].seats != seats:
            self._lists.append(_Electorate(seats, now))

    def raise_term(self, seen: int) -> None:
        """Move above ``seen``, a term that an engine knows and no voter does."""
        self._known_term = max(self._known_term, seen)
        if self._term <= seen:
            self._term = seen + 1
            self._acked_term = 0

    def tick(
        self, asks: bool, revision: RevisionNumber, now: Milliseconds
    ) -> list[Outgoing]:
        """Return the votes to ask for; ``asks`` says whether to hold the lease."""
        self._prune(now)
        if self._acquired_at is not None and now >= self._until:
            self._lose()
        if not asks or now < self._due or now < self._asks_from or not self._lists:
            return []
        self._due = Milliseconds(now + self._options.renew_ms)
        self._rounds += 1
        ask = LeaseAsk(self._incarnation, self._rounds, self._term, revision)
        self._round = _Round(ask, now, {})
        voters = frozenset().union(*(entry.seats for entry in self._lists))
        return [Outgoing(vm, ask) for vm in sorted(voters)]

    def _prune(self, now: Milliseconds) -> None:
        """Forget a list once no VM can use it or hold a lease by it."""
        oldest = now - self._options.abstain_ms
        while len(self._lists) > 1 and self._lists[1].seen_at < oldest:
            del self._lists[0]

    def _lose(self) -> None:
        self._acquired_at = None
        self._term = 0
        self._acked_term = 0
        self._acked_floor = RevisionNumber(0)

    def take(self, sender: VmId, answer: LeaseAnswer, now: Milliseconds) -> None:
        """Count a vote of the present round."""
        self._known_term = max(self._known_term, answer.term)
        self._known_floor = max(self._known_floor, answer.floor)
        if answer.round != self._round.ask.round or not answer.granted:
            return
        self._round.granted[sender] = answer
        votes = set(self._round.granted)
        if all(entry.is_majority(votes) for entry in self._lists):
            self._win(now)

    def _win(self, now: Milliseconds) -> None:
        """Hold the lease from the time of asking on."""
        until = self._round.asked_at + self._options.usable(self._options.lease_ms)
        if now >= until:
            return
        if self._acquired_at is None:
            self._acquired_at = now
            self._term = self._known_term + 1
            self._due = now
        self._until = Milliseconds(until)
        ask = self._round.ask
        if ask.term == self._term:
            self._acked_term = ask.term
            self._acked_floor = max(self._acked_floor, ask.floor)
