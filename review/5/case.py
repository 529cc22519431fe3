"""Streams of a split route are taken up after a process was killed; see claim.txt."""

from __future__ import annotations

import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

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
EVENTS = 60
EVENT_S = 0.03
DEADLINE_MS = 12_000
STREAMS = 24
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) piece\n\n")


class Model(Engine):
    """A model engine: 60 events, each with the software version that wrote it."""

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
            event = f"id: {number}\ndata: {self.version} {self.name} piece\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def prompt_headers(number: int) -> list[tuple[str, str]]:
    parts = f"5c1e{number:04x}:800,91bd{number:04x}:410,e440{number:04x}:250"
    return [
        ("X-Model", "m"),
        ("X-Token-Counts", "1460,80"),
        ("X-Prompt-Prefix", parts),
    ]


async def ask(
    record: Record, first: Vm, other: Vm, number: int
) -> tuple[list[Answer], list[tuple[int, str]]]:
    """Ask for a stream at ``first``; take it up once at ``other`` if it breaks off."""
    headers = prompt_headers(number)
    began_at = record.now
    body = b'{"q":%d}' % number
    send = {"body": body, "headers": headers}
    client = Client(record, first)
    got = [await client.send("POST", "/pufi791/2f", KEY, DEADLINE_MS, **send)]
    events = [(int(id), version.decode()) for id, version, _ in EVENT.findall(got[0].body)]
    if not got[0].whole and events:
        left_ms = DEADLINE_MS - round(1000 * (record.now - began_at))
        last = ("Last-Event-Id", str(events[-1][0]))
        again = Client(record, other)
        send["headers"] = [*headers, last]
        got.append(await again.send("POST", "/pufi791/2f", KEY, left_ms, **send))
        taken = EVENT.findall(got[1].body)
        events += [(int(id), version.decode()) for id, version, _ in taken]
    return got, events


async def main(record: Record, fleet: Fleet) -> bool:
    store = Store(record)
    await store.start()
    engines = []
    for number in range(6):
        service, version = [("huvo11a", "v1"), ("wuno96b", "v2")][number % 2]
        engine = Model(record, f"i-{number:08x}", service)
        engine.version = version
        await engine.start()
        engines.append(engine)
        store.put(engine.key, engine.entry())
    split = {
        "traffic_split": [
            {"service": "huvo11a", "weight": 50},
            {"service": "wuno96b", "weight": 50},
        ],
        "sticky_sessions": True,
        "resumable": True,
        "gap_aim_ms": 400,
    }
    route = Route(
        "r-6y7z5k6", "/pufi791/", "streaming", "huvo11a", 2, 12_000, 400, extra=split
    )
    value = configuration(7, [route], {"hule930": [KEY]})
    value["services"].append(value["services"][0] | {"name": "wuno96b"})
    for service in value["services"]:
        service["engine"] = {"slots": 64, "kv_cache_tokens": 589131}
    del value["routes"][0]["service"]
    store.put("op/config", value)
    vms = [fleet.add(f"front-{number}", store.port) for number in range(4)]
    fleet.start(seeds=vms[:3])
    await fleet.wait_ready()
    await asyncio.sleep(30.0)
    async with asyncio.TaskGroup() as group:
        asked = [
            group.create_task(ask(record, vms[3], vms[number % 3], number))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(EVENTS * EVENT_S / 2)
        if TROUBLE:
            vms[3].kill()
            record.write("killed", vm=vms[3].name)
    joined = whole = taken_up = 0
    for task in asked:
        got, events = task.result()
        versions = sorted({version for _, version in events})
        taken_up += len(got) > 1
        is_whole = got[-1].status == 200 and got[-1].whole
        whole += is_whole
        joined += is_whole and len(versions) > 1
        record.write(
            "stream",
            attempts=",".join(each.attempt for each in got),
            statuses=",".join(str(each.status) for each in got),
            events=len(events),
            versions=",".join(versions),
        )
    if TROUBLE and not taken_up:
        raise CannotRunError("no stream broke off")
    record.say("streams", sent=len(asked), taken_up=taken_up, whole=whole, joined=joined)
    return not joined


run_case(Path(__file__).resolve().parent, main)
