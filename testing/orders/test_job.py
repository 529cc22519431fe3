from __future__ import annotations

import pytest

from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold.bench._orders_world import orders_tree
from yuccafold.orders import EngineAnswer
from yuccafold.orders import EngineCommand
from yuccafold.orders import EngineOrder
from yuccafold.orders import Fence
from yuccafold.orders import Observation
from yuccafold.orders import OrderKind
from yuccafold.orders import OrderOptions
from yuccafold.orders import PermitAnswer
from yuccafold.orders import PermitAsk
from yuccafold.orders import desired_engines
from yuccafold.orders._job import EngineJob

ENGINE, ISSUER = TargetId("e-0"), VmId("issuer")
OPTIONS = OrderOptions()
ASKED, GRANTED = 1_000, 1_500
LAPSED = ASKED + OPTIONS.usable(OPTIONS.permit_ms)
LAST_SEND = LAPSED - OPTIONS.order_ms
LOAD = EngineOrder(OrderKind.LOAD_MODEL, model="menu", version="1")
SERVING = Observation("menu", "0", frozenset(), "both", draining=False)
OLD = Observation("menu", "0", frozenset(), "both", draining=True)


def read(job, now, seen=OLD):
    command = EngineCommand(900, ENGINE, "", None, 0, now)
    job.begin_read(command, now)
    job.answered(command, EngineAnswer(True, seen), now)


def permitted(*, load=False, seen=OLD):
    job = EngineJob(desired_engines(orders_tree(5, 1, 1, 2))[ENGINE], OPTIONS)
    read(job, GRANTED - 1, seen)
    job.ask(PermitAsk(1, 7, ENGINE, 5, load, 0), ISSUER, ASKED)
    answer = PermitAnswer(7, ENGINE, Fence(5, 1, 1).number, None)
    assert job.take(ISSUER, answer, GRANTED) is not None
    return job


def sending(job, order=LOAD):
    command = EngineCommand(901, ENGINE, "", order, 1, job.send_by(order))
    job.begin_order(command)
    return command


def test_permit_counts_from_the_asking_on():
    job = permitted()
    assert job.has_time(LAST_SEND - 1)
    assert not job.has_time(LAST_SEND)
    job.expire(LAPSED - 1)
    assert job.permit is not None
    job.expire(LAPSED)
    assert job.permit is None


def test_answer_to_another_request_is_no_permit():
    job = permitted()
    job.drop_permit()
    job.ask(PermitAsk(1, 8, ENGINE, 5, False, 0), ISSUER, ASKED)
    late = PermitAnswer(7, ENGINE, Fence(5, 1, 1).number, None)
    assert job.take(ISSUER, late, GRANTED) is None
    current = PermitAnswer(8, ENGINE, Fence(5, 1, 1).number, None)
    assert job.take(VmId("other"), current, GRANTED) is None


def test_order_is_not_written_after_a_pause():
    job = permitted()
    command = sending(job, EngineOrder(OrderKind.DRAIN))
    assert command.send_by == LAST_SEND
    assert job.may_send(command, LAST_SEND)
    assert not job.may_send(command, LAST_SEND + 1)


def test_load_is_written_within_its_slot_and_uses_it_up():
    job = permitted(load=True)
    slot_end = ASKED + OPTIONS.slot_ms
    assert job.has_slot(slot_end - 1)
    assert not job.has_slot(slot_end)
    command = sending(job)
    assert command.send_by == slot_end
    assert not job.has_slot(GRANTED)


def test_order_without_an_answer_is_waited_for():
    job = permitted()
    command = sending(job)
    assert job.may_send(command, 2_000)
    assert not job.is_quiet(2_000)
    job.answered(command, EngineAnswer(ended=False), 2_100)
    assert not job.is_quiet(2_000 + OPTIONS.order_ms - 1)
    assert job.is_quiet(2_000 + OPTIONS.order_ms)
    assert job.is_read_due(2_000 + OPTIONS.order_ms)


@pytest.mark.parametrize("was_sent", [False, True])
def test_order_that_ended_is_followed_by_a_reading(was_sent):
    job = permitted(seen=SERVING)
    read(job, GRANTED, SERVING)
    assert job.is_serving
    command = sending(job)
    if was_sent:
        job.may_send(command, 2_000)
    job.answered(command, EngineAnswer(ended=True), 2_100)
    assert job.is_quiet(2_100)
    assert job.is_read_due(2_100)
    assert not job.is_serving


def test_state_is_read_after_a_new_permit_and_before_orders():
    job = permitted()
    assert job.is_read_due(GRANTED)
    read(job, GRANTED)
    assert not job.is_read_due(GRANTED + OPTIONS.changing_read_ms - 1)


def test_engine_is_drained_when_idle_or_after_its_time():
    job = permitted()
    busy = Observation("menu", "0", frozenset(), "both", True, running=3)
    read(job, GRANTED - 1, SERVING)
    read(job, GRANTED, busy)
    limit = job.desired.drain_limit_ms
    read(job, GRANTED + limit - 1, busy)
    assert job.next_order(GRANTED + limit - 1) is None
    assert job.next_order(GRANTED + limit) == LOAD
    read(job, GRANTED + 10, OLD)
    assert job.next_order(GRANTED + 10) == LOAD


def test_engine_that_does_not_answer_is_read_again_after_a_while():
    job = permitted()
    read(job, GRANTED, None)
    again = GRANTED + OPTIONS.changing_read_ms
    assert not job.is_read_due(again - 1)
    assert job.is_read_due(again)
