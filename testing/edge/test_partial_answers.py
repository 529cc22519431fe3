"""Answers between VMs that hold only a part of the changes.

A seed that lists the store infers removals, whose positions it doesn't know. A VM that
asks for changes part by part, at one seed or another, must end with the store's state.
"""

from __future__ import annotations

import random

import pytest
import trio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from yuccafold._clock import ManualClock
from yuccafold._clock import Milliseconds
from yuccafold._ids import VmId
from yuccafold.edge import Entry
from yuccafold.edge import PlatformUnavailableError
from yuccafold.edge import SocketAddress
from yuccafold.edge import position_of
from yuccafold.edge import revision_of
from yuccafold.edge._entries import EntryTable
from yuccafold.edge._peers import PeerSource
from yuccafold.edge._peers import ViewPage
from yuccafold.edge._view import PlatformView
from yuccafold.edge._vm_reports import TargetEvidence
from yuccafold.edge.reports import FleetReports
from yuccafold.http._client import HttpAnswer

NO_WAIT = Milliseconds(0)
CONFIG = "op/config"
LONG_VALUES = [random.Random(number).randbytes(20_000) for number in range(3)]
"""Values that fill an answer, also when they are compressed."""


class Vm:
    """The entries of a VM, which answers for them and asks others for theirs."""

    def __init__(self):
        self.table = EntryTable()
        self.view = PlatformView(Milliseconds(2_000))
        self.view.confirm(Milliseconds(0))
        evidence = TargetEvidence()
        self.page = ViewPage(
            ManualClock(),
            self.table,
            self.view,
            evidence,
            FleetReports(evidence.topics),
        )

    async def get(self, target, wait=NO_WAIT):
        status, body = self.page.answer(target)
        return HttpAnswer(status, (), body.encode())

    def ask(self, seed):
        """Apply one answer of ``seed``; return whether it was the last part."""
        address = SocketAddress("10.0.0.1", 1)
        source = PeerSource(
            VmId("vm-9"), address, self.table, TargetEvidence(), ManualClock()
        )
        source._connection = seed

        async def read():
            return await source.changes(self.table.position, NO_WAIT)

        changes = trio.run(read)
        self.table.apply_changes(
            changes.entries, changes.position, changes.lacks_removals
        )
        return changes.is_last

    @property
    def present(self):
        return {entry.key: entry.value for entry in self.table.present()}


def vm_with(*entries):
    vm = Vm()
    vm.table.apply_changes(entries, max(entry.position for entry in entries))
    return vm


def catch_up(vm, *seeds, most=20):
    """Ask the seeds in turn until one says that there is no more."""
    return any(vm.ask(seeds[turn % len(seeds)]) for turn in range(most))


@pytest.mark.parametrize("first", ["servers/t1", CONFIG])
def test_settings_listed_with_an_inferred_removal_reach_other_vms(first):
    """A VM kept a key that was taken away: the answer ended between both changes."""
    entries = [
        Entry(CONFIG, 2, LONG_VALUES[0]),
        Entry("servers/t1", 1, b"x"),
        Entry("servers/t2", 3, b"x"),
    ]
    entries.sort(key=lambda entry: entry.key != first)
    seed, vm = vm_with(*entries), vm_with(*entries)
    listed = [Entry(CONFIG, 9, LONG_VALUES[1]), Entry("servers/t2", 3, b"x")]
    seed.table.apply_list(listed, 9)
    assert catch_up(vm, seed)
    assert vm.present == {CONFIG: LONG_VALUES[1], "servers/t2": b"x"}


def test_removal_inferred_by_one_seed_is_not_lost_by_asking_another():
    """The other seed has the removal at a position that the VM has reached by then."""
    entries = [Entry("servers/t1", 1, b"x"), Entry(CONFIG, 2, LONG_VALUES[0])]
    first, second, vm = (vm_with(*entries) for _ in range(3))
    second.table.apply_list([entries[1]], 4)
    second.table.apply_changes([Entry(CONFIG, 5, LONG_VALUES[1])], 5)
    second.table.apply_changes([Entry("servers/t2", 6, LONG_VALUES[2])], 6)
    first.table.apply_list(second.table.present(), 6)
    assert not vm.ask(first)
    assert catch_up(vm, second)
    assert "servers/t1" not in vm.present


def test_vm_that_inferred_removals_says_so_when_it_is_asked():
    """It never had the key that was written and removed meanwhile; others had."""
    entries = [Entry("servers/t1", 1, b"x"), Entry("servers/t2", 2, b"x")]
    lister, seed = vm_with(entries[0]), vm_with(entries[0])
    vm = vm_with(*entries, Entry("servers/t3", 3, b"x"))
    lister.table.apply_changes([], 2)
    lister.table.apply_list([entries[0]], 9)
    seed.table.apply_changes([], 2)
    seed.table.apply_changes([], 3)
    assert seed.ask(lister)
    vm.table.apply_changes([], 5)
    assert vm.ask(seed)
    assert vm.present == {"servers/t1": b"x"}


