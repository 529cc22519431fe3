from __future__ import annotations

import random

import trio

from yuccafold._clock import ManualClock
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.orders import OrderCarrier
from yuccafold.orders import OrderController
from yuccafold.orders import OrderKind
from yuccafold.orders import OrderOptions
from yuccafold.orders._carrier import read_observation
from yuccafold.settings import parse_tree
from yuccafold.standins import EngineSettings
from yuccafold.standins import ModelEngine

TREE = """\
revision: 3
services:
  menu:
    kind: model
    paths: [/menu]
    orders:
      {{model: menu-large, version: "2", adapters: [dish], min_serving_share: 0}}
    targets: [{{id: engine, address: "{address}", zone: a, role: decode}}]
"""


def test_engine_is_brought_to_its_desired_state():
    async def main():
        engine = ModelEngine(EngineSettings())
        clock = ManualClock()
        options = OrderOptions()
        controller = OrderController(
            VmId("vm"), Incarnation(1), options, random.Random(1), clock.now()
        )
        sent = []
        carrier = OrderCarrier(controller, clock, options, sent.extend, tick_ms=1)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                lambda task_status: engine.serve(task_status=task_status)
            )
            controller.set_list([VmId("vm")], clock.now())
            controller.set_tree(parse_tree(TREE.format(address=address)).unwrap())
            nursery.start_soon(carrier.run)
            with trio.fail_after(60):
                while not controller.status()[0].done:
                    clock.advance(100)
                    controller.set_serving({}, clock.now())
                    await trio.sleep(0.001)
            nursery.cancel_scope.cancel()
        return engine, sent

    engine, sent = trio.run(main)
    state = engine.state
    assert (state.model, state.version) == ("menu-large", "2")
    assert (state.adapters, state.role, state.draining) == (
        ("dish",),
        "decode",
        False,
    )
    assert [order.kind.value for order in engine.orders] == [
        kind.value
        for kind in (
            OrderKind.DRAIN,
            OrderKind.LOAD_MODEL,
            OrderKind.LOAD_ADAPTER,
            OrderKind.SET_ROLE,
            OrderKind.UNDRAIN,
        )
    ]
    assert sent == []


def test_malformed_engine_report_gives_no_observation():
    assert read_observation(b"{}", b"{}") is None
    assert read_observation(b"nonsense", b"{}") is None
    good = b'{"model": "m", "version": "1", "extra": 1}'
    assert read_observation(good, b'{"queued": 2}').running == 2
