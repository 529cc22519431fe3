"""Whether a VM's settings are new enough to serve under."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final


class Readiness(Enum):
    """Whether a VM may serve, and what it waits for."""

    READY = "ready"
    NO_VM_LIST = "waiting for the platform's VM list"
    NO_REVISION = "waiting for a first revision from the settings service or a peer"
    WAITING_FOR_PEERS = "waiting for a serving peer, or for every listed VM to answer"
    CATCHING_UP = "fetching a newer revision that a peer holds"
    RENEWING = "paused before; waiting for a peer or the settings service"


@final
@dataclass(frozen=True, slots=True)
class ReadinessFacts:
    """What readiness depends on."""

    was_ready: bool
    paused: bool
    has_list: bool
    listed_others: int
    has_revision: bool
    behind: bool
    """Whether a peer is known to hold a newer revision that was not refused."""
    serving_peers: int
    """How many peers that serve told of their revision themselves."""
    idle_peers: int
    """How many listed VMs were heard of that do not serve either."""


def readiness(facts: ReadinessFacts) -> Readiness:
    """Return whether a VM may serve; a pure function.

    A VM that has served goes on under its last revision. A starting one needs
    a serving peer's word that nothing newer exists. Without one it may start
    only when the list shows no other VM, or when every listed VM is known not
    to serve: then nobody in the fleet serves under a newer revision.
    """
    if facts.was_ready:
        return Readiness.RENEWING if facts.paused else Readiness.READY
    if not facts.has_list:
        return Readiness.NO_VM_LIST
    fleet_is_starting = facts.idle_peers >= facts.listed_others
    if facts.serving_peers == 0 and not fleet_is_starting:
        return Readiness.WAITING_FOR_PEERS
    if facts.behind:
        return Readiness.CATCHING_UP
    return Readiness.READY if facts.has_revision else Readiness.NO_REVISION
