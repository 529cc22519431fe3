from __future__ import annotations

import pytest

from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.settings import parse_tree

TREE = """\
revision: 3
defaults:
  load_multiple: 1.5
services:
  menu:
    kind: model
    paths: [/menu]
    targets:
      - {id: menu-1, address: "127.0.0.1:9001", zone: a}
    policy:
      max_attempts: 2
accounts:
  acme:
    services: [menu]
    policy:
      max_attempts: 4
policies:
  surge:
    accounts: [acme]
    policy:
      priority: low
"""


def test_levels_override_in_order():
    policy = (
        parse_tree(TREE)
        .unwrap()
        .policy_for(
            ServiceId("menu"),
            AccountId("acme"),
        )
    )
    assert policy.load_multiple == 1.5
    assert policy.max_attempts == 4
    assert policy.priority == "low"
    assert policy.connect_timeout_ms == 1_000


@pytest.mark.parametrize(
    ("old", "new", "line", "reason"),
    [
        pytest.param(
            "max_attempts: 2", "max_tries: 2", 11, "unknown key", id="unknown"
        ),
        pytest.param("revision: 3", "revision: x", 1, "integer", id="type"),
        pytest.param("max_attempts: 4", "max_attempts: 0", 16, "greater", id="range"),
        pytest.param("services: [menu]", "services: [menus]", 14, "menus", id="dangle"),
        pytest.param(
            "kind: model", "kind: model\n    kind: plain", 7, "twice", id="doubled"
        ),
        pytest.param("revision: 3", "revision: [", 3, "not YAML", id="syntax"),
    ],
)
def test_fault_names_its_line(old, new, line, reason):
    faults = parse_tree(TREE.replace(old, new)).unwrap_err()
    assert [fault.line for fault in faults] == [line]
    assert reason in str(faults[0])


def test_all_faults_are_listed():
    text = TREE.replace("max_attempts: 2", "nonsense: 2").replace("low", "urgent")
    assert len(parse_tree(text).unwrap_err()) == 2
