from __future__ import annotations

import json

import pytest

from yuccafold.cli import main

TREE = """\
revision: 1
defaults: {max_attempts: 5, priority: low}
services:
  menu:
    kind: model
    paths: [/menu]
    policy: {priority: high}
accounts: {acme: {policy: {hedge_after_ms: 7}}}
policies: {surge: {accounts: [acme], policy: {queue_length: 3}}}
"""


@pytest.fixture
def files(tmp_path):
    paths = {
        "tree": TREE,
        "newer": TREE.replace("revision: 1", "revision: 2").replace("low", "normal"),
        "faulty": TREE.replace("max_attempts: 5", "max_attempts: 99"),
    }
    for name, text in paths.items():
        (tmp_path / name).write_text(text)
    return {name: str(tmp_path / name) for name in paths}


def test_show_names_the_level_of_each_value(files, capsys):
    flags = ["--service=menu", "--account=acme", "--json"]
    assert main(["settings", "show", files["tree"], *flags]) == 0
    shown = {row["name"]: row for row in json.loads(capsys.readouterr().out)}
    expected = {
        "max_attempts": (5, "defaults"),
        "priority": ("high", "services.menu"),
        "hedge_after_ms": (7, "accounts.acme"),
        "queue_length": (3, "policies.surge"),
        "retry_share": (0.1, "built in"),
    }
    got = {name: (shown[name]["value"], shown[name]["level"]) for name in expected}
    assert got == expected


def test_diff_lists_paths_and_sets_its_exit_code(files, capsys):
    assert main(["settings", "diff", files["tree"], files["tree"]]) == 0
    assert capsys.readouterr().out == ""
    assert main(["settings", "diff", files["tree"], files["newer"]]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert [line.split() for line in lines] == [
        ["PATH", "OLD", "NEW"],
        ["defaults.priority", '"low"', '"normal"'],
        ["revision", "1", "2"],
    ]


def test_check_prints_faults_as_json(files, capsys):
    assert main(["settings", "check", files["faulty"], "--json"]) == 2
    faults = json.loads(capsys.readouterr().out)["faults"]
    assert [(entry["path"], entry["line"]) for entry in faults] == [
        ("defaults.max_attempts", 2)
    ]


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        ([], "expected: yuccafold settings"),
        (["show", "tree"], "expected --service of menu; got None"),
        (["check", "nowhere"], "cannot read"),
        (["diff", "tree"], "expected: yuccafold settings"),
        (["diff", "tree", "faulty"], "max_attempts"),
    ],
)
def test_bad_input_fails_with_a_reason(files, capsys, arguments, reason):
    named = [files.get(argument, argument) for argument in arguments]
    assert main(["settings", *named]) == 2
    assert reason in capsys.readouterr().err
