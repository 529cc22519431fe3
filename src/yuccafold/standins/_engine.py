"""A model engine: batches chats, caches prefixes and takes orders."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import final

import trio
from result import Err

from yuccafold.standins._answer import Block
from yuccafold.standins._chat_answer import EVENT_STREAM
from yuccafold.standins._chat_answer import AnswerWriter
from yuccafold.standins._chat_request import ChatRequest
from yuccafold.standins._chat_request import parse_chat
from yuccafold.standins._generation import EngineRun
from yuccafold.standins._generation import Generation
from yuccafold.standins._generation import GenerationSettings
from yuccafold.standins._generation import Generator
from yuccafold.standins._http import BoundAddress
from yuccafold.standins._http import Exchange
from yuccafold.standins._http import HttpServer
from yuccafold.standins._http import ServerSettings
from yuccafold.standins._orders import EngineState
from yuccafold.standins._orders import Order
from yuccafold.standins._orders import OrderKind
from yuccafold.standins._orders import parse_order
from yuccafold.standins._prefix_cache import CacheEvent
from yuccafold.standins._weight_store import WeightStore
from yuccafold.standins._weight_store import WeightStoreBusyError
from yuccafold.standins._weight_store import WeightStoreSettings

NOT_RUN = ("Yuccafold-Verdict", "not-run")
RETRY_LATER = ("Retry-After", "1")
UNLIMITED_LOADS_PER_MINUTE = 1_000_000


@final
@dataclass(frozen=True, slots=True)
class EngineSettings:
    """How one model engine behaves."""

    server: ServerSettings = ServerSettings()
    generation: GenerationSettings = GenerationSettings()
    state: EngineState = EngineState("menu-large", "1")
    """What the engine serves when it starts for the first time."""
    fencing: bool = True
    """Whether an order with an older fencing number is refused."""
    order_ms: int = 0
    """How long each order takes besides the weight store's time."""


