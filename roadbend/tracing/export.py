"""Exports spans through a bounded queue to a collector or a file."""

from __future__ import annotations

import base64
import json
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from google.protobuf.json_format import MessageToDict
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult

# Keys of ids in OTLP's JSON form, in spans and in links.
ID_KEYS = ("traceId", "spanId", "parentSpanId")


class CountingExporter(SpanExporter):
    """Counts the spans that an exporter exported, and those that it failed to export.

    Called only in the export thread.
    """

    def __init__(self, inner: SpanExporter) -> None:
        self._inner = inner
        self.exported = self.failed = 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Pass the spans to the wrapped exporter.

        If it raises, only these spans count as failed.
        """
        try:
            result = self._inner.export(spans)
        except Exception:  # tracing must continue, whatever a transport raises
            result = SpanExportResult.FAILURE
        if result is SpanExportResult.SUCCESS:
            self.exported += len(spans)
        else:
            self.failed += len(spans)
        return result

    def shutdown(self) -> None:
        """Shut the exporter down."""
        self._inner.shutdown()


class BoundedProcessor(SpanProcessor):
    """Exports spans from a bounded queue, in a thread of its own.

    If the queue is full, spans are dropped and counted, so that a collector that hangs, refuses
    requests or is unreachable delays nothing. `schedule_delay_ms` is the longest wait before an
    export, `export_timeout_ms` the time limit of one export, both in milliseconds.
    """

    def __init__(
        self,
        exporter: SpanExporter,
        max_queue_size: int,
        max_batch_size: int,
        schedule_delay_ms: float,
        export_timeout_ms: float,
    ) -> None:
        self._exporter = CountingExporter(exporter)
        self._max_queue_size = max_queue_size
        self._queued_total = 0
        self.dropped = 0
        self._inner = BatchSpanProcessor(
            self._exporter,
            max_queue_size=max_queue_size,
            schedule_delay_millis=schedule_delay_ms,
            max_export_batch_size=min(max_batch_size, max_queue_size),
            export_timeout_millis=export_timeout_ms,
        )

    @property
    def exported(self) -> int:
        """How many spans were exported."""
        return self._exporter.exported

    @property
    def failed(self) -> int:
        """How many spans could not be exported."""
        return self._exporter.failed

    @property
    def pending(self) -> int:
        """How many spans are queued or being exported."""
        return self._queued_total - self.exported - self.failed

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Do nothing: a span is exported once it has ended."""

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a span; drop and count it if the queue is full."""
        if not span.context.trace_flags.sampled:
            return
        if self.pending >= self._max_queue_size:
            self.dropped += 1
            return
        self._queued_total += 1
        self._inner.on_end(span)

    def shutdown(self) -> None:
        """Export the queued spans, within the time limit of one export, and shut down."""
        self._inner.shutdown()  # type: ignore[no-untyped-call]  # the library has no types here

    def force_flush(self, timeout_millis: int = 30_000) -> bool:
        """Export the queued spans; return whether that succeeded within the timeout."""
        return self._inner.force_flush(timeout_millis)


class FileExporter(SpanExporter):
    """Writes OTLP as JSON, one line per export, up to `max_bytes` in total."""

    def __init__(self, path: Path, max_bytes: int) -> None:
        self._path = path
        self._remaining_bytes = max_bytes
        self._lock = threading.Lock()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append a line; fail if it exceeds the size limit or can't be written."""
        line = json.dumps(as_json(spans), separators=(",", ":")) + "\n"
        with self._lock:
            if len(line) > self._remaining_bytes:
                return SpanExportResult.FAILURE
            try:
                with self._path.open("a") as file:
                    file.write(line)
            except OSError:
                return SpanExportResult.FAILURE
            self._remaining_bytes -= len(line)
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Do nothing: no file is kept open between exports."""


def as_json(spans: Sequence[ReadableSpan]) -> dict[str, Any]:
    """Return spans in OTLP's JSON form.

    Ids are hexadecimal there, not base64 as in the JSON form of protobuf.
    """
    request: dict[str, Any] = MessageToDict(encode_spans(spans))
    for resource in request.get("resourceSpans", ()):
        for scope in resource.get("scopeSpans", ()):
            for span in scope.get("spans", ()):
                _ids_to_hexadecimal(span)
                for link in span.get("links", ()):
                    _ids_to_hexadecimal(link)
    return request


def _ids_to_hexadecimal(entry: dict[str, Any]) -> None:
    for key in ID_KEYS:
        if key in entry:
            entry[key] = base64.b64decode(entry[key]).hex()
