"""Exchanges what two VMs know of the past, if one of them started recently.

That is the history of targets, and which services routes had.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import Protocol
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


class History(Protocol):
    """What a VM knows of the past, since when, and up to which state of the store."""

    def age(self, now: Milliseconds) -> Milliseconds:
        """Return how far the history reaches back."""
        ...

    def rows(
        self, now: Milliseconds, max_rows: int
    ) -> tuple[list[list[Any]], Milliseconds]:
        """Return rows of what changed, and how far back they reach."""
        ...

    def merge(
        self,
        rows: Iterable[Sequence[Any]],
        age: Milliseconds,
        now: Milliseconds,
        seen_up_to: Position,
    ) -> bool:
        """Add rows of another VM that had read the store up to ``seen_up_to``.

        Returns whether they were of use. Raises ``ValueError`` or ``TypeError`` if one
        is malformed.
        """
        ...


@final
@dataclass(frozen=True, slots=True)
class HistoryFields:
    """The fields of a message that bear a history, and the log event of a merge.

    ``age`` is how far back the sender's history reaches, ``rows_age`` how far the rows
    do. A build that sends no age doesn't know this history.
    """

    age: str
    rows: str
    rows_age: str
    merged_event: str


TARGET_FIELDS = HistoryFields(
    age="history_age_ms",
    rows="history",
    rows_age="history_rows_age_ms",
    merged_event="history_merged",
)
"""Those of the history of targets."""

ROUTE_FIELDS = HistoryFields(
    age="routes_age_ms",
    rows="routes",
    rows_age="routes_rows_age_ms",
    merged_event="routes_merged",
)
"""Those of the services that routes had."""

MIN_GAIN = Milliseconds(1_000)
"""How much further back a history must reach to be worth sending."""

ESTIMATED_FIELD = "history_estimated"
"""The targets of the rows that no VM saw join: the begin that their rows state is the
latest possible one. VMs of earlier builds send none."""

DEPARTED_FIELD = "departed"
"""Asked for by a VM of an earlier build that started since: the targets that left."""


@final
class HistoryExchange:
    """The side that asks: how far back the other VM's history reached last time."""

    def __init__(self, history: History, names: HistoryFields = TARGET_FIELDS) -> None:
        self._history = history
        self._names = names
        self._peer_age: Milliseconds | None = None

    def query(self, now: Milliseconds, max_query: int | None = None) -> dict[str, Any]:
        """Return the fields of the next request, with rows that the other VM lacks.

        Once they are encoded, the fields have a size of ``max_query`` at most, unless
        there is no room for any row.
        """
        max_rows = MAX_ROWS
        while True:
            fields = _fields(self._history, self._names, self._peer_age, now, max_rows)
            if self._names.rows not in fields:
                return fields
            for name in fields.keys() & {self._names.rows, ESTIMATED_FIELD}:
                fields[name] = json.dumps(fields[name])
            if max_query is None or len(urlencode(fields)) <= max_query:
                return fields
            max_rows //= 2

    def record_answer(
        self, fields: Mapping[str, Any], now: Milliseconds, seen_up_to: Position
    ) -> None:
        """Merge the fields of an answer; malformed ones are logged and ignored.

        The other VM had seen the store's changes up to ``seen_up_to``.
        """
        names = self._names
        if names.age not in fields:
            return
        try:
            self._peer_age = Milliseconds(int(fields[names.age]))
            if names.rows in fields:
                rows = fields[names.rows]
                _merge(self._history, names, rows, fields, now, seen_up_to)
        except MALFORMED_ERRORS as error:
            log_event("history_malformed", field=names.rows, error=str(error))


def answer_history(
    history: History,
    fields: Mapping[str, str],
    now: Milliseconds,
    seen_up_to: Position,
    names: HistoryFields = TARGET_FIELDS,
) -> dict[str, Any]:
    """Merge the rows of a request, and return the fields of the answer.

    The requesting VM had seen the store's changes up to ``seen_up_to``. Malformed rows
    are logged and ignored.
    """
    peer_age: Milliseconds | None = None
    try:
        if names.rows in fields:
            rows = parse_json(fields[names.rows])
            _merge(history, names, rows, fields, now, seen_up_to)
        if names.age in fields:
            peer_age = Milliseconds(int(fields[names.age]))
    except MALFORMED_ERRORS as error:
        vm = fields.get("vm")
        log_event("history_malformed", field=names.rows, vm=vm, error=str(error))
    answer = _fields(history, names, peer_age, now)
    if isinstance(history, TargetHistory) and DEPARTED_FIELD in fields:
        answer[DEPARTED_FIELD] = history.departed_rows(now)
    return answer


def _merge(
    history: History,
    names: HistoryFields,
    rows: Any,
    fields: Mapping[str, Any],
    now: Milliseconds,
    seen_up_to: Position,
) -> None:
    """Merge the rows of a message, and log how far back they reach."""
    rows_age = Milliseconds(int(fields[names.rows_age]))
    if history.merge(rows, rows_age, now, seen_up_to):
        if isinstance(history, TargetHistory):
            estimated = fields.get(ESTIMATED_FIELD, [])
            history.mark_estimated(
                parse_json(estimated) if isinstance(estimated, str) else estimated
            )
        log_event(
            names.merged_event,
            changes=len(rows),
            reach_ms=rows_age,
            revision=revision_of(seen_up_to),
        )


def _fields(
    history: History,
    names: HistoryFields,
    peer_age: Milliseconds | None,
    now: Milliseconds,
    max_rows: int = MAX_ROWS,
) -> dict[str, Any]:
    """Return this VM's age, and rows if its history reaches back further."""
    age = history.age(now)
    fields: dict[str, Any] = {names.age: age}
    if max_rows and peer_age is not None and age - peer_age >= MIN_GAIN:
        rows, rows_age = history.rows(now, max_rows)
        fields |= {names.rows: rows, names.rows_age: rows_age}
        if isinstance(history, TargetHistory) and (
            ids := history.targets_with_estimates(rows)
        ):
            fields[ESTIMATED_FIELD] = ids
    return fields
