from __future__ import annotations

import pytest
import trio

from yuccafold.cli import main
from yuccafold.demo import DemoResult
from yuccafold.demo import DemoSettings
from yuccafold.demo import run_demo
from yuccafold.load import Outcome
from yuccafold.load._report import CallRecord

SMALL = DemoSettings(chats=8, turns=3, calls=12, rate=60.0, time_scale=0.05)


def test_nothing_is_lost_while_an_engine_leaves_and_a_router_restarts():
    result = trio.run(run_demo, SMALL)
    assert result.problems == ()
    assert result.report.turns == {Outcome.WHOLE: 24}
    assert set(result.runs_by_key.values()) == {1}
    assert result.events == ["one engine left", "one router restarted"]
    assert dict(result.rows())["runs per call"] == "12 ran 1 times"


@pytest.mark.parametrize(
    ("outcome", "runs", "expected"),
    [
        pytest.param(Outcome.WHOLE, 0, "was answered and did not run", id="lost"),
        pytest.param(Outcome.WHOLE, 2, "ran 2 times", id="doubled"),
        pytest.param(Outcome.REFUSED, 1, "refused as not run and ran", id="untrue"),
        pytest.param(Outcome.BROKEN, 1, "1 calls ended broken", id="broken"),
    ],
)
def test_problem_is_reported(outcome, runs, expected):
    result = DemoResult(finished=True)
    result.report.calls.append(CallRecord("k1", outcome))
    result.runs_by_key.update({"k1": runs})
    assert any(expected in problem for problem in result.problems)


def test_cut_turn_is_a_problem():
    result = DemoResult(finished=True)
    result.report.turns[Outcome.CUT] += 1
    assert result.problems == ("1 chat turns ended cut",)


def test_demo_that_takes_too_long_is_a_problem():
    result = trio.run(run_demo, DemoSettings(limit_seconds=0.0))
    assert any("not finished" in problem for problem in result.problems)


def test_command_takes_no_arguments(capsys):
    assert main(["demo", "fast"]) == 2
    assert "expected no arguments" in capsys.readouterr().err
