from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from yuccafold.edge import Entry
from yuccafold.edge._entries import MAX_REMOVED
from yuccafold.edge._entries import EntryTable


def put(key, revision, value=b"x"):
    return Entry(key, revision, value)


def gone(key, revision):
    return Entry(key, revision, None)


def test_late_and_repeated_entries_change_nothing():
    table = EntryTable()
    table.take([put("a", 5)], 5)
    assert table.take([put("a", 4), put("a", 5)], 5) == []
    assert table.take([gone("a", 6)], 6) == [gone("a", 6)]
    assert table.take([put("a", 5)], 6) == []
    assert table.present() == []


def test_list_removes_what_is_not_in_it():
    table = EntryTable()
    table.take([put("a", 1), put("b", 2)], 2)
    assert table.replace([put("b", 2), put("c", 7)], 9) == [put("c", 7), gone("a", 9)]
    assert table.position == 9


def test_list_removes_nothing_that_is_newer_than_it():
    table = EntryTable()
    table.take([put("a", 12)], 12)
    assert table.replace([], 9) == []
    assert table.present() == [put("a", 12)]


def test_changes_behind_a_position_are_told_with_removals():
    table = EntryTable()
    table.take([put("a", 1), put("b", 2), gone("a", 3)], 3)
    assert table.since(1) == [put("b", 2), gone("a", 3)]
    assert table.since(3) == []


def test_who_asks_from_long_ago_gets_everything():
    table = EntryTable()
    count = MAX_REMOVED + 10
    for number in range(1, count + 1):
        table.take([put(f"k{number}", 2 * number)], 2 * number)
        table.take([gone(f"k{number}", 2 * number + 1)], 2 * number + 1)
    assert table.since(1) is None
    assert table.since(2 * count) == [gone(f"k{count}", 2 * count + 1)]


@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=30
    ),
    st.randoms(use_true_random=False),
)
def test_tables_agree_whatever_order_changes_arrive_in(writes, rng):
    changes = [
        put(key, number) if is_put else gone(key, number)
        for number, (key, is_put) in enumerate(writes, 1)
    ]
    shuffled = rng.sample(changes, len(changes))
    straight, crooked, asked = EntryTable(), EntryTable(), EntryTable()
    straight.take(changes, len(changes))
    for change in shuffled:
        crooked.take([change], change.revision)
    half = len(changes) // 2
    asked.take(changes[:half], half)
    asked.take(straight.since(half), len(changes))
    for table in (crooked, asked):
        assert sorted(table.present(), key=str) == sorted(straight.present(), key=str)
