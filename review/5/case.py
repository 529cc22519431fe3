"""Long answers are cut while a machine is stopped; see claim.txt."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig
from rig import HOST
from rig import ROUTE_HOST
from rig import TROUBLE
from rig import CannotRunError
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
ANSWER_BYTES = 250_000
BYTES_PER_S = 312_500
ETHERNET_SEGMENT = 1_448
RECEIVE_BUFFER = 16_384
DEADLINE_MS = 5_000

rig.BOUNDS |= {
    "contact_ms": 4000,
    "ack_timeout_ms": 6000,
    "catch_up_s": 6,
    "drain_timeout_ms": 3000,
    "config_apply_ms": 3000,
    "max_extension_ms": 6000,
    "retry_budget_slack": 204,
    "recovery_s": 15,
    "pass_ms": 200,
}
"""The bounds of langar-south-grown, where they differ from those of langar-south."""


class Reports(Engine):
    """An engine that answers each request at once, with 250 KB."""

    async def handle(self, request: Request, base, reader, writer) -> bool:
        self.note_run(request)
        head = [*base, ("X-Response-Signature", "3e1b.07.5a2")]
        writer.write(answer(200, head, b"r" * ANSWER_BYTES))
        await writer.drain()
        return True


@dataclass
class Fetch:
    attempt: str
    sent_at: float
    status: int
    body_bytes: int
    took_s: float


def fetch(record: Record, vm: Vm) -> Fetch:
    """Send a request and read its answer as it comes over a link of 2.5 Mbit/s."""
    attempt = f"{random.getrandbits(64):016x}"
    head = [
        "POST /puxa403/2f HTTP/1.1",
        f"Host: {ROUTE_HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"X-Key: {KEY}",
        "Content-Length: 2",
    ]
    with socket.socket() as link:
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT)
        link.settimeout(DEADLINE_MS / 1000)
        link.connect((HOST, vm.front))
        sent_at = record.now
        record.write("sent", attempt=attempt, vm=vm.name)
        link.sendall("\r\n".join(head).encode() + b"\r\n\r\n{}")
        got = b""
        while b"\r\n\r\n" not in got or len(got) < ANSWER_BYTES + got.index(b"\r\n\r\n") + 4:
            try:
                data = link.recv(4_096)
            except OSError:
                break
            if not data:
                break
            got += data
            time.sleep(len(data) / BYTES_PER_S)
            if got.startswith(b"HTTP/1.1 5"):
                break
    head_bytes, _, body = got.partition(b"\r\n\r\n")
    status = int(head_bytes.split(b" ")[1]) if body or head_bytes else 0
    took = record.now - sent_at
    result = Fetch(attempt, sent_at, status, len(body), took)
    record.write(
        "answered",
        attempt=attempt,
        vm=vm.name,
        status=status,
        body_bytes=len(body),
        took_ms=round(1000 * took),
    )
    return result


async def main(record: Record, fleet: Fleet) -> bool:
    store = Store(record)
    await store.start()
    engines = [Reports(record, f"i-{number:08x}", "seva-app") for number in range(3)]
    for engine in engines:
        await engine.start()
        store.put(engine.key, engine.entry())
    route = Route("r-report", "/puxa403/", "unsafe", "seva-app", 2, DEADLINE_MS, 1_000)
    store.put("op/config", configuration(7, [route], {"hule930": [KEY]}))
    vms = [fleet.add(f"front-{number}", store.port) for number in range(3)]
    fleet.start(seeds=vms)
    await fleet.wait_ready()
    await asyncio.sleep(4.0)
    stopped_at = record.now
    if TROUBLE:
        vms[0].signal(signal.SIGTERM)
    fetches: list[Fetch] = []

    async def ask_for_reports() -> None:
        while record.now < stopped_at + 1.5:
            fetches.append(await asyncio.to_thread(fetch, record, vms[0]))

    async with asyncio.TaskGroup() as group:
        for _ in range(2):
            group.create_task(ask_for_reports())
    ran = {run.attempt for engine in engines for run in engine.runs}
    if not ran:
        raise CannotRunError("no request was run")
    cut = [
        each
        for each in fetches
        if each.attempt in ran
        and each.body_bytes < ANSWER_BYTES
        and each.took_s < DEADLINE_MS / 1000
    ]
    # Without planned work the rule doesn't speak of these connections.
    lost = len(cut) if TROUBLE else 0
    record.say("answers", asked=len(fetches), run=len(ran), cut=len(cut), lost=lost)
    return not lost


run_case(Path(__file__).resolve().parent, main)
