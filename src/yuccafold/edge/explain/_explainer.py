"""Decides on a call that is not sent, by a copy of what decides on calls."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import replace
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._log import muted_log
from yuccafold._verdict import Refusal
from yuccafold._verdict import Verdict
from yuccafold.edge._attempts import cut_off
from yuccafold.edge._attempts import not_admitted
from yuccafold.edge._attempts import origin_unknown
from yuccafold.edge._attempts import quarantined
from yuccafold.edge._attempts import stopping
from yuccafold.edge._call import Call
from yuccafold.edge._call import receive_call
from yuccafold.edge._gate import Gate
from yuccafold.edge._model import CallHead
from yuccafold.edge._placement import Placement
from yuccafold.edge._positions import revision_of
from yuccafold.edge._quarantine import Standing
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._streams import OriginSource
from yuccafold.edge._targets import Targets
from yuccafold.edge._view import PlatformView
from yuccafold.edge.explain._explanation import Explanation
from yuccafold.edge.explain._explanation import Fate
from yuccafold.edge.explain._question import Question
from yuccafold.edge.explain._question import QuestionError
from yuccafold.edge.explain._table import TargetTable
from yuccafold.edge.sharing import Admission


@final
class Explainer:
    """Answers what would happen to a call, and leaves everything as it is.

    It takes the steps of a call in the order of ``EdgeForwarder``, on copies of the
    decisions and of the random numbers. So the next call that comes is decided alike.
    """

    def __init__(
        self,
        view: PlatformView,
        targets: Targets,
        settings: EdgeSettings,
        rng: random.Random,
        may_take: Callable[[Call], bool],
    ) -> None:
        self._view = view
        self._targets = targets
        self._settings = settings
        self._rng = rng
        self._may_take = may_take

    def explain(self, question: Question, now: Milliseconds) -> Explanation:
        """Return where the call of ``question`` would go if it came at ``now``.

        Raises ``QuestionError`` if its service is none of its route's.
        """
        with muted_log():
            rng = copy.copy(self._rng)
            call = self._receive(question, rng, now)
            if isinstance(call, Call) and not self._may_take(call):
                call = stopping(rng)
            if isinstance(call, Refusal):
                return self._refused(call, {}, now, self._key_notes(question))
            return self._explain_call(call, self._targets.rehearse(rng), rng, now)

    def _receive(
        self, question: Question, rng: random.Random, now: Milliseconds
    ) -> Call | Refusal:
        catalogue = self._view.catalogue
        route = catalogue and catalogue.route_of(
            question.host, question.path.partition("?")[0]
        )
        default = Milliseconds(0) if route is None else route.timeout
        head = CallHead(
            id=question.call,
            deadline=question.deadline or default,
            api_key=self._key(question),
            prompt=question.prompt,
            output_tokens=question.output_tokens,
            resumes=question.resumes,
            resume_after=question.resume_after,
            length_hint=question.length_hint,
        )
        call = receive_call(
            head,
            question.method.encode(),
            question.path.encode(),
            ((b"host", question.host.encode()),),
            b"",
            Gate(self._view, self._settings, rng),
            now,
            self._targets.streams.choose_service,
        )
        if question.service is None or isinstance(call, Refusal):
            return call
        services = [service for service, _ in call.admitted.route.services]
        if question.service not in services:
            raise QuestionError(f"service: expected one of {', '.join(services)}")
        return replace(call, service=question.service)

    def _key(self, question: Question) -> str | None:
        """Return a key of the account, ``None`` if it has none here."""
        catalogue = self._view.catalogue
        if catalogue is None or catalogue.accounts is None:
            return None
        return next(
            (
                key
                for key, account in catalogue.accounts.items()
                if account.id == question.account
            ),
            None,
        )

    def _key_notes(self, question: Question) -> list[str]:
        """Return a note if there is no key; it doesn't repeat what was entered."""
        if question.account is None or self._key(question) is not None:
            return []
        return ["this VM knows no key of the account"]

    def _explain_call(
        self, call: Call, targets: Targets, rng: random.Random, now: Milliseconds
    ) -> Explanation:
        evidence = targets.evidence
        evidence.quarantine.begin_trial(call, now)
        origin = targets.streams.origin(call, now)
        facts = _facts(call, now)
        if origin.source is OriginSource.UNKNOWN:
            known_in = targets.streams.origin_known_in(call, now)
            return self._refused(origin_unknown(known_in, rng), facts, now)
        facts |= {"software": origin.version, "known_by": origin.source.value}
        admission = targets.admit(call, now)
        sharing = _sharing(call, targets, admission, now)
        via, placement = None, None
        refusal = _refusal_before_placing(call, targets, admission, now)
        if refusal is None and evidence.reach.is_cut_off(call.service):
            via = evidence.helpers.choose(call.service, (), now)
            refusal = cut_off(rng) if via is None else None
        table = TargetTable(self._view, targets, call, origin.version, now)
        if refusal is None and via is None:
            placed = table.place()
            if isinstance(placed, Placement):
                placement = placed
            else:
                refusal = targets.refuse_without_target(
                    call, placed, origin.version, now, rng
                )
        rows = table.rows(placement)
        explanation = Explanation(
            Fate.REFUSED if via is None else Fate.DETOURED,
            facts,
            self._view_facts(now),
            via=via,
            refusal=refusal,
            sharing=sharing,
            notes=table.notes,
            targets=rows,
        )
        if placement is None:
            return explanation
        source = placement.fetch_from
        return replace(
            explanation,
            fate=Fate.PLACED,
            target=placement.target.record.id,
            reason=placement.reason,
            fetch=None if source is None else source.record.id,
        )

    def _refused(
        self,
        refusal: Refusal,
        facts: dict[str, Any],
        now: Milliseconds,
        notes: Sequence[str] = (),
    ) -> Explanation:
        view = self._view_facts(now)
        return Explanation(Fate.REFUSED, facts, view, refusal=refusal, notes=notes)

    def _view_facts(self, now: Milliseconds) -> dict[str, Any]:
        return {
            "vm": self._settings.vm,
            "zone": self._settings.zone,
            "version": self._view.version,
            "era": self._view.era,
            "revision": revision_of(self._view.position),
            "view_age_ms": self._view.age(now),
            "keys_age_ms": self._view.keys_age(now),
        }


def _refusal_before_placing(
    call: Call, targets: Targets, admission: Admission, now: Milliseconds
) -> Refusal | None:
    if admission.reason is not None:
        return not_admitted(admission)
    quarantine = targets.evidence.quarantine
    if quarantine.standing(call, now) is Standing.QUARANTINED:
        return quarantined(quarantine.record_refusal(call, now), Verdict.NOT_RUN)
    return None


def _facts(call: Call, now: Milliseconds) -> dict[str, Any]:
    account = call.admitted.account
    return {
        "route": call.admitted.route.name,
        "service": call.service,
        "services": dict(call.admitted.route.services),
        "account": None if account is None else account.id,
        "urgency": call.urgency,
        "left_ms": call.deadline - now,
    }


def _sharing(
    call: Call, targets: Targets, admission: Admission, now: Milliseconds
) -> dict[str, Any]:
    """Return what the admission of a call went by; empty without sharing."""
    figures = targets.evidence.sharing.figures(now).get(call.service, {})
    return {**figures, **admission.inputs}
