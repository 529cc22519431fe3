"""All that this VM knows of targets, and the choice of one for a call."""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold.edge._call import Call
from yuccafold.edge._health import PLAIN_LIMITS
from yuccafold.edge._health import PROMPT_LIMITS
from yuccafold.edge._health import Outcome
from yuccafold.edge._health import TargetHealth
from yuccafold.edge._model import Repeatability
from yuccafold.edge._model import TargetLoad
from yuccafold.edge._model import TargetRecord
from yuccafold.edge._placement import HolderMemory
from yuccafold.edge._placement import Placement
from yuccafold.edge._placement import PlainPlacement
from yuccafold.edge._placement import PromptPlacement
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._view import KnownTarget
from yuccafold.edge._view import PlatformView
from yuccafold.edge._vm_reports import TargetEvidence


@final
class Targets:
    """Places calls by view, health, load and prompts."""

    def __init__(
        self, view: PlatformView, settings: EdgeSettings, rng: random.Random
    ) -> None:
        self._view = view
        self._health = TargetHealth()
        self._evidence = TargetEvidence()
        self._holders = HolderMemory()
        self._prompts = PromptPlacement(
            self._evidence.loads, self._holders, settings.load_multiple, rng
        )
        self._plain = PlainPlacement(self._evidence.loads, settings.zone, rng)

    @property
    def evidence(self) -> TargetEvidence:
        """What calls show of targets, ours and those of all VMs."""
        return self._evidence

    def place(
        self, call: Call, tried: Collection[TargetId], now: Milliseconds
    ) -> Placement | None:
        """Return the target of the next attempt, ``None`` when there is none."""
        ready = self._view.ready(call.service, now)
        repeatable = call.repeatability is not Repeatability.ONCE
        untried = [known for known in ready if known.record.id not in tried]
        names = [known.record.id for known in ready]
        sick = self._evidence.outcomes.sick(names, now)
        usable = self._health.usable(untried, repeatable, now, sick)
        if call.head.prompt:
            holders = self._possible_holders(call.service, sick)
            return self._prompts.choose(call.head.prompt, usable, holders, now)
        return self._plain.choose(usable, now)

    def _possible_holders(
        self, service: ServiceId, sick: Collection[TargetId]
    ) -> list[KnownTarget]:
        """Return the targets that a prompt may be fetched from.

        A target that can't be reached has most likely crashed and lost its memory;
        one that fails its calls may fail to hand a prompt over too.
        """
        return [
            known
            for known in self._view.present(service)
            if known.record.id not in sick and not self._health.is_down(known.record.id)
        ]

    def has_other(self, call: Call, target: TargetRecord, now: Milliseconds) -> bool:
        """Return whether a call may go to another target than ``target``."""
        ready = self._view.ready(call.service, now)
        return any(known.record.id != target.id for known in ready)

    def may_send(self, target: TargetRecord, now: Milliseconds) -> bool:
        """Return whether a target may still get a call."""
        return self._view.may_send(target, now)

    def view_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return how old the view of the platform is."""
        return self._view.age(now)

    def start(self, target: TargetId) -> None:
        """Count a call that is about to go to ``target``."""
        self._evidence.loads.start(target)
        self._health.start(target)

    def finish(
        self, call: Call, target: TargetRecord, outcome: Outcome, now: Milliseconds
    ) -> None:
        """Count the end of a call and judge the target by it."""
        self._evidence.loads.finish(target.id)
        self._judge(call, target, outcome, now)

    def note_silence(self, call: Call, target: TargetRecord, now: Milliseconds) -> None:
        """Judge a target by a call that it leaves unanswered for too long."""
        self._judge(call, target, Outcome.FAILED, now)

    def _judge(
        self, call: Call, target: TargetRecord, outcome: Outcome, now: Milliseconds
    ) -> None:
        if outcome is not Outcome.UNKNOWN:
            self._evidence.outcomes.note(target.id, outcome is Outcome.GOOD, now)
        peers = [known.record.id for known in self._view.present(target.service)]
        limits = PROMPT_LIMITS if call.head.prompt else PLAIN_LIMITS
        if self._health.note(target.id, outcome, peers, now, limits):
            log_event("target_avoided", target=target.id, service=target.service)

    def note_prompt(self, call: Call, target: TargetId, now: Milliseconds) -> None:
        """Record that ``target`` reads the prompt of ``call``."""
        self._holders.note(call.head.prompt, target, now)

    def note_load(self, target: TargetId, load: TargetLoad, now: Milliseconds) -> None:
        """Take a target's own word on its load."""
        self._evidence.loads.report(target, load, now)

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that started anew or is gone."""
        self._health.forget(target)
        self._evidence.loads.forget(target)
        self._evidence.outcomes.forget(target)
        self._holders.forget_target(target)
