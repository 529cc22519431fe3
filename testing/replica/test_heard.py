from __future__ import annotations

import random

from yuccafold._ids import VmId
from yuccafold.replica import HeardRevision
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import RevisionId
from yuccafold.replica import SettingsAdvert
from yuccafold.replica._heard import HeardTable

ME, A, B = VmId("me"), VmId("a"), VmId("b")


def table():
    return HeardTable(ME, ReplicaOptions(), random.Random(1))


def advert(number, incarnation=1, others=()):
    return SettingsAdvert(incarnation, RevisionId(number, b""), True, others)


def numbers(heard, now):
    return {peer.vm: peer.number for peer in heard.peers(now)}


def test_old_hearsay_does_not_take_a_vm_back():
    heard = table()
    heard.take(A, advert(5), 1_000)
    heard.take(B, advert(6, others=(HeardRevision(A, 1, 4, True, 0),)), 2_000)
    assert numbers(heard, 2_000) == {A: 5, B: 6}


def test_restarted_vm_is_shown_with_what_it_holds_now():
    heard = table()
    heard.take(A, advert(5), 1_000)
    heard.take(A, advert(0, incarnation=2), 2_000)
    assert numbers(heard, 2_000) == {A: 0}


def test_silent_vm_is_forgotten_and_hearsay_ages():
    heard = table()
    lifetime = ReplicaOptions().heard_lifetime_ms
    heard.take(A, advert(5, others=(HeardRevision(B, 1, 5, True, 1_000),)), 0)
    assert numbers(heard, lifetime - 1_000) == {A: 5, B: 5}
    assert numbers(heard, lifetime - 999) == {A: 5}


def test_own_revision_is_not_learned_from_others():
    heard = table()
    heard.take(A, advert(5, others=(HeardRevision(ME, 1, 9, True, 0),)), 0)
    assert numbers(heard, 0) == {A: 5}


def test_sample_prefers_those_that_lag():
    heard = table()
    for index in range(50):
        heard.take(VmId(f"vm-{index}"), advert(5 if index else 4), 0)
    sample = heard.sample(5, 8, 10)
    assert len(sample) == 8
    assert [entry.number for entry in sample].count(4) == 1
    assert {entry.age_ms for entry in sample} == {10}
