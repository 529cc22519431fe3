"""Exchange of platform entries and call reports between VMs.

Seeds read the store; the other VMs request the entries from a seed. The answer holds
the age of the seed's view, so that a VM counts the age of its own view from the last
confirmation by the store, not from the answer of the seed.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Sequence
from itertools import groupby
from typing import Any
from typing import final
from urllib.parse import parse_qs
from urllib.parse import urlencode
from urllib.parse import urlsplit

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold._log import log_event
from yuccafold._parsing import MALFORMED_ERRORS
from yuccafold._parsing import MAX_INT_DIGITS
from yuccafold._parsing import parse_json
from yuccafold.edge._delta import apply_delta
from yuccafold.edge._delta import make_delta
from yuccafold.edge._entries import LONG_VALUE_BYTES
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._history_exchange import ROUTE_FIELDS
from yuccafold.edge._history_exchange import HistoryExchange
from yuccafold.edge._history_exchange import answer_history
from yuccafold.edge._platform_source import Entry
from yuccafold.edge._platform_source import PlatformChanges
from yuccafold.edge._platform_source import PlatformState
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._positions import FIRST_ERA
from yuccafold.edge._positions import NO_ERA
from yuccafold.edge._positions import START
from yuccafold.edge._positions import Position
from yuccafold.edge._positions import StoreEra
from yuccafold.edge._positions import era_of
from yuccafold.edge._positions import position_of
from yuccafold.edge._positions import revision_of
from yuccafold.edge._settings import SocketAddress
from yuccafold.edge._stream_exchange import EPOCH_FIELD
from yuccafold.edge._stream_exchange import StreamExchange
from yuccafold.edge._stream_exchange import answer_streams
from yuccafold.edge._suspect_exchange import SuspectExchange
from yuccafold.edge._suspect_exchange import answer_suspects
from yuccafold.edge._view import PlatformView
from yuccafold.edge._vm_reports import TargetEvidence
from yuccafold.edge.reports import FleetReports
from yuccafold.edge.reports import ProtocolTopic
from yuccafold.edge.reports import VmReport
from yuccafold.http import CallFailedError
from yuccafold.http import CallTimeouts
from yuccafold.http import PersistentConnection

PEER_TIMEOUTS = CallTimeouts(
    connect_timeout=Milliseconds(200), silence_timeout=Milliseconds(400)
)
"""A VM of the region answers in a few ms. A frozen one must be detected soon enough to
request the view from another VM in time."""

VIEW_PATH = "/view"
REPORTS_PATH = "/reports"

ERA_FIELD = "era"
KEYS_AGE_FIELD = "keys_age_ms"
NEVER_CONFIRMED_AGE = Milliseconds(1_000_000_000)
"""Age of keys that were never confirmed, longer than any key lives."""

SETTINGS_FIELD = "settings"
PRESENT_FIELD = "present"
"""In a request, that the sender reads the field; in an answer, the keys present at the
seed, if it may not know which were removed since the requester's state."""

MAX_QUERY_BYTES = 15_872
"""Size of the query of a request: seeds read heads of up to 16 KiB."""

HISTORY_AGES_BYTES = 200
"""Size of the fields that say how far both histories reach, without rows."""

MAX_ANSWER_BYTES = 16_384
"""Size at which an answer ends and the rest must be requested; 16 KiB take about 30 ms
on the slowest links of 5 Mbit/s."""


