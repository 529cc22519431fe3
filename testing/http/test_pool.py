"""The pool of idle connections while several tasks use it.

Guards against a connection that is in use and in the pool at once: the next task takes
it for spoiled, and closes it under the call that waits for its answer there. Guards as
well against a connection that carries a call which failed on it once more.
"""

from __future__ import annotations

import random

import pytest
import trio
from trio.testing import MockClock

from support.loopback import on_trio
from yuccafold._clock import Milliseconds
from yuccafold._ids import CallId
from yuccafold.http import ConnectionPool
from yuccafold.http._pool import MAX_FAILED_CALLS

ADDRESSES = ("10.0.0.1:80", "10.0.0.2:80")
KEPT_FOR = Milliseconds(300)


class TrioClock:
    def now(self):
        return Milliseconds(round(trio.current_time() * 1000))


class Connection:
    """A connection that its target may close, and whose closing takes a moment."""

    def __init__(self):
        self.is_open = True
        self.in_use = False
        self.is_ended_by_target = False
        self.closed_in_use = False

    def is_clean(self):
        if not self.is_open:
            raise ValueError("file descriptor cannot be a negative integer (-1)")
        return not self.is_ended_by_target and not self.in_use

    async def close(self):
        self.closed_in_use |= self.in_use
        self.is_open = False
        await trio.sleep(0.001)


async def use_connections(pool, address, connections, rng, done_at):
    """Take a connection or open one, use it, and return it, again and again."""
    while trio.current_time() < done_at:
        entry = await pool.take(address, CallId("c1"))
        connection = Connection() if entry is None else entry.http
        connections.append(connection)
        assert connection.is_open
        assert not connection.in_use
        connection.in_use = True
        await trio.sleep(rng.uniform(0.001, 0.02))
        assert connection.is_open
        connection.in_use = False
        await pool.put(address, connection, KEPT_FOR)
        if rng.random() < 0.5:
            connection.is_ended_by_target = True
        await trio.sleep(rng.choice([0.002, 0.2, 0.4]))


@pytest.mark.parametrize("seed", range(5))
def test_connection_in_use_is_in_the_pool_no_more(seed):
    rng = random.Random(seed)

    async def sweep(pool):
        while True:
            await trio.sleep(0.01)
            await pool.close_expired()
            if rng.random() < 0.02:
                await pool.discard(rng.choice(ADDRESSES))

    async def run():
        pool, connections = ConnectionPool(TrioClock()), []
        done_at = trio.current_time() + 10
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sweep, pool)
            async with trio.open_nursery() as users:
                for number in range(40):
                    users.start_soon(
                        use_connections,
                        pool,
                        ADDRESSES[number % 2],
                        connections,
                        rng,
                        done_at,
                    )
            nursery.cancel_scope.cancel()
        assert not any(each.closed_in_use for each in connections)
        await pool.close()
        assert not any(each.is_open for each in connections)

    trio.run(run, clock=MockClock(autojump_threshold=0))


async def pool_with(*failed_calls):
    """Return a pool with a connection for each set of calls, and the connections."""
    pool = ConnectionPool(TrioClock())
    connections = [Connection() for _ in failed_calls]
    for connection, calls in zip(connections, failed_calls, strict=True):
        await pool.put(ADDRESSES[0], connection, KEPT_FOR, frozenset(calls))
    return pool, connections


@on_trio
async def test_call_gets_no_connection_on_which_it_failed():
    pool, (first, second, third) = await pool_with({"c3"}, {"c2"}, {"c1", "c2"})
    assert (await pool.take(ADDRESSES[0], "c2")).http is first
    assert await pool.take(ADDRESSES[0], "c2") is None
    assert (await pool.take(ADDRESSES[0], "c1")).http is second
    assert (await pool.take(ADDRESSES[0], "c3")).http is third


@on_trio
async def test_connection_on_which_too_many_calls_failed_is_closed():
    calls = [f"c{number}" for number in range(MAX_FAILED_CALLS + 1)]
    pool, (kept, closed) = await pool_with(calls[1:], calls)
    assert (kept.is_open, closed.is_open) == (True, False)
    assert (await pool.take(ADDRESSES[0], "c0")).http is kept
