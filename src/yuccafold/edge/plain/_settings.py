"""Which decisions on small plain services are in use."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from yuccafold.edge._model import TargetRecord


@final
@dataclass(frozen=True, slots=True)
class PlainSettings:
    """Switches for the decisions on small plain services.

    ``places_by_pace`` chooses targets by their expected time to an answer.
    ``refuses_late_calls`` refuses calls that no target can answer in time.
    ``hedges`` sends calls that may be repeated to a second target beside the first.
    ``shares_connections`` bounds the idle connections that VMs keep in all.
    """

    places_by_pace: bool = True
    refuses_late_calls: bool = True
    hedges: bool = True
    shares_connections: bool = True


def is_small(targets: Iterable[TargetRecord], vm_count: int) -> bool:
    """Return whether ``targets`` have no more slots in all than there are VMs.

    A VM has less than one call in flight at such a service then, so its own calls say
    next to nothing about the targets. False while the number of VMs is unknown.
    """
    slots = sum(target.slots for target in targets)
    return 0 < slots <= vm_count
