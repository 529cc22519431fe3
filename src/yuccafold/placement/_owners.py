"""Which VM owns a target, and which one remembers the owner's own slots."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import xxhash

from yuccafold._ids import TargetId
from yuccafold._ids import VmId


def _score(target: TargetId, vm: VmId) -> int:
    return xxhash.xxh64_intdigest(f"{target}\0{vm}".encode())


@final
class OwnerTable:
    """The owner and successor of each target under one list of VMs.

    Rendezvous hashing: a VM that joins or leaves moves only its own targets.
    """

    def __init__(self, vms: Sequence[VmId]) -> None:
        self._vms = vms
        self._pairs: dict[TargetId, tuple[VmId | None, VmId | None]] = {}

    def _pair(self, target: TargetId) -> tuple[VmId | None, VmId | None]:
        pair = self._pairs.get(target)
        if pair is None:
            order = sorted(self._vms, key=lambda vm: (_score(target, vm), vm))
            first, second, *_ = *order[-2:][::-1], None, None
            pair = self._pairs[target] = (first, second)
        return pair

    def owner(self, target: TargetId) -> VmId | None:
        """Return the VM that counts the slots of ``target``."""
        return self._pair(target)[0]

    def successor(self, target: TargetId) -> VmId | None:
        """Return the VM that remembers the owner's own slots."""
        return self._pair(target)[1]
