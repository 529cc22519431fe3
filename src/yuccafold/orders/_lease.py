"""The fleet-wide lease: the right to issue permits for orders.

A VM holds it by the votes of a majority of the voters. These are chosen from the
listed VMs and keep their votes in memory only. Voters that started recently
abstain, and while two VM lists may be in use, a majority of each is needed. Any
two majorities therefore share a voter that remembers its earlier vote.
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
from yuccafold.orders._messages import LeaseRequest
from yuccafold.orders._options import OrderOptions


def ranked(name: str, vms: Iterable[VmId]) -> list[VmId]:
    """Return ``vms`` in the order of their rendezvous hash with ``name``."""
    return sorted(
        vms, key=lambda vm: (xxhash.xxh3_64_intdigest(f"{name}\0{vm}".encode()), vm)
    )


@final
class LeaseVoter:
    """Votes for at most one holder of the lease at a time."""

    def __init__(self, options: OrderOptions, now: Milliseconds) -> None:
        self._options = options
        self._may_vote_from = now + options.abstain_ms
        self._holder: tuple[VmId, Incarnation] | None = None
        self._expires_at = now
        self._term = 0
        self._floor = RevisionNumber(0)

    def vote(
        self,
        sender: VmId,
        request: LeaseRequest,
        revision: RevisionNumber,
        now: Milliseconds,
    ) -> LeaseAnswer:
        """Answer ``request``; ``revision`` is the one in force on this VM."""
        self._floor = max(self._floor, revision)
        requester = (sender, request.incarnation)
        held_by_other = self._holder not in (None, requester) and now < self._expires_at
        granted = now >= self._may_vote_from and not held_by_other
        answer = LeaseAnswer(request.round, granted, self._term, self._floor)
        if granted:
            self._holder = requester
            self._expires_at = Milliseconds(now + self._options.lease_ms)
            self._term = max(self._term, request.term)
            self._floor = max(self._floor, request.floor)
        return answer


@final
@dataclass(frozen=True, slots=True)
class _Electorate:
    """The voters of one VM list, which was first used at ``seen_at``."""

    voters: frozenset[VmId]
    seen_at: Milliseconds

    def is_majority(self, votes: set[VmId]) -> bool:
        return 2 * len(votes & self.voters) > len(self.voters)


@final
@dataclass(slots=True)
class _Round:
    """A round of vote requests, and the votes granted in it."""

    request: LeaseRequest
    requested_at: Milliseconds
    granted: dict[VmId, LeaseAnswer]


@final
class LeaseHolder:
    """Requests the lease and knows until when this VM holds it."""

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
        self._may_request_from = now + options.abstain_ms
        self._electorates: list[_Electorate] = []
        self._round = _Round(
            LeaseRequest(incarnation, 0, 0, RevisionNumber(0)), now, {}
        )
        self._round_number = 0
        self._next_request_at = now
        self._expires_at = now
        self._acquired_at: Milliseconds | None = None
        self._term = 0
        self._known_term = 0
        self._known_floor = RevisionNumber(0)
        self._acked_term = 0
        self._acked_floor = RevisionNumber(0)

    @property
    def term(self) -> int:
        """The term of this VM's lease; 0 until a majority knows it."""
        return self._acked_term

    @property
    def floor(self) -> RevisionNumber:
        """The highest revision of this VM's permits that a majority knows."""
        return self._acked_floor

    @property
    def known_floor(self) -> RevisionNumber:
        """The highest revision that any voter reported."""
        return self._known_floor

    @property
    def acquired_at(self) -> Milliseconds | None:
        """When the lease was acquired; ``None`` once it was not renewed in time."""
        return self._acquired_at

    def is_held(self, now: Milliseconds) -> bool:
        """Return whether this VM holds the lease at ``now``, and so no other VM can."""
        return self._acquired_at is not None and now < self._expires_at

    def set_list(self, vms: Iterable[VmId], now: Milliseconds) -> None:
        """Set the platform's VM list; earlier lists count until they are pruned."""
        voters = frozenset(ranked("orders", vms)[: self._options.voters])
        if not self._electorates or self._electorates[-1].voters != voters:
            self._electorates.append(_Electorate(voters, now))

    def raise_term(self, used_term: int) -> None:
        """Raise the term above ``used_term``.

        That is a term that an engine remembers and no voter does, or the term of
        this VM's lease once its serials are used up.
        """
        self._known_term = max(self._known_term, used_term)
        if self._term <= used_term:
            self._term = used_term + 1
            self._acked_term = 0

    def tick(
        self, should_hold_lease: bool, revision: RevisionNumber, now: Milliseconds
    ) -> list[Outgoing]:
        """Return the vote requests that are due.

        ``should_hold_lease`` says whether this VM should acquire or keep the lease.
        """
        self._prune(now)
        if self._acquired_at is not None and now >= self._expires_at:
            self._lose()
        if (
            not should_hold_lease
            or now < self._next_request_at
            or now < self._may_request_from
            or not self._electorates
        ):
            return []
        self._next_request_at = Milliseconds(now + self._options.renew_ms)
        self._round_number += 1
        request = LeaseRequest(
            self._incarnation, self._round_number, self._term, revision
        )
        self._round = _Round(request, now, {})
        voters = frozenset().union(*(entry.voters for entry in self._electorates))
        return [Outgoing(vm, request) for vm in sorted(voters)]

    def _prune(self, now: Milliseconds) -> None:
        """Drop a list once no VM can use it or hold a lease granted under it."""
        oldest = now - self._options.abstain_ms
        while len(self._electorates) > 1 and self._electorates[1].seen_at < oldest:
            del self._electorates[0]

    def _lose(self) -> None:
        self._acquired_at = None
        self._term = 0
        self._acked_term = 0
        self._acked_floor = RevisionNumber(0)

    def handle_answer(
        self, sender: VmId, answer: LeaseAnswer, now: Milliseconds
    ) -> None:
        """Handle a voter's answer; only votes of the current round count."""
        self._known_term = max(self._known_term, answer.term)
        self._known_floor = max(self._known_floor, answer.floor)
        if answer.round != self._round.request.round or not answer.granted:
            return
        self._round.granted[sender] = answer
        votes = set(self._round.granted)
        if all(entry.is_majority(votes) for entry in self._electorates):
            self._win(now)

    def _win(self, now: Milliseconds) -> None:
        """Hold or extend the lease; its time counts from the start of the round."""
        expires_at = self._round.requested_at + self._options.usable(
            self._options.lease_ms
        )
        if now >= expires_at:
            return
        if self._acquired_at is None:
            self._acquired_at = now
            self._term = self._known_term + 1
            self._next_request_at = now
        self._expires_at = Milliseconds(expires_at)
        request = self._round.request
        if request.term == self._term:
            self._acked_term = request.term
            self._acked_floor = max(self._acked_floor, request.floor)
