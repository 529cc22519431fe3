"""A key is taken away while the store forgets its history; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig import TROUBLE
from rig import CannotRunError
from rig import Client
from rig import Engine
from rig import Fleet
from rig import Record
from rig import Route
from rig import Store
from rig import configuration
from rig import run_case

IDLE_ROUTES = 110
ADDED_ROUTES = 350
REVOCATION_S = 5.0
KEPT_KEY, TAKEN_KEY = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"


def idle_route() -> Route:
    return Route(f"r-{uuid.uuid4().hex}", f"/{uuid.uuid4().hex}/", "safe", "seva-app")


async def main(record: Record, fleet: Fleet) -> bool:
    store = Store(record)
    await store.start()
    engines = [Engine(record, f"i-{number:08x}", "seva-app") for number in range(5)]
    for engine in engines:
        await engine.start()
        store.put(engine.key, engine.entry())
    vms = [fleet.add(f"front-{number}", store.port) for number in range(8)]
    fleet.start(seeds=vms[:3])
    while store.lists < len(vms):
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)

    routes = [Route("r-roster", "/puxa403/", "safe", "seva-app")]
    routes += [idle_route() for _ in range(IDLE_ROUTES)]
    store.put(
        "op/config", configuration(7, routes, {"hule930": [KEPT_KEY, TAKEN_KEY]})
    )
    await fleet.wait_ready()
    await asyncio.sleep(5.0)
    for vm in vms:
        got = await Client(record, vm).send("GET", "/puxa403/2f", TAKEN_KEY)
        if got.status != 200:
            raise CannotRunError(f"{vm.name} answered {got.status} before the change")

    # The disruption: watches hear nothing for a second while changes are made, then
    # the history is dropped and they are cut. A server leaves in the gap.
    if TROUBLE:
        store.deaf_watches = True
        began_at = record.now
        # Between two of the calls by which seeds ask the store every 0.7 s: a machine
        # that finds the views of all seeds too old reads the store, and isn't affected.
        while store.asked_at < began_at and record.now < began_at + 0.7:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.28)
    store.remove(engines[0].key)
    routes += [idle_route() for _ in range(ADDED_ROUTES)]
    acknowledged = store.put(
        "op/config", configuration(9, routes, {"hule930": [KEPT_KEY]})
    )
    if TROUBLE:
        store.deaf_watches = False
        store.forget_history()
    await asyncio.sleep(REVOCATION_S + 3.0)

    sent_late = []
    for _ in range(6):
        for vm in vms:
            sent_late.append(
                await Client(record, vm).send("GET", "/puxa403/2f", TAKEN_KEY)
            )
            kept = await Client(record, vm).send("GET", "/puxa403/2f", KEPT_KEY)
            if kept.status != 200:
                record.say("kept_key_refused", vm=vm.name, status=kept.status)
        await asyncio.sleep(1.0)
    late = {got.attempt for got in sent_late if got.sent_at > acknowledged + REVOCATION_S}
    ran = {run.attempt for engine in engines for run in engine.runs} & late
    for got in sent_late:
        if got.attempt in ran:
            record.write(
                "ran_with_taken_key",
                attempt=got.attempt,
                after_s=round(got.sent_at - acknowledged, 1),
            )
    record.say("requests_with_the_taken_key", sent_late=len(late), ran=len(ran))
    return not ran


run_case(Path(__file__).resolve().parent, main)
