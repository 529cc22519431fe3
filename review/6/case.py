"""Machines start while engines of another software version join their service.

Half of the machines are killed, and start again as a release begins. Clients whose
streams broke off take them up with ``Last-Event-Id`` and ``Resumes``. No more than two
streams may hold events from engines of two software versions.
"""

from __future__ import annotations

import asyncio
import sys
from itertools import groupby
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
KILLED = 2
STREAMS = 96
EVENTS = 80
EVENT_PAUSE_S = 0.1
DEADLINE_MS = 12_000
RETRIES = 3
RETRY_PAUSE_S = 1.0
"""Between two attempts at least, also if ``Retry-After`` allows a shorter one."""
MOST_JOINED = 2
NEW_ENGINES = 8
JOIN_AT_ONCE = 2
JOIN_GAP_S = 0.4
HISTORY_S = 24.0
"""How long machines ran before: by then they know the targets of the time before."""


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


class Client:
    """Reads one stream, and takes it up at another machine if it breaks off."""

    def __init__(self, number: int, record: Record, fleet: Fleet) -> None:
        self.number = number
        self.record = record
        self.fleet = fleet
        self.pieces: list[tuple[int, str]] = []
        self.is_whole = False

    @property
    def last_id(self) -> int:
        """The id of the last event."""
        return self.pieces[-1][0] if self.pieces else 0

    @property
    def versions(self) -> list[str]:
        """The software versions of the pieces, in their order."""
        return [version for version, _ in groupby(text for _, text in self.pieces)]

    async def run(self) -> None:
        """Make one attempt, and some more until the stream is whole."""
        began = self.record.now()
        for attempt in range(RETRIES + 1):
            left = round(DEADLINE_MS - 1000 * (self.record.now() - began))
            if left < 100 or self.is_whole:
                return
            await asyncio.sleep(await self._attempt(attempt, left))

    async def _router(self, attempt: int):
        """Return a machine in rotation, another one for each attempt."""
        while True:
            for turn in range(ROUTERS):
                router = self.fleet.routers[(self.number + attempt + turn) % ROUTERS]
                if await router.is_ready():
                    return router
            await asyncio.sleep(0.1)

    async def _attempt(self, attempt: int, left: int) -> float:
        """Return after which time to try again."""
        id = f"{self.number:04x}{attempt:04x}"
        router = await self._router(attempt)
        connection = Connection(router.port)
        headers = {
            "X-Attempt-Id": id,
            "X-Deadline-Ms": left,
            "X-Key": "key-1",
            "X-Model": "m",
            "X-Token-Counts": "350,100",
            "X-Prompt-Prefix": f"5c1e07a2:100,{self.number:08x}:200,"
            f"{self.number + 4096:012x}:50",
        }
        if self.pieces:
            headers["Last-Event-Id"] = self.last_id
            headers["Resumes"] = f"{self.number:04x}0000"
        self.record.write("sent", id=id, router=router.name, after=self.last_id)
        status, wait = "none", RETRY_PAUSE_S
        try:
            async with asyncio.timeout(left / 1000):
                await connection.send("POST", "/seva/ask", headers, b"question")
                status, answer = await connection.head()
                wait = max(wait, float(answer.get("retry-after", "0")))
                await self._read(connection, answer, status)
                self.is_whole = status == 200
        except CALL_ERRORS as error:
            status = f"{status} broken-off {type(error).__name__}"
        finally:
            connection.close()
        self.record.write(
            "answered", id=id, status=status, last=self.last_id, versions=self.versions
        )
        return min(wait, left / 3000)

    async def _read(self, connection: Connection, answer, status: int) -> None:
        data = b""
        async for piece in connection.pieces(answer):
            data += piece if status == 200 else b""
            while b"\n\n" in data:
                event, data = data.split(b"\n\n", 1)
                fields = dict(
                    line.split(": ", 1) for line in event.decode().split("\n")
                )
                version = fields["data"].split(" ")[0]
                self.pieces.append((int(fields["id"]), version))


async def release(record: Record, store: Store) -> None:
    """Have engines of the next version join, two at a time."""
    for number in range(NEW_ENGINES):
        engine = Engine(record, f"i-v2-{number:02}", "langar-llm")
        engine.version = "v2"
        engine.answer = streaming(engine)
        await engine.start()
        store.put(f"servers/{engine.id}", engine.entry())
        record.write("engine_joined", engine=engine.id, version=engine.version)
        if number % JOIN_AT_ONCE == JOIN_AT_ONCE - 1:
            await asyncio.sleep(JOIN_GAP_S)


async def case(record: Record, fleet: Fleet, store: Store, trouble: bool) -> bool:
    """Return whether more than two streams hold pieces of two versions."""
    for number in range(4):
        engine = Engine(record, f"i-v1-{number:02}", "langar-llm")
        engine.answer = streaming(engine)
        await engine.start()
        store.put(f"servers/{engine.id}", engine.entry())
    store.put("op/config", settings())
    await fleet.start()
    await asyncio.sleep(HISTORY_S)
    clients = [Client(number, record, fleet) for number in range(STREAMS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(2.0)
    killed = fleet.routers[-KILLED:] if trouble else []
    for router in killed:
        router.kill()
    await asyncio.sleep(0.2)
    joining = asyncio.create_task(release(record, store))
    for router in killed:
        router.start()
    await asyncio.gather(joining, *tasks)
    joined = [client for client in clients if len(client.versions) > 1]
    for client in joined:
        record.write(
            "joined",
            stream=f"{client.number:04x}",
            versions=client.versions,
            whole=client.is_whole,
        )
    record.write("streams", all=len(clients), joined=len(joined))
    return len(joined) > MOST_JOINED


run_case(FOLDER, ROUTERS, case)
