"""Guards against requests that are too long for a seed, so that a VM whose report is
long gets no view and reports nothing."""

from __future__ import annotations

import json
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import pytest
import trio

from edge.builders import DESK
from edge.builders import catalogue
from edge.builders import route
from edge.builders import target
from yuccafold._clock import ManualClock
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.edge import PartId
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import Repeatability
from yuccafold.edge import RouteName
from yuccafold.edge import SocketAddress
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._model import SoftwareVersion
from yuccafold.edge._peers import PeerSource
from yuccafold.edge._positions import START
from yuccafold.edge._stream_versions import StreamBegin
from yuccafold.edge._stream_versions import StreamVersions
from yuccafold.edge._stream_versions import stream_key
from yuccafold.edge._target_history import TargetHistory
from yuccafold.edge._vm_reports import TargetEvidence
from yuccafold.edge.split import RouteServices
from yuccafold.http._client import HttpAnswer

MAX_HEAD_BYTES = 16_384
"""The size of a head that a seed of any build reads."""

HEAD_BYTES_BESIDE_TARGET = 200
"""Method, version and the header Host."""

NOW = Milliseconds(100_000)
NAMES = [f"season-draw-b-{number}" for number in range(200)]


class SilentConnection:
    """Records the requests, and answers what it was given."""

    def __init__(self, fields):
        self.requests = []
        self._body = json.dumps(fields).encode()

    async def get(self, request, wait=0):
        self.requests.append(request)
        return HttpAnswer(200, (), self._body)


def moved_routes(count):
    """Return what a VM knows that saw routes of streams move to another service."""
    services = RouteServices()
    for at, service in ((0, "season-draw-a"), (90_000, "season-draw-b")):
        routes = [
            route(
                f"/season-draw/{number}/",
                ServiceId(f"{service}-{number}"),
                Repeatability.RESUMABLE,
            )
            for number in range(count)
        ]
        services.apply(catalogue(*routes), Milliseconds(at), Milliseconds(20_000))
    return services


def busy_evidence(streams, targets, listed, moved=0):
    """Return what a VM knows that has calls, notices and limits of many targets."""
    versions = StreamVersions("epoch", lambda *_: False)
    begin = StreamBegin(
        DESK, PartId("p"), SoftwareVersion("v1.25.3"), RouteName("r1"), CallId("a1")
    )
    for number in range(streams):
        versions.begin(stream_key(CallId(f"c{number}")), begin, NOW)
    history = TargetHistory()
    history.record(target("t1", software="v1"), Milliseconds(0))
    for number, name in enumerate(NAMES[:listed]):
        record = target("t2", id=TargetId(name), software="v1.25.3")
        history.record(record, Milliseconds(90_000 + number))
    evidence = TargetEvidence(
        streams=versions, history=history, route_services=moved_routes(moved)
    )
    for number, name in enumerate(NAMES[:targets]):
        evidence.loads.start(TargetId(name))
        evidence.outcomes.record_outcome(TargetId(name), number % 2 == 0, NOW)
        evidence.limits.record_answer(TargetId(name), 12.5, NOW)
        evidence.limits.admits(TargetId(name), 3, 0.0, NOW)
    return evidence


def requests_of(evidence, action):
    """Return the requests of two exchanges; the seed's history reaches back less."""
    connection = SilentConnection({"history_age_ms": 0})
    clock = ManualClock(NOW)
    source = PeerSource(
        VmId("vm-9"), SocketAddress("10.0.0.1", 1), EntryTable(), evidence, clock
    )
    source._connection = connection
    source._history._peer_age = source._routes._peer_age = Milliseconds(0)

    async def run():
        for _ in range(2):
            try:
                await action(source)
            except PlatformUnavailableError:
                pass

    trio.run(run)
    return connection.requests


ACTIONS = {
    "changes": lambda source: source.changes(1, Milliseconds(0)),
    "report": lambda source: source.report(),
}


@pytest.mark.parametrize("action", ACTIONS)
@pytest.mark.parametrize("streams", [0, 200])
@pytest.mark.parametrize("targets", [0, 60, 200])
@pytest.mark.parametrize("listed", [0, 200])
@pytest.mark.parametrize("moved", [0, 200])
def test_request_is_short_enough_for_any_seed(action, streams, targets, listed, moved):
    evidence = busy_evidence(streams, targets, listed, moved)
    sizes = [len(each) for each in requests_of(evidence, ACTIONS[action])]
    assert max(sizes) <= MAX_HEAD_BYTES - HEAD_BYTES_BESIDE_TARGET


def test_request_of_a_vm_that_starts_streams_among_many_targets_holds_its_calls():
    """What is left out for its size is what others can do without."""
    evidence = busy_evidence(200, 60, 200)
    (request, _) = requests_of(evidence, ACTIONS["changes"])
    fields = parse_qs(urlsplit(request).query)
    assert len(fields["loads"][0].split(",")) == 60
    assert len(json.loads(fields["streams"][0])["v1.25.3"]) == 200


def test_history_is_sent_as_far_as_the_request_has_room():
    evidence = busy_evidence(200, 60, 200)
    (request, _) = requests_of(evidence, ACTIONS["report"])
    fields = parse_qs(urlsplit(request).query)
    rows = json.loads(fields["history"][0])
    assert 20 < len(rows) < 200
    rows_age = int(fields["history_rows_age_ms"][0])
    assert max(since_age for _, _, _, since_age, _ in rows) <= rows_age
    other = TargetHistory()
    other.record(target("t1", software="v1"), NOW)
    other.merge(rows, Milliseconds(rows_age), NOW, START)
    assert other.age(NOW) == rows_age


def test_former_services_are_sent_as_far_as_the_request_has_room():
    evidence = busy_evidence(200, 60, 200, 200)
    (request, _) = requests_of(evidence, ACTIONS["report"])
    fields = parse_qs(urlsplit(request).query)
    rows = json.loads(fields["routes"][0])
    assert 0 < len(rows) < 200
    # All of these routes moved at once, so what is sent reaches back until then only.
    assert int(fields["routes_rows_age_ms"][0]) == NOW - 90_000 - 1
