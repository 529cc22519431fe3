"""What a VM that starts learns of the services that routes had before.

Guards against a VM that takes the services in force for all that a route had: a stream
that began at one of before is then taken up at another service.
"""

from __future__ import annotations

import json

import pytest

from edge.builders import catalogue
from edge.builders import route
from edge.log_lines import LogCapture
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold.edge import Repeatability
from yuccafold.edge._history_exchange import ROUTE_FIELDS
from yuccafold.edge._history_exchange import HistoryExchange
from yuccafold.edge._history_exchange import answer_history
from yuccafold.edge._positions import Position
from yuccafold.edge.split import RouteServices
from yuccafold.edge.split._route_services import MAX_ROWS

A, B = ServiceId("a"), ServiceId("b")
KEPT_FOR = Milliseconds(20_000)
CALL = CallId("c1")
MOVED_AT = 60_000
STARTED_AT = 62_000
BEFORE, MOVE = Position(3), Position(7)


def at(ms):
    return Milliseconds(ms)


def settings(service):
    moving = route(repeatability=Repeatability.RESUMABLE, services=((service, 1.0),))
    return catalogue(moving), moving.name


def long_running():
    """Return what a VM knows that saw the route move from A to B."""
    services = RouteServices()
    services.apply(settings(A)[0], at(0), KEPT_FOR, BEFORE)
    services.apply(settings(B)[0], at(MOVED_AT), KEPT_FOR, MOVE)
    return services


def just_started(now=STARTED_AT):
    services = RouteServices()
    services.apply(settings(B)[0], at(now), KEPT_FOR, MOVE)
    return services


def exchange_once(asking, answering, now, asked_up_to=MOVE, answered_up_to=MOVE):
    """Let one VM ask another, twice, as it then knows how much that one lacks."""
    exchange = HistoryExchange(asking, ROUTE_FIELDS)
    for _ in range(2):
        query = {name: str(value) for name, value in exchange.query(at(now)).items()}
        answer = answer_history(answering, query, at(now), asked_up_to, ROUTE_FIELDS)
        answer = json.loads(json.dumps(answer))
        exchange.record_answer(answer, at(now), answered_up_to)


def takes_for_evident(services, now, age):
    """Return whether streams of this age can have begun at B only."""
    return services.is_evident(settings(B)[1], CALL, B, at(now - age))


@pytest.mark.parametrize("is_asked", [True, False])
def test_vm_that_started_learns_which_services_a_route_had(is_asked, monkeypatch):
    log = LogCapture(monkeypatch)
    old, fresh = long_running(), just_started()
    assert takes_for_evident(fresh, STARTED_AT, age=10_000)
    if is_asked:
        exchange_once(fresh, old, STARTED_AT)
    else:
        exchange_once(old, fresh, STARTED_AT)
    assert not takes_for_evident(fresh, STARTED_AT, age=10_000)
    assert takes_for_evident(fresh, STARTED_AT, age=1_999)
    assert fresh.age(at(STARTED_AT)) == KEPT_FOR
    (merged,) = log.fields("routes_merged")
    assert (merged["changes"], merged["revision"]) == (1, MOVE)


def test_former_services_pass_through_a_vm_that_started_as_well():
    old, seed, fresh = long_running(), just_started(), just_started(STARTED_AT + 3_000)
    exchange_once(seed, old, STARTED_AT)
    exchange_once(fresh, seed, STARTED_AT + 3_000)
    assert not takes_for_evident(fresh, STARTED_AT + 3_000, age=10_000)
    # The end of the former services is not later for each VM that it passes through.
    assert takes_for_evident(fresh, STARTED_AT + 3_000, age=4_999)


@pytest.mark.parametrize("is_asked", [True, False])
def test_vm_that_has_not_read_the_settings_in_force_tells_nothing(is_asked):
    """It may not know yet that the route has moved, so it can't say from where."""
    behind = RouteServices()
    behind.apply(settings(A)[0], at(0), KEPT_FOR, BEFORE)
    fresh = just_started(MOVED_AT)
    if is_asked:
        exchange_once(fresh, behind, MOVED_AT, answered_up_to=BEFORE)
    else:
        exchange_once(behind, fresh, MOVED_AT, asked_up_to=BEFORE)
    assert fresh.age(at(MOVED_AT)) == 0
    behind.apply(settings(B)[0], at(MOVED_AT + 100), KEPT_FOR, MOVE)
    exchange_once(fresh, behind, MOVED_AT + 200)
    assert not takes_for_evident(fresh, MOVED_AT + 200, age=10_000)


def test_vms_that_all_started_tell_each_other_nothing():
    first, second = just_started(), just_started()
    exchange_once(first, second, STARTED_AT + 5_000)
    assert first.age(at(STARTED_AT + 5_000)) == 5_000


def test_vm_of_an_earlier_build_tells_nothing_and_is_told_nothing():
    old, fresh = long_running(), just_started()
    exchange = HistoryExchange(fresh, ROUTE_FIELDS)
    exchange.record_answer({"history_age_ms": 21_000}, at(STARTED_AT), MOVE)
    assert fresh.age(at(STARTED_AT)) == 0
    query = {"history_age_ms": "0"}
    answer = answer_history(old, query, at(STARTED_AT), MOVE, ROUTE_FIELDS)
    assert answer == {"routes_age_ms": KEPT_FOR}


def test_message_that_is_cut_short_reaches_back_less_far():
    services = RouteServices()
    for number in range(2 * MAX_ROWS):
        service = A if number % 2 else B
        services.apply(settings(service)[0], at(50_000 + 10 * number), KEPT_FOR)
    rows, age = services.rows(at(54_000))
    assert len(rows) == MAX_ROWS
    assert age == 10 * MAX_ROWS + 9
    rows, age = services.rows(at(54_000), max_rows=0)
    assert (rows, age) == ([], 9)


MALFORMED = [
    "3",
    "[1]",
    "[[1]]",
    '[["r", [], 5]]',
    '[["r", [["a"]], 5]]',
    '[["r", [["a", "x"]], 5]]',
    '[["r", [["a", 1]], null]]',
    '[["r", 7, 5]]',
]


@pytest.mark.parametrize("rows", MALFORMED)
def test_malformed_former_services_are_ignored(rows):
    services = just_started()
    query = {"routes_age_ms": "90000", "routes": rows, "routes_rows_age_ms": "90000"}
    answer = answer_history(services, query, at(STARTED_AT), MOVE, ROUTE_FIELDS)
    assert answer == {"routes_age_ms": 0}
    assert takes_for_evident(services, STARTED_AT, age=10_000)
