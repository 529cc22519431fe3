from __future__ import annotations

from yuccafold._ids import VmId
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import RevisionId
from yuccafold.replica import SettingsChunk
from yuccafold.replica import SettingsChunkWant
from yuccafold.replica import read_revision
from yuccafold.replica._transfer import TreeFetch
from yuccafold.replica._transfer import TreeSender

A, B = VmId("a"), VmId("b")
OPTIONS = ReplicaOptions(
    chunk_bytes=100, chunk_bytes_per_second=200, chunk_timeout_ms=50
)
ACCOUNTS = "".join(f"  account-{n}: {{}}\n" for n in range(200))
TREE = read_revision(f"revision: 1\naccounts:\n{ACCOUNTS}").unwrap()
SIZE = len(TREE.canonical)


def fetch():
    return TreeFetch(TREE.id, SIZE, OPTIONS)


def chunk(sender, index, now=0):
    wanted = SettingsChunkWant(TREE.id, index)
    return sender.want(B, wanted, TREE, now)[0].message


def test_chunks_make_up_the_tree_in_any_order():
    fetching = fetch()
    fetching.provide(A, 0)
    count = -(-SIZE // OPTIONS.chunk_bytes)
    for index in reversed(range(count)):
        assert fetching.whole() is None
        fetching.take(A, chunk(TreeSender(OPTIONS, 0), index), 0)
    assert fetching.whole() == TREE.canonical


def test_chunk_of_a_silent_peer_is_asked_of_another():
    fetching = fetch()
    (asked,) = fetching.provide(A, 0)
    fetching.provide(B, 0)
    assert fetching.tick(50) == []
    later = fetching.tick(51)
    assert asked.message.index in {entry.message.index for entry in later}


def test_peer_with_an_unusable_chunk_is_not_asked_again():
    fetching = fetch()
    fetching.provide(A, 0)
    fetching.take(A, SettingsChunk(TREE.id, 0, b""), 0)
    assert fetching.is_abandoned


def test_sender_keeps_to_its_budget():
    sender = TreeSender(OPTIONS, 0)
    for index in range(40):
        sender.want(B, SettingsChunkWant(TREE.id, index), TREE, 0)
    sent = sum(
        len(entry.message.data) for now in range(10_000) for entry in sender.tick(now)
    )
    assert 0 < sent <= 11 * OPTIONS.chunk_bytes_per_second


def test_superseded_tree_is_kept_while_it_is_fetched():
    sender = TreeSender(OPTIONS, 0)
    first = chunk(sender, 0)
    newer = read_revision("revision: 2").unwrap()
    wanted = SettingsChunkWant(TREE.id, 0)
    assert sender.want(B, wanted, newer, 1_000)[0].message == first
    late = 2_000 + OPTIONS.pin_lifetime_ms
    assert sender.want(B, wanted, newer, late)[0].message.data == b""


def test_unknown_tree_is_answered_with_nothing():
    unknown = SettingsChunkWant(RevisionId(9, b"x"), 0)
    answer = TreeSender(OPTIONS, 0).want(B, unknown, TREE, 0)[0].message
    assert answer.data == b""
