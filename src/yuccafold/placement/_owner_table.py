"""Assignment of targets to owners and successors by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from heapq import nlargest
from typing import final

import xxhash

from yuccafold._ids import TargetId
from yuccafold._ids import VmId


@lru_cache(maxsize=4)
def owner_table(vms: tuple[VmId, ...]) -> OwnerTable:
    """Return the cached table for ``vms``."""
    return OwnerTable(vms)


@final
class OwnerTable:
    """The owner and successor of each target under one list of VMs.

    Rendezvous hashing: a VM that joins or leaves moves only its own targets.
    """

    def __init__(self, vms: Sequence[VmId]) -> None:
        self._seeds = [(xxhash.xxh64_intdigest(vm.encode()), vm) for vm in vms]
        self._pairs: dict[TargetId, tuple[VmId | None, VmId | None]] = {}

    def _owner_and_successor(self, target: TargetId) -> tuple[VmId | None, VmId | None]:
        pair = self._pairs.get(target)
        if pair is None:
            score, encoded = xxhash.xxh64_intdigest, target.encode()
            scores = [(score(encoded, seed), vm) for seed, vm in self._seeds]
            names = [vm for _, vm in nlargest(2, scores)]
            first, second, *_ = *names, None, None
            pair = self._pairs[target] = (first, second)
        return pair

    def owner(self, target: TargetId) -> VmId | None:
        """Return the VM that counts and grants the slots of ``target``."""
        return self._owner_and_successor(target)[0]

    def successor(self, target: TargetId) -> VmId | None:
        """Return the VM that records slots on ``target`` held by its owner."""
        return self._owner_and_successor(target)[1]
