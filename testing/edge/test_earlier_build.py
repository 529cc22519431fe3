"""Exchanges messages with an earlier build (f6da30b), as recorded.

Guards against changes of messages by which VMs of two builds don't understand each
other while they are replaced one after the other.
"""

from __future__ import annotations

import json
from urllib.parse import parse_qs
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

import pytest
import trio

from edge.builders import DESK
from edge.builders import target
from yuccafold._clock import ManualClock
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId
from yuccafold.edge import Entry
from yuccafold.edge import PartId
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import RouteName
from yuccafold.edge import SocketAddress
from yuccafold.edge import StoreEra
from yuccafold.edge import ZoneEvacuated
from yuccafold.edge import position_of
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._peers import PeerSource
from yuccafold.edge._peers import ViewPage
from yuccafold.edge._stream_versions import StreamBegin
from yuccafold.edge._stream_versions import StreamVersions
from yuccafold.edge._stream_versions import stream_key
from yuccafold.edge._view import PlatformView
from yuccafold.edge._vm_reports import TargetEvidence
from yuccafold.edge.plain import SlotShares
from yuccafold.edge.reports import FleetReports
from yuccafold.edge.reports import VmReport
from yuccafold.http._client import HttpAnswer
from yuccafold.platform import decode

REQUEST = (
    "/view?after=9&vm=vm-3&era=1&settings=0&loads=t1%3A2&outcomes=t1%3A0%3A10&vms=1"
    "&limits=t2%3A12.500%3A0&demand=t2%3A3a%3A150%2Ct2%3A3s%3A150&leaving=&helpers="
    "&suspects=&suspects_epoch=&suspects_after=-1&streams_after=0&streams_epoch="
    "&streams_age_ms=0&streams=%7B%22v1%22%3A+%5B%22067d2c2739%3A0%22%5D%7D"
    "&history_age_ms=0"
)
REPORTED = {
    "loads": "t1:5",
    "vms": 2,
    "limits": "t2:12.500:0",
    "demand": "t2:3a:150,t2:3s:150",
    "leaving": "",
    "helpers": "",
    "suspects": "",
    "suspects_epoch": "0",
    "suspects_after": 0,
    "streams_after": 1,
    "streams_epoch": "e1",
    "streams_age_ms": 0,
    "streams": {"v1": ["067d2c2739:0"]},
    "history_age_ms": 0,
}
REPORT = REPORTED | {"outcomes": "t1:0:10"}
ANSWER = REPORTED | {
    "age_ms": 300,
    "keys_age_ms": 300,
    "in_outage": False,
    "whole": False,
    "position": 9,
    "era": 1,
    "outcomes": "t1:0:10,:0:0",
    "entries": [
        {
            "key": "op/evacuate/b",
            "revision": 7,
            "value": "eJyrVqrKz0tVslJKUqoFABqBA9k=",
        },
        {
            "key": "servers/t1",
            "revision": 8,
            "value": "eJwVjEEKgDAMBP+Sc5F4ELSfkWiCFG0LiQgq/t2UvcwOy75goldaBSKw2A4BiFnF"
            "zEWPXUsfR3T/1NJW5GgnnY1ViG/vS9UCcQiw1oNnlUyppLLN2V8mxO8HK5UfQQ==",
        },
        {"key": "servers/t2", "revision": 9},
    ],
}

NOW = Milliseconds(10_000)
T1, T2 = TargetId("t1"), TargetId("t2")
NO_WAIT = Milliseconds(0)


def at(revision):
    return position_of(StoreEra(1), revision)


def recorded_evidence():
    """Return what the VMs knew whose messages were recorded."""
    streams = StreamVersions("e1", lambda *_: False)
    begin = StreamBegin(
        DESK, PartId("p"), SoftwareVersion("v1"), RouteName("r1"), CallId("a1")
    )
    streams.begin(stream_key(CallId("c1")), begin, NOW)
    evidence = TargetEvidence(streams=streams)
    evidence.loads.start(T1)
    evidence.loads.start(T1)
    evidence.outcomes.record_outcome(T1, False, NOW)
    evidence.limits.record_answer(T2, 12.5, NOW)
    evidence.limits.admits(T2, 3, 0.0, NOW)
    return evidence


def recorded_table():
    entries = [
        Entry("op/evacuate/b", at(7), b'{"zone":"b"}'),
        Entry(
            "servers/t1",
            at(8),
            b'{"service":"desk","address":"10.0.0.1:80","zone":"a","state":"ready",'
            b'"born":5,"cold_remaining_ms":900}',
        ),
        Entry("servers/t2", at(9), None),
    ]
    table = EntryTable()
    table.apply_changes(entries, at(9))
    return table


