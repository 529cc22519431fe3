from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from yuccafold.edge import Entry
from yuccafold.edge import position_of
from yuccafold.edge._entries import MAX_GAPS
from yuccafold.edge._entries import MAX_REMEMBERED_REMOVALS
from yuccafold.edge._entries import EntryTable


def put(key, revision, value=b"x"):
    return Entry(key, revision, value)


def removed(key, revision):
    return Entry(key, revision, None)


def test_late_and_repeated_entries_change_nothing():
    table = EntryTable()
    table.apply_changes([put("a", 5)], 5)
    assert table.apply_changes([put("a", 4), put("a", 5)], 5) == []
    assert table.apply_changes([removed("a", 6)], 6) == [removed("a", 6)]
    assert table.apply_changes([put("a", 5)], 6) == []
    assert table.present() == []


def test_list_removes_what_is_not_in_it():
    table = EntryTable()
    table.apply_changes([put("a", 1), put("b", 2)], 2)
    assert table.apply_list([put("b", 2), put("c", 7)], 9) == [
        put("c", 7),
        removed("a", 9),
    ]
    assert table.position == 9


def test_removals_are_unknown_between_the_last_state_and_a_list():
    table = EntryTable()
    table.apply_list([put("a", 1)], 5)
    assert [n for n in range(8) if table.lacks_removals(n)] == [1, 2, 3, 4]
    table.apply_changes([removed("a", 8)], 8)
    table.apply_list([], 10)
    assert [n for n in range(12) if table.lacks_removals(n)] == [1, 2, 3, 4, 9]


def test_lists_that_are_too_many_to_remember_are_forgotten_changes():
    table = EntryTable()
    for step in range(MAX_GAPS + 1):
        table.apply_list([put("a", 1)], 5 * step + 5)
    assert table.changes_since(4) is None
    assert table.changes_since(5) is not None


def test_list_removes_nothing_that_is_newer_than_it():
    table = EntryTable()
    table.apply_changes([put("a", 12)], 12)
    assert table.apply_list([], 9) == []
    assert table.present() == [put("a", 12)]


def test_changes_since_a_position_include_removals():
    table = EntryTable()
    table.apply_changes([put("a", 1), put("b", 2), removed("a", 3)], 3)
    assert table.changes_since(1) == [put("b", 2), removed("a", 3)]
    assert table.changes_since(3) == []


def test_changes_are_unknown_since_a_forgotten_position():
    table = EntryTable()
    count = MAX_REMEMBERED_REMOVALS + 10
    for number in range(1, count + 1):
        table.apply_changes([put(f"k{number}", 2 * number)], 2 * number)
        table.apply_changes([removed(f"k{number}", 2 * number + 1)], 2 * number + 1)
    assert table.changes_since(1) is None
    assert table.changes_since(2 * count) == [removed(f"k{count}", 2 * count + 1)]


@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=30
    ),
    st.randoms(use_true_random=False),
)
def test_tables_agree_in_whatever_order_changes_arrive(writes, rng):
    changes = [
        put(key, number) if is_put else removed(key, number)
        for number, (key, is_put) in enumerate(writes, 1)
    ]
    shuffled = rng.sample(changes, len(changes))
    in_order, out_of_order, caught_up = EntryTable(), EntryTable(), EntryTable()
    in_order.apply_changes(changes, len(changes))
    for change in shuffled:
        out_of_order.apply_changes([change], change.position)
    half = len(changes) // 2
    caught_up.apply_changes(changes[:half], half)
    caught_up.apply_changes(in_order.changes_since(half), len(changes))
    for table in (out_of_order, caught_up):
        assert sorted(table.present(), key=str) == sorted(in_order.present(), key=str)


def entry(key, era, revision, value):
    return Entry(key, position_of(era, revision), value)


def table_in_later_era():
    table = EntryTable()
    table.apply_list(
        [entry("a", 1, 5, b"1"), entry("b", 1, 6, b"1"), entry("c", 1, 7, b"1")],
        position_of(1, 7),
    )
    table.apply_changes([entry("b", 1, 9, b"2")], position_of(1, 9))
    changed = table.apply_list(
        [entry("a", 2, 5, b"1"), entry("b", 2, 6, b"1")], position_of(2, 7)
    )
    return table, changed


def test_list_of_a_later_era_changes_only_what_differs():
    table, changed = table_in_later_era()
    assert changed == [entry("b", 2, 6, b"1"), entry("c", 2, 7, None)]
    assert table.position == position_of(2, 7)


def test_other_vms_are_sent_only_what_differs_in_a_later_era():
    table, changed = table_in_later_era()
    different, missing = changed
    assert table.changes_since(position_of(1, 9)) == [missing, different]


def test_removal_that_was_inferred_comes_before_the_changes_of_its_gap():
    table = EntryTable()
    table.apply_changes([put("a", 1), put("b", 2)], 2)
    table.apply_list([put("b", 5)], 9)
    table.apply_changes([put("c", 10), removed("b", 11)], 11)
    assert table.changes_since(2) == [removed("a", 9), put("c", 10), removed("b", 11)]


def test_state_of_an_earlier_era_that_was_not_read_is_unknown():
    table, _ = table_in_later_era()
    assert table.changes_since(position_of(1, 10)) is None
    assert table.changes_since(position_of(0, 3)) is None
    assert EntryTable().changes_since(position_of(0, 0)) == []


def test_change_of_an_earlier_era_is_ignored():
    table, _ = table_in_later_era()
    late = [entry("d", 1, 99, b"1"), entry("a", 1, 99, b"9")]
    assert table.apply_changes(late, position_of(1, 99)) == []
    assert table.position == position_of(2, 7)
