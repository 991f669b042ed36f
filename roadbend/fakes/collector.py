"""Fake of a collector: receives OTLP over HTTP on loopback, and validates it."""

from __future__ import annotations

import threading
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest

# The lengths of ids by the W3C's Trace Context.
TRACE_ID_BYTES, SPAN_ID_BYTES = 16, 8


class FakeCollector:
    """Stores received spans. It can be set to refuse requests with `status`.

    Clearing `hang` delays all answers until it is set again.
    """

    def __init__(self) -> None:
        self.spans: list[Any] = []
        self.resources: list[dict[str, str]] = []
        self.problems: list[str] = []
        self.status = int(HTTPStatus.OK)
        self.hang = threading.Event()
        self.hang.set()
        collector = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                collector._handle(self)

            def log_message(self, *_: object) -> None:
                """Suppress the log of requests."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    @property
    def url(self) -> str:
        """The URL to which spans are to be sent."""
        return f"http://127.0.0.1:{self._server.server_address[1]}/v1/traces"

    def _handle(self, handler: BaseHTTPRequestHandler) -> None:
        body = handler.rfile.read(int(handler.headers["content-length"]))
        self.hang.wait()
        if self.status == HTTPStatus.OK:
            self._read(handler, body)
        handler.send_response(self.status)
        handler.send_header("content-length", "0")
        handler.end_headers()

    def _read(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        if handler.headers["content-type"] != "application/x-protobuf":
            self.problems.append(f"content-type {handler.headers['content-type']}")
        request = ExportTraceServiceRequest.FromString(body)
        for resource in request.resource_spans:
            attributes = resource.resource.attributes
            self.resources.append({row.key: row.value.string_value for row in attributes})
            for scope in resource.scope_spans:
                self.spans.extend(scope.spans)
        for span in self.spans:
            if len(span.trace_id) != TRACE_ID_BYTES or len(span.span_id) != SPAN_ID_BYTES:
                self.problems.append(f"ids of {span.name}")
            if not 0 < span.start_time_unix_nano <= span.end_time_unix_nano:
                self.problems.append(f"times of {span.name}")

    def close(self) -> None:
        """Stop the server."""
        self.hang.set()
        self._server.shutdown()
        self._server.server_close()
