"""Exchange of platform entries and call reports between VMs.

Seeds read the store; the other VMs request the entries from a seed. The answer holds
the age of the seed's view, so that a VM counts the age of its own view from the last
confirmation by the store, not from the answer of the seed.
"""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import final
from urllib.parse import parse_qs
from urllib.parse import urlencode
from urllib.parse import urlsplit

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold._log import log_event
from yuccafold.edge._delta import apply_delta
from yuccafold.edge._delta import make_delta
from yuccafold.edge._entries import LONG_VALUE_BYTES
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._platform_source import Entry
from yuccafold.edge._platform_source import PlatformChanges
from yuccafold.edge._platform_source import PlatformState
from yuccafold.edge._platform_source import PlatformUnavailableError
from yuccafold.edge._positions import StoreEra
from yuccafold.edge._settings import SocketAddress
from yuccafold.edge._suspect_exchange import SuspectExchange
from yuccafold.edge._suspect_exchange import answer_suspects
from yuccafold.edge._view import PlatformView
from yuccafold.edge._vm_reports import FleetReports
from yuccafold.edge._vm_reports import TargetEvidence
from yuccafold.edge._vm_reports import VmReport
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

    @property
    def name(self) -> str:
        """The name of the source in logs and metrics."""
        return str(self._address)

    @property
    def era(self) -> StoreEra | None:
        """``None``: VMs don't tell each other of the store's era."""
        return None

    async def read_all(self) -> PlatformState:
        """Return all entries of the other VM."""
        changes, _ = await self._get(VIEW_PATH, VmReport())
        return PlatformState(changes.entries, changes.position, changes.age)

    async def changes(self, after: int, wait: Milliseconds) -> PlatformChanges:
        """Return the changes after ``after`` at the other VM, without waiting."""
        now = self._clock.now()
        local_report = self._evidence.local_report(now)
        query = (
            {"after": after, "vm": self._vm}
            | local_report.as_fields(now)
            | self._suspects.query(now)
        )
        changes, is_whole = await self._get(
            f"{VIEW_PATH}?{urlencode(query)}", local_report
        )
        if is_whole:
            raise PlatformUnavailableError("no longer has the requested changes")
        return changes

    async def report(self) -> VmReport:
        """Return the sum of the reports of the other VM and those that report to it."""
        query = {"vm": self._vm} | self._suspects.query(self._clock.now())
        try:
            status, _, body = await self._connection.get(
                f"{REPORTS_PATH}?{urlencode(query)}"
            )
            if status != 200:
                raise PlatformUnavailableError(f"status {status}")
            answer = json.loads(body)
            now = self._clock.now()
            self._suspects.record_answer(answer, now)
            return VmReport.from_fields(answer, now)
        except (
            CallFailedError,
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
        ) as error:
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
            answer = json.loads(body)
            entries = tuple(self._entry(row) for row in answer["entries"])
            changes = PlatformChanges(
                entries,
                int(answer["position"]),
                Milliseconds(int(answer["age_ms"])),
                bool(answer["in_outage"]),
                not answer.get("more", False),
            )
            if "loads" in answer:
                now = self._clock.now()
                total = VmReport.from_fields(answer, now)
                self._evidence.record_fleet_report(total, local_report, now)
                self._suspects.record_answer(answer, now)
            return changes, bool(answer["whole"])
        except (ValueError, TypeError, KeyError, zlib.error) as error:
            raise PlatformUnavailableError(f"malformed answer: {error!r}") from error

    def _entry(self, row: dict[str, Any]) -> Entry:
        key, revision = str(row["key"]), int(row["revision"])
        if "delta" in row:
            base = self._table.version_at(key, int(row["base"]))
            if base is None or base.revision != row["base"] or base.value is None:
                raise ValueError(f"expected {key} of revision {row['base']} as base")
            delta = json.loads(_decompress(row["delta"]))
            return Entry(key, revision, apply_delta(base.value, delta))
        if row.get("value") is None:
            return Entry(key, revision, None)
        return Entry(key, revision, _decompress(row["value"]))


