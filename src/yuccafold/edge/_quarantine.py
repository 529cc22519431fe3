"""Refuses calls with a part, or whole calls, that crashed several targets."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any
from typing import final

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._log import log_event
from yuccafold.edge._call import Call
from yuccafold.edge._model import PartId
from yuccafold.edge._settings import EdgeSettings
from yuccafold.edge._suspects import EARLY_ANSWER_TIME
from yuccafold.edge._suspects import EARLY_WEIGHT
from yuccafold.edge._suspects import LATE_WEIGHT
from yuccafold.edge._suspects import CrashId
from yuccafold.edge._suspects import Strike
from yuccafold.edge._suspects import Suspect
from yuccafold.edge._suspects import SuspectKey
from yuccafold.edge._suspects import call_key
from yuccafold.edge._suspects import part_key
from yuccafold.edge._suspects import suspect_parts

QUARANTINE_WEIGHT = 3 * EARLY_WEIGHT
"""Weight of crashes without a whole answer from which calls are refused: three crashes
at the beginning of an answer. The users allow five crashes, and three more calls
once VMs had time to report; two would refuse sound parts that are rare."""

SOUND_BEFORE_WEIGHT = 6 * EARLY_WEIGHT
"""The same for a part that has had a whole answer before its crashes: several targets
may crash at nearly the same time under a part that all calls share, and the next answer
may take seconds."""

SOUND_DOUBT_TIME = Milliseconds(500)
"""How long after its first crash a call that was sound before is still sent: if it
is sound, one of its calls at another target is answered within this time."""

ISOLATED_WEIGHT = 2 * EARLY_WEIGHT
"""The same for a VM that receives no reports: it sees only a share of the crashes."""

NO_RETRY_WEIGHT = 2 * EARLY_WEIGHT
"""Weight from which a call is not sent to another target after it failed. A whole call
of which no whole answer is known is not after its first crash: at several VMs at once
it would end twice as many targets."""

ISOLATION_TIMEOUT = Milliseconds(3_000)
"""How long after the last exchange with another VM a VM counts as isolated: VMs
exchange evidence every 450 to 750 ms."""

TRIAL_DELAYS = (
    Milliseconds(1_000),
    Milliseconds(20_000),
    Milliseconds(1_200_000),
)
"""How long after its last crash a quarantined suspect is tried, if none, one or two
trials reached a target before. The first is soon, as a wrong quarantine has to end
soon; by then crashes and whole answers are known at all VMs. The second is
made only if the first ended without a crash and without a whole answer. The users allow
three calls in all, so there is no fourth."""

DRAWN_TRIALS = 2
"""Trials for which any VM may draw; the last one is left to one VM."""

QUARANTINE_LIFETIME = Milliseconds(86_400_000)
"""How long a quarantine lasts after the last call that it refused."""

TRIAL_SLOT = Milliseconds(1_000)
"""How often VMs draw anew who may make the first trial: they report its end
within this time."""

TRIALS_PER_SLOT = 0.25
"""Mean number of VMs that may make a drawn trial in one slot: with more, several may
crash a target each, and with fewer, a wrong quarantine ends later."""

ASSUMED_VM_COUNT = 16
"""Number of VMs assumed to draw until the seeds report the real one."""

SUSPICION_LIFETIME = Milliseconds(600_000)
"""How long suspects that aren't quarantined are remembered after their last crash."""

CLEARED_LIFETIME = Milliseconds(30_000)
"""How long a cleared suspect is kept, so that it is reported to all VMs."""

SEEN_RESOLUTION = Milliseconds(60_000)
"""How often it is reported that a quarantine still refuses calls."""

NOTHING_REPORTED = -1
"""Stands for the last version that was reported to a VM, before any was."""

MAX_SUSPECTS = 2_048
"""Suspects kept; one crash makes a few dozen at most."""

ALIVE_MARGIN = Milliseconds(300)
"""How long after a crash a call has to be sent for its answer to show that the target
lives, as VMs report the times of crashes by their ages."""

MAX_REFUTED = 256
"""Crashes that are remembered as none."""

MAX_SOUND_KEYS = 4_096
"""Parts and whole calls of which the last whole answer is remembered; a few hundred are
in use."""


