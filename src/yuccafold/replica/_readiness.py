"""Decides whether the settings of a VM are new enough to serve calls with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class Readiness(Enum):
    """Whether a VM may serve calls; if not, what it waits for."""

    READY = "ready"
    NO_VM_LIST = "waiting for the platform's VM list"
    NO_REVISION = "waiting for a first revision from the settings service or a peer"
    WAITING_FOR_PEERS = "waiting for a serving peer, or for every listed VM to answer"
    CATCHING_UP = "fetching a newer revision that a peer holds"
    RENEWING = "paused before; waiting for a peer or the settings service"


@final
@dataclass(frozen=True, slots=True)
class ReadinessFacts:
    """The input of ``readiness``."""

    was_ready: bool
    must_renew: bool
    """Whether the process paused and has not renewed its view of the peers since.

    An advert of a ready peer or an answer of the settings service renews it. A VM
    that is alone on the list has nothing to renew.
    """
    has_vm_list: bool
    listed_others: int
    has_revision: bool
    is_behind: bool
    """Whether a peer is known to hold a newer revision that was not refused."""
    ready_peers: int
    """How many peers that are ready reported their revision directly."""
    not_ready_peers: int
    """How many other listed VMs are reported not to be ready."""


def readiness(facts: ReadinessFacts) -> Readiness:
    """Return whether a VM may serve; a pure function.

    A VM that was ready before continues with its last revision, unless it must
    renew its view after a pause. A starting VM needs the report of a serving peer
    that there is no newer revision. Without such a peer it may start only when
    the list holds no other VM, or when every other listed VM is known not to
    serve: then no VM of the fleet serves with a newer revision.
    """
    if facts.was_ready:
        return Readiness.RENEWING if facts.must_renew else Readiness.READY
    if not facts.has_vm_list:
        return Readiness.NO_VM_LIST
    fleet_is_starting = facts.not_ready_peers >= facts.listed_others
    if facts.ready_peers == 0 and not fleet_is_starting:
        return Readiness.WAITING_FOR_PEERS
    if facts.is_behind:
        return Readiness.CATCHING_UP
    return Readiness.READY if facts.has_revision else Readiness.NO_REVISION
