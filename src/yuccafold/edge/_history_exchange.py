"""Exchanges the history of targets between two VMs, if one of them started recently."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from typing import final
from urllib.parse import urlencode

from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold._parsing import MALFORMED_ERRORS
from yuccafold._parsing import parse_json
from yuccafold.edge._positions import Position
from yuccafold.edge._positions import revision_of
from yuccafold.edge._target_history import MAX_ROWS
from yuccafold.edge._target_history import TargetHistory

AGE_FIELD = "history_age_ms"
"""How far back the sender's history reaches; an earlier build sends none, and what it
knows of the past is not used."""

ROWS_FIELD = "history"
ROWS_AGE_FIELD = "history_rows_age_ms"
MIN_GAIN = Milliseconds(1_000)
"""How much further back a history must reach to be worth sending."""

DEPARTED_FIELD = "departed"
"""Asked for by a VM of an earlier build that started since: the targets that left."""


@final
class HistoryExchange:
    """The side that asks: how far back the other VM's history reached last time."""

    def __init__(self, history: TargetHistory) -> None:
        self._history = history
        self._peer_age: Milliseconds | None = None

    def query(self, now: Milliseconds, max_query: int | None = None) -> dict[str, Any]:
        """Return the fields of the next request, with rows that the other VM lacks.

        Once they are encoded, the fields have a size of ``max_query`` at most, unless
        there is no room for any row.
        """
        max_rows = MAX_ROWS
        while True:
            fields = _fields(self._history, self._peer_age, now, max_rows)
            if ROWS_FIELD not in fields:
                return fields
            fields[ROWS_FIELD] = json.dumps(fields[ROWS_FIELD])
            if max_query is None or len(urlencode(fields)) <= max_query:
                return fields
            max_rows //= 2

    def record_answer(
        self, fields: Mapping[str, Any], now: Milliseconds, seen_up_to: Position
    ) -> None:
        """Merge the fields of an answer; malformed ones are logged and ignored.

        The other VM had seen the store's changes up to ``seen_up_to``.
        """
        if AGE_FIELD not in fields:
            return
        try:
            self._peer_age = Milliseconds(int(fields[AGE_FIELD]))
            if ROWS_FIELD in fields:
                _merge(self._history, fields[ROWS_FIELD], fields, now, seen_up_to)
        except MALFORMED_ERRORS as error:
            log_event("history_malformed", error=str(error))


def answer_history(
    history: TargetHistory,
    fields: Mapping[str, str],
    now: Milliseconds,
    seen_up_to: Position,
) -> dict[str, Any]:
    """Merge the rows of a request, and return the fields of the answer.

    The requesting VM had seen the store's changes up to ``seen_up_to``. Malformed rows
    are logged and ignored.
    """
    peer_age: Milliseconds | None = None
    try:
        if ROWS_FIELD in fields:
            _merge(history, parse_json(fields[ROWS_FIELD]), fields, now, seen_up_to)
        if AGE_FIELD in fields:
            peer_age = Milliseconds(int(fields[AGE_FIELD]))
    except MALFORMED_ERRORS as error:
        log_event("history_malformed", vm=fields.get("vm"), error=str(error))
    answer = _fields(history, peer_age, now)
    if DEPARTED_FIELD in fields:
        answer[DEPARTED_FIELD] = history.departed_rows(now)
    return answer


def _merge(
    history: TargetHistory,
    rows: Any,
    fields: Mapping[str, Any],
    now: Milliseconds,
    seen_up_to: Position,
) -> None:
    """Merge the rows of a message, and log how far back they reach."""
    rows_age = Milliseconds(int(fields[ROWS_AGE_FIELD]))
    if history.merge(rows, rows_age, now, seen_up_to):
        log_event(
            "history_merged",
            changes=len(rows),
            reach_ms=rows_age,
            revision=revision_of(seen_up_to),
        )


def _fields(
    history: TargetHistory,
    peer_age: Milliseconds | None,
    now: Milliseconds,
    max_rows: int = MAX_ROWS,
) -> dict[str, Any]:
    """Return this VM's age, and rows if its history reaches back further."""
    age = history.age(now)
    fields: dict[str, Any] = {AGE_FIELD: age}
    if max_rows and peer_age is not None and age - peer_age >= MIN_GAIN:
        rows, rows_age = history.rows(now, max_rows)
        fields |= {ROWS_FIELD: rows, ROWS_AGE_FIELD: rows_age}
    return fields
