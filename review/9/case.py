"""Streams break off as all machines are killed, while two software versions serve.

A release has replaced most engines of a service by engines of the next version. All
machines are killed at once and start again. Clients whose streams broke off take them
up. Two engines and more of the first version serve all the time, so that of the streams
that come to machines in touch, half as large a share has to go on as of new ones begin.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import CALL_ERRORS  # noqa: E402
from standins_2 import Connection  # noqa: E402
from standins_2 import Engine  # noqa: E402
from standins_2 import Fleet  # noqa: E402
from standins_2 import Record  # noqa: E402
from standins_2 import Store  # noqa: E402
from standins_2 import chunk  # noqa: E402
from standins_2 import configuration  # noqa: E402
from standins_2 import route  # noqa: E402
from standins_2 import run_case  # noqa: E402
from standins_2 import start_stream  # noqa: E402

ROUTERS = 4
STREAMS = 60
EVENTS = 110
EVENT_PAUSE_S = 0.1
DEADLINE_MS = 15_000
RETRY_PAUSES_S = (1.0, 2.0, 2.0)
"""Before each of three retries at least, also if ``Retry-After`` is shorter."""
HISTORY_S = 24.0
OLD_ENGINES = 6
STAYING = 3
NEW_ENGINES = 8
JOIN_AT_ONCE = 2
JOIN_GAP_S = 0.4
CONTACT_S = 3.0
ENOUGH_STREAMS = 12


def streaming(engine: Engine):
    """Return the function that answers with events after the client's last one."""

    async def answer(request, writer):
        first = int(request.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(0.06)
        writer.write(start_stream(engine, request))
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {engine.version} token {number}\n\n"
            writer.write(chunk(event.encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(chunk(b""))

    return answer


def settings() -> dict:
    """Return a configuration with one route of streams that may be resumed."""
    stream = route(
        "seva-answer",
        "/seva/",
        "streaming",
        "langar-llm",
        max_attempts=2,
        timeout_ms=DEADLINE_MS,
        target_latency_ms=400,
        gap_aim_ms=400,
        resumable=True,
        sticky_sessions=True,
    )
    return configuration(1, [stream], ["langar-llm"], ["key-1"])


class Shares:
    """Which streams went on at machines in touch and at any, and which new ones began."""

    def __init__(self) -> None:
        self.in_touch_from = float("inf")
        self.taken_up: dict[int, bool] = {}
        self.at_any_time: dict[int, bool] = {}
        self.new: list[bool] = []


class Client:
    """Reads one stream, and takes it up at another machine if it breaks off."""

    def __init__(self, number: int, record: Record, fleet: Fleet, shares: Shares):
        self.number = number
        self.record = record
        self.fleet = fleet
        self.shares = shares
        self.last_id = 0
        self.is_whole = False

    async def run(self) -> None:
        """Make one attempt, and retries until the stream is whole."""
        began = self.record.now()
        for attempt, pause in enumerate((*RETRY_PAUSES_S, 0.0)):
            left = round(DEADLINE_MS - 1000 * (self.record.now() - began))
            if left < 100 or self.is_whole:
                return
            sent_at, before = self.record.now(), self.last_id
            wait = await self._attempt(attempt, left)
            if attempt:
                went_on = self.last_id > before
                self._note(self.shares.at_any_time, went_on)
                if sent_at > self.shares.in_touch_from:
                    self._note(self.shares.taken_up, went_on)
            await asyncio.sleep(min(max(wait, pause), left / 3000))

    def _note(self, streams: dict[int, bool], went_on: bool) -> None:
        streams[self.number] = streams.get(self.number, False) or went_on

    async def _router(self, attempt: int):
        """Return a machine in rotation, another one for each attempt."""
        while True:
            for turn in range(ROUTERS):
                router = self.fleet.routers[(self.number + attempt + turn) % ROUTERS]
                if await router.is_ready():
                    return router
            await asyncio.sleep(0.1)

    async def _attempt(self, attempt: int, left: int) -> float:
        """Return the ``Retry-After`` of the answer."""
        id = f"{self.number:04x}{attempt:04x}"
        router = await self._router(attempt)
        connection = Connection(router.port)
        headers = {
            "X-Attempt-Id": id,
            "X-Deadline-Ms": left,
            "X-Key": "key-1",
            "X-Model": "m",
            "X-Token-Counts": "350,120",
            "X-Prompt-Prefix": f"5c1e07a2:100,{self.number:08x}:200,"
            f"{self.number + 4096:012x}:50",
        }
        if self.last_id:
            headers["Last-Event-Id"] = self.last_id
            headers["Resumes"] = f"{self.number:04x}0000"
        self.record.write("sent", id=id, router=router.name, after=self.last_id)
        status, wait = "none", 0.0
        try:
            async with asyncio.timeout(left / 1000):
                await connection.send("POST", "/seva/ask", headers, b"question")
                status, answer = await connection.head()
                wait = float(answer.get("retry-after", "0"))
                await self._read(connection, answer, status)
                self.is_whole = status == 200
        except CALL_ERRORS as error:
            status = f"{status} broken-off {type(error).__name__}"
        finally:
            connection.close()
        self.record.write(
            "answered", id=id, status=status, last=self.last_id, wait=wait
        )
        return wait

    async def _read(self, connection: Connection, answer, status: int) -> None:
        data = b""
        async for piece in connection.pieces(answer):
            data += piece if status == 200 else b""
            while b"\n\n" in data:
                event, data = data.split(b"\n\n", 1)
                self.last_id = int(event.decode().split("\n")[0].removeprefix("id: "))


async def begin_new(record: Record, fleet: Fleet, shares: Shares) -> None:
    """Begin new streams at machines in touch, and leave after the first event."""
    for number in range(100_000):
        await asyncio.sleep(0.1)
        if record.now() < shares.in_touch_from:
            continue
        connection = Connection(fleet.routers[number % ROUTERS].port)
        headers = {
            "X-Attempt-Id": f"new{number:05x}",
            "X-Deadline-Ms": DEADLINE_MS,
            "X-Key": "key-1",
            "X-Model": "m",
            "X-Token-Counts": "350,120",
            "X-Prompt-Prefix": f"5c1e07a2:100,{number + 65536:08x}:200,{number:012x}:50",
        }
        status = "none"
        try:
            async with asyncio.timeout(2.0):
                await connection.send("POST", "/seva/ask", headers, b"question")
                status, _ = await connection.head()
        except CALL_ERRORS as error:
            status = type(error).__name__
        finally:
            connection.close()
        record.write("new_stream", number=number, status=status)
        shares.new.append(status == 200)


async def release(record: Record, store: Store, old: list[Engine]) -> None:
    """Have engines of the next version join, and most of the others drain."""
    for number in range(NEW_ENGINES):
        engine = Engine(record, f"i-v2-{number:02}", "langar-llm")
        engine.version = "v2"
        engine.answer = streaming(engine)
        await engine.start()
        store.put(f"servers/{engine.id}", engine.entry())
        record.write("engine_joined", engine=engine.id, version=engine.version)
        if number % JOIN_AT_ONCE == JOIN_AT_ONCE - 1:
            await asyncio.sleep(JOIN_GAP_S)
    for engine in old[STAYING:]:
        store.put(f"servers/{engine.id}", engine.entry() | {"state": "draining"})
        record.write("engine_drains", engine=engine.id)


async def case(record: Record, fleet: Fleet, store: Store, trouble: bool) -> bool:
    """Return whether too few of the streams went on."""
    old = []
    for number in range(OLD_ENGINES):
        engine = Engine(record, f"i-v1-{number:02}", "langar-llm")
        engine.answer = streaming(engine)
        await engine.start()
        store.put(f"servers/{engine.id}", engine.entry())
        old.append(engine)
    store.put("op/config", settings())
    await fleet.start()
    await asyncio.sleep(HISTORY_S)
    shares = Shares()
    clients = [Client(number, record, fleet, shares) for number in range(STREAMS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    new = asyncio.create_task(begin_new(record, fleet, shares))
    await asyncio.sleep(1.0)
    await release(record, store, old)
    await asyncio.sleep(0.5)
    if trouble:
        for router in fleet.routers:
            router.kill()
        await asyncio.sleep(0.3)
        for router in fleet.routers:
            router.start()
    shares.in_touch_from = record.now() + CONTACT_S + 0.2
    await asyncio.gather(*tasks)
    new.cancel()
    in_touch = share(shares.taken_up.values())
    at_any_time = share(shares.at_any_time.values())
    began = share(shares.new)
    record.write(
        "summary",
        taken_up=len(shares.at_any_time),
        went_on=f"{at_any_time:.2f}",
        taken_up_in_touch=len(shares.taken_up),
        went_on_in_touch=f"{in_touch:.2f}",
        new=len(shares.new),
        began=f"{began:.2f}",
    )
    # Streams that went on before machines were in touch are not held against them.
    is_low = max(in_touch, at_any_time) < 0.5 * began
    return len(shares.taken_up) >= ENOUGH_STREAMS and is_low


def share(results) -> float:
    """Return the share of results that are true."""
    results = list(results)
    return sum(results) / max(1, len(results))


run_case(FOLDER, ROUTERS, case)
