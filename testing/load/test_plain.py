from __future__ import annotations

import json
import random

from support.loopback import on_trio
from support.loopback import serving
from support.loopback import until
from yuccafold.load import CallerSettings
from yuccafold.load import LoadReport
from yuccafold.load import LoadSettings
from yuccafold.load import Outcome
from yuccafold.load import PlainCaller
from yuccafold.load import PlainCallerSettings
from yuccafold.load import run_load
from yuccafold.standins import Faults
from yuccafold.standins import HttpServer
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import ServerSettings


def caller_of(addresses, report, attempts=2):
    caller = CallerSettings(tuple(addresses), attempts=attempts, backoff_ms=1)
    settings = PlainCallerSettings(caller)
    return PlainCaller("caller-1", settings, random.Random(1), report)


@on_trio
async def test_failed_call_is_retried_with_its_key_through_the_next_address():
    services = [PlainService(PlainSettings()) for _ in range(2)]
    report = LoadReport()
    async with serving(*services):
        for service in services:
            service.server.set_faults(Faults(close_at_response_byte=0, exchanges=1))
        addresses = [service.server.address for service in services]
        caller = caller_of(addresses, report, attempts=3)
        record = await caller.call()
        await caller.close()
    assert record.outcome is Outcome.WHOLE
    runs = [service.runs_by_key[record.key] for service in services]
    assert sorted(runs) == [1, 2]
    assert report.attempts == 3


@on_trio
async def test_call_that_may_have_run_is_not_counted_as_refused():
    answers = iter([(503, ()), (503, (("Yuccafold-Verdict", "not-run"),))])

    async def refuse(exchange):
        status, headers = next(answers)
        await exchange.respond(status, b"", headers)

    server = HttpServer(ServerSettings(), refuse)
    report = LoadReport()
    async with serving(server):
        record = await caller_of([server.address], report).call()
    assert record.outcome is Outcome.BROKEN


@on_trio
async def test_call_that_was_never_sent_counts_as_not_run():
    refusing = ServerSettings(faults=Faults(refuse_connections=True))
    service = PlainService(PlainSettings(refusing))
    report = LoadReport()
    async with serving(service):
        record = await caller_of([service.server.address], report).call()
    assert record.outcome is Outcome.REFUSED
    assert report.attempts == 2


@on_trio
async def test_idle_connection_closed_by_the_server_is_not_reused():
    service = PlainService(PlainSettings())
    report = LoadReport()
    async with serving(service) as nursery:
        caller = caller_of([service.server.address], report, attempts=1)
        await caller.call()
        service.server.crash()
        await until(lambda: not service.server.open_connections)
        await nursery.start(service.serve)
        record = await caller.call()
        await caller.close()
    assert record.outcome is Outcome.WHOLE


@on_trio
async def test_answer_of_another_call_is_wrong():
    async def answer(exchange):
        value = {"method": "POST", "path": "/reservations", "digest": "0"}
        await exchange.respond(200, json.dumps(value).encode())

    server = HttpServer(ServerSettings(), answer)
    report = LoadReport()
    async with serving(server):
        caller = caller_of([server.address], report)
        outcomes = [(await caller.call()).outcome, await caller.look_up()]
    assert outcomes == [Outcome.WRONG] * 2
    assert report.attempts == 2


@on_trio
async def test_calls_and_lookups_are_shared_among_callers():
    service = PlainService(PlainSettings())
    async with serving(service):
        plain = PlainCallerSettings(CallerSettings((service.server.address,)))
        settings = LoadSettings(plain=plain, calls=13, lookups=5, callers=4)
        report = await run_load(settings)
    assert report.all_whole
    assert set(service.runs_by_key.values()) == {1}
    assert len(service.runs_by_key) == len(report.calls) == 13
    assert report.lookups == {Outcome.WHOLE: 5}


def test_report_table_and_json_hold_the_totals():
    report = LoadReport()
    report.turns[Outcome.WHOLE] += 3
    report.prompt_tokens, report.cached_tokens = 10, 4
    rows = dict(report.rows())
    assert rows["chat turns"].startswith("3 whole, 0 wrong")
    assert rows["cache reuse"] == "40.0% of 10 tokens"
    assert json.loads(json.dumps(report.as_json()))["turns"]["whole"] == 3
