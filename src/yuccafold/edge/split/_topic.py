"""Reports whether all VMs choose the services of divided routes alike."""

from __future__ import annotations

from typing import final

from yuccafold._clock import Milliseconds
from yuccafold.edge.reports import ProtocolTopic
from yuccafold.edge.reports import VmReport
from yuccafold.edge.split._route_services import RouteServices


@final
class ServiceChoiceTopic(ProtocolTopic):
    """The number of VMs that choose services by a call's id, not at random."""

    name = "protocol_2"

    def __init__(self, services: RouteServices) -> None:
        self._services = services

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Record whether all VMs do."""
        self._services.record_builds(self.is_spoken_by_all(total), now)