def test_entry_written_again_in_a_later_era_reaches_a_vm_that_listed_before():
    """The seed has it unchanged from before the store came back from a copy."""
    first = Entry("servers/t1", position_of(1, 8), b"x")
    seed, vm = vm_with(first), Vm()
    vm.table.apply_list([], position_of(2, 5))
    again = Entry("servers/t1", position_of(2, 7), b"x")
    assert seed.table.apply_list([again], position_of(2, 9)) == []
    assert catch_up(vm, seed)
    assert vm.present == {"servers/t1": b"x"}


def test_long_value_of_an_earlier_era_is_changed_at_all_vms():
    """Those that had it before and those that did not have it at other positions."""
    text = "},".join(map(str, range(3_000))).encode()
    first = Entry(CONFIG, position_of(1, 8), text)
    seed, old, new = vm_with(first), vm_with(first), Vm()
    listed = Entry(CONFIG, position_of(2, 7), text)
    seed.table.apply_list([listed], position_of(2, 7))
    new.table.apply_list([listed], position_of(2, 7))
    assert catch_up(old, seed)
    changed = Entry(CONFIG, position_of(2, 9), text + b" ")
    seed.table.apply_changes([changed], changed.position)
    for vm in (old, new):
        assert catch_up(vm, seed)
        assert vm.present == {CONFIG: text + b" "}


class Store:
    """The items and changes of a store that may come back from an older copy."""

    def __init__(self, history):
        self.era = 1
        self.history = list(history)
        self.copies = [len(self.history)]

    @property
    def position(self):
        return position_of(self.era, len(self.history))

    @property
    def items(self):
        latest = {entry.key: entry for entry in self.history}
        present = (entry for entry in latest.values() if entry.value is not None)
        return [self._in_era(entry) for entry in present]

    def write(self, key, value):
        position = position_of(self.era, len(self.history) + 1)
        self.history.append(Entry(key, position, value))

    def return_from_copy(self):
        del self.history[self.copies.pop() :]
        self.copies.append(len(self.history))
        self.era += 1

    def changes_since(self, position):
        return [self._in_era(entry) for entry in self.history[revision_of(position) :]]

    def _in_era(self, entry):
        position = position_of(self.era, revision_of(entry.position))
        return Entry(entry.key, position, entry.value)


WRITES = st.tuples(
    st.just("write"),
    st.sampled_from([CONFIG, "servers/t1", "servers/t2", "servers/t3"]),
    st.sampled_from([None, b"x", *LONG_VALUES[1:]]),
)
READS = st.tuples(
    st.sampled_from(["watch", "list", "ask", "ask seed", "list itself"]),
    st.integers(0, 1),
    st.just(None),
)
RETURNS = st.tuples(st.sampled_from(["copy", "return"]), st.just(0), st.just(None))


@settings(deadline=None, max_examples=200)
@given(st.lists(st.one_of(WRITES, READS, RETURNS), max_size=40))
def test_vm_ends_with_the_state_of_the_store_whichever_seeds_it_asks(steps):
    """Seeds watch, list and ask each other in any order, the VM gets parts of it.

    The store may come back from a copy meanwhile.
    """
    entries = [
        Entry("servers/t1", position_of(1, 1), b"x"),
        Entry(CONFIG, position_of(1, 2), LONG_VALUES[0]),
        Entry("servers/t2", position_of(1, 3), b"x"),
    ]
    store = Store(entries)
    seeds, vm = [vm_with(*entries), vm_with(*entries)], vm_with(*entries)

    def read(reader, lists):
        table = reader.table
        if lists or table.era < store.era:
            table.apply_list(store.items, store.position)
        else:
            table.apply_changes(store.changes_since(table.position), store.position)

    def ask(asking, seed):
        try:
            return asking.ask(seed)
        except PlatformUnavailableError:
            read(asking, lists=True)
            return True

    for action, subject, value in steps:
        if action == "write":
            store.write(subject, value)
        elif action == "copy":
            store.copies.append(len(store.history))
        elif action == "return":
            store.return_from_copy()
        elif action in ("watch", "list"):
            read(seeds[subject], lists=action == "list")
        elif action == "list itself":
            read(vm, lists=True)
        elif action == "ask":
            ask(vm, seeds[subject])
        elif seeds[1 - subject].table.position >= seeds[subject].table.position:
            ask(seeds[subject], seeds[1 - subject])
    for seed in seeds:
        read(seed, lists=False)
    assert any(ask(vm, seeds[turn % 2]) for turn in range(20))
    assert vm.present == {entry.key: entry.value for entry in store.items}
