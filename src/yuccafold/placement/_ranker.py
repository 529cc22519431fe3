"""Ranking of the targets that may serve the next turn of a chat."""

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

SAME_ZONE_CHOICES = 3
"""Among how many top-ranked candidates a plain call prefers its own zone."""


@dataclass(slots=True)
class _Service:
    history: TargetHistory
    ring: Ring
    next_step: float = float("inf")


@final
class Ranker:
    """Ranks the targets of a service for each chat, best first.

    The ranking depends on the service's targets and their history, the chat, the
    caller's hint and the cache events received, but not on the requesting VM.
    """

    def __init__(self, zone: ZoneId, settings: RankerSettings) -> None:
        self._zone = zone
        self._settings = settings
        self._services: dict[ServiceId, _Service] = {}
        self._hints = PrefixHints(settings)

    @property
    def hints(self) -> PrefixHints:
        """The hints that record cache events."""
        return self._hints

    def targets_changed(
        self, service: ServiceId, states: Sequence[TargetState], now: Milliseconds
    ) -> None:
        """Replace the list of targets of ``service``."""
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
        """Return the candidates for the next turn of a chat.

        ``loads`` is passed if later turns of the chat find its target by hints or
        cache events: the chat starts on the least loaded candidate, and moves to
        the least loaded ones when its current target has no room. ``earlier`` is the
        target before ``hint``, which may still cache most of the prefix.

        ``hint`` is the target that served the chat last according to the caller;
        it is skipped if it isn't listed or doesn't accept work.
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
            if target is not None and known.history.accepts_work(target)
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
        mean_load = sum(known) / max(1, len(known))
        ordered = sorted(
            candidates,
            key=lambda c: (
                c.reason is CandidateReason.DAMPED,
                loads.get(c.target, mean_load),
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
            if not known.history.accepts_work(name):
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
        """Return candidates for a call without a chat, same-zone ones first."""
        candidates = self.rank(service, ChatId(call), None, now)
        near, rest = candidates[:SAME_ZONE_CHOICES], candidates[SAME_ZONE_CHOICES:]
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
