"""Messages to other VMs, returned by classes that decide but do no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import final

from yuccafold._ids import VmId


@final
@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the VM to send it to.

    ``message`` is a frozen dataclass registered with the peer codec.
    """

    to: VmId
    message: Any
