"""Sets OpenTelemetry up for one process; without an endpoint nothing leaves it."""

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

SCOPE = "yuccafold"
SPAN_QUEUE_LENGTH = 4_096
"""Spans that wait for the exporter; later ones are dropped, not waited for."""


@final
@dataclass(frozen=True, slots=True)
class Telemetry:
    """The instruments, the tracer and the providers behind them."""

    metrics: Metrics
    tracer: Tracer
    reader: InMemoryMetricReader
    meters: MeterProvider
    tracers: TracerProvider

    def close(self) -> None:
        """Export what is left and stop the exporters' threads."""
        self.meters.shutdown()
        self.tracers.shutdown()


def open_telemetry(settings: ProcessSettings) -> Telemetry:
    """Return the telemetry of the process that ``settings`` describe."""
    resource = Resource.create(
        {
            "service.name": SCOPE,
            "host.id": settings.vm,
            "cloud.availability_zone": settings.zone,
            "cloud.region": settings.region,
        }
    )
    local = InMemoryMetricReader()
    readers: list[MetricReader] = [local]
    tracers = TracerProvider(resource=resource, shutdown_on_exit=False)
    if settings.telemetry.otlp_endpoint is not None:
        readers.append(_export(settings, tracers))
    meters = MeterProvider(
        metric_readers=readers, resource=resource, shutdown_on_exit=False
    )
    return Telemetry(
        metrics=Metrics(meters.get_meter(SCOPE)),
        tracer=tracers.get_tracer(SCOPE),
        reader=local,
        meters=meters,
        tracers=tracers,
    )


def _export(settings: ProcessSettings, tracers: TracerProvider) -> MetricReader:
    """Export spans from ``tracers`` and return a reader that exports metrics."""
    # The exporters pull in an HTTP client and protocol buffers.
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
