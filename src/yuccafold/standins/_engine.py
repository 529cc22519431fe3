"""A stand-in model engine: batches chats, caches prefixes and executes orders."""

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
    """The state before the first order."""
    fencing: bool = True
    """Whether orders below the highest fencing number accepted are refused."""
    order_ms: int = 0
    """How long each order takes, without the time to load weights."""


@final
class ModelEngine:
    """Serves chats, load reports, cache events, orders and KV transfer.

    ``serve`` can be called again after a crash: the cache is then empty, and
    the state and the fencing number are as before the crash.
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
        self._order_lock = trio.Lock()
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
        """The HTTP server, which has the address, the faults and ``crash``."""
        return self._server

    @property
    def generator(self) -> Generator:
        """The chats in progress, the cache and the current load."""
        return self._generator

    @property
    def runs(self) -> tuple[EngineRun, ...]:
        """The latest runs of chats, the oldest first."""
        return self._generator.runs

    @property
    def state(self) -> EngineState:
        """The state that the settings, orders and ``leave`` have set."""
        return self._state

    @property
    def orders(self) -> tuple[Order, ...]:
        """The executed orders, the oldest first."""
        return tuple(self._orders)

    async def serve(
        self, *, task_status: trio.TaskStatus[BoundAddress] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or crashed; report the address once listening."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._generator.run)
            address = await nursery.start(self._serve_until_crash, nursery)
            task_status.started(address)

    async def _serve_until_crash(
        self, nursery: trio.Nursery, *, task_status: trio.TaskStatus[BoundAddress]
    ) -> None:
        await self._server.serve(task_status=task_status)
        nursery.cancel_scope.cancel()

    def drain(self) -> None:
        """Drain: refuse new chats and finish those in progress."""
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
            200, {"events": [_as_json(event) for event in events]}
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
        # Orders run one at a time, so that each fencing number is compared with
        # the one that the order before has set.
        async with self._order_lock:
            if self._settings.fencing and order.fence < self._state.fence:
                message = f"expected a fence of at least {self._state.fence}"
                return await exchange.refuse(409, "stale-fence", message, (NOT_RUN,))
            try:
                await self._execute(order)
            except WeightStoreBusyError:
                headers = (NOT_RUN, RETRY_LATER)
                message = "the weight store's rate is used up"
                return await exchange.refuse(503, "store-busy", message, headers)
        return await exchange.respond_json(200, self._state.as_json())

    async def _execute(self, order: Order) -> None:
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
            200, {"blocks": [asdict(block) for block in blocks]}
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
        return await exchange.respond_json(200, writer.complete_answer(text, usage))
    await exchange.start(200, (EVENT_STREAM,))
    while (token := await generation.next_token()) is not None:
        await exchange.send(writer.token_event(token))
    await exchange.send(writer.final_events(usage))
    return await exchange.finish()


def _json(exchange: Exchange) -> Any:
    """Return the request's body parsed as JSON, or ``None`` if it isn't valid."""
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