@final
class ViewPage:
    """Answers requests of other VMs for the entries and reports of this VM.

    An answer holds changes in the order of their revisions up to a size; the rest
    follows when the requester asks again at the position of the answer. So a long
    configuration does not delay the change by which a target leaves.
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
        self._content_cache: dict[str, dict[tuple[int, int], dict[str, Any]]] = {}

    def answer(self, target: str) -> tuple[int, str]:
        """Return the status and body for a request of another VM."""
        now = self._clock.now()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        local_report = self._evidence.local_report(now)
        if parts.path == REPORTS_PATH:
            total = self._fleet_reports.seed_total(local_report, now)
            return 200, json.dumps(total.as_fields(now) | self._suspects(query, now))
        age = self._view.age(now)
        if age is None:
            return 503, "no view yet\n"
        after = query.get("after", "")
        self._record_report(query, now)
        position = int(after) if after.isdigit() else 0
        changed = self._table.changes_since(position) if position else None
        value: dict[str, Any] = {
            "age_ms": age,
            "in_outage": self._view.in_outage(now),
            "whole": changed is None,
            "position": self._table.position,
        }
        value |= self._fleet_reports.total(local_report, now).as_fields(now)
        value |= self._suspects(query, now)
        if changed is None:
            rows = [self._row(entry, 0) for entry in self._table.present()]
        else:
            rows = list(self._limited_rows(changed, position))
            if len(rows) < len(changed):
                value["position"] = changed[len(rows) - 1].revision
                value["more"] = True
        return 200, json.dumps(value | {"entries": rows})

    def _suspects(self, query: dict[str, str], now: Milliseconds) -> dict[str, Any]:
        return answer_suspects(self._evidence.quarantine, query, now)

    def _record_report(self, query: dict[str, str], now: Milliseconds) -> None:
        """Record the requesting VM's report on its calls; ignore a malformed one."""
        try:
            report = VmReport.from_fields(query, now)
        except ValueError as error:
            log_event("report_malformed", vm=query.get("vm"), error=str(error))
            return
        if "vm" in query:
            self._fleet_reports.record_vm_report(query["vm"], report, now)

    def _limited_rows(
        self, entries: Sequence[Entry], position: int
    ) -> Iterator[dict[str, Any]]:
        """Yield rows until the answer has its maximum size; at least one."""
        size = 0
        for entry in entries:
            row = self._row(entry, position)
            size += len(row.get("value") or row.get("delta") or "")
            if size > MAX_ANSWER_BYTES and entry is not entries[0]:
                return
            yield row

    def _row(self, entry: Entry, position: int) -> dict[str, Any]:
        """Return the row of an entry for a VM that has all changes up to ``position``.

        The encoded value or delta is cached for all VMs that have the same version.
        """
        row: dict[str, Any] = {"key": entry.key, "revision": entry.revision}
        if entry.value is None:
            self._content_cache.pop(entry.key, None)
            return row
        base = self._table.version_at(entry.key, position)
        revisions = (0 if base is None else base.revision, entry.revision)
        cached = self._content_cache.setdefault(entry.key, {})
        if any(revision != entry.revision for _, revision in cached):
            cached.clear()
        if revisions not in cached:
            cached[revisions] = _encode_content(entry, base)
        return row | cached[revisions]


def _encode_content(entry: Entry, base: Entry | None) -> dict[str, Any]:
    """Encode a value, as a delta to ``base`` if the value of ``base`` is long.

    Values that are not text are encoded whole.
    """
    value = entry.value or b""
    if base is not None and len(base.value or b"") >= LONG_VALUE_BYTES:
        try:
            delta = make_delta(base.value or b"", value)
            compressed = _compress(json.dumps(delta).encode())
            return {"base": base.revision, "delta": compressed}
        except UnicodeDecodeError as error:
            log_event("entry_is_no_text", key=entry.key, error=str(error))
    return {"value": _compress(value)}


def _compress(value: bytes) -> str:
    return base64.b64encode(zlib.compress(value)).decode()


def _decompress(text: str) -> bytes:
    return zlib.decompress(base64.b64decode(text, validate=True))
