"""What is said of a call: its fate, and what is known of each target for it."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any
from typing import final

from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold._verdict import Refusal
from yuccafold.edge._model import SoftwareVersion


class Fate(Enum):
    """What would happen to a call."""

    PLACED = "placed"
    """It would be sent to a target."""
    DETOURED = "detoured"
    """It would be sent through another VM, as this one reaches no target."""
    REFUSED = "refused"


class RuledOut(Enum):
    """Why a target would not get a call."""

    LEAVING = "leaving"
    EVACUATED = "evacuated zone"
    NOT_READY = "not ready"
    PAUSED = "paused by its own answer"
    OTHER_VERSION = "other software version"
    FAILING = "failing at all VMs"
    AVOIDED = "avoided"
    COLD = "cold without a permit"
    BRITTLE = "brittle"
    LIMITED = "limited"
    OVER_BOUND = "over the load bound"
    SILENT = "silent"
    CUT_OFF = "cut off"


@final
@dataclass(frozen=True, slots=True)
class Estimate:
    """What is expected of a target, in milliseconds.

    The call is read in ``reading_ms``, written in ``writing_ms``, and waits for
    ``waiting_ms`` before. Its first event, or the answer to a plain call, comes after
    ``first_ms``. ``outstanding_read_ms`` and ``outstanding_write_ms`` are the work that
    the target still has to do, of its usual pace; ``slowdown`` is how much longer it
    takes now.
    """

    slowdown: float
    reading_ms: int | None = None
    waiting_ms: int | None = None
    writing_ms: int | None = None
    first_ms: int | None = None
    outstanding_read_ms: int | None = None
    outstanding_write_ms: int | None = None


@final
@dataclass(frozen=True, slots=True)
class Load:
    """The calls at a target: of this VM, and of all by what was reported last.

    The bounds are those up to which it gets further prompts.
    """

    local: int
    reported: int | None = None
    local_bound: float | None = None
    bound: float | None = None


@final
@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """What is known of one target for a call.

    ``rank`` is its place in the order of preference of the prompt among all targets,
    ``choice`` its place in the order in which targets were tried for the call, from 1.
    ``held_tokens`` are those of the prompt's shared parts that it probably holds.
    """

    id: TargetId
    zone: ZoneId
    software: SoftwareVersion
    chosen: bool
    ruled_out: Sequence[RuledOut]
    load: Load
    estimate: Estimate | None = None
    rank: int | None = None
    choice: int | None = None
    held_tokens: int | None = None


@final
@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a call would go, and why.

    ``reason`` is that of the log line of a call that was placed. ``via`` is the VM that
    a call would be sent through. ``call`` says how the call was understood, ``view`` by
    which state of the platform it was decided, and ``sharing`` what the admission of
    its service goes by, if it is shared.
    """

    fate: Fate
    call: Mapping[str, Any]
    view: Mapping[str, Any]
    target: TargetId | None = None
    reason: str | None = None
    fetch: TargetId | None = None
    via: str | None = None
    refusal: Refusal | None = None
    sharing: Mapping[str, Any] = field(default_factory=dict)
    notes: Sequence[str] = ()
    targets: Sequence[TargetExplanation] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the form that the page has."""
        value = asdict(self)
        value["fate"] = self.fate.value
        if self.refusal is not None:
            value["refusal"] = {
                "status": self.refusal.status,
                "code": self.refusal.code,
                "reason": self.refusal.reason,
                "retry_after_ms": self.refusal.retry_after_ms,
            }
        for row, target in zip(value["targets"], self.targets, strict=True):
            row["ruled_out"] = [each.value for each in target.ruled_out]
        return value