class RecordedSeed:
    """Answers with recorded fields, and keeps the requests."""

    def __init__(self, fields):
        self.requests = []
        self._body = json.dumps(fields).encode()

    async def get(self, request, wait=0):
        self.requests.append(request)
        return HttpAnswer(200, (), self._body)


def ask(fields, action, evidence=None, position=None, answered_before="e1"):
    """Return the result of ``action`` at a seed, and the request.

    Its start ``answered_before``.
    """
    table = EntryTable()
    table.apply_changes([], at(6) if position is None else position)
    source = PeerSource(
        VmId("vm-3"),
        SocketAddress("10.0.0.1", 1),
        table,
        evidence or TargetEvidence(),
        ManualClock(NOW),
    )
    source._connection = seed = RecordedSeed(fields)
    source._earlier_epoch = answered_before
    result = []

    async def run():
        result.append(await action(source))

    trio.run(run)
    return result[0], seed.requests[0]


def changes(source):
    return source.changes(source._table.position, NO_WAIT)


def query_of(request):
    return parse_qs(urlsplit(request).query, keep_blank_values=True)


def view_page(evidence=None):
    view = PlatformView(Milliseconds(2_000))
    view.confirm(Milliseconds(9_700))
    evidence = evidence or TargetEvidence()
    return ViewPage(
        ManualClock(NOW),
        recorded_table(),
        view,
        evidence,
        FleetReports(evidence.topics),
    )


def test_answer_of_an_earlier_seed_brings_entries_and_reports():
    evidence = TargetEvidence()
    answer, _ = ask(ANSWER, changes, evidence)
    assert list(answer.entries) == recorded_table().changes_since(at(6))
    assert (answer.position, answer.age, answer.is_last) == (at(9), 300, True)
    assert evidence.loads.vm_count == 2
    assert evidence.loads.fleet_calls([T1], NOW) == [5]
    assert evidence.limits.is_limited(T2, NOW)
    key = stream_key(CallId("c1"))
    assert evidence.streams.reported_version(key) == "v1"


def test_earlier_seed_passes_on_that_a_zone_is_evacuated():
    """It keeps all entries, also those that it doesn't use itself."""
    answer, _ = ask(ANSWER, changes)
    facts = [decode(entry) for entry in answer.entries]
    assert ZoneEvacuated(ZoneId("b")) in facts
    assert facts[1].cold_for == 900


@pytest.mark.parametrize("epoch", [None, "e0"])
def test_earlier_seed_that_has_restarted_confirms_no_state(epoch):
    """It doesn't know what was removed before it started, and doesn't say so."""
    evidence = TargetEvidence()

    async def ask_twice(source):
        with pytest.raises(PlatformUnavailableError, match="started since"):
            await changes(source)
        return await changes(source)

    answer, _ = ask(ANSWER, ask_twice, evidence, answered_before=epoch)
    assert len(answer.entries) == 3
    assert evidence.loads.vm_count == 2


def test_seed_of_this_build_confirms_its_state_at_once():
    fields = ANSWER | {"protocol_1": "2"}
    answer, _ = ask(fields, changes, answered_before=None)
    assert len(answer.entries) == 3


def test_report_of_an_earlier_seed_is_read():
    report, _ = ask(REPORT, lambda source: source.report())
    assert (report.vms, report.values["loads"]) == (2, {T1: 5})
    assert report.values["limits"][T2].limit == 12.5


@pytest.mark.parametrize("path", ["/view", "/reports"])
def test_request_to_an_earlier_seed_holds_what_that_reads(path):
    action = changes if path == "/view" else lambda source: source.report()
    _, request = ask(ANSWER, action, recorded_evidence(), position=at(9))
    sent, expected = query_of(request), query_of(REQUEST)
    assert urlsplit(request).path == path
    if path == "/reports":
        of_topics = ("after", "loads", "outcomes", "vms", "limits", "demand")
        for name in (*of_topics, "leaving", "helpers"):
            del expected[name]
    assert {name: sent.get(name) for name in expected} == expected


def test_answer_to_an_earlier_vm_holds_what_that_reads():
    page = view_page(recorded_evidence())
    request = "/view?after=6&era=1&settings=0&vm=vm-9&loads=t1:3&vms=1&streams_epoch=x"
    status, text = page.answer(request)
    answer = json.loads(text)
    assert status == 200
    assert {name: answer.get(name) for name in ANSWER} == ANSWER
    status, text = page.answer("/reports?vm=seed-2&era=1&settings=0")
    answer = json.loads(text)
    assert status == 200
    assert {name: answer.get(name) for name in REPORT} == REPORT


