"""Streams of a split route are taken up after a process was killed; see claim.txt."""

from __future__ import annotations

import asyncio
import re
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

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
EVENTS = 140
EVENT_S = 0.05
DEADLINE_MS = 12_000
STREAMS = 200
ALLOWED = 2
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) piece\n\n")

# When things happen, in seconds after the streams were asked for.
FIRST_KILL_S, RELEASE_S, SECOND_KILL_S = 1.5, 2.5, 4.5


class Model(Engine):
    """A model engine: 140 events, each with the service and version that wrote it."""

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
            event = f"id: {number}\ndata: {self.service} {self.version} piece\n\n".encode()
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
    record: Record, vms: list[Vm], number: int
) -> tuple[list[Answer], list[tuple[int, str, str]]]:
    """Ask for a stream at the first of ``vms``; take it up at the next if it breaks."""
    headers = prompt_headers(number)
    began_at = record.now
    answers: list[Answer] = []
    events: list[tuple[int, str, str]] = []
    for vm in vms:
        left_ms = DEADLINE_MS - round(1000 * (record.now - began_at))
        sent = list(headers)
        if events:
            sent.append(("Last-Event-Id", str(events[-1][0])))
            sent.append(("Resumes", answers[0].attempt))
        client = Client(record, vm)
        got = await client.send(
            "POST", "/pufi791/2f", KEY, left_ms, body=b'{"q":1}', headers=sent
        )
        answers.append(got)
        events += [
            (int(id), service.decode(), version.decode())
            for id, service, version in EVENT.findall(got.body)
        ]
        if got.whole:
            break
    return answers, events


def joined_in(events: list[tuple[int, str, str]]) -> list[str]:
    """Return the services of which a stream holds events of two versions."""
    versions: dict[str, set[str]] = {}
    for _, service, version in events:
        versions.setdefault(service, set()).add(version)
    return [service for service, found in versions.items() if len(found) > 1]


async def main(record: Record, fleet: Fleet) -> bool:
    store = Store(record)
    await store.start()
    engines: list[Model] = []

    async def add(service: str, version: str) -> None:
        engine = Model(record, f"i-{len(engines):08x}", service)
        engine.version = version
        await engine.start()
        engines.append(engine)
        store.put(engine.key, engine.entry())

    for version in ("v1", "v1", "v2", "v2"):
        await add("huvo11a", version)
    for version in ("v1", "v1"):
        await add("wuno96b", version)
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
        service["max_connections"] = 370
        service["engine"] = {"slots": 64, "kv_cache_tokens": 589131}
    del value["routes"][0]["service"]
    store.put("op/config", value)
    vms = [fleet.add(f"front-{number}", store.port) for number in range(6)]
    fleet.start(seeds=vms[:3])
    await fleet.wait_ready()
    await asyncio.sleep(30.0)
    asked_at = record.now

    async def sleep_until(after_s: float) -> None:
        await asyncio.sleep(max(0.0, asked_at + after_s - record.now))

    async with asyncio.TaskGroup() as group:
        asked = [
            group.create_task(ask(record, [vms[5], vms[4], vms[number % 4]], number))
            for number in range(STREAMS)
        ]
        await sleep_until(FIRST_KILL_S)
        if TROUBLE:
            vms[5].kill()
            record.write("killed", vm=vms[5].name)
        await sleep_until(RELEASE_S)
        for _ in range(6):
            await add("wuno96b", "v2")
        await sleep_until(SECOND_KILL_S)
        if TROUBLE:
            vms[4].kill()
            record.write("killed", vm=vms[4].name)
    counts: Counter[str] = Counter()
    for task in asked:
        got, events = task.result()
        services = joined_in(events)
        versions = sorted({f"{service}:{version}" for _, service, version in events})
        counts["whole"] += got[-1].status == 200 and got[-1].whole
        counts["taken_up"] += len(got) > 1
        counts["of_two_versions"] += len({version for _, _, version in events}) > 1
        counts["of_two_versions_of_one_service"] += bool(services)
        record.write(
            "stream",
            attempts=",".join(each.attempt for each in got),
            statuses=",".join(str(each.status) for each in got),
            events=len(events),
            written_by=",".join(versions),
            joined=",".join(services),
        )
    if TROUBLE and not counts["taken_up"]:
        raise CannotRunError("no stream broke off")
    record.say("streams", sent=len(asked), **counts)
    return counts["of_two_versions_of_one_service"] <= ALLOWED


run_case(Path(__file__).resolve().parent, main)
