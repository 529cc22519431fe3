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
from yuccafold.orders import PermitRequest
from yuccafold.orders import desired_engines
from yuccafold.orders._job import EngineJob

ENGINE, ISSUER = TargetId("e-0"), VmId("issuer")
OPTIONS = OrderOptions()
REQUESTED, GRANTED = 1_000, 1_500
EXPIRED = REQUESTED + OPTIONS.usable(OPTIONS.permit_ms)
LAST_SEND = EXPIRED - OPTIONS.order_effect_ms
LOAD = EngineOrder(OrderKind.LOAD_MODEL, model="menu", version="1")
SERVING = Observation("menu", "0", frozenset(), "both", draining=False)
DRAINING = Observation("menu", "0", frozenset(), "both", draining=True)


def read_state(job, now, seen=DRAINING):
    command = EngineCommand(900, ENGINE, "", None, 0, now)
    job.begin_read(command, now)
    job.record_answer(command, EngineAnswer(True, seen), now)


def job_with_permit(*, load=False, seen=DRAINING):
    job = EngineJob(desired_engines(orders_tree(5, 1, 1, 2))[ENGINE], OPTIONS)
    read_state(job, GRANTED - 1, seen)
    job.record_request(PermitRequest(1, 7, ENGINE, 5, load, 0), ISSUER, REQUESTED)
    answer = PermitAnswer(7, ENGINE, Fence(5, 1, 1).number, None)
    assert job.handle_answer(ISSUER, answer, GRANTED) is not None
    return job


def begin_order(job, order=LOAD):
    command = EngineCommand(901, ENGINE, "", order, 1, job.send_by(order))
    job.begin_order(command)
    return command


def test_permit_time_counts_from_the_request():
    job = job_with_permit()
    assert job.has_time_for_order(LAST_SEND - 1)
    assert not job.has_time_for_order(LAST_SEND)
    job.expire(EXPIRED - 1)
    assert job.permit is not None
    job.expire(EXPIRED)
    assert job.permit is None


def test_answer_to_another_request_grants_no_permit():
    job = job_with_permit()
    job.drop_permit()
    job.record_request(PermitRequest(1, 8, ENGINE, 5, False, 0), ISSUER, REQUESTED)
    late = PermitAnswer(7, ENGINE, Fence(5, 1, 1).number, None)
    assert job.handle_answer(ISSUER, late, GRANTED) is None
    current = PermitAnswer(8, ENGINE, Fence(5, 1, 1).number, None)
    assert job.handle_answer(VmId("other"), current, GRANTED) is None


def test_order_delayed_by_a_pause_is_not_sent_after_its_deadline():
    job = job_with_permit()
    command = begin_order(job, EngineOrder(OrderKind.DRAIN))
    assert command.send_by == LAST_SEND
    assert job.may_send(command, LAST_SEND)
    assert not job.may_send(command, LAST_SEND + 1)


def test_load_is_sent_within_its_slot_and_uses_it_up():
    job = job_with_permit(load=True)
    slot_end = REQUESTED + OPTIONS.load_slot_ms
    assert job.has_load_slot(slot_end - 1)
    assert not job.has_load_slot(slot_end)
    command = begin_order(job)
    assert command.send_by == slot_end
    assert not job.has_load_slot(GRANTED)


def test_unanswered_order_is_pending_until_its_effect_has_ended():
    job = job_with_permit()
    command = begin_order(job)
    assert job.may_send(command, 2_000)
    assert not job.has_no_pending_order(2_000)
    job.record_answer(command, EngineAnswer(ended=False), 2_100)
    assert not job.has_no_pending_order(2_000 + OPTIONS.order_effect_ms - 1)
    assert job.has_no_pending_order(2_000 + OPTIONS.order_effect_ms)
    assert job.is_read_due(2_000 + OPTIONS.order_effect_ms)


@pytest.mark.parametrize("was_sent", [False, True])
def test_state_is_read_again_after_an_order_ended(was_sent):
    job = job_with_permit(seen=SERVING)
    read_state(job, GRANTED, SERVING)
    assert job.is_serving
    command = begin_order(job)
    if was_sent:
        job.may_send(command, 2_000)
    job.record_answer(command, EngineAnswer(ended=True), 2_100)
    assert job.has_no_pending_order(2_100)
    assert job.is_read_due(2_100)
    assert not job.is_serving


def test_state_is_read_after_a_new_permit_and_before_orders():
    job = job_with_permit()
    assert job.is_read_due(GRANTED)
    read_state(job, GRANTED)
    assert not job.is_read_due(GRANTED + OPTIONS.changing_read_ms - 1)


def test_engine_counts_as_drained_when_idle_or_after_its_limit():
    job = job_with_permit()
    busy = Observation("menu", "0", frozenset(), "both", True, running=3)
    read_state(job, GRANTED - 1, SERVING)
    read_state(job, GRANTED, busy)
    limit = job.desired.drain_limit_ms
    read_state(job, GRANTED + limit - 1, busy)
    assert job.next_order(GRANTED + limit - 1) is None
    assert job.next_order(GRANTED + limit) == LOAD
    read_state(job, GRANTED + 10, DRAINING)
    assert job.next_order(GRANTED + 10) == LOAD


def test_engine_that_does_not_answer_is_read_again_after_an_interval():
    job = job_with_permit()
    read_state(job, GRANTED, None)
    again = GRANTED + OPTIONS.changing_read_ms
    assert not job.is_read_due(again - 1)
    assert job.is_read_due(again)
