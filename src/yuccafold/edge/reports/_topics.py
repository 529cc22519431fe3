"""The topics that a VM reports on: builds, merges, encodes and applies reports."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import final
from urllib.parse import urlencode

from yuccafold._clock import Milliseconds
from yuccafold._log import log_event
from yuccafold._parsing import MALFORMED_ERRORS
from yuccafold.edge.reports._topic import VMS_FIELD
from yuccafold.edge.reports._topic import Topic
from yuccafold.edge.reports._topic import VmReport
from yuccafold.edge.reports._topic import parse_count

MAX_REPORT_BYTES = 6_144
"""Size up to which fields that are not essential are sent."""

AgedReport = tuple[VmReport, Milliseconds]
"""A report, and how old it is."""


@final
class Topics:
    """The topics of this build, in the order of their fields in a message.

    Where a message is full, the fields of later topics are left out.
    """

    def __init__(self, topics: Iterable[Topic[Any]]) -> None:
        self._topics = tuple(topics)

    def local_report(self, now: Milliseconds) -> VmReport:
        """Return the report of this VM."""
        return VmReport({topic.name: topic.local(now) for topic in self._topics})

    def merge(self, reports: Sequence[AgedReport]) -> VmReport:
        """Return the total of several reports, each topic from those it still uses."""
        return VmReport(
            {
                topic.name: topic.merge(
                    [
                        report.values[topic.name]
                        for report, age in reports
                        if topic.name in report.values and age <= topic.lifetime
                    ]
                )
                for topic in self._topics
            },
            sum(report.vms for report, _ in reports),
        )

    def summarize(self, total: VmReport) -> VmReport:
        """Return what VMs get of a total over all seeds."""
        summaries = {
            topic.name: topic.summarize(topic.of(total)) for topic in self._topics
        }
        return VmReport(summaries, total.vms)

    def format(
        self, report: VmReport, now: Milliseconds, max_query: int | None = None
    ) -> dict[str, Any]:
        """Return a report as fields of a request or an answer sent at ``now``.

        In a request, the fields have a size of ``max_query`` once they are encoded.
        What doesn't fit is left out then, also if it is essential.
        """
        fields: dict[str, Any] = {VMS_FIELD: report.vms}
        size = 0
        query_size = len(urlencode(fields))
        for topic in self._topics:
            text = topic.format(topic.of(report), now)
            is_full = not topic.is_essential and size + len(text) > MAX_REPORT_BYTES
            if max_query is not None and not is_full:
                encoded = len(urlencode({topic.name: text})) + 1
                is_full = query_size + encoded > max_query
                query_size += 0 if is_full else encoded
            if is_full:
                log_event("report_full", topic=topic.name, bytes=len(text))
                continue
            size += len(text)
            if text or topic.is_essential:
                fields[topic.name] = text
        return fields

    def parse(self, fields: Mapping[str, Any], now: Milliseconds) -> VmReport:
        """Read a report from fields that came at ``now``.

        Fields of topics that this build doesn't know are ignored, and a malformed one
        counts as missing.
        """
        values = {}
        for topic in self._topics:
            if topic.name not in fields:
                continue
            try:
                values[topic.name] = topic.parse(str(fields[topic.name]), now)
            except MALFORMED_ERRORS as error:
                _log_malformed(topic.name, fields, error)
        try:
            vms = parse_count(str(fields.get(VMS_FIELD, 1)))
        except MALFORMED_ERRORS as error:
            _log_malformed(VMS_FIELD, fields, error)
            vms = 1
        return VmReport(values, vms)

    def record(self, total: VmReport, local_part: VmReport, now: Milliseconds) -> None:
        """Use the total over all VMs, of which this VM reported ``local_part``."""
        for topic in self._topics:
            topic.record(total, local_part, now)


def _log_malformed(name: str, fields: Mapping[str, Any], error: Exception) -> None:
    log_event(
        "report_malformed", topic=name, vm=fields.get("vm"), error=f"{error!s:.200}"
    )
