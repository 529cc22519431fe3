from __future__ import annotations

import pytest
import trio

from support.loopback import on_trio
from support.loopback import until
from yuccafold.standins import CostModel
from yuccafold.standins import Priority
from yuccafold.standins._batch import Batch
from yuccafold.standins._batch import Sequence


def test_cost_grows_with_uncached_tokens_and_the_batch():
    cost = CostModel(1.0, 10.0, 2.0, 8, 0.5)
    assert cost.step_seconds(0, 1) == pytest.approx(0.006)
    assert cost.step_seconds(100, 4) == pytest.approx(0.059)


@on_trio
async def test_higher_priority_runs_first_and_equal_ones_in_order():
    batch = Batch(CostModel(max_batch=1, time_scale=0), lambda: None)
    priorities = (Priority.LOW, Priority.NORMAL, Priority.HIGH, Priority.NORMAL)
    sequences = [Sequence(priority, 1, ("a", "b")) for priority in priorities]
    ended = []

    async def follow(number):
        assert [token async for token in sequences[number].tokens] == ["a", "b"]
        ended.append(number)

    for sequence in sequences:
        batch.add(sequence)
    async with trio.open_nursery() as nursery:
        for number in range(len(sequences)):
            nursery.start_soon(follow, number)
        nursery.start_soon(batch.run)
        await until(lambda: len(ended) == 4)
        nursery.cancel_scope.cancel()
    assert ended == [2, 1, 3, 0]
