"""Trace and span ids derived from the records.

Every controller derives the same ids, so their spans form one trace without any message between
them. Frames and records need no additional fields, which keeps them compatible with older versions.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

from opentelemetry.sdk.trace.id_generator import IdGenerator, RandomIdGenerator

# Sizes of ids in the W3C trace context.
TRACE_BYTES = 16
SPAN_BYTES = 8
# W3C trace context, version 00: trace id, span id and flags, neither id all zeros.
_TRACE_PARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
# Longer headers are cut off before they are parsed; a valid one has 55 characters.
_MAX_HEADER_LENGTH = 64


@dataclass(frozen=True)
class SpanIds:
    """The ids of a span: its trace's and its own."""

    trace: int
    span: int

    def trace_parent(self) -> str:
        """Return the ids as a W3C `traceparent` header with the sampled flag."""
        return f"00-{self.trace:032x}-{self.span:016x}-01"


def _derive(size: int, *components: object) -> int:
    text = "\0".join(str(component) for component in components)
    digest = hashlib.sha256(text.encode()).digest()
    # In the W3C trace context an id of zero is invalid.
    return int.from_bytes(digest[:size], "big") or 1


def job_ids(job: str, accepted_ms: int) -> SpanIds:
    """Return the ids of a job's span; `accepted_ms` is in milliseconds since the epoch."""
    trace = _derive(TRACE_BYTES, "job", job, accepted_ms)
    return SpanIds(trace, _derive(SPAN_BYTES, "job", job, accepted_ms))


def attempt_ids(parent: SpanIds, index: int, attempt: int, machine: str) -> SpanIds:
    """Return the ids of an attempt's span; `parent` is its job's span."""
    return SpanIds(parent.trace, _derive(SPAN_BYTES, parent.span, index, attempt, machine))


def recovery_ids(partition: str, term: int) -> SpanIds:
    """Return the ids of the span of a partition's recovery under one term."""
    trace = _derive(TRACE_BYTES, "recovery", partition, term)
    return SpanIds(trace, _derive(SPAN_BYTES, "recovery", partition, term))


def read_trace_parent(header: str) -> SpanIds | None:
    """Return the ids in a `traceparent` header, or None if it is malformed."""
    found = _TRACE_PARENT.fullmatch(header.strip()[:_MAX_HEADER_LENGTH])
    if found is None:
        return None
    ids = SpanIds(int(found[1], 16), int(found[2], 16))
    return ids if ids.trace and ids.span else None


class DerivedIds(IdGenerator):
    """Generates the ids that were set for the next span, or else random ones."""

    def __init__(self) -> None:
        self._random = RandomIdGenerator()
        self._next: SpanIds | None = None

    def set_next(self, ids: SpanIds) -> None:
        """Set the ids of the next span that is started."""
        self._next = ids

    def generate_trace_id(self) -> int:
        """Return the trace id of a span; called only for spans without a parent."""
        return self._next.trace if self._next is not None else self._random.generate_trace_id()

    def generate_span_id(self) -> int:
        """Return the id of a span; called once for every span."""
        ids, self._next = self._next, None
        return ids.span if ids is not None else self._random.generate_span_id()
