from __future__ import annotations

from support.loopback import call_json
from support.loopback import on_trio
from support.loopback import serving
from yuccafold.standins import Faults
from yuccafold.standins import PlainService
from yuccafold.standins import PlainSettings
from yuccafold.standins import body_digest


@on_trio
async def test_answer_echoes_the_call():
    service = PlainService(PlainSettings(name="reservations"))
    async with serving(service):
        status, answer = await call_json(
            service.server,
            "PUT",
            "/items/7?day=2",
            {"item": 3},
            "Yuccafold-Call-Id: c1",
            "Idempotency-Key: k1",
        )
    assert status == 200
    assert answer == {
        "service": "reservations",
        "method": "PUT",
        "path": "/items/7",
        "call_id": "c1",
        "idempotency_key": "k1",
        "digest": body_digest(b'{"item": 3}'),
    }


@on_trio
async def test_every_run_is_counted_even_if_its_answer_is_lost():
    service = PlainService(PlainSettings())
    async with serving(service):
        service.server.set_faults(Faults(close_at_response_byte=0, exchanges=1))
        for call in ("c1", "c2"):
            headers = (f"Yuccafold-Call-Id: {call}", "Idempotency-Key: k1")
            try:
                await call_json(service.server, "POST", "/", {}, *headers)
            except IndexError:
                assert call == "c1"
    assert service.runs_by_call == {"c1": 1, "c2": 1}
    assert service.runs_by_key == {"k1": 2}
