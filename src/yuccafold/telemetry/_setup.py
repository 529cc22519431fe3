"""Sets up OpenTelemetry for one process; nothing is exported without an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace import Tracer

from yuccafold.settings import ProcessSettings
from yuccafold.telemetry._metrics import Metrics

SCOPE_NAME = "yuccafold"
SPAN_QUEUE_LENGTH = 4_096
"""How many spans may wait for the exporter.

Further ones are dropped, so that calls don't wait for it.
"""


@final
@dataclass(frozen=True, slots=True)
class Telemetry:
    """The instruments and the tracer, with the providers that they come from.

    ``reader`` collects the metrics for the process's own metrics page.
    """

    metrics: Metrics
    tracer: Tracer
    reader: InMemoryMetricReader
    meters: MeterProvider
    tracers: TracerProvider

    def close(self) -> None:
        """Export the remaining metrics and spans; stop the exporters' threads."""
        self.meters.shutdown()
        self.tracers.shutdown()


def open_telemetry(settings: ProcessSettings) -> Telemetry:
    """Set up the telemetry of the process that ``settings`` describe."""
    resource = Resource.create(
        {
            "service.name": SCOPE_NAME,
            "host.id": settings.vm,
            "cloud.availability_zone": settings.zone,
            "cloud.region": settings.region,
        }
    )
    local_reader = InMemoryMetricReader()
    readers: list[MetricReader] = [local_reader]
    tracers = TracerProvider(resource=resource, shutdown_on_exit=False)
    if settings.telemetry.otlp_endpoint is not None:
        readers.append(_start_export(settings, tracers))
    meters = MeterProvider(
        metric_readers=readers, resource=resource, shutdown_on_exit=False
    )
    return Telemetry(
        metrics=Metrics(meters.get_meter(SCOPE_NAME)),
        tracer=tracers.get_tracer(SCOPE_NAME),
        reader=local_reader,
        meters=meters,
        tracers=tracers,
    )


def _start_export(settings: ProcessSettings, tracers: TracerProvider) -> MetricReader:
    """Export spans from ``tracers`` and return a reader that exports metrics."""
    # Imported only here, as the exporters import an HTTP client and protocol buffers.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    endpoint = settings.telemetry.otlp_endpoint
    exporter = OTLPSpanExporter(endpoint=f"{endpoint}/v1/traces")
    tracers.add_span_processor(
        BatchSpanProcessor(exporter, max_queue_size=SPAN_QUEUE_LENGTH)
    )
    return PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=f"{endpoint}/v1/metrics"),
        export_interval_millis=settings.telemetry.export_interval_ms,
    )
