from __future__ import annotations

import json

import pytest
from result import Err

from yuccafold.fleet import ListedState
from yuccafold.fleet import parse_vm_list

ENTRY = {"id": "a", "address": "127.0.0.1:1", "zone": "z", "region": "r"}


def body(**changes):
    vm = {**ENTRY, "state": "live", "a later key": 1}
    whole = {"version": 3, "vms": [vm], "targets": [{"id": "t", "state": "leaving"}]}
    return json.dumps({**whole, **changes}).encode()


def test_vm_list_is_parsed():
    snapshot = parse_vm_list(body()).ok_value
    assert snapshot.version == 3
    assert snapshot.vms[0].state is ListedState.LIVE
    assert snapshot.targets[0].state is ListedState.LEAVING


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"[]",
        b"\xff",
        body(version=-1),
        body(vms=[{"id": "a"}]),
        body(vms=[ENTRY, ENTRY]),
        body(targets=[{"id": "t", "state": "asleep"}]),
    ],
)
def test_malformed_vm_list_is_refused(bad):
    assert isinstance(parse_vm_list(bad), Err)
