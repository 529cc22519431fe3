from __future__ import annotations

import random

from yuccafold._ids import VmId
from yuccafold.replica import ReplicaOptions
from yuccafold.replica import RevisionId
from yuccafold.replica import SecondHandRevision
from yuccafold.replica import SettingsAdvert
from yuccafold.replica._peer_revisions import PeerRevisionTable

LOCAL, A, B = VmId("local"), VmId("a"), VmId("b")


def new_table():
    return PeerRevisionTable(LOCAL, ReplicaOptions(), random.Random(1))


def advert(number, incarnation=1, others=()):
    return SettingsAdvert(incarnation, RevisionId(number, b""), True, others)


def numbers(table, now):
    return {peer.vm: peer.number for peer in table.peers(now)}


def test_older_second_hand_report_is_ignored():
    table = new_table()
    table.apply_advert(A, advert(5), 1_000)
    table.apply_advert(
        B, advert(6, others=(SecondHandRevision(A, 1, 4, True, 0),)), 2_000
    )
    assert numbers(table, 2_000) == {A: 5, B: 6}


def test_report_of_a_restarted_vm_replaces_the_old_one():
    table = new_table()
    table.apply_advert(A, advert(5), 1_000)
    table.apply_advert(A, advert(0, incarnation=2), 2_000)
    assert numbers(table, 2_000) == {A: 0}


def test_report_expires_and_a_second_hand_one_keeps_its_age():
    table = new_table()
    lifetime = ReplicaOptions().report_lifetime_ms
    table.apply_advert(
        A, advert(5, others=(SecondHandRevision(B, 1, 5, True, 1_000),)), 0
    )
    assert numbers(table, lifetime - 1_000) == {A: 5, B: 5}
    assert numbers(table, lifetime - 999) == {A: 5}


def test_own_revision_is_not_learned_from_others():
    table = new_table()
    table.apply_advert(
        A, advert(5, others=(SecondHandRevision(LOCAL, 1, 9, True, 0),)), 0
    )
    assert numbers(table, 0) == {A: 5}


def test_sample_prefers_lagging_vms():
    table = new_table()
    for index in range(50):
        table.apply_advert(VmId(f"vm-{index}"), advert(5 if index else 4), 0)
    sample = table.sample(5, 8, 10)
    assert len(sample) == 8
    assert [entry.number for entry in sample].count(4) == 1
    assert {entry.age_ms for entry in sample} == {10}