@final
class PeerSource:
    """Reads the platform's entries from another VM, and reports local calls to it.

    ``table`` holds the entries of this VM; deltas in an answer apply to them.
    """

    def __init__(
        self,
        vm: VmId,
        address: SocketAddress,
        table: EntryTable,
        evidence: TargetEvidence,
        clock: Clock,
        timeouts: CallTimeouts = PEER_TIMEOUTS,
    ) -> None:
        self._vm = vm
        self._address = address
        self._table = table
        self._evidence = evidence
        self._clock = clock
        self._connection = PersistentConnection(address.host, address.port, timeouts)
        self._suspects = SuspectExchange(evidence.quarantine, str(address))
        self._streams = StreamExchange(evidence.streams, str(address))
        self._history = HistoryExchange(evidence.history)
        self._routes = HistoryExchange(evidence.route_services, ROUTE_FIELDS)
        self._newer_settings: Entry | None = None
        self._earlier_epoch: str | None = None

    @property
    def name(self) -> str:
        """The name of the source in logs and metrics."""
        return str(self._address)

    @property
    def newer_settings(self) -> Entry | None:
        """The settings that the last report came with: newer than those of this VM."""
        return self._newer_settings

    async def read_all(self) -> PlatformState:
        """Return all entries of the other VM."""
        changes, _ = await self._get(VIEW_PATH, VmReport())
        return PlatformState(
            changes.entries, changes.position, changes.age, changes.keys_age
        )

    async def changes(self, after: Position, wait: Milliseconds) -> PlatformChanges:
        """Return the changes after ``after`` at the other VM, without waiting."""
        now = self._clock.now()
        local_report = self._evidence.topics.local_report(now)
        query = (
            {"vm": self._vm}
            | self._state_fields(after)
            | {PRESENT_FIELD: 1}
            | self._suspects.query(now)
            | self._streams.query(now)
        )
        topics = self._evidence.topics
        query |= topics.format(local_report, now, _room(query) - HISTORY_AGES_BYTES)
        query |= self._routes.query(now, _room(query) - HISTORY_AGES_BYTES)
        query |= self._history.query(now, _room(query))
        epoch = self._earlier_epoch
        changes, is_whole = await self._get(
            f"{VIEW_PATH}?{urlencode(query)}", local_report
        )
        has_restarted = self._earlier_epoch != epoch
        if is_whole:
            raise PlatformUnavailableError("no longer has the requested changes")
        if has_restarted:
            raise PlatformUnavailableError("is of an earlier build and started since")
        return changes

    async def report(self) -> VmReport:
        """Return the sum of the reports of the other VM and those that report to it."""
        now = self._clock.now()
        query = (
            {"vm": self._vm}
            | self._state_fields(self._table.position)
            | self._suspects.query(now)
            | self._streams.query(now)
        )
        query |= self._routes.query(now, _room(query) - HISTORY_AGES_BYTES)
        query |= self._history.query(now, _room(query))
        try:
            status, _, body = await self._connection.get(
                f"{REPORTS_PATH}?{urlencode(query)}"
            )
            if status != 200:
                raise PlatformUnavailableError(f"status {status}")
            answer = parse_json(body)
            now = self._clock.now()
            self._suspects.record_answer(answer, now)
            self._streams.record_answer(answer, now)
            seen_up_to = _position_of_answer(answer)
            self._routes.record_answer(answer, now, seen_up_to)
            self._history.record_answer(answer, now, seen_up_to)
            self._newer_settings = self._settings(answer)
            return self._evidence.topics.parse(answer, now)
        except (CallFailedError, *MALFORMED_ERRORS) as error:
            raise PlatformUnavailableError(repr(error)) from error

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()

    async def _get(
        self, target: str, local_report: VmReport
    ) -> tuple[PlatformChanges, bool]:
        try:
            status, _, body = await self._connection.get(target)
        except CallFailedError as error:
            raise PlatformUnavailableError(str(error)) from error
        if status != 200:
            raise PlatformUnavailableError(f"status {status}")
        try:
            answer = parse_json(body)
            era = self._era_of(answer)
            position = position_of(era, int(answer["position"]))
            is_earlier = era < self._table.era
            rows = () if is_earlier else answer["entries"]
            entries = [self._entry(row, era) for row in rows]
            lacks_removals = PRESENT_FIELD in answer and not is_earlier
            if lacks_removals:
                entries += self._table.absent(answer[PRESENT_FIELD], position)
            changes = PlatformChanges(
                tuple(entries),
                position,
                Milliseconds(int(answer["age_ms"])),
                bool(answer["in_outage"]),
                not answer.get("more", False),
                self._settings(answer),
                _keys_age_of(answer),
                lacks_removals,
            )
            self._record_start(answer)
            if "loads" in answer:
                now = self._clock.now()
                total = self._evidence.topics.parse(answer, now)
                self._evidence.record_fleet_report(total, local_report, now)
                self._suspects.record_answer(answer, now)
                self._streams.record_answer(answer, now)
                self._routes.record_answer(answer, now, position)
                self._history.record_answer(answer, now, position)
            return changes, bool(answer["whole"])
        except MALFORMED_ERRORS as error:
            raise PlatformUnavailableError(f"malformed answer: {error!r}") from error

    def _record_start(self, answer: dict[str, Any]) -> None:
        """Record which start of a seed answered, if it is of an earlier build.

        Such a seed doesn't say that it may not know what was removed before it started.
        A VM that got its state from elsewhere since then has no need of that.
        """
        if ProtocolTopic.name not in answer and EPOCH_FIELD in answer:
            self._earlier_epoch = str(answer[EPOCH_FIELD])

    def _state_fields(self, after: Position) -> dict[str, Any]:
        """Return the query fields that say which state this VM has."""
        in_force = self._table.in_force
        return {
            "after": revision_of(after),
            "era": era_of(after),
            "settings": 0 if in_force is None else in_force.version,
        }

    def _era_of(self, answer: dict[str, Any]) -> StoreEra:
        """Return the era of an answer.

        A VM of an earlier build names none. It can't tell eras apart, so its view is
        not used once the store has come back from a copy.
        """
        if ERA_FIELD in answer:
            return StoreEra(int(answer[ERA_FIELD]))
        if self._table.era > FIRST_ERA:
            detail = f"answer names no era, expected {self._table.era}"
            raise PlatformUnavailableError(detail)
        return self._table.era

    def _settings(self, answer: dict[str, Any]) -> Entry | None:
        """Return the settings that the other VM has in force, if it sent them."""
        row = answer.get(SETTINGS_FIELD)
        try:
            return None if row is None else self._entry(row, NO_ERA)
        except MALFORMED_ERRORS as error:
            log_event("settings_malformed", source=self.name, error=str(error))
            return None

    def _entry(self, row: dict[str, Any], answer_era: StoreEra) -> Entry:
        """Return the entry of a row; it names its era if that isn't the answer's."""
        key = str(row["key"])
        era = StoreEra(int(row.get(ERA_FIELD, answer_era)))
        position = position_of(era, int(row["revision"]))
        if "delta" in row:
            base_era = StoreEra(int(row.get("base_era", era)))
            base_position = position_of(base_era, int(row["base"]))
            base = self._table.version_at(key, base_position)
            if base is None or base.position != base_position or base.value is None:
                raise ValueError(f"expected {key} of revision {row['base']} as base")
            delta = parse_json(_decompress(row["delta"]))
            return Entry(key, position, apply_delta(base.value, delta))
        if row.get("value") is None:
            return Entry(key, position, None)
        return Entry(key, position, _decompress(row["value"]))


