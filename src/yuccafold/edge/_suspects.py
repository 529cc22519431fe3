"""Evidence on prompt parts and whole calls that may crash the targets that run them.

A crash ends every call in flight at its target, so a single crash doesn't tell which
of them caused it. A part that crashes each target never gets a whole answer; parts that
were only beside it do. So a part is suspected from its crashes on and cleared by the
first whole answer of any call with it, at any VM. VMs exchange this evidence; merging
it again changes nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from hashlib import blake2b
from typing import NewType
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._parsing import parse_whole
from yuccafold.edge._call import Call
from yuccafold.edge._model import PartId

SuspectKey = NewType("SuspectKey", str)
"""Digest of a prompt part, or of a whole call."""

CrashId = NewType("CrashId", str)
"""One crash: the target's id and, in base 36, the Unix time of its start."""

KEY_BYTES = 8
MAX_PARTS = 64
"""Shared parts of one call that are taken into account; prompts have a few."""

MAX_DIGESTED_BODY_BYTES = 65_536
"""Bytes of a body that tell whole calls apart, besides its length."""

MAX_STRIKES = 10
"""Strikes kept for one suspect, the latest ones; they are enough to quarantine any."""

EARLY_WEIGHT = 3
"""Weight of a crash under a call whose answer had not begun or had just begun."""

LATE_WEIGHT = 1
"""Weight of a crash under a call that was well into its answer: what crashes a target
does so when it begins to write."""

STRIKE_WINDOW = Milliseconds(10)
"""Crashes closer to each other than this count as one: targets that are ended together
have the same parts in flight, while a retry takes longer to crash its target."""

SOUND_STRIKE_WINDOW = Milliseconds(500)
"""The same for a part that had a whole answer before: a busy part is at all targets,
and its next whole answer takes about this long."""

EARLY_ANSWER_TIME = Milliseconds(500)
"""How long after the first byte of its answer a call counts as having just begun: a
step of a loaded engine takes some 50 ms."""

KEY_LENGTH = 2 * KEY_BYTES
FIELD_SEPARATOR = "~"
ENTRY_SEPARATOR = "_"
NO_VALUE = "x"


@final
@dataclass(frozen=True, slots=True)
class Strike:
    """A crash under a call with the suspect: its weight and when it happened."""

    weight: int
    at: Milliseconds


@final
@dataclass(slots=True)
class Suspect:
    """Evidence on one part or whole call.

    ``sound_at`` is when a call with it last got a whole answer, ``seen_at`` when one
    last crashed a target or was refused. ``trials`` counts calls that were let through
    while it was quarantined and reached a target; ``tried_at`` is when this VM last let
    one through. ``version`` orders changes at this VM; ``known_to`` is a
    VM that is known to have all of this evidence. ``is_whole_call`` is set once this VM
    has seen a whole call with this key.
    """

    strikes: dict[CrashId, Strike] = field(default_factory=dict)
    sound_at: Milliseconds | None = None
    seen_at: Milliseconds = Milliseconds(0)
    trials: int = 0
    tried_at: Milliseconds | None = None
    version: int = 0
    known_to: str | None = None
    label: str | None = None
    is_whole_call: bool = False

    @property
    def total_weight(self) -> int:
        """The sum of the weights of all crashes since the last whole answer."""
        return sum(strike.weight for strike in self.strikes.values())

    @property
    def weight(self) -> int:
        """The weight of the evidence of all crashes since the last whole answer.

        Crashes at nearly the same time count once for a part, with the highest weight:
        one cause can end many targets, and a part that many calls share is at all of
        them. A whole call is at several targets only if it was sent to each.
        """
        if self.is_whole_call:
            return self.total_weight
        window = STRIKE_WINDOW if self.sound_at is None else SOUND_STRIKE_WINDOW
        weight = 0
        began_at, counted = None, 0
        for strike in sorted(self.strikes.values(), key=lambda strike: strike.at):
            if began_at is None or strike.at - began_at >= window:
                began_at, counted = strike.at, 0
            weight += max(0, strike.weight - counted)
            counted = max(counted, strike.weight)
        return weight

    @property
    def first_strike_at(self) -> Milliseconds:
        """When the first of its crashes happened; 0 without strikes."""
        return min(
            (strike.at for strike in self.strikes.values()), default=Milliseconds(0)
        )

    @property
    def last_strike_at(self) -> Milliseconds:
        """When the last crash happened; 0 without strikes."""
        return max(
            (strike.at for strike in self.strikes.values()), default=Milliseconds(0)
        )

    def was_tried_within(self, time: Milliseconds, now: Milliseconds) -> bool:
        """Return whether this VM let a call through in the last ``time``."""
        return self.tried_at is not None and now - self.tried_at < time

    def add_strike(self, crash: CrashId, strike: Strike) -> bool:
        """Record a crash; return whether that is new.

        Several calls at one crash count once, with the highest weight.
        """
        if self.sound_at is not None and strike.at <= self.sound_at:
            return False
        known = self.strikes.get(crash)
        if known is not None and known.weight >= strike.weight:
            return False
        at = strike.at if known is None else known.at
        self.strikes[crash] = Strike(strike.weight, at)
        if len(self.strikes) > MAX_STRIKES:
            del self.strikes[
                min(self.strikes, key=lambda crash: self.strikes[crash].at)
            ]
        self.seen_at = max(self.seen_at, at)
        return True

    def is_covered_by(self, other: Suspect) -> bool:
        """Return whether ``other`` holds all of this evidence."""
        return (
            self.strikes.keys() <= other.strikes.keys()
            and (self.sound_at is None or other.sound_at is not None)
            and self.trials <= other.trials
        )

    def record_sound(self, at: Milliseconds) -> bool:
        """Record a whole answer; return whether it is the first or voids a strike."""
        is_first = self.sound_at is None
        self.sound_at = at if self.sound_at is None else max(self.sound_at, at)
        voided = [crash for crash, strike in self.strikes.items() if strike.at <= at]
        for crash in voided:
            del self.strikes[crash]
        return is_first or bool(voided)


