"""The service of a call on a route that is divided between several.

Guards against a stream that is taken up at another service than the one that began it,
and goes on at another software version of either.
"""

from __future__ import annotations

import pytest

from edge.builders import catalogue
from edge.builders import route
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold._ids import ServiceId
from yuccafold.edge import Repeatability
from yuccafold.edge.reports import VmReport
from yuccafold.edge.split import RouteServices
from yuccafold.edge.split import ServiceChoiceTopic
from yuccafold.edge.split import choose_service

A, B = ServiceId("a"), ServiceId("b")
HALVES = ((A, 50.0), (B, 50.0))
KEPT_FOR = Milliseconds(20_000)
CALLS = [CallId(f"{number:x}") for number in range(2_000)]


def at(ms):
    return Milliseconds(ms)


def settings(*services):
    divided = route(repeatability=Repeatability.RESUMABLE, services=services)
    return catalogue(divided), divided.name


@pytest.mark.parametrize("weight", [1.0, 10.0, 50.0])
def test_services_get_the_calls_that_their_weights_ask_for(weight):
    services = ((A, weight), (B, 50.0))
    share = sum(choose_service(services, call) == A for call in CALLS) / len(CALLS)
    assert abs(share - weight / (weight + 50.0)) < 0.04


def test_change_of_the_weights_moves_only_the_difference():
    before = [choose_service(HALVES, call) for call in CALLS]
    after = [choose_service(((B, 60.0), (A, 40.0)), call) for call in CALLS]
    moves = [pair for pair in zip(before, after, strict=True) if len(set(pair)) > 1]
    assert set(moves) == {(A, B)}
    assert len(moves) / len(CALLS) < 0.14


def test_service_is_evident_until_the_settings_choose_another():
    services = RouteServices()
    first, name = settings(*HALVES)
    services.apply(first, at(0), KEPT_FOR)
    call = next(call for call in CALLS if choose_service(HALVES, call) == A)
    assert services.is_evident(name, call, A, at(-9_000))
    assert not services.is_evident(name, call, B, at(-9_000))
    services.apply(settings((B, 1.0))[0], at(5_000), KEPT_FOR)
    assert not services.is_evident(name, call, B, at(4_000))
    assert services.is_evident(name, call, B, at(5_001))
    other = next(call for call in CALLS if choose_service(HALVES, call) == B)
    assert services.is_evident(name, other, B, at(4_000))


def test_former_services_are_forgotten_after_a_while():
    services = RouteServices()
    first, name = settings((A, 1.0))
    services.apply(first, at(0), KEPT_FOR)
    services.apply(settings((B, 1.0))[0], at(5_000), KEPT_FOR)
    services.apply(first, at(30_000), KEPT_FOR)
    assert [each.services for each in services._former[name]] == [((B, 1.0),)]
    services.apply(catalogue(), at(60_000), KEPT_FOR)
    services.apply(catalogue(), at(90_000), KEPT_FOR)
    assert not services._former


def test_service_of_a_call_that_is_not_named_is_evident_if_there_is_one():
    services = RouteServices()
    divided, name = settings(*HALVES)
    services.apply(divided, at(0), KEPT_FOR)
    assert not services.is_evident(name, None, A, at(0))
    services.apply(settings((A, 1.0))[0], at(1_000), KEPT_FOR)
    assert not services.is_evident(name, None, A, at(500))
    assert services.is_evident(name, None, A, at(1_001))


def test_service_is_not_evident_beside_vms_that_choose_at_random():
    services = RouteServices()
    divided, name = settings(*HALVES)
    services.apply(divided, at(0), KEPT_FOR)
    call = CALLS[0]
    chosen = choose_service(HALVES, call)
    topic = ServiceChoiceTopic(services)
    for speaking, now in ((2, 1_000), (1, 2_000), (2, 3_000)):
        total = VmReport({topic.name: speaking}, vms=2)
        topic.record(total, VmReport(), at(now))
    assert not services.is_evident(name, call, chosen, at(1_500))
    assert services.is_evident(name, call, chosen, at(2_001))
