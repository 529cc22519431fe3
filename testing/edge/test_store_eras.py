"""Plays a store that comes back from an older copy to the views of a fleet.

Guards against a VM that orders facts of two eras by their revisions, and against one
that gives up what it had seen because the store lost it.
"""

from __future__ import annotations

import pytest
import trio

from edge.era_fleet import TrioClock
from edge.era_fleet import run_fleet
from yuccafold._ids import TargetId
from yuccafold.edge import era_of

APPLY_S = 2.0
DOUBT_S = 1.0
"""For how long keys of a copy are held back, which may have been taken away."""
LAPSE_S = 6.0
"""Three heartbeat intervals, and the time in which entries come back."""

READS_PER_S = 2_000
KEY_LIFETIME_S = 5.0


def change_all(fleet):
    """Add a key and a route, drop others, drain t1, remove t2 and add t4."""
    fleet.configure(5, "/kept/", "/added/", keys=("b",))
    fleet.list_target("t1", state="draining")
    if "servers/t2" in fleet.store.copy().items:
        fleet.store.remove("servers/t2")
    fleet.list_target("t4")


def sees_all(vm):
    """Return whether a VM handles calls by ``change_all``."""
    return (
        vm.status("/added/", "b") == 200
        and vm.status("/kept/", "a") in (401, 503)
        and vm.status("/dropped/", "b") in (404, 503)
        and not {"t1", "t2"}.intersection(vm.ready_ids)
    )


async def lose_changes(fleet):
    """Make changes that all VMs see, then lose them; return the copy."""
    copy = fleet.store.copy()
    fleet.churn()
    change_all(fleet)
    await trio.sleep(APPLY_S)
    assert all(map(sees_all, fleet.vms))
    await fleet.lose(copy)
    return copy


async def stay_right(fleet, vms, duration_s):
    """Check that VMs hold on to what they saw for some time."""
    until = trio.current_time() + duration_s
    while trio.current_time() < until:
        assert all(map(sees_all, vms))
        await trio.sleep(0.02)


@pytest.mark.parametrize("is_written_again", [True, False])
def test_changes_that_the_store_lost_are_not_taken_back(is_written_again):
    async def scenario(fleet):
        await lose_changes(fleet)
        await stay_right(fleet, fleet.vms, 1.0)
        if is_written_again:
            change_all(fleet)
        await stay_right(fleet, fleet.vms, 2.0)

    run_fleet(8, scenario)


def test_all_vms_follow_the_later_era():
    async def scenario(fleet):
        await lose_changes(fleet)
        change_all(fleet)
        fleet.configure(6, "/kept/", "/added/", "/latest/", keys=("b", "c"))
        fleet.list_target("t3", state="draining")
        await trio.sleep(APPLY_S)
        for vm in fleet.vms:
            assert vm.status("/latest/", "c") == 200
            assert vm.ready_ids == ["t4"]
            assert vm.view.era == 2

    run_fleet(8, scenario)


def test_vm_that_was_paused_through_two_returns_is_right_at_once():
    async def scenario(fleet):
        paused = [fleet.vms[0], fleet.vms[-1]]
        copy = fleet.store.copy()
        for vm in paused:
            vm.pause()
        fleet.churn()
        for _ in range(2):
            await fleet.lose(copy)
        fleet.configure(4, "/kept/", "/added/", keys=("b",))
        await trio.sleep(1)
        for vm in paused:
            vm.resume()
        await trio.sleep(0.5)
        assert {vm.view.era for vm in fleet.vms} == {3}
        assert all(vm.status("/added/", "b") == 200 for vm in fleet.vms)
        assert all(vm.status("/kept/", "a") in (401, 503) for vm in fleet.vms)

    run_fleet(8, scenario)


def test_seed_that_is_still_in_the_earlier_era_is_not_believed():
    async def scenario(fleet):
        seed = fleet.seeds[0]
        seed.store_line.is_cut = True
        for _, peer in seed.peers:
            peer._connection.is_cut = True
        await lose_changes_unseen_by(fleet, seed)
        others = [vm for vm in fleet.vms if vm is not seed]
        until = trio.current_time() + 6
        while trio.current_time() < until:
            assert {vm.view.era for vm in others} == {2}
            assert all(vm.view.version == 6 for vm in others)
            await trio.sleep(0.05)
        assert seed.view.era == 1
        seed.store_line.is_cut = False
        await trio.sleep(1)
        assert (seed.view.era, seed.view.version) == (2, 6)

    run_fleet(8, scenario)


