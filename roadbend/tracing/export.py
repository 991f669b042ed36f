"""Where spans go: a bounded queue in front of a collector or a file."""

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

    Called in the exporting thread only.
    """

    def __init__(self, inner: SpanExporter) -> None:
        self._inner = inner
        self.exported = self.failed = 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Pass the spans on.

        An exporter that raises has failed with these spans only.
        """
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
        """Shut the exporter down."""
        self._inner.shutdown()


class BoundedProcessor(SpanProcessor):
    """Exports in a thread of its own, from a bounded queue.

    Spans beyond the bound are dropped and counted, so that a collector that hangs, refuses or
    vanishes delays nothing. `every_ms` is the longest wait before an export, `within_ms` how long
    an export may take, both in milliseconds.
    """

    def __init__(
        self,
        exporter: SpanExporter,
        queue_most: int,
        batch_most: int,
        every_ms: float,
        within_ms: float,
    ) -> None:
        self._exporter = CountingExporter(exporter)
        self._queue_most = queue_most
        self._queued_total = 0
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
        """How many spans the collector or the file has taken."""
        return self._exporter.exported

    @property
    def failed(self) -> int:
        """How many spans the collector or the file has refused or failed to take."""
        return self._exporter.failed

    @property
    def waiting(self) -> int:
        """How many spans wait for export or are being exported."""
        return self._queued_total - self.exported - self.failed

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Do nothing: a span is exported once it has ended."""

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a span; drop and count it if the queue is full."""
        if not span.context.trace_flags.sampled:
            return
        if self.waiting >= self._queue_most:
            self.dropped += 1
            return
        self._queued_total += 1
        self._inner.on_end(span)

    def shutdown(self) -> None:
        """Export what waits, within the time for an export, and shut down."""
        self._inner.shutdown()  # type: ignore[no-untyped-call]  # the library has no types here

    def force_flush(self, timeout_millis: int = 30_000) -> bool:
        """Export what waits; return whether that succeeded within the time-out."""
        return self._inner.force_flush(timeout_millis)


class FileExporter(SpanExporter):
    """Writes OTLP as JSON, one export a line, until the file has taken `most_bytes`."""

    def __init__(self, path: Path, most_bytes: int) -> None:
        self._path = path
        self._bytes_left = most_bytes
        self._lock = threading.Lock()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append a line; fail once the file is full or can't be written."""
        line = json.dumps(as_json(spans), separators=(",", ":")) + "\n"
        with self._lock:
            if len(line) > self._bytes_left:
                return SpanExportResult.FAILURE
            try:
                with self._path.open("a") as file:
                    file.write(line)
            except OSError:
                return SpanExportResult.FAILURE
            self._bytes_left -= len(line)
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
