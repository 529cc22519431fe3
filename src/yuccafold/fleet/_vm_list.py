"""The platform's list of live and leaving VMs and targets, which may lag."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated
from typing import Any
from typing import final

from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from yuccafold._ids import RegionId
from yuccafold._ids import TargetId
from yuccafold._ids import VmId
from yuccafold._ids import ZoneId


class ListedState(Enum):
    """The state of a VM or target in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclass(frozen=True, slots=True)
class VmListEntry:
    """A listed VM; ``address`` is the IP address and port for links from peers."""

    id: VmId
    address: str
    zone: ZoneId
    region: RegionId
    state: ListedState = ListedState.LIVE


@final
@dataclass(frozen=True, slots=True)
class TargetListEntry:
    """A listed target."""

    id: TargetId
    state: ListedState = ListedState.LIVE


@final
@dataclass(frozen=True, slots=True)
class VmListSnapshot:
    """The list as returned by one read; a later list has a larger ``version``."""

    version: Annotated[int, Field(ge=0)]
    vms: tuple[VmListEntry, ...]
    targets: tuple[TargetListEntry, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class VmListFault:
    """Why a body is not a valid VM list."""

    reason: str


_ADAPTER: TypeAdapter[Any] = TypeAdapter(VmListSnapshot)


def parse_vm_list(body: bytes) -> Result[VmListSnapshot, VmListFault]:
    """Parse and check the JSON body of the VM list; unknown keys are ignored."""
    try:
        snapshot: VmListSnapshot = _ADAPTER.validate_json(body, strict=False)
    except ValidationError as error:
        first = error.errors()[0]
        path = ".".join(map(str, first["loc"])) or "the body"
        return Err(VmListFault(f"{path}: {first['msg']}"))
    if len({entry.id for entry in snapshot.vms}) != len(snapshot.vms):
        return Err(VmListFault("vms: expected each id once"))
    return Ok(snapshot)