async def lose_changes_unseen_by(fleet, seed):
    copy = fleet.store.copy()
    fleet.churn()
    change_all(fleet)
    await trio.sleep(APPLY_S)
    await fleet.lose(copy)
    change_all(fleet)
    fleet.configure(6, "/kept/", "/added/", keys=("b",))
    await trio.sleep(APPLY_S)


def test_peer_of_an_earlier_build_is_used_only_before_a_return():
    async def scenario(fleet):
        for seed in fleet.seeds:
            seed.is_earlier_build = True
        reads_before = sum(fleet.calls.values())
        await trio.sleep(5)
        assert sum(fleet.calls.values()) - reads_before < 40
        await lose_changes(fleet)
        change_all(fleet)
        await trio.sleep(APPLY_S)
        assert all(map(sees_all, fleet.vms))
        assert all(vm.view.age(TrioClock().now()) < 2_000 for vm in fleet.vms)

    run_fleet(6, scenario)


@pytest.mark.parametrize("era", [None, "soon", "", "-1"])
def test_store_that_stops_naming_its_era_is_still_followed(era):
    async def scenario(fleet):
        fleet.store.era = era
        fleet.configure(4, "/kept/", "/added/", keys=("b",))
        await trio.sleep(APPLY_S)
        assert all(vm.status("/added/", "b") == 200 for vm in fleet.vms)
        assert {vm.view.era for vm in fleet.vms} == {1}

    run_fleet(5, scenario)


def test_store_whose_era_goes_down_is_not_believed():
    async def scenario(fleet):
        fleet.store.era = 3
        await trio.sleep(1)
        fleet.store.era = 2
        fleet.configure(4, "/kept/", "/added/")
        await trio.sleep(4)
        assert {vm.view.version for vm in fleet.vms} == {2}
        assert all(vm.status("/kept/", "a") == 200 for vm in fleet.vms)
        assert all(vm.status("/other/", "a") == 503 for vm in fleet.vms)
        await trio.sleep(2)
        assert all(vm.status("/kept/", "a") == 503 for vm in fleet.vms)

    run_fleet(5, scenario)


def test_store_without_eras_that_comes_back_older_is_not_believed():
    async def scenario(fleet):
        fleet.store.era = None
        copy = fleet.store.copy()
        fleet.churn()
        change_all(fleet)
        await trio.sleep(APPLY_S)
        await fleet.lose(copy)
        await trio.sleep(4)
        assert all(map(sees_all, fleet.vms))
        assert all(vm.view.age(TrioClock().now()) > 3_000 for vm in fleet.vms)

    run_fleet(5, scenario)


def test_store_that_begins_to_name_its_era_loses_no_target():
    async def scenario(fleet):
        fleet.store.era = 1
        await trio.sleep(0.5)
        for _ in range(100):
            assert all(vm.ready_ids == ["t1", "t2", "t3"] for vm in fleet.vms)
            await trio.sleep(0.02)

    run_fleet(5, scenario)


@pytest.mark.parametrize("number", [0, 9])
def test_vm_that_started_since_refuses_a_key_that_others_saw_taken_away(number):
    async def scenario(fleet):
        await lose_changes(fleet)
        await trio.sleep(0.3)
        vm = restart(fleet, number)
        while not vm.reader.first_view.is_set():
            await trio.sleep(0.001)
        assert vm.status("/kept/", "a") in (401, 503)
        assert vm.status("/added/", "b") == 200
        await trio.sleep(1)
        assert vm.status("/added/", "b") == 200

    run_fleet(8, scenario)


def restart(fleet, number):
    """Start a VM, in place of the seed with that number if there is one."""
    if number < len(fleet.seeds):
        fleet.vms.remove(fleet.seeds[number])
        fleet.seeds[number].pause()
    return fleet.add_vm(9)


def restart_all(fleet):
    """Stop all VMs, and start others that know nothing."""
    for vm in fleet.vms:
        vm.pause()
    fleet.seeds.clear()
    fleet.vms.clear()
    for number in range(4):
        fleet.add_vm(number)


def test_fleet_that_started_since_believes_the_copy_after_a_while():
    async def scenario(fleet):
        await lose_changes(fleet)
        restart_all(fleet)
        await trio.sleep(0.5)
        assert all(vm.status("/kept/", "a") == 503 for vm in fleet.vms)
        assert all(vm.status("/added/", "a") == 503 for vm in fleet.vms)
        await trio.sleep(DOUBT_S)
        assert all(vm.status("/kept/", "a") == 200 for vm in fleet.vms)
        change_all(fleet)
        await trio.sleep(APPLY_S)
        assert all(map(sees_all, fleet.vms))

    run_fleet(4, scenario)