@final
class ModelEngine:
    """Serves chats, load reports, cache events, orders and KV transfer.

    An engine that serves again after a crash has an empty cache, and the
    state and fencing number that it had.
    """

    def __init__(
        self, settings: EngineSettings, weights: WeightStore | None = None
    ) -> None:
        self._settings = settings
        unlimited = WeightStoreSettings(UNLIMITED_LOADS_PER_MINUTE)
        self._weights = weights or WeightStore(unlimited)
        self._generator = Generator(settings.generation)
        self._state = settings.state
        self._orders: list[Order] = []
        self._ordering = trio.Lock()
        self._server = HttpServer(settings.server, self._handle)
        self._routes: dict[tuple[str, str], Callable[[Exchange], Awaitable[None]]] = {
            ("POST", "/v1/chat/completions"): self._chat,
            ("GET", "/load"): self._report_load,
            ("GET", "/cache-events"): self._report_events,
            ("POST", "/orders"): self._order,
            ("GET", "/state"): self._report_state,
            ("GET", "/kv/export"): self._export,
            ("POST", "/kv/import"): self._import,
            ("GET", "/health"): self._health,
        }

    @property
    def server(self) -> HttpServer:
        """The HTTP server: its address, faults and ``crash``."""
        return self._server

    @property
    def generator(self) -> Generator:
        """The work in progress, the cache and the present load."""
        return self._generator

    @property
    def runs(self) -> tuple[EngineRun, ...]:
        """The chats that were worked on, the oldest first."""
        return self._generator.runs

    @property
    def state(self) -> EngineState:
        """What the engine serves."""
        return self._state

    @property
    def orders(self) -> tuple[Order, ...]:
        """The orders carried out, the oldest first."""
        return tuple(self._orders)

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._generator.run)
            address = await nursery.start(self._serve_until_crash, nursery)
            task_status.started(address)

    async def _serve_until_crash(
        self, nursery: trio.Nursery, *, task_status: trio.TaskStatus[BoundAddress]
    ) -> None:
        await self._server.serve(task_status=task_status)
        nursery.cancel_scope.cancel()

    def leave(self) -> None:
        """Take no new chats from now on."""
        self._state = replace(self._state, draining=True)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        route = self._routes.get((request.method, request.path))
        if route is None:
            known = ", ".join(path for _, path in self._routes)
            message = f"expected a path of {known}, got {request.path}"
            return await exchange.refuse(404, "unknown-path", message)
        return await route(exchange)

    async def _chat(self, exchange: Exchange) -> None:
        parsed = parse_chat(exchange.request)
        if isinstance(parsed, Err):
            return await exchange.refuse(400, "bad-request", parsed.err_value)
        chat = parsed.ok_value
        if self._state.draining:
            return await exchange.refuse(503, "leaving", "engine leaves", (NOT_RUN,))
        if self._generator.is_full:
            headers = (NOT_RUN, RETRY_LATER)
            return await exchange.refuse(503, "overloaded", "queue is full", headers)
        if chat.resume is not None and not self._generator.can_resume(chat):
            message = f"no answer of call {chat.resume.call_id} is kept"
            return await exchange.refuse(409, "resume-unknown", message)
        with self._generator.generation(chat) as generation:
            return await _write_answer(exchange, chat, generation)

    async def _report_load(self, exchange: Exchange) -> None:
        await exchange.respond_json(200, asdict(self._generator.reported_load()))

    async def _report_events(self, exchange: Exchange) -> None:
        try:
            after = exchange.request.query_number("after", 0)
        except ValueError as error:
            return await exchange.refuse(400, "bad-request", str(error))
        events = self._generator.events.after(after, trio.current_time())
        return await exchange.respond_json(
            200, {"events": [_as_json(it) for it in events]}
        )

    async def _report_state(self, exchange: Exchange) -> None:
        await exchange.respond_json(200, self._state.as_json())

    async def _health(self, exchange: Exchange) -> None:
        if self._state.draining:
            return await exchange.respond_json(503, {"status": "leaving"})
        return await exchange.respond_json(200, {"status": "live"})

    async def _order(self, exchange: Exchange) -> None:
        parsed = parse_order(_json(exchange))
        if isinstance(parsed, Err):
            return await exchange.refuse(400, "bad-request", parsed.err_value)
        order = parsed.ok_value
        # One order at a time, so that the number is checked against the last.
        async with self._ordering:
            if self._settings.fencing and order.fence < self._state.fence:
                message = f"expected a fence of at least {self._state.fence}"
                return await exchange.refuse(409, "stale-fence", message, (NOT_RUN,))
            try:
                await self._carry_out(order)
            except WeightStoreBusyError:
                headers = (NOT_RUN, RETRY_LATER)
                message = "the weight store's rate is used up"
                return await exchange.refuse(503, "store-busy", message, headers)
        return await exchange.respond_json(200, self._state.as_json())

    async def _carry_out(self, order: Order) -> None:
        if order.kind.loads_weights:
            await self._weights.load()
        await trio.sleep(self._settings.order_ms / 1000)
        self._state = self._state.after(order)
        self._orders.append(order)
        if order.kind is OrderKind.LOAD_MODEL:
            self._generator.cache.clear(trio.current_time())

    async def _export(self, exchange: Exchange) -> None:
        prefix = exchange.request.query("prefix") or ""
        blocks = self._generator.cache.chain(prefix)
        if not blocks:
            message = f"no block {prefix!r} is held"
            return await exchange.refuse(404, "unknown-prefix", message)
        return await exchange.respond_json(
            200, {"blocks": [asdict(it) for it in blocks]}
        )

    async def _import(self, exchange: Exchange) -> None:
        try:
            blocks = tuple(Block(**block) for block in _json(exchange)["blocks"])
        except (KeyError, TypeError) as error:
            return await exchange.refuse(
                400, "bad-request", f"expected blocks: {error}"
            )
        self._generator.cache.store(blocks, trio.current_time())
        return await exchange.respond_json(200, {"imported": len(blocks)})


async def _write_answer(
    exchange: Exchange, chat: ChatRequest, generation: Generation
) -> None:
    reason = "stop" if chat.max_tokens is None else "length"
    writer = AnswerWriter(f"chatcmpl-{chat.call_id}", chat.model, reason)
    usage = generation.run.usage
    if not chat.stream:
        text = "".join(await generation.tokens())
        return await exchange.respond_json(200, writer.whole(text, usage))
    await exchange.start(200, (EVENT_STREAM,))
    while (token := await generation.next_token()) is not None:
        await exchange.send(writer.token(token))
    await exchange.send(writer.last(usage))
    return await exchange.finish()


def _json(exchange: Exchange) -> Any:
    """Return the request's JSON body, or ``None`` when it is no JSON."""
    try:
        return json.loads(exchange.request.body)
    except ValueError:
        return None


def _as_json(event: CacheEvent) -> dict[str, Any]:
    block = event.block
    return {
        "n": event.number,
        "kind": event.kind.value,
        "block": block.hash,
        "parent": block.parent,
        "tokens": block.tokens,
    }
