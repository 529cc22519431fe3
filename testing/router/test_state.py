from __future__ import annotations

import trio
import trio.testing

from support.loopback import on_trio
from yuccafold.router._state import RouterState


@on_trio
async def test_wait_until_idle_returns_although_a_call_began_meanwhile():
    state = RouterState()
    state.call_started()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(state.wait_until_idle)
        await trio.testing.wait_all_tasks_blocked()
        state.call_started()
        state.call_ended()
        state.call_ended()
        with trio.move_on_after(1) as scope:
            await trio.testing.wait_all_tasks_blocked()
            while nursery.child_tasks:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert not scope.cancelled_caught


@on_trio
async def test_router_is_not_idle_while_a_call_runs():
    state = RouterState()
    for _ in range(2):
        state.call_started()
    state.call_ended()
    with trio.move_on_after(0.05) as scope:
        await state.wait_until_idle()
    assert scope.cancelled_caught
    state.call_ended()
    state.call_started()
    with trio.move_on_after(0.05) as scope:
        await state.wait_until_idle()
    assert scope.cancelled_caught
