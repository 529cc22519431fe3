from __future__ import annotations

from yuccafold._ids import VmId
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import RevisionId
from yuccafold.replica import SettingsChunk
from yuccafold.replica import SettingsChunkRequest
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


def new_fetch():
    return TreeFetch(TREE.id, SIZE, OPTIONS)


def chunk(sender, index, now=0):
    request = SettingsChunkRequest(TREE.id, index)
    return sender.handle_request(B, request, TREE, now)[0].message


def test_chunks_in_any_order_give_the_tree():
    tree_fetch = new_fetch()
    tree_fetch.add_provider(A, 0)
    count = -(-SIZE // OPTIONS.chunk_bytes)
    for index in reversed(range(count)):
        assert tree_fetch.complete_tree() is None
        tree_fetch.handle_chunk(A, chunk(TreeSender(OPTIONS, 0), index), 0)
    assert tree_fetch.complete_tree() == TREE.canonical


def test_chunk_is_requested_from_another_peer_after_a_timeout():
    tree_fetch = new_fetch()
    (requested,) = tree_fetch.add_provider(A, 0)
    tree_fetch.add_provider(B, 0)
    assert tree_fetch.tick(50) == []
    later = tree_fetch.tick(51)
    assert requested.message.index in {entry.message.index for entry in later}


def test_sender_of_an_unusable_chunk_is_dropped_as_a_provider():
    tree_fetch = new_fetch()
    tree_fetch.add_provider(A, 0)
    tree_fetch.handle_chunk(A, SettingsChunk(TREE.id, 0, b""), 0)
    assert tree_fetch.is_abandoned


def test_sender_does_not_exceed_its_byte_budget():
    sender = TreeSender(OPTIONS, 0)
    for index in range(40):
        sender.handle_request(B, SettingsChunkRequest(TREE.id, index), TREE, 0)
    sent = sum(
        len(entry.message.data) for now in range(10_000) for entry in sender.tick(now)
    )
    assert 0 < sent <= 11 * OPTIONS.chunk_bytes_per_second


def test_superseded_tree_is_kept_while_it_is_fetched():
    sender = TreeSender(OPTIONS, 0)
    first = chunk(sender, 0)
    newer = read_revision("revision: 2").unwrap()
    request = SettingsChunkRequest(TREE.id, 0)
    assert sender.handle_request(B, request, newer, 1_000)[0].message == first
    late = 2_000 + OPTIONS.pin_lifetime_ms
    assert sender.handle_request(B, request, newer, late)[0].message.data == b""


def test_request_for_an_unknown_tree_gets_an_empty_chunk():
    unknown = SettingsChunkRequest(RevisionId(9, b"x"), 0)
    answer = TreeSender(OPTIONS, 0).handle_request(B, unknown, TREE, 0)[0].message
    assert answer.data == b""