@lru_cache(maxsize=4_096)
def part_key(part: PartId) -> SuspectKey:
    """Return the key of a prompt part."""
    return _digest("part", part)


def call_key(call: Call) -> SuspectKey:
    """Return the key of a whole call: the same path, account, prompt and body."""
    account = call.admitted.account
    prompt = ",".join(part.id for part in call.head.prompt)
    head = [call.method.decode("latin-1"), call.target.decode("latin-1"), prompt]
    body = call.body[:MAX_DIGESTED_BODY_BYTES]
    return _digest(
        "call", str(account and account.id), *head, str(len(call.body)), body
    )


def suspect_parts(call: Call) -> list[PartId]:
    """Return the parts of a call that may be suspected: those that others share."""
    return [part.id for part in call.head.shared_parts[:MAX_PARTS]]


def crash_id(target: TargetId, born_ms: int) -> CrashId:
    """Return the id of the crash that ended a target's present incarnation."""
    safe = target.replace(FIELD_SEPARATOR, "").replace(ENTRY_SEPARATOR, "")
    return CrashId(f"{safe.replace('.', '')}.{_base36(born_ms)}")


def _digest(kind: str, *values: str | bytes) -> SuspectKey:
    digest = blake2b(kind.encode(), digest_size=KEY_BYTES)
    for value in values:
        data = value if isinstance(value, bytes) else value.encode("utf-8", "replace")
        digest.update(len(data).to_bytes(8, "big") + data)
    return SuspectKey(digest.hexdigest())


def _base36(number: int) -> str:
    digits = ""
    while number > 0:
        number, digit = divmod(number, 36)
        digits = "0123456789abcdefghijklmnopqrstuvwxyz"[digit] + digits
    return digits or "0"


def format_suspect(key: SuspectKey, suspect: Suspect, now: Milliseconds) -> str:
    """Format evidence for another VM: ``KEY~SEEN~SOUND~TRIALS~STRIKE~...``.

    Times are ages in milliseconds, as VMs have no common clock. A strike is
    ``TARGET.BORN.WEIGHT.AGE``.
    """
    sound_at = suspect.sound_at
    strikes = (
        f"{crash}.{strike.weight}.{max(0, now - strike.at)}"
        for crash, strike in suspect.strikes.items()
    )
    sound = NO_VALUE if sound_at is None else str(max(0, now - sound_at))
    seen = str(max(0, now - suspect.seen_at))
    return FIELD_SEPARATOR.join([key, seen, sound, str(suspect.trials), *strikes])


def parse_suspects(text: str, now: Milliseconds) -> list[tuple[SuspectKey, Suspect]]:
    """Parse suspects as ``format_suspect`` writes them, joined by ``_``.

    Raises ``ValueError`` if they are malformed.
    """
    return [
        _parse_suspect(entry.split(FIELD_SEPARATOR), now)
        for entry in text.split(ENTRY_SEPARATOR)
        if entry
    ]


def _parse_suspect(
    fields: Sequence[str], now: Milliseconds
) -> tuple[SuspectKey, Suspect]:
    key, seen, sound, trials, *strikes = fields
    if len(key) != KEY_LENGTH:
        raise ValueError(f"expected a key of {KEY_LENGTH} digits, got {key!r:.40}")
    suspect = Suspect(
        sound_at=None if sound == NO_VALUE else _time(sound, now),
        seen_at=_time(seen, now),
        trials=_count(trials),
    )
    for text in strikes[:MAX_STRIKES]:
        crash, weight, age = text.rsplit(".", 2)
        capped = min(EARLY_WEIGHT, _count(weight))
        suspect.strikes[CrashId(crash)] = Strike(capped, _time(age, now))
    return SuspectKey(key), suspect


def _time(age: str, now: Milliseconds) -> Milliseconds:
    return Milliseconds(now - _count(age))


def _count(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise ValueError(f"expected a whole number, got {text!r:.40}")
    return parse_whole(text)