@pytest.mark.parametrize("starts_s", [0.0, 0.3, 0.7])
def test_key_of_a_copy_is_not_accepted_by_a_fleet_that_has_just_started(starts_s):
    """A key that was taken away ran after its time: nobody knew that it was gone."""

    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.configure(5, "/kept/", keys=("b",))
        taken_away_at = trio.current_time()
        await trio.sleep(KEY_LIFETIME_S - 1.5)
        fleet.store.refuse_with = 503
        await trio.sleep(starts_s)
        restart_all(fleet)
        await trio.sleep_until(taken_away_at + KEY_LIFETIME_S - 0.5)
        fleet.store.return_from(copy)
        fleet.store.refuse_with = None
        returned_at = trio.current_time()
        while trio.current_time() < returned_at + DOUBT_S:
            assert all(vm.status("/kept/", "a") != 200 for vm in fleet.vms)
            await trio.sleep(0.01)
        fleet.configure(5, "/kept/", keys=("b",))
        await trio.sleep(APPLY_S)
        assert {vm.status("/kept/", "a") for vm in fleet.vms} <= {401, 503}
        assert {vm.status("/kept/", "b") for vm in fleet.vms} == {200}

    run_fleet(4, scenario)


@pytest.mark.parametrize("number", [0, 3])
def test_vm_that_starts_long_after_a_return_accepts_keys_at_once(number):
    """Other VMs, which followed the store, confirm the keys that it lists."""

    async def scenario(fleet):
        await fleet.lose(fleet.store.copy())
        await trio.sleep(5)
        vm = restart(fleet, number)
        await trio.sleep(0.5)
        assert vm.status("/kept/", "a") == 200

    run_fleet(4, scenario)


def test_version_that_is_used_again_with_other_content_is_in_force():
    async def scenario(fleet):
        await lose_changes(fleet)
        fleet.configure(5, "/kept/", "/again/", keys=("d",))
        await trio.sleep(APPLY_S)
        for vm in fleet.vms:
            assert vm.status("/again/", "d") == 200
            assert vm.status("/added/", "d") == 404

    run_fleet(8, scenario)


def test_target_that_was_new_keeps_its_calls_until_it_registers_again():
    async def scenario(fleet):
        await lose_changes(fleet)
        await trio.sleep(0.6)
        assert all("t4" in vm.ready_ids for vm in fleet.vms)
        fleet.list_target("t4")
        await trio.sleep(APPLY_S)
        assert all("t4" in vm.ready_ids for vm in fleet.vms)

    run_fleet(8, scenario)


def test_target_that_went_for_good_in_the_gap_is_gone_after_the_drain_bound():
    async def scenario(fleet):
        await lose_changes(fleet)
        await trio.sleep(2.5)
        assert not any("t4" in vm.ready_ids for vm in fleet.vms)

    run_fleet(8, scenario)


def test_target_that_had_left_is_used_again_only_if_it_writes_or_stays_listed():
    async def scenario(fleet):
        await lose_changes(fleet)
        await trio.sleep(3)
        assert not any("t2" in vm.ready_ids for vm in fleet.vms)
        fleet.list_target("t2", cold_remaining_ms=5)
        await trio.sleep(1)
        assert all("t2" in vm.ready_ids for vm in fleet.vms)

    async def without_writing(fleet):
        await lose_changes(fleet)
        await trio.sleep(LAPSE_S)
        assert all("t2" in vm.ready_ids for vm in fleet.vms)
        assert not any("t1" in vm.ready_ids for vm in fleet.vms)

    run_fleet(5, scenario)
    run_fleet(5, without_writing)


def test_new_start_of_a_target_that_had_left_is_used_at_once():
    async def scenario(fleet):
        await lose_changes(fleet)
        fleet.list_target("t1", born=9_000)
        await trio.sleep(1)
        assert all("t1" in vm.ready_ids for vm in fleet.vms)

    run_fleet(5, scenario)


