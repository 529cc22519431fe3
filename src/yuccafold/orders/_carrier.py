"""Sends orders to engines over HTTP; only this module knows the engines' API."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import trio
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError
from result import Err

from yuccafold._clock import MS_PER_SECOND
from yuccafold._clock import Clock
from yuccafold._outgoing import Outgoing
from yuccafold.orders._controller import OrderController
from yuccafold.orders._desired import EngineOrder
from yuccafold.orders._desired import Observation
from yuccafold.orders._job import EngineAnswer
from yuccafold.orders._job import EngineCommand
from yuccafold.orders._options import OrderOptions
from yuccafold.readers import HttpLimits
from yuccafold.readers import HttpRequest
from yuccafold.readers import HttpResponse
from yuccafold.readers import call

HTTP_OK = 200
TICK_MS = 200
MAX_ANSWER_BYTES = 65_536
MAX_OPEN_CALLS = 16
"""How many calls to engines may be open at once."""


class _StateAnswer(BaseModel):
    """An engine's answer to ``GET /state``; unknown keys are ignored."""

    model_config = ConfigDict(strict=True)

    model: str
    version: str
    adapters: list[str] = []
    role: str = "both"
    draining: bool = False
    fence: int = 0


class _LoadAnswer(BaseModel):
    """An engine's answer to ``GET /load``; unknown keys are ignored."""

    model_config = ConfigDict(strict=True)

    in_flight: int = 0
    queued: int = 0


def order_body(order: EngineOrder, fence: int) -> bytes:
    """Return an order encoded as JSON, without its empty fields."""
    fields = {
        "model": order.model,
        "version": order.version,
        "adapter": order.adapter,
        "role": order.role,
    }
    non_empty = {name: value for name, value in fields.items() if value}
    return json.dumps({"kind": order.kind.value, "fence": fence, **non_empty}).encode()


def read_observation(state: bytes, load: bytes) -> Observation | None:
    """Return the state that an engine reported, or ``None`` if it is malformed."""
    try:
        engine_state = _StateAnswer.model_validate_json(state)
        engine_load = _LoadAnswer.model_validate_json(load)
    except ValidationError:
        return None
    return Observation(
        engine_state.model,
        engine_state.version,
        frozenset(engine_state.adapters),
        engine_state.role,
        engine_state.draining,
        engine_load.in_flight + engine_load.queued,
        max(0, engine_state.fence),
    )


@final
@dataclass(frozen=True, slots=True)
class OrderCarrier:
    """Runs a controller: ticks it, sends its messages and calls the engines."""

    controller: OrderController
    clock: Clock
    options: OrderOptions
    send: Callable[[list[Outgoing]], None]
    """Sends messages to peers; must not block."""
    tick_ms: int = TICK_MS

    async def run(self) -> None:
        """Run until cancelled; each call to an engine runs in a task of its own."""
        limiter = trio.CapacityLimiter(MAX_OPEN_CALLS)
        async with trio.open_nursery() as nursery:
            while True:
                self.send(self.controller.tick(self.clock.now()))
                for command in self.controller.commands():
                    nursery.start_soon(self._run_command, command, limiter)
                await trio.sleep(self.tick_ms / MS_PER_SECOND)

    async def _run_command(
        self, command: EngineCommand, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            if command.order is None:
                answer = EngineAnswer(True, await self._read_engine(command.address))
            else:
                answer = await self._send_order(command, command.order)
        self.controller.record_answer(command, answer, self.clock.now())

    async def _read_engine(self, address: str) -> Observation | None:
        state = await self._call(HttpRequest(address, "/state"))
        load = await self._call(HttpRequest(address, "/load"))
        if (
            state is None
            or load is None
            or (state.status, load.status) != (HTTP_OK, HTTP_OK)
        ):
            return None
        return read_observation(state.body, load.body)

    async def _send_order(
        self, command: EngineCommand, order: EngineOrder
    ) -> EngineAnswer:
        body = order_body(order, command.fence)
        request = HttpRequest(command.address, "/orders", "POST", body)
        sent = False

        def may_send() -> bool:
            nonlocal sent
            sent = self.controller.may_send(command, self.clock.now())
            return sent

        response = await self._call(request, self.options.order_effect_ms, may_send)
        # An order that was sent but not answered may still take effect.
        return EngineAnswer(ended=response is not None or not sent)

    async def _call(
        self,
        request: HttpRequest,
        wait_ms: int = 0,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse | None:
        limits = HttpLimits(
            connect_timeout_ms=self.options.order_delivery_ms // 2,
            answer_timeout_ms=self.options.order_delivery_ms // 2,
            max_body_bytes=MAX_ANSWER_BYTES,
        )
        result = await call(request, limits, wait_ms, may_send)
        return None if isinstance(result, Err) else result.ok_value
