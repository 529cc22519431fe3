"""Targets that announce in their answers that they are about to stop.

Such a target gets no more calls from the VM that got the answer, and from the VMs
that it is reported to. A notice is about one start of a target: another one at the
same address, or under the same id, is not concerned.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import TargetId
from yuccafold._log import log_event
from yuccafold._parsing import parse_whole
from yuccafold.edge._model import TargetRecord

TELL_TIME = Milliseconds(5_000)
"""How long a VM reports an answer: it reaches all others within 1,200 ms."""

NOTICE_RETENTION = Milliseconds(600_000)
"""How long a notice counts. Targets stop within seconds of it, and a later answer would
say so again."""

MAX_NOTICES = 4_096
MAX_REPORTED_NOTICES = 100


@final
@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """The start of a target that is about to stop, and when the notice came."""

    born_ms: int
    at: Milliseconds


LeavingNotices = Mapping[TargetId, LeavingNotice]


@final
class LeavingTargets:
    """The targets that are known to stop, by their answers to this VM or to others."""

    def __init__(self) -> None:
        self._notices: dict[TargetId, LeavingNotice] = {}
        self._own: dict[TargetId, LeavingNotice] = {}

    def record_answer(self, target: TargetRecord, call: str, now: Milliseconds) -> bool:
        """Record that ``target`` said so in its answer to ``call``.

        Returns whether this start of the target had not said so before.
        """
        notice = LeavingNotice(target.born_ms, now)
        known = self._own.get(target.id)
        if known is not None and known.born_ms == target.born_ms:
            return False
        self._own[target.id] = notice
        self._record(target.id, notice)
        log_event(
            "target_says_leaving",
            call=call,
            target=target.id,
            born_ms=target.born_ms,
            service=target.service,
        )
        return True

    def record_reported(self, notices: LeavingNotices, now: Milliseconds) -> None:
        """Record notices that other VMs received."""
        for target, notice in notices.items():
            if self._record(target, notice):
                log_event(
                    "target_told_leaving",
                    target=target,
                    born_ms=notice.born_ms,
                    age_ms=now - notice.at,
                )

    def is_leaving(self, target: TargetRecord) -> bool:
        """Return whether this start of ``target`` is about to stop."""
        notice = self._notices.get(target.id)
        return notice is not None and notice.born_ms == target.born_ms

    def age(self, target: TargetRecord, now: Milliseconds) -> Milliseconds | None:
        """Return for how long ``target`` is known to leave, ``None`` if it isn't."""
        if not self.is_leaving(target):
            return None
        return Milliseconds(now - self._notices[target.id].at)

    def local_notices(self, now: Milliseconds) -> dict[TargetId, LeavingNotice]:
        """Return the notices that this VM recently received, the newest first."""
        self._expire(now)
        newest = sorted(self._own.items(), key=lambda item: -item[1].at)
        return {
            target: notice
            for target, notice in newest[:MAX_REPORTED_NOTICES]
            if now - notice.at < TELL_TIME
        }

    def _record(self, target: TargetId, notice: LeavingNotice) -> bool:
        """Record a notice; return whether it is about another start than known.

        Starts are ordered by when notices were received, as clocks of targets may step.
        """
        known = self._notices.get(target)
        if known is not None and not _is_later_start(notice, known):
            return False
        self._notices[target] = notice
        return True

    def _expire(self, now: Milliseconds) -> None:
        for notices in (self._notices, self._own):
            oldest_first = sorted(notices, key=lambda target: notices[target].at)
            excess = oldest_first[: max(0, len(notices) - MAX_NOTICES)]
            expired = [
                target
                for target in oldest_first
                if now - notices[target].at > NOTICE_RETENTION
            ]
            for target in {*excess, *expired}:
                del notices[target]


def latest_notices(tables: Iterable[LeavingNotices]) -> dict[TargetId, LeavingNotice]:
    """Return for each target the first notice of its latest start."""
    latest: dict[TargetId, LeavingNotice] = {}
    for table in tables:
        for target, notice in table.items():
            known = latest.get(target)
            is_same_start = known is not None and known.born_ms == notice.born_ms
            if known is None or (
                notice.at < known.at
                if is_same_start
                else _is_later_start(notice, known)
            ):
                latest[target] = notice
    return latest


def _is_later_start(notice: LeavingNotice, known: LeavingNotice) -> bool:
    return notice.born_ms != known.born_ms and notice.at > known.at


def format_leaving(notices: LeavingNotices, now: Milliseconds) -> str:
    """Format notices as ``TARGET:BORN:AGE``, joined by commas."""
    return ",".join(
        f"{target}:{notice.born_ms}:{max(0, now - notice.at)}"
        for target, notice in notices.items()
    )


def parse_leaving(text: str, now: Milliseconds) -> dict[TargetId, LeavingNotice]:
    """Parse the form of ``format_leaving``; raises ``ValueError`` if malformed."""
    rows = (part.rsplit(":", 2) for part in text.split(",") if part)
    return {
        TargetId(target): LeavingNotice(
            parse_whole(born), Milliseconds(now - parse_whole(age))
        )
        for target, born, age in rows
    }
