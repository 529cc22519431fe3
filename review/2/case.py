"""All machines restart after the store forgot which engines left; see claim.txt."""

from __future__ import annotations

import asyncio
import re
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig
from rig import TROUBLE
from rig import Answer
from rig import CannotRunError
from rig import Client
from rig import Engine
from rig import Fleet
from rig import Record
from rig import Request
from rig import Route
from rig import Store
from rig import Vm
from rig import answer
from rig import configuration
from rig import run_case

KEY = "n2ctnfzs989anu6wsjnb"
EVENTS = 120
EVENT_S = 0.05
DEADLINE_MS = 12_000
STREAMS = 40
RETRIES = 3
CONNECT_S = 1.0
ALLOWED = 2
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) piece\n\n")


class Model(Engine):
    """A model engine: 120 events, each with the software version that wrote it."""

    version = "v1"

    def entry(self, state: str = "ready", **fields: object) -> dict[str, object]:
        return super().entry(state, version=self.version, slots=64, **fields)

    async def handle(self, request: Request, base, reader, writer) -> bool:
        self.note_run(request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = [
            *base,
            ("X-Response-Signature", "3e1b.07.5a2"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(answer(200, head, length=False))
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version} piece\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def wait_for_listener(record: Record, vm: Vm) -> None:
    """Wait until a connection to ``vm`` is accepted, for a second at most."""
    until = record.now + CONNECT_S
    while record.now < until:
        try:
            _, writer = await asyncio.open_connection(rig.HOST, vm.front)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)


async def ask(
    record: Record, vms: list[Vm], number: int
) -> tuple[list[Answer], list[tuple[int, str]]]:
    """Ask for a stream, and take it up to three times up at the next machine."""
    headers = [
        ("X-Model", "m"),
        ("X-Token-Counts", "1460,80"),
        ("X-Prompt-Prefix", f"5c1e{number:04x}:800,91bd{number:04x}:410,e4{number:04x}:25"),
    ]
    began_at = record.now
    answers: list[Answer] = []
    events: list[tuple[int, str]] = []
    for retry in range(1 + RETRIES):
        vm = vms[(number + retry) % len(vms)]
        left_ms = DEADLINE_MS - round(1000 * (record.now - began_at))
        sent = list(headers)
        if events:
            sent.append(("Last-Event-Id", str(events[-1][0])))
            sent.append(("Resumes", answers[0].attempt))
        if retry:
            await wait_for_listener(record, vm)
        client = Client(record, vm)
        got = await client.send(
            "POST", "/pufi791/2f", KEY, left_ms, body=b'{"q":1}', headers=sent
        )
        answers.append(got)
        events += [(int(id), version.decode()) for id, version in EVENT.findall(got.body)]
        if got.status == 200 and got.whole:
            break
        if got.status == 503:
            wait_s = float(got.headers.get("retry-after", "0"))
            left_s = DEADLINE_MS / 1000 - (record.now - began_at)
            await asyncio.sleep(min(wait_s, left_s / 3))
    return answers, events


async def main(record: Record, fleet: Fleet) -> bool:
    store = Store(record)
    await store.start()
    engines: list[Model] = []

    async def add(version: str) -> Model:
        engine = Model(record, f"i-{len(engines):08x}", "huvo11a")
        engine.version = version
        await engine.start()
        engines.append(engine)
        store.put(engine.key, engine.entry())
        return engine

    old = [await add("v1") for _ in range(4)]
    extra = {"sticky_sessions": True, "resumable": True, "gap_aim_ms": 400}
    route = Route(
        "r-6y7z5k6", "/pufi791/", "streaming", "huvo11a", 2, 12_000, 400, extra=extra
    )
    value = configuration(7, [route], {"hule930": [KEY]})
    value["services"][0] |= {"max_connections": 370}
    value["services"][0]["engine"] = {"slots": 64, "kv_cache_tokens": 589131}
    store.put("op/config", value)
    vms = [fleet.add(f"front-{number}", store.port) for number in range(5)]
    fleet.start(seeds=vms[:3])
    await fleet.wait_ready()
    await asyncio.sleep(25.0)

    async with asyncio.TaskGroup() as group:
        asked = [group.create_task(ask(record, vms, number)) for number in range(STREAMS)]
        await asyncio.sleep(0.8)
        # A release: new engines start first, the old ones drain, and serve on.
        if TROUBLE:
            store.deaf_watches = True
        for _ in old:
            await add("v2")
        await asyncio.sleep(0.4)
        for engine in old:
            store.put(engine.key, engine.entry("draining"))
        await asyncio.sleep(0.4)
        if TROUBLE:
            store.deaf_watches = False
            store.forget_history()
        await asyncio.sleep(1.2)
        for vm in vms:
            vm.kill()
            record.write("killed", vm=vm.name)
        await asyncio.sleep(0.5)
        for vm in vms:
            vm.start()
    counts: Counter[str] = Counter()
    for task in asked:
        got, events = task.result()
        versions = sorted({version for _, version in events})
        counts["whole"] += got[-1].status == 200 and got[-1].whole
        counts["taken_up"] += len(got) > 1
        counts["of_two_versions"] += len(versions) > 1
        record.write(
            "stream",
            attempts=",".join(each.attempt for each in got),
            statuses=",".join(str(each.status) for each in got),
            events=len(events),
            versions=",".join(versions),
        )
    if not counts["taken_up"]:
        raise CannotRunError("no stream broke off")
    record.say("streams", sent=len(asked), **counts)
    return counts["of_two_versions"] <= ALLOWED


run_case(Path(__file__).resolve().parent, main)