@pytest.mark.parametrize("size", [8, 85, 380])
def test_return_costs_few_reads_and_all_vms_are_right_in_time(size):
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.churn()
        change_all(fleet)
        await trio.sleep(APPLY_S)
        await fleet.lose(copy)
        returned_at = trio.current_time()
        change_all(fleet)
        fleet.configure(6, "/kept/", "/added/", "/latest/", keys=("b",))
        while not all(vm.status("/latest/", "b") == 200 for vm in fleet.vms):
            await trio.sleep(0.01)
        assert trio.current_time() - returned_at < APPLY_S
        await trio.sleep(1)
        reads = fleet.calls_between(returned_at, returned_at + 1)
        assert reads < READS_PER_S / 4
        print(f"{size} VMs: {reads} reads in the second after the return")

    run_fleet(size, scenario)


def test_answer_of_an_earlier_era_changes_nothing():
    async def scenario(fleet):
        vm = fleet.vms[0]
        late = await vm.answer("/view?after=1&era=1")
        await lose_changes(fleet)
        await trio.sleep(0.5)
        before = vm.table.position
        line = fleet.vms[-1].peers[0][1]._connection
        line._serve = lambda _: answer_with(late)
        await trio.sleep(3)
        assert era_of(before) == 2
        await stay_right(fleet, fleet.vms, 0.5)

    run_fleet(5, scenario)


async def answer_with(answer):
    return answer


def test_target_that_starts_again_with_its_clock_set_back_is_followed():
    async def scenario(fleet):
        fleet.list_target("t1", born=500)
        fleet.list_target("t1", born=500, state="draining")
        await trio.sleep(1)
        assert not any("t1" in vm.ready_ids for vm in fleet.vms)

    run_fleet(5, scenario)


def test_entry_of_an_earlier_start_in_a_copy_is_ignored():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.list_target("t1", born=9_000)
        await trio.sleep(1)
        await fleet.lose(copy)
        await trio.sleep(1)
        born = {vm.view.born_ms(TargetId("t1")) for vm in fleet.vms}
        assert born == {9_000}

    run_fleet(5, scenario)


def test_key_taken_away_unseen_lapses_though_a_copy_was_confirmed():
    async def scenario(fleet):
        def cut(is_cut):
            for vm in fleet.vms:
                vm.store_line.is_cut = is_cut

        copy = fleet.store.copy()
        cut(is_cut=True)
        fleet.configure(5, "/kept/", keys=("b",))
        taken_away_at = trio.current_time()
        await trio.sleep(0.7)
        fleet.store.return_from(copy)
        cut(is_cut=False)
        await trio.sleep(1.0)
        cut(is_cut=True)
        # All VMs read the copy, then lost the store again.
        while trio.current_time() < taken_away_at + KEY_LIFETIME_S:
            await trio.sleep(0.01)
        assert all(vm.status("/kept/", "a") != 200 for vm in fleet.vms)

    run_fleet(5, scenario)


async def lose_unseen_removal(fleet):
    """Take key ``a`` away while no VM reaches the store; bring an older copy back."""
    copy = fleet.store.copy()
    for vm in fleet.vms:
        vm.store_line.is_cut = True
    fleet.configure(5, "/kept/", keys=("b",))
    await trio.sleep(0.7)
    fleet.store.return_from(copy)
    for vm in fleet.vms:
        vm.store_line.is_cut = False


def test_key_taken_away_unseen_lapses_at_vm_that_was_paused():
    async def scenario(fleet):
        vm = fleet.vms[-1]
        vm.pause()
        taken_away_at = trio.current_time()
        await lose_unseen_removal(fleet)
        await trio.sleep(1.0)
        vm.resume()
        await trio.sleep(0.4)
        for each in fleet.vms:
            each.store_line.is_cut = True
        await trio.sleep_until(taken_away_at + KEY_LIFETIME_S)
        assert vm.status("/kept/", "a") != 200

    run_fleet(5, scenario)


def test_seed_that_doubts_keys_confirms_none_at_vm_that_started_since():
    async def scenario(fleet):
        taken_away_at = trio.current_time()
        await lose_unseen_removal(fleet)
        await trio.sleep(0.3)
        vm = fleet.add_vm(9)
        vm.store_line.is_cut = True
        await trio.sleep(0.7)
        for each in fleet.vms:
            each.store_line.is_cut = True
        await trio.sleep_until(taken_away_at + KEY_LIFETIME_S)
        assert vm.status("/kept/", "a") != 200

    run_fleet(5, scenario)


def test_keys_are_confirmed_again_once_lost_settings_had_time_to_return():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.churn()
        await fleet.lose(copy, away_s=1.5)
        for _ in range(500):
            assert all(vm.status("/kept/", "a") == 200 for vm in fleet.vms)
            await trio.sleep(0.01)

    run_fleet(8, scenario)
