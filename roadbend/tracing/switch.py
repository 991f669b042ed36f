"""Enables tracing in a controller."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanLimits, TracerProvider
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased

from roadbend import __version__, clock
from roadbend.log import Log
from roadbend.tracing.export import BoundedProcessor, FileExporter
from roadbend.tracing.ids import DerivedIds
from roadbend.tracing.recorder import Recorder
from roadbend.tracing.settings import TracingSettings

if TYPE_CHECKING:
    from roadbend.controller import Controller

log = Log("tracing")
MEGABYTE = 1024 * 1024
# How often the counters are logged.
COUNTER_LOG_INTERVAL = timedelta(seconds=60)


class Tracing:
    """The tracing of one controller: its provider, its recorder and its exporters."""

    def __init__(
        self, service_zone: str, name: str, settings: TracingSettings, exporters: list[SpanExporter]
    ) -> None:
        ids = DerivedIds()
        self.provider = TracerProvider(
            # By trace id, so that all controllers sample the same jobs.
            sampler=TraceIdRatioBased(settings.share),
            resource=Resource.create(
                {
                    "service.name": "roadbend",
                    "service.version": __version__,
                    "service.instance.id": name,
                    "cloud.availability_zone": service_zone,
                }
            ),
            shutdown_on_exit=False,
            id_generator=ids,
            span_limits=SpanLimits(max_span_attributes=64, max_attribute_length=200),
        )
        self.processors = [
            BoundedProcessor(
                exporter,
                settings.queue_most,
                settings.batch_most,
                settings.export_every.total_seconds() * 1000,
                settings.export_within.total_seconds() * 1000,
            )
            for exporter in exporters
        ]
        for processor in self.processors:
            self.provider.add_span_processor(processor)
        self.recorder = Recorder(self.provider, ids, settings.attempts_most)

    async def run(self) -> None:
        """Log the counters periodically while the controller runs."""
        while True:
            await clock.pause(COUNTER_LOG_INTERVAL)
            self.log_counters()

    def log_counters(self) -> None:
        """Log one line for each exporter."""
        for processor in self.processors:
            log.info(
                "spans-exported",
                exported=processor.exported,
                failed=processor.failed,
                dropped=processor.dropped,
                waiting=processor.pending,
                nonsense_headers=self.recorder.malformed_headers,
            )


def create_exporters(settings: TracingSettings) -> list[SpanExporter]:
    """Return the exporters that the settings name: to a collector, a file, or both."""
    exporters: list[SpanExporter] = []
    if settings.collector:
        timeout = settings.export_within.total_seconds()
        exporters.append(OTLPSpanExporter(endpoint=settings.collector, timeout=timeout))
    if settings.file:
        exporters.append(FileExporter(Path(settings.file), settings.file_most * MEGABYTE))
    return exporters


def install(
    controller: Controller, settings: TracingSettings, exporters: list[SpanExporter] | None = None
) -> Tracing:
    """Enable tracing in a controller that has not started yet.

    `exporters` replace those that the settings name.
    """
    used = create_exporters(settings) if exporters is None else exporters
    tracing = Tracing(controller.settings.zone, controller.settings.name, settings, used)
    controller.context.observer = tracing.recorder
    controller.background.append(tracing.run)
    return tracing
