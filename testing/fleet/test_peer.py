from __future__ import annotations

import random
from dataclasses import dataclass

from yuccafold._clock import ManualClock
from yuccafold._ids import Incarnation
from yuccafold._ids import VmId
from yuccafold.fleet import ByteClass
from yuccafold.fleet import DropCause
from yuccafold.fleet import LinkSettings
from yuccafold.fleet._outbox import QueuedMessage
from yuccafold.fleet._peer import Peer
from yuccafold.fleet._stats import Counters


@dataclass
class FakeLink:
    incarnation: Incarnation


def make_peer(dropped):
    def on_drop(message, cause):
        dropped.append((message, cause))

    rng = random.Random(1)
    settings = LinkSettings()
    return Peer(VmId("b"), settings, ManualClock(), rng, Counters(), on_drop)


def test_messages_for_an_earlier_incarnation_are_dropped():
    dropped = []
    peer = make_peer(dropped)
    message = QueuedMessage(b"x", ByteClass.SLOTS)
    peer.add_link(FakeLink(Incarnation(1)))
    peer.put(message)
    peer.add_link(FakeLink(Incarnation(1)))
    assert dropped == []
    peer.add_link(FakeLink(Incarnation(2)))
    assert dropped == [(message, DropCause.RESTARTED)]
    assert not peer.outbox


def test_messages_queued_before_the_first_link_are_kept():
    dropped = []
    peer = make_peer(dropped)
    peer.put(QueuedMessage(b"x", ByteClass.SLOTS))
    peer.add_link(FakeLink(Incarnation(1)))
    assert dropped == []
    assert peer.outbox