@final
class ViewPage:
    """Answers requests of other VMs for the entries and reports of this VM.

    An answer holds changes in the order of their positions up to a size, after the
    removals whose position is not known; the rest follows when the requester asks
    again at the position of the answer. So a long configuration does not delay the
    change by which a target leaves.
    """

    def __init__(
        self,
        clock: Clock,
        table: EntryTable,
        view: PlatformView,
        evidence: TargetEvidence,
        fleet_reports: FleetReports,
    ) -> None:
        self._clock = clock
        self._table = table
        self._view = view
        self._evidence = evidence
        self._fleet_reports = fleet_reports
        self._content_cache: dict[
            str, dict[tuple[Position, Position], dict[str, Any]]
        ] = {}

    def answer(self, target: str) -> tuple[int, str]:
        """Return the status and body for a request of another VM."""
        now = self._clock.now()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        local_report = self._evidence.topics.local_report(now)
        if parts.path == REPORTS_PATH:
            total = self._fleet_reports.seed_total(local_report, now)
            fields = {
                "position": revision_of(self._table.position),
                ERA_FIELD: self._table.era,
            }
            fields |= self._evidence.topics.format(total, now)
            fields |= self._exchanged(query, now)
            return 200, json.dumps(fields | self._newer_settings(query))
        age = self._view.age(now)
        if age is None:
            return 503, "no view yet\n"
        self._record_report(query, now)
        position = self._requested_position(query)
        changed = self._table.changes_since(position) if position else None
        lacks_removals = self._table.lacks_removals(position)
        if lacks_removals and PRESENT_FIELD not in query:
            # The VM of an earlier build turns to another source.
            changed = None
        value: dict[str, Any] = {
            "age_ms": age,
            KEYS_AGE_FIELD: self._keys_age(now),
            "in_outage": self._view.in_outage(now),
            "whole": changed is None,
            "position": revision_of(self._table.position),
            ERA_FIELD: self._table.era,
        }
        total = self._fleet_reports.total(local_report, now)
        value |= self._evidence.topics.format(total, now)
        value |= self._exchanged(query, now) | self._newer_settings(query)
        if changed is None:
            rows = [self._row(entry, START) for entry in self._table.present()]
        else:
            rows, reached = self._limited_rows(changed, position)
            if reached is not None:
                value |= {"position": revision_of(reached), ERA_FIELD: era_of(reached)}
                value["more"] = True
            if lacks_removals:
                value[PRESENT_FIELD] = [entry.key for entry in self._table.present()]
        for row in rows:
            if row[ERA_FIELD] == value[ERA_FIELD]:
                del row[ERA_FIELD]
        return 200, json.dumps(value | {"entries": rows})

    def _keys_age(self, now: Milliseconds) -> Milliseconds:
        keys_age = self._view.keys_age(now)
        return NEVER_CONFIRMED_AGE if keys_age is None else keys_age

    def _requested_position(self, query: dict[str, str]) -> Position:
        """Return the position of the requesting VM; one of an earlier build has no era.

        Its revisions are taken for those of this VM's era, which is right unless the
        store came back from a copy.
        """
        after, era = query.get("after", ""), query.get(ERA_FIELD, "")
        if not _is_number(after):
            return START
        return position_of(
            StoreEra(int(era)) if _is_number(era) else self._table.era, int(after)
        )

    def _newer_settings(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the settings in force as a field, if the requester may miss them.

        That is so if it has an earlier version, and one of both VMs has seen the store
        lose the present one.
        """
        in_force = self._table.in_force
        version, era = query.get(SETTINGS_FIELD, ""), query.get(ERA_FIELD, "")
        if in_force is None or not _is_number(version) or not _is_number(era):
            return {}
        was_lost = int(era) > era_of(in_force.entry.position)
        if not was_lost or int(version) >= in_force.version:
            return {}
        return {SETTINGS_FIELD: self._row(in_force.entry, START)}

    def _exchanged(self, query: dict[str, str], now: Milliseconds) -> dict[str, Any]:
        """Merge what the requesting VM reports, and return what it lacks."""
        suspects = answer_suspects(self._evidence.quarantine, query, now)
        streams = answer_streams(self._evidence.streams, query, now)
        seen_up_to = self._requested_position(query)
        if seen_up_to > self._table.position:
            self._view.record_later_view(now)
        routes = answer_history(
            self._evidence.route_services, query, now, seen_up_to, ROUTE_FIELDS
        )
        history = answer_history(self._evidence.history, query, now, seen_up_to)
        return suspects | streams | routes | history

    def _record_report(self, query: dict[str, str], now: Milliseconds) -> None:
        """Record the requesting VM's report on its calls."""
        if "vm" in query:
            report = self._evidence.topics.parse(query, now)
            self._fleet_reports.record_vm_report(query["vm"], report, now)

    def _limited_rows(
        self, changes: Sequence[Entry], position: Position
    ) -> tuple[list[dict[str, Any]], Position | None]:
        """Return rows up to the maximum size, and the position that they reach.

        That is ``None`` if they are all. The changes of one position are kept
        together: the requester asks for changes after it next.
        """
        rows: list[dict[str, Any]] = []
        reached: Position | None = None
        size = 0
        for place, together in groupby(changes, key=self._table.sequence):
            added = [self._row(entry, position) for entry in together]
            size += sum(
                len(row.get("value") or row.get("delta") or "") for row in added
            )
            if size > MAX_ANSWER_BYTES and reached is not None:
                return rows, reached
            rows += added
            reached = place if place != START else reached
        return rows, None

    def _row(self, entry: Entry, position: Position) -> dict[str, Any]:
        """Return the row of an entry for a VM that has all changes up to ``position``.

        The encoded value or delta is cached for all VMs that have the same version.
        """
        row: dict[str, Any] = {
            "key": entry.key,
            "revision": revision_of(entry.position),
            ERA_FIELD: era_of(entry.position),
        }
        if entry.value is None:
            self._content_cache.pop(entry.key, None)
            return row
        base = self._table.version_at(entry.key, position)
        positions = (START if base is None else base.position, entry.position)
        cached = self._content_cache.setdefault(entry.key, {})
        if any(latest != entry.position for _, latest in cached):
            cached.clear()
        if positions not in cached:
            cached[positions] = _encode_content(entry, base)
        return row | cached[positions]


def _position_of_answer(answer: dict[str, Any]) -> Position:
    """Return the state that another VM had read; one of an earlier build names none."""
    if "position" not in answer or ERA_FIELD not in answer:
        return START
    return position_of(StoreEra(int(answer[ERA_FIELD])), int(answer["position"]))


def _keys_age_of(answer: dict[str, Any]) -> Milliseconds:
    """Return the age of keys; a VM of an earlier build names that of the view only."""
    view_age = int(answer["age_ms"])
    try:
        return Milliseconds(int(answer.get(KEYS_AGE_FIELD, view_age)))
    except MALFORMED_ERRORS as error:
        log_event("keys_age_malformed", error=str(error))
        return Milliseconds(view_age)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_INT_DIGITS


def _room(query: dict[str, Any]) -> int:
    """Return how many bytes may be added to a query."""
    return MAX_QUERY_BYTES - len(urlencode(query))


def _encode_content(entry: Entry, base: Entry | None) -> dict[str, Any]:
    """Encode a value, as a delta to ``base`` if the value of ``base`` is long.

    Values that are not text are encoded whole.
    """
    value = entry.value or b""
    if base is not None and len(base.value or b"") >= LONG_VALUE_BYTES:
        try:
            delta = make_delta(base.value or b"", value)
            compressed = _compress(json.dumps(delta).encode())
            return {
                "base": revision_of(base.position),
                "base_era": era_of(base.position),
                "delta": compressed,
            }
        except UnicodeDecodeError as error:
            log_event("entry_is_no_text", key=entry.key, error=str(error))
    return {"value": _compress(value)}


def _compress(value: bytes) -> str:
    return base64.b64encode(zlib.compress(value)).decode()


def _decompress(text: str) -> bytes:
    return zlib.decompress(base64.b64decode(text, validate=True))
