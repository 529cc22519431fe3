"""A message that a decision object wants sent to another VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import final

from yuccafold._ids import VmId


@final
@dataclass(frozen=True, slots=True)
class Outgoing:
    """A typed message and the VM that it goes to.

    ``message`` is a frozen dataclass registered with the peer codec.
    """

    to: VmId
    message: Any
