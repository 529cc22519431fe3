from __future__ import annotations

from dataclasses import replace

import pytest

from yuccafold._ids import TargetId
from yuccafold.bench._orders_world import orders_tree
from yuccafold.orders import EngineOrder
from yuccafold.orders import Observation
from yuccafold.orders import OrderKind
from yuccafold.orders import desired_engines
from yuccafold.orders import next_order

DESIRED = desired_engines(orders_tree(1, 1, 2, 2))[TargetId("e-0")]
DONE = Observation("menu", "1", frozenset({"dish-1"}), "both", draining=False)
DRAINING = replace(DONE, draining=True)
LOAD = EngineOrder(OrderKind.LOAD_MODEL, model="menu", version="1")


@pytest.mark.parametrize(
    ("seen", "drained", "order"),
    [
        (DONE, False, None),
        (replace(DONE, version="0"), False, EngineOrder(OrderKind.DRAIN)),
        (replace(DRAINING, version="0"), False, None),
        (replace(DRAINING, version="0"), True, LOAD),
        (
            replace(DRAINING, adapters=frozenset()),
            False,
            EngineOrder(OrderKind.LOAD_ADAPTER, adapter="dish-1"),
        ),
        (
            replace(DRAINING, adapters=frozenset({"dish-1", "old"})),
            False,
            EngineOrder(OrderKind.UNLOAD_ADAPTER, adapter="old"),
        ),
        (replace(DRAINING, role="decode"), False, None),
        (
            replace(DRAINING, role="decode"),
            True,
            EngineOrder(OrderKind.SET_ROLE, role="both"),
        ),
        (DRAINING, False, EngineOrder(OrderKind.UNDRAIN)),
    ],
)
def test_next_order(seen, drained, order):
    assert next_order(DESIRED, seen, drained) == order


def test_engine_that_the_settings_drain_gets_no_orders():
    tree = orders_tree(1, 1, 2, 2)
    target = tree.services["menu"].targets[0].model_copy(update={"draining": True})
    service = tree.services["menu"].model_copy(update={"targets": (target,)})
    changed = tree.model_copy(update={"services": {"menu": service}})
    assert desired_engines(changed) == {}
