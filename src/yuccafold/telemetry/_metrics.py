"""The OpenTelemetry instruments of one router process."""

from __future__ import annotations

from typing import final

from opentelemetry.metrics import Meter


@final
class Metrics:
    """The counters, gauges and histograms that the router records.

    Durations are in milliseconds. Attributes have few, bounded values: service,
    verdict, reason or kind, but never the id of a chat, key or call.
    """

    def __init__(self, meter: Meter) -> None:
        self.requests = meter.create_counter(
            "yuccafold.requests", description="Answered calls by service and status."
        )
        self.verdicts = meter.create_counter(
            "yuccafold.verdicts", description="Refused or broken calls by verdict."
        )
        self.retries = meter.create_counter(
            "yuccafold.retries", description="Attempts after the first."
        )
        self.in_flight = meter.create_up_down_counter(
            "yuccafold.in_flight", description="Calls being handled."
        )
        self.queued = meter.create_up_down_counter(
            "yuccafold.queued", description="Calls that wait for a target."
        )
        self.first_byte = meter.create_histogram(
            "yuccafold.first_byte", unit="ms", description="Time to the first byte."
        )
        self.duration = meter.create_histogram(
            "yuccafold.duration", unit="ms", description="Time to the whole answer."
        )
        self.prompt_tokens = meter.create_counter(
            "yuccafold.prompt_tokens", description="Prompt tokens by cached or not."
        )
        self.skew = meter.create_histogram(
            "yuccafold.skew", description="Largest over mean in-flight of a service."
        )
        self.control_bytes = meter.create_counter(
            "yuccafold.control_bytes", unit="By", description="Peer bytes by class."
        )
