"""How many VMs are of builds that understand the same topics."""

from __future__ import annotations

from collections.abc import Sequence

from yuccafold._clock import Milliseconds
from yuccafold.edge.reports._topic import Topic
from yuccafold.edge.reports._topic import VmReport
from yuccafold.edge.reports._topic import parse_count


class ProtocolTopic(Topic[int]):
    """The number of VMs that speak protocol 1, of which VMs of earlier builds are none.

    What all VMs have to do alike begins only once all of them do it. A build that adds
    such a feature adds a subclass with the next number, and reports this one as well.
    """

    name = "protocol_1"
    is_essential = True

    def empty(self) -> int:
        """Return none."""
        return 0

    def local(self, now: Milliseconds) -> int:
        """Return this VM."""
        return 1

    def merge(self, values: Sequence[int]) -> int:
        """Return the sum."""
        return sum(values)

    def format(self, value: int, now: Milliseconds) -> str:
        """Format as a number."""
        return str(value) if value else ""

    def parse(self, text: str, now: Milliseconds) -> int:
        """Parse the form of ``format``."""
        return parse_count(text)

    def is_spoken_by_all(self, total: VmReport) -> bool:
        """Return whether all VMs of a total speak this protocol."""
        return self.of(total) >= total.vms
