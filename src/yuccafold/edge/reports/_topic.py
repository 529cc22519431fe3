"""One matter that VMs report to each other, and the report that holds several."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import ClassVar
from typing import Generic
from typing import TypeVar
from typing import final

from yuccafold._clock import Milliseconds

Value = TypeVar("Value")

REPORT_LIFETIME = Milliseconds(1_800)
"""How long the report of a VM is used: it sends a new one every 450 to 750 ms."""

VMS_FIELD = "vms"
"""Field that holds how many VMs a report is about."""


MAX_COUNT = 1_000_000_000
"""Largest number in a field; anything beyond it is no figure of a fleet."""


def parse_count(text: str, least: int = 0, most: int = MAX_COUNT) -> int:
    """Parse a whole number of a field; raises ``ValueError`` if it is out of range."""
    number = int(text)
    if not least <= number <= most:
        raise ValueError(f"expected {least} to {most}, got {text:.40}")
    return number


@final
@dataclass(frozen=True, slots=True)
class VmReport:
    """What one VM reports, or ``vms`` VMs together, by the field of each topic.

    A topic without an entry has nothing to report.
    """

    values: Mapping[str, Any] = field(default_factory=dict)
    vms: int = 1


class Topic(ABC, Generic[Value]):
    """One matter that VMs report on, bound to what this VM knows of it.

    Reports reach other VMs up to about a second late, and some are lost. Everything
    that is decided by a total has to hold without one.
    """

    name: ClassVar[str]
    """The field in requests and answers. Its meaning never changes: another meaning
    gets another name, as older and newer builds run side by side."""

    is_essential: ClassVar[bool] = False
    """Whether the field is sent even if the message is full."""

    @property
    def lifetime(self) -> Milliseconds:
        """How long the report of a VM or a seed is used."""
        return REPORT_LIFETIME

    @abstractmethod
    def empty(self) -> Value:
        """Return what a report without this topic means."""

    @abstractmethod
    def local(self, now: Milliseconds) -> Value:
        """Return what this VM reports."""

    @abstractmethod
    def merge(self, values: Sequence[Value]) -> Value:
        """Return the total of several reports."""

    def summarize(self, total: Value) -> Value:
        """Return what VMs get of the total over all seeds."""
        return total

    @abstractmethod
    def format(self, value: Value, now: Milliseconds) -> str:
        """Format a value for a message sent at ``now``."""

    @abstractmethod
    def parse(self, text: str, now: Milliseconds) -> Value:
        """Parse the form of ``format``; raises ``ValueError`` if it is malformed."""

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Use the total over all VMs, of which this VM reported ``local_part``."""

    @final
    def of(self, report: VmReport) -> Value:
        """Return the value of this topic in ``report``."""
        return report.values.get(self.name, self.empty())
