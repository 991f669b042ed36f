"""Where spans go: a bounded queue in front of a collector or a file."""

from __future__ import annotations

import base64
import json
import threading
from collections.abc import Sequence
from pathlib import Path

from google.protobuf.json_format import MessageToDict
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.trace import ReadableSpan, Span, SpanProcessor
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult

ID_KEYS = ("traceId", "spanId", "parentSpanId")


class CountingExporter(SpanExporter):
    """Counts what an exporter made of its spans. Called in the exporting thread only."""

    def __init__(self, inner: SpanExporter) -> None:
        self._inner = inner
        self.exported = self.failed = 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Hands the spans on; an exporter that breaks has failed with these spans only."""
        try:
            result = self._inner.export(spans)
        except Exception:  # whatever a transport raises, tracing must not end
            result = SpanExportResult.FAILURE
        if result is SpanExportResult.SUCCESS:
            self.exported += len(spans)
        else:
            self.failed += len(spans)
        return result

    def shutdown(self) -> None:
        """Ends the exporter."""
        self._inner.shutdown()


class BoundedProcessor(SpanProcessor):
    """Exports in a thread of its own. What waits is bounded, and more is dropped and counted, so
    that a collector that hangs, refuses or vanishes delays nothing."""

    def __init__(
        self,
        exporter: SpanExporter,
        queue_most: int,
        batch_most: int,
        every_ms: float,
        within_ms: float,
    ) -> None:
        self._exporter = CountingExporter(exporter)
        self._most = queue_most
        self._taken = 0
        self.dropped = 0
        self._inner = BatchSpanProcessor(
            self._exporter,
            max_queue_size=queue_most,
            schedule_delay_millis=every_ms,
            max_export_batch_size=min(batch_most, queue_most),
            export_timeout_millis=within_ms,
        )

    @property
    def exported(self) -> int:
        """Spans that were taken by the collector or the file."""
        return self._exporter.exported

    @property
    def failed(self) -> int:
        """Spans that the collector or the file did not take."""
        return self._exporter.failed

    @property
    def waiting(self) -> int:
        """Spans that wait or are on their way."""
        return self._taken - self.exported - self.failed

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Nothing is done at the start of a span."""

    def on_end(self, span: ReadableSpan) -> None:
        """Queues a span, or drops it."""
        if not span.context.trace_flags.sampled:
            return
        if self.waiting >= self._most:
            self.dropped += 1
            return
        self._taken += 1
        self._inner.on_end(span)

    def shutdown(self) -> None:
        """Exports what waits, within the time for an export."""
        self._inner.shutdown()

    def force_flush(self, timeout_millis: int = 30_000) -> bool:
        """Exports what waits."""
        return self._inner.force_flush(timeout_millis)


class FileExporter(SpanExporter):
    """Writes OTLP as JSON, one export a line, up to a size."""

    def __init__(self, path: Path, most_bytes: int) -> None:
        self._path, self._left = path, most_bytes
        self._lock = threading.Lock()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Adds a line; refuses once the file is full or can't be written."""
        line = json.dumps(as_json(spans), separators=(",", ":")) + "\n"
        with self._lock:
            if len(line) > self._left:
                return SpanExportResult.FAILURE
            try:
                with self._path.open("a") as file:
                    file.write(line)
            except OSError:
                return SpanExportResult.FAILURE
            self._left -= len(line)
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Nothing is kept open."""


def as_json(spans: Sequence[ReadableSpan]) -> dict:
    """OTLP's JSON form of spans: ids are hexadecimal there, not base64 as protobuf has them."""
    value = MessageToDict(encode_spans(spans))
    for resource in value.get("resourceSpans", ()):
        for scope in resource.get("scopeSpans", ()):
            for span in scope.get("spans", ()):
                for row in (span, *span.get("links", ())):
                    for key in ID_KEYS:
                        if key in row:
                            row[key] = base64.b64decode(row[key]).hex()
    return value