class Standing(Enum):
    """What the evidence says of a call."""

    CLEAR = "clear"
    """Nothing, or too little to treat it differently."""
    SUSPECT = "suspect"
    """It may be sent, but not again after it failed."""
    QUARANTINED = "quarantined"
    """It must not be sent."""


@final
@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """The part of this VM in the fleet's quarantine, and the operator's exemptions.

    ``makes_trials`` is set at the one VM that makes the last trial of quarantined
    suspects; for those before, all VMs draw.
    ``has_peers`` says whether there are other VMs. ``exempt`` are parts that
    are never refused. ``epoch`` tells the incarnations of this VM apart.
    """

    makes_trials: bool = True
    has_peers: bool = False
    exempt: frozenset[PartId] = frozenset()
    epoch: str = "0"


def quarantine_settings(settings: EdgeSettings, epoch: str) -> QuarantineSettings:
    """Return the quarantine's settings for a VM; the first seed makes the trials."""
    return QuarantineSettings(
        makes_trials=not settings.seeds or settings.peers == settings.seeds[0],
        has_peers=any(seed != settings.peers for seed in settings.seeds),
        exempt=settings.exempt_parts,
        epoch=epoch,
    )


@final
class Quarantine:
    """The suspects known to this VM, and the calls that they keep from targets."""

    def __init__(self, settings: QuarantineSettings | None = None) -> None:
        self._on_trial: dict[CallId, list[SuspectKey]] = {}
        self._vm_count = 0
        self._suspects: dict[SuspectKey, Suspect] = {}
        # Suspects that are heavy enough to be treated differently: usually none.
        self._strong: set[SuspectKey] = set()
        self._announced: set[SuspectKey] = set()
        self._sound: OrderedDict[SuspectKey, Milliseconds] = OrderedDict()
        self._crash_times: dict[CrashId, Milliseconds] = {}
        self._refuted: OrderedDict[CrashId, Milliseconds] = OrderedDict()
        self._version = 0
        self._received_at: Milliseconds | None = None
        self.apply_settings(settings or QuarantineSettings())

    @property
    def epoch(self) -> str:
        """The incarnation of this VM, within which versions increase."""
        return self._settings.epoch

    @property
    def version(self) -> int:
        """Increases with each change of the evidence."""
        return self._version

    def apply_settings(self, settings: QuarantineSettings) -> None:
        """Apply ``settings`` from now on."""
        self._settings = settings
        self._exempt = {part_key(part) for part in settings.exempt}

    def standing(self, call: Call, now: Milliseconds) -> Standing:
        """Return whether a call may be sent to a target, and again if it fails."""
        if not self._strong:
            return Standing.CLEAR
        if call.head.id not in self._on_trial and self._quarantined_keys(call, now):
            return Standing.QUARANTINED
        return Standing.SUSPECT if self._strong_keys(call) else Standing.CLEAR

    def knowledge(self, call: Call, now: Milliseconds) -> dict[str, Any]:
        """Return what this VM knows against a call, as fields of a log line."""
        keys = _keys(call)
        known = [self._suspects[key] for key in keys if key in self._suspects]
        received_at = self._received_at
        return {
            "key": keys[-1],
            "crashes_known": max((len(known.strikes) for known in known), default=0),
            "heard_ms": None if received_at is None else now - received_at,
        }

    def record_refusal(self, call: Call, now: Milliseconds) -> str:
        """Record that a quarantined call was refused; return the reason."""
        labels = _labels(call)
        reasons = []
        for key in self._quarantined_keys(call, now):
            suspect = self._suspects[key]
            suspect.label = suspect.label or labels[key]
            self._update(key, now)
            reasons.append(f"{suspect.label} crashed {len(suspect.strikes)} targets")
            if now - suspect.seen_at > SEEN_RESOLUTION:
                suspect.seen_at = now
                self._mark_changed(suspect)
        return "; ".join(reasons)

    def begin_trial(self, call: Call, now: Milliseconds) -> None:
        """Let a quarantined call through until ``end_trial`` if a trial is due."""
        keys = self._quarantined_keys(call, now)
        if not keys or not all(self._is_trial_due(key, now) for key in keys):
            return
        self._on_trial[call.head.id] = keys
        for key in keys:
            self._suspects[key].tried_at = now
            log_event("quarantine_trial", key=key, call=call.head.id)

    def end_trial(self, call: Call, reached_target: bool) -> None:
        """Record the end of a call, which may have been a trial.

        One that reached no target told nothing, and is made again.
        """
        for key in self._on_trial.pop(call.head.id, ()):
            if reached_target and key in self._suspects:
                self._suspects[key].trials += 1
                self._mark_changed(self._suspects[key])

    def record_crash(
        self,
        call: Call,
        crash: CrashId,
        answering_time: Milliseconds | None,
        now: Milliseconds,
    ) -> None:
        """Record that a target crashed under a call.

        ``answering_time`` is how long the answer had come, ``None`` before it.
        """
        is_early = answering_time is None or answering_time <= EARLY_ANSWER_TIME
        strike = Strike(EARLY_WEIGHT if is_early else LATE_WEIGHT, now)
        for key in self._on_trial.pop(call.head.id, ()):
            if key in self._suspects:
                self._suspects[key].trials = max(
                    DRAWN_TRIALS, self._suspects[key].trials + 1
                )
                self._mark_changed(self._suspects[key])
        labels = _labels(call)
        *_, whole_call = labels
        for key, label in labels.items():
            suspect = self._suspects.setdefault(key, Suspect(seen_at=now))
            suspect.label = suspect.label or label
            suspect.is_whole_call = key == whole_call
            if suspect.sound_at is None:
                suspect.sound_at = self._sound.get(key)
            if suspect.add_strike(crash, strike):
                self._mark_changed(suspect)
                self._update(key, now)
        self._crash_times[crash] = now
        self._drop_weakest()

    def record_alive(
        self, crash: CrashId, sent_at: Milliseconds, now: Milliseconds
    ) -> None:
        """Record that a target answers, so that a crash reported of it was none.

        A VM that is cut off takes targets for crashed whose connections are reset.
        Only an answer to a call sent after the crash shows that: a VM that was
        suspended reads long afterwards what a target sent before it crashed.
        """
        if crash not in self._crash_times:
            return
        if sent_at - self._crash_times[crash] < ALIVE_MARGIN:
            return
        del self._crash_times[crash]
        self._refuted[crash] = now
        while len(self._refuted) > MAX_REFUTED:
            self._refuted.popitem(last=False)
        log_event("crash_refuted", crash=crash)
        for key, suspect in self._suspects.items():
            if suspect.strikes.pop(crash, None) is not None:
                self._update(key, now)

    def record_sound(self, call: Call, now: Milliseconds) -> None:
        """Record that a call got its whole answer: nothing in it crashes targets."""
        for key in _sound_keys(call):
            self._sound[key] = now
            self._sound.move_to_end(key)
        if self._suspects:
            for key in _keys(call):
                self._record_sound_key(key, now)
        while len(self._sound) > MAX_SOUND_KEYS:
            self._sound.popitem(last=False)

    def merge(
        self,
        evidence: Iterable[tuple[SuspectKey, Suspect]],
        source: str,
        now: Milliseconds,
    ) -> None:
        """Merge the evidence of another VM, called ``source``."""
        for key, other in evidence:
            changed = key not in self._suspects
            suspect = self._suspects.setdefault(key, Suspect(seen_at=other.seen_at))
            if other.sound_at is not None:
                changed = suspect.record_sound(other.sound_at) or changed
            for crash, strike in other.strikes.items():
                if strike.at <= self._refuted.get(crash, strike.at - 1):
                    continue
                if suspect.add_strike(crash, strike):
                    changed = True
                    self._crash_times[crash] = strike.at
            if other.trials > suspect.trials:
                suspect.trials, changed = other.trials, True
            if other.seen_at - suspect.seen_at > SEEN_RESOLUTION // 2:
                suspect.seen_at, changed = other.seen_at, True
            if changed:
                covered = suspect.is_covered_by(other)
                self._mark_changed(suspect, source if covered else None)
            # What this VM knows of whole answers may clear what others suspect.
            sound_at = self._sound.get(key)
            if sound_at is not None and suspect.record_sound(sound_at):
                self._mark_changed(suspect)
            self._update(key, now)
        self._drop_weakest()

    def record_vm_count(self, count: int) -> None:
        """Record how many VMs there are."""
        self._vm_count = count

    def record_contact(self, now: Milliseconds) -> None:
        """Record an exchange of evidence with another VM."""
        self._received_at = now

    def changes(self, after: int, reader: str) -> list[tuple[SuspectKey, Suspect]]:
        """Return the suspects that changed after version ``after``, in that order.

        Those whose last change came from ``reader`` itself are left out, unless it is
        sent everything, as after its start.
        """
        return sorted(
            (
                (key, suspect)
                for key, suspect in self._suspects.items()
                if suspect.version > after
                and (after == NOTHING_REPORTED or suspect.known_to != reader)
            ),
            key=lambda item: item[1].version,
        )

    def is_urgent(self, suspect: Suspect) -> bool:
        """Return whether a suspect has to be reported to other VMs first."""
        return suspect.total_weight >= NO_RETRY_WEIGHT

    def expire(self, now: Milliseconds) -> None:
        """Drop suspects whose time is over."""
        for key in [key for key in self._suspects if self._has_expired(key, now)]:
            self._forget(key)
        known = {c for suspect in self._suspects.values() for c in suspect.strikes}
        for crash in self._crash_times.keys() - known:
            del self._crash_times[crash]

    def rows(self, now: Milliseconds) -> Iterator[dict[str, Any]]:
        """Yield what operators see of suspects with crashes, the strongest first."""
        struck = [
            (key, suspect) for key, suspect in self._suspects.items() if suspect.strikes
        ]
        for key, suspect in sorted(struck, key=lambda item: -item[1].weight):
            yield {
                "key": key,
                "what": suspect.label,
                "standing": (
                    Standing.QUARANTINED.value
                    if self._is_quarantined(key, now)
                    else Standing.SUSPECT.value
                ),
                "weight": suspect.weight,
                "since_s": (now - suspect.last_strike_at) // MS_PER_SECOND,
                "seen_s": (now - suspect.seen_at) // MS_PER_SECOND,
                "trials": suspect.trials,
                "sound_before": suspect.sound_at is not None,
                "crashes": sorted(suspect.strikes),
            }

    def _strong_keys(self, call: Call) -> list[SuspectKey]:
        if not self._strong:
            return []
        *parts, whole_call = _keys(call)
        keys = [
            key
            for key in (*parts, whole_call)
            if key in self._strong and key not in self._exempt
        ]
        for key in keys:
            # Reports of other VMs don't name the kind of suspect.
            self._suspects[key].is_whole_call = key == whole_call
        return [key for key in keys if self._is_suspect(call, self._suspects[key])]

    def _is_suspect(self, call: Call, suspect: Suspect) -> bool:
        """Return whether ``call`` isn't sent again after it failed."""
        # Nearly all calls with a prompt are new, and costly to begin again.
        is_unknown = suspect.is_whole_call and suspect.sound_at is None
        is_plain = not call.head.prompt
        return suspect.weight >= (
            EARLY_WEIGHT if is_unknown and is_plain else NO_RETRY_WEIGHT
        )

    def _quarantined_keys(self, call: Call, now: Milliseconds) -> list[SuspectKey]:
        return [
            key for key in self._strong_keys(call) if self._is_quarantined(key, now)
        ]

    def _is_quarantined(self, key: SuspectKey, now: Milliseconds) -> bool:
        suspect = self._suspects[key]
        if key in self._exempt:
            return False
        if suspect.sound_at is not None and suspect.is_whole_call:
            in_doubt = now - suspect.first_strike_at < SOUND_DOUBT_TIME
            return suspect.weight >= QUARANTINE_WEIGHT and not in_doubt
        if suspect.sound_at is not None:
            return suspect.weight >= SOUND_BEFORE_WEIGHT
        isolated = self._is_isolated(now)
        return suspect.weight >= (ISOLATED_WEIGHT if isolated else QUARANTINE_WEIGHT)

    def _is_isolated(self, now: Milliseconds) -> bool:
        if not self._settings.has_peers:
            return False
        return self._received_at is None or now - self._received_at > ISOLATION_TIMEOUT

    def _is_trial_due(self, key: SuspectKey, now: Milliseconds) -> bool:
        suspect = self._suspects[key]
        if suspect.trials >= len(TRIAL_DELAYS):
            return False
        delay = TRIAL_DELAYS[suspect.trials]
        since_crash = Milliseconds(now - suspect.last_strike_at)
        if since_crash < delay or suspect.was_tried_within(TRIAL_SLOT, now):
            return False
        if suspect.trials < DRAWN_TRIALS:
            return self._draws_trial(key, since_crash)
        return self._settings.makes_trials

    def _draws_trial(self, key: SuspectKey, since_crash: Milliseconds) -> bool:
        """Return whether this VM may make a trial in this slot.

        Each VM draws for itself, so that no VM has to be asked or to be there, and few
        draw the same slot.
        """
        vms = self._vm_count or (ASSUMED_VM_COUNT if self._settings.has_peers else 1)
        draw = random.Random(
            f"{self._settings.epoch} {key} {since_crash // TRIAL_SLOT}"
        )
        return draw.random() < TRIALS_PER_SLOT / vms

    def _record_sound_key(self, key: SuspectKey, now: Milliseconds) -> None:
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.record_sound(now):
            self._mark_changed(suspect)
            self._update(key, now)

    def _mark_changed(self, suspect: Suspect, source: str | None = None) -> None:
        self._version += 1
        suspect.version = self._version
        suspect.known_to = source

    def _update(self, key: SuspectKey, now: Milliseconds) -> None:
        """Update the index of strong suspects, and log who enters or leaves."""
        suspect = self._suspects[key]
        if suspect.total_weight >= EARLY_WEIGHT:
            self._strong.add(key)
        else:
            self._strong.discard(key)
        is_quarantined = self._is_quarantined(key, now)
        if is_quarantined and key not in self._announced:
            self._announced.add(key)
            log_event(
                "suspect_quarantined",
                key=key,
                what=suspect.label,
                crashes=",".join(suspect.strikes),
                reported_by=suspect.known_to,
            )
        elif not suspect.strikes and key in self._announced:
            self._announced.discard(key)
            log_event("suspect_cleared", key=key, what=suspect.label)

    def _has_expired(self, key: SuspectKey, now: Milliseconds) -> bool:
        suspect = self._suspects[key]
        if not suspect.strikes:
            return now - (suspect.sound_at or suspect.seen_at) > CLEARED_LIFETIME
        lifetime = QUARANTINE_LIFETIME if key in self._announced else SUSPICION_LIFETIME
        return now - suspect.seen_at > lifetime

    def _drop_weakest(self) -> None:
        """Keep the table bounded; the weakest and oldest suspects go first."""
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess > 0:
            ordered = sorted(
                self._suspects,
                key=lambda key: (
                    self._suspects[key].weight,
                    self._suspects[key].seen_at,
                ),
            )
            for key in ordered[: excess + MAX_SUSPECTS // 8]:
                self._forget(key)

    def _forget(self, key: SuspectKey) -> None:
        del self._suspects[key]
        self._strong.discard(key)
        self._announced.discard(key)


def _keys(call: Call) -> list[SuspectKey]:
    """Return the keys under which a call may be suspected: its parts and as a whole."""
    return [*map(part_key, suspect_parts(call)), call_key(call)]


def _sound_keys(call: Call) -> list[SuspectKey]:
    """Return the keys of which a whole answer is remembered.

    A whole call with a prompt has a part of its own, so it rarely comes again.
    """
    parts = [part_key(part) for part in suspect_parts(call)]
    return parts if call.head.prompt else [*parts, call_key(call)]


def _labels(call: Call) -> dict[SuspectKey, str]:
    """Return what operators are shown for each key of a call."""
    labels = {part_key(part): f"part {part:.80}" for part in suspect_parts(call)}
    labels[call_key(call)] = f"request {call.head.id}"
    return labels