def test_request_of_an_earlier_vm_is_counted():
    evidence = TargetEvidence()
    page = view_page(evidence)
    answer = json.loads(page.answer(REQUEST)[1])
    assert (answer["vms"], answer["loads"]) == (2, "t1:2")
    assert answer["outcomes"] == "t1:0:10,:0:0"
    assert answer["demand"] == "t2:3a:150,t2:3s:150"
    key = stream_key(CallId("c1"))
    assert evidence.streams.reported_version(key) == "v1"


def slots_are_dealt_out(earlier_vms):
    """Return whether two VMs deal out slots while others are of the earlier build."""
    fleet = [TargetEvidence(slot_shares=SlotShares(VmId(f"vm-{n}"))) for n in range(2)]
    seed = FleetReports(fleet[0].topics)
    for now in range(0, 5_000, 450):
        now = Milliseconds(now)
        for number, evidence in enumerate(fleet):
            evidence.slot_shares.join(Milliseconds(now + 1_000))
            report = evidence.topics.local_report(now)
            seed.record_vm_report(f"vm-{number}", report, now)
        for number in range(earlier_vms):
            fields = dict(parse_qsl(urlsplit(REQUEST).query))
            report = fleet[0].topics.parse(fields, now)
            seed.record_vm_report(f"earlier-{number}", report, now)
        for evidence in fleet:
            own = evidence.topics.local_report(now)
            total = seed.total(VmReport(vms=0), now)
            evidence.record_fleet_report(total, own, now)
    targets = [target(f"t{number}", slots=2) for number in range(4)]
    return [each.slot_shares.applies(targets, now) for each in fleet]


def test_slots_are_not_dealt_out_beside_vms_of_an_earlier_build():
    """These keep to limits in calls a second, and would use the slots of others."""
    assert slots_are_dealt_out(earlier_vms=0) == [True, True]
    assert slots_are_dealt_out(earlier_vms=1) == [False, False]


MALFORMED = [
    {"suspects": "garbage"},
    {"suspects": 7},
    {"suspects_after": "x"},
    {"suspects_after": None},
    {"streams": []},
    {"streams": [1]},
    {"streams": 7},
    {"streams": {"v1": 5}},
    {"streams": {"v1": ["k:x"]}},
    {"streams_after": "x"},
    {"streams_age_ms": None},
    {"history_age_ms": "x"},
    {"history": 7, "history_rows_age_ms": 5},
    {"history": [[1]], "history_rows_age_ms": 5},
    {"history": []},
    {"routes_age_ms": "x"},
    {"routes_age_ms": 5, "routes": 7, "routes_rows_age_ms": 5},
    {"routes_age_ms": 5, "routes": [["r", [], 5]], "routes_rows_age_ms": 5},
    {"routes_age_ms": 5, "routes": []},
    {"settings": {}},
    {"settings": 7},
    {"settings": {"key": "op/config", "revision": 3, "value": "no base64!"}},
    {"keys_age_ms": "x"},
    {"loads": 7},
    {"outcomes": None},
    {"vms": {}},
]


@pytest.mark.parametrize("fields", MALFORMED, ids=json.dumps)
def test_malformed_field_of_an_answer_costs_only_itself(fields):
    """Before, one that is not a topic's cost the view and all reports."""
    evidence = TargetEvidence()
    answer, _ = ask(ANSWER | fields, changes, evidence)
    assert len(answer.entries) == 3
    assert answer.keys_age == 300
    if "loads" not in fields:
        assert evidence.loads.fleet_calls([T1], NOW) == [5]
    report, _ = ask(REPORT | fields, lambda source: source.report())
    if "loads" not in fields:
        assert report.values["loads"] == {T1: 5}


@pytest.mark.parametrize("path", ["/view", "/reports"])
@pytest.mark.parametrize("fields", MALFORMED, ids=json.dumps)
def test_malformed_field_of_a_request_costs_only_itself(path, fields):
    (name, value), *_ = fields.items()
    text = value if isinstance(value, str) else json.dumps(value)
    status, body = view_page().answer(f"{path}?after=6&era=1&vm=vm-9&{name}={text}")
    assert (status, json.loads(body)["vms"]) == (200, 2 if path == "/view" else 1)
