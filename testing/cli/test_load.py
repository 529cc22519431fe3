from __future__ import annotations

import json

import pytest
import trio

from support.loopback import on_trio
from support.loopback import serving
from yuccafold.cli import main
from yuccafold.standins import CostModel
from yuccafold.standins import EngineSettings
from yuccafold.standins import Faults
from yuccafold.standins import GenerationSettings
from yuccafold.standins import ModelEngine

SMALL = ["--chats=3", "--turns=2", "--attempts=1"]


def engine():
    generation = GenerationSettings(cost=CostModel(time_scale=0))
    return ModelEngine(EngineSettings(generation=generation))


async def run_main(*arguments):
    return await trio.to_thread.run_sync(main, list(arguments))


@on_trio
async def test_json_holds_the_totals(capsys):
    target = engine()
    async with serving(target):
        address = f"--addresses={target.server.address}"
        code = await run_main("load", address, *SMALL, "--json")
    assert code == 0
    assert json.loads(capsys.readouterr().out)["turns"]["whole"] == 6


@on_trio
async def test_broken_answers_fail_the_command(capsys):
    target = engine()
    async with serving(target):
        target.server.set_faults(Faults(truncated=True))
        address = f"--addresses={target.server.address}"
        code = await run_main("load", address, *SMALL)
    assert code == 1
    assert "0 whole, 0 wrong, 0 cut, 6 broken" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        pytest.param(["load"], "expected --addresses", id="no-address"),
        pytest.param(["load", "--addresses=here"], "expected HOST:PORT", id="no-port"),
        pytest.param(["load", "--chats=-1"], "--chats=-1", id="range"),
        pytest.param(["standin", "toaster"], "expected: yuccafold", id="unknown-kind"),
        pytest.param(["standin", "settings"], "expected --tree=FILE", id="no-tree"),
        pytest.param(["standin", "vms", "--vms=x"], "expected id=address", id="no-vm"),
        pytest.param(
            ["standin", "plain", "--listen=here"], "expected IP:port", id="no-listen"
        ),
    ],
)
def test_bad_input_fails_with_a_reason(arguments, reason, capsys):
    assert main(arguments) == 2
    assert reason in capsys.readouterr().err
