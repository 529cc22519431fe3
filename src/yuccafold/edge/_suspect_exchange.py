"""Exchanges evidence on suspects between two VMs, only what the other one lacks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold._parsing import MALFORMED_ERRORS
from yuccafold.edge._quarantine import NOTHING_REPORTED
from yuccafold.edge._quarantine import Quarantine
from yuccafold.edge._suspects import ENTRY_SEPARATOR
from yuccafold.edge._suspects import format_suspect
from yuccafold.edge._suspects import parse_suspects

MAX_MESSAGE_BYTES = 2_048
"""Size of the evidence in one message; the rest follows in the next ones."""

SUSPECTS_FIELD = "suspects"
POSITION_FIELD = "suspects_after"
EPOCH_FIELD = "suspects_epoch"


@final
class SuspectExchange:
    """The side that asks: what this VM sent to another VM and received from it."""

    def __init__(self, quarantine: Quarantine, peer: str) -> None:
        self._quarantine = quarantine
        self._peer = peer
        self._peer_epoch = ""
        self._received = NOTHING_REPORTED
        self._sent = NOTHING_REPORTED
        self._sending = NOTHING_REPORTED

    def query(self, now: Milliseconds) -> dict[str, Any]:
        """Return the fields of the next request."""
        self._quarantine.expire(now)
        text, self._sending = _format_changes(
            self._quarantine, self._sent, self._peer, now
        )
        return {
            SUSPECTS_FIELD: text,
            EPOCH_FIELD: self._peer_epoch,
            POSITION_FIELD: self._received,
        }

    def record_answer(self, fields: Mapping[str, Any], now: Milliseconds) -> None:
        """Merge the fields of an answer; malformed ones are logged and ignored.

        A peer that restarted has forgotten what it was sent, so it is sent all again.
        """
        if EPOCH_FIELD not in fields:
            return
        try:
            self._merge(fields, now)
        except MALFORMED_ERRORS as error:
            log_event("suspects_malformed", vm=self._peer, error=str(error))

    def _merge(self, fields: Mapping[str, Any], now: Milliseconds) -> None:
        epoch = str(fields[EPOCH_FIELD])
        evidence = parse_suspects(str(fields[SUSPECTS_FIELD]), now)
        self._quarantine.record_contact(now)
        self._quarantine.merge(evidence, self._peer, now)
        self._received = int(fields[POSITION_FIELD])
        was_sent_all = self._sent == NOTHING_REPORTED or epoch == self._peer_epoch
        self._sent = self._sending if was_sent_all else NOTHING_REPORTED
        self._peer_epoch = epoch


def answer_suspects(
    quarantine: Quarantine, fields: Mapping[str, str], now: Milliseconds
) -> dict[str, Any]:
    """Merge the evidence in a request, and return the fields of the answer.

    Malformed evidence is logged and ignored.
    """
    reader = fields.get("vm", "")
    try:
        evidence = parse_suspects(fields.get(SUSPECTS_FIELD, ""), now)
        quarantine.record_contact(now)
        quarantine.merge(evidence, reader, now)
        after = int(fields.get(POSITION_FIELD, NOTHING_REPORTED))
    except MALFORMED_ERRORS as error:
        log_event("suspects_malformed", vm=reader, error=str(error))
        after = NOTHING_REPORTED
    if fields.get(EPOCH_FIELD) != quarantine.epoch:
        after = NOTHING_REPORTED
    quarantine.expire(now)
    text, position = _format_changes(quarantine, after, reader, now)
    return {
        SUSPECTS_FIELD: text,
        EPOCH_FIELD: quarantine.epoch,
        POSITION_FIELD: position,
    }


def _format_changes(
    quarantine: Quarantine, after: int, reader: str, now: Milliseconds
) -> tuple[str, int]:
    """Return the changes after a version as text, and the version that it reaches.

    Urgent suspects go first. If not all changes fit, the next message continues at the
    first one that was left out, and may repeat those after it.
    """
    changes = quarantine.changes(after, reader)
    entries: list[str] = []
    size = 0
    first_left_out: int | None = None
    for key, suspect in sorted(
        changes, key=lambda change: not quarantine.is_urgent(change[1])
    ):
        entry = format_suspect(key, suspect, now)
        size += len(entry) + len(ENTRY_SEPARATOR)
        if size > MAX_MESSAGE_BYTES and entries:
            version = suspect.version
            first_left_out = min(first_left_out or version, version)
        else:
            entries.append(entry)
    reached = quarantine.version if first_left_out is None else first_left_out - 1
    return ENTRY_SEPARATOR.join(entries), reached
