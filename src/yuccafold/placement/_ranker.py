"""Ranks the targets that may take a chat's next turn."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ChatId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.placement._hints import PrefixHints
from yuccafold.placement._history import TargetHistory
from yuccafold.placement._outcome import Candidate
from yuccafold.placement._outcome import CandidateReason
from yuccafold.placement._ring import Ring
from yuccafold.placement._view import RankerSettings
from yuccafold.placement._view import TargetState

LOCAL_CHOICES = 3
"""How many steady choices a plain call may pick a nearby target from."""


@dataclass(slots=True)
class _Service:
    history: TargetHistory
    ring: Ring
    next_step: float = float("inf")


@final
class Ranker:
    """Gives each chat a list of targets, the best first.

    The list depends on the service's targets and their history, the chat, the
    caller's hint and the cache events seen; not on the VM that asks.
    """

    def __init__(self, zone: ZoneId, settings: RankerSettings) -> None:
        self._zone = zone
        self._settings = settings
        self._services: dict[ServiceId, _Service] = {}
        self._hints = PrefixHints(settings)

    @property
    def hints(self) -> PrefixHints:
        """Where cache events are noted."""
        return self._hints

    def targets_changed(
        self, service: ServiceId, states: Sequence[TargetState], now: Milliseconds
    ) -> None:
        """Adopt the targets of ``service``."""
        known = self._services.get(service)
        if known is None:
            ring = Ring(self._settings.points)
            known = _Service(TargetHistory(self._settings), ring)
            self._services[service] = known
        known.history.update(states, now)
        self._refresh(known, now)

    def _refresh(self, known: _Service, now: Milliseconds) -> None:
        known.ring.update(known.history.weights(now))
        known.next_step = known.history.next_step(now)

    def rank(
        self,
        service: ServiceId,
        chat: ChatId,
        hint: TargetId | None,
        now: Milliseconds,
        loads: Mapping[TargetId, int] | None = None,
        earlier: TargetId | None = None,
    ) -> list[Candidate]:
        """Return the candidates for a chat's next turn.

        ``loads`` is given for a chat that hints or cache events will find
        again: it starts on the least loaded candidate, and goes to the least
        loaded ones when its own has no room. ``earlier`` is the target before
        ``hint``, which may still hold most of the prefix.

        ``hint`` is the target that the caller says served the chat last; one
        that isn't listed or takes no work is passed over.
        """
        known = self._services.get(service)
        if known is None:
            return []
        if now >= known.next_step:
            self._refresh(known, now)
        cached = self._hints.find(service, chat, now)
        leading = [
            Candidate(target, reason)
            for target, reason in (
                (hint, CandidateReason.CALLER_HINT),
                (earlier, CandidateReason.CALLER_HINT),
                *((name, CandidateReason.CACHE_EVENT) for name in cached),
            )
            if target is not None and known.history.is_taking_work(target)
        ]
        ranked = islice(self._ranked(known, chat, now), self._settings.candidates)
        if loads is not None:
            ranked = self._by_load(list(ranked), loads)
        return self._distinct([*leading, *ranked])

    @staticmethod
    def _by_load(
        candidates: list[Candidate], loads: Mapping[TargetId, int]
    ) -> list[Candidate]:
        known = [loads[c.target] for c in candidates if c.target in loads]
        usual = sum(known) / max(1, len(known))
        ordered = sorted(
            candidates,
            key=lambda c: (
                c.reason is CandidateReason.DAMPED,
                loads.get(c.target, usual),
            ),
        )
        if not ordered or ordered[0] is candidates[0]:
            return ordered
        first = Candidate(ordered[0].target, CandidateReason.LEAST_LOADED)
        return [first, *ordered[1:]]

    def _ranked(
        self, known: _Service, chat: ChatId, now: Milliseconds
    ) -> Iterator[Candidate]:
        damped = []
        for name in known.ring.walk(chat.encode()):
            if not known.history.is_taking_work(name):
                continue
            if known.history.is_damped(name, now):
                damped.append(Candidate(name, CandidateReason.DAMPED))
            else:
                yield Candidate(name, CandidateReason.RANK)
        yield from damped

    def _distinct(self, candidates: list[Candidate]) -> list[Candidate]:
        first = {candidate.target: candidate for candidate in reversed(candidates)}
        names = dict.fromkeys(candidate.target for candidate in candidates)
        return [first[name] for name in names][: self._settings.candidates]

    def rank_plain(
        self, service: ServiceId, call: str, now: Milliseconds
    ) -> list[Candidate]:
        """Return the candidates for a call without a chat, nearby ones first."""
        candidates = self.rank(service, ChatId(call), None, now)
        near, rest = candidates[:LOCAL_CHOICES], candidates[LOCAL_CHOICES:]
        history = self._services[service].history if candidates else None
        marked = [
            Candidate(candidate.target, CandidateReason.SAME_ZONE)
            if history is not None
            and candidate.reason is CandidateReason.RANK
            and history.state(candidate.target).zone == self._zone
            else candidate
            for candidate in near
        ]
        marked.sort(key=lambda c: c.reason is not CandidateReason.SAME_ZONE)
        return [*marked, *rest]
