"""What VMs report to each other through the seeds, topic by topic."""

from __future__ import annotations

from yuccafold.edge.reports._fleet_reports import TOTAL_LIFETIME
from yuccafold.edge.reports._fleet_reports import FleetReports
from yuccafold.edge.reports._merge import newest
from yuccafold.edge.reports._protocol import ProtocolTopic
from yuccafold.edge.reports._topic import MAX_COUNT
from yuccafold.edge.reports._topic import REPORT_LIFETIME
from yuccafold.edge.reports._topic import VMS_FIELD
from yuccafold.edge.reports._topic import Topic
from yuccafold.edge.reports._topic import VmReport
from yuccafold.edge.reports._topic import parse_count
from yuccafold.edge.reports._topics import Topics

__all__ = [
    "MAX_COUNT",
    "REPORT_LIFETIME",
    "TOTAL_LIFETIME",
    "VMS_FIELD",
    "FleetReports",
    "ProtocolTopic",
    "Topic",
    "Topics",
    "VmReport",
    "newest",
    "parse_count",
]
