"""Trace and span ids derived from what is in the records.

Every controller works out the same ids, so their spans join one trace without a word between them:
frames and records stay as they are, also beside older versions."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

from opentelemetry.sdk.trace.id_generator import IdGenerator, RandomIdGenerator

TRACE_BYTES, SPAN_BYTES = 16, 8
# W3C trace context, version 00: trace id, span id and flags, neither id all zeros.
_TRACE_PARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


@dataclass(frozen=True)
class SpanIds:
    """A span's place: its trace and its own id."""

    trace: int
    span: int

    def trace_parent(self) -> str:
        """As a W3C `traceparent` header, sampled."""
        return f"00-{self.trace:032x}-{self.span:016x}-01"


def _derive(size: int, *parts: object) -> int:
    text = "\0".join(str(part) for part in parts)
    digest = hashlib.sha256(text.encode()).digest()
    # An id of zero says that there is none.
    return int.from_bytes(digest[:size], "big") or 1


def job_ids(job: str, accepted_ms: int) -> SpanIds:
    """The span of a job, from submission to end."""
    trace = _derive(TRACE_BYTES, "job", job, accepted_ms)
    return SpanIds(trace, _derive(SPAN_BYTES, "job", job, accepted_ms))


def attempt_ids(parent: SpanIds, index: int, attempt: int, machine: str) -> SpanIds:
    """The span of an attempt."""
    return SpanIds(parent.trace, _derive(SPAN_BYTES, parent.span, index, attempt, machine))


def recovery_ids(part: str, term: int) -> SpanIds:
    """The span of a partition's recovery under one term."""
    trace = _derive(TRACE_BYTES, "recovery", part, term)
    return SpanIds(trace, _derive(SPAN_BYTES, "recovery", part, term))


def read_trace_parent(header: str) -> SpanIds | None:
    """The ids in a `traceparent` header; None where it is not one."""
    found = _TRACE_PARENT.fullmatch(header.strip()[:64])
    if found is None:
        return None
    ids = SpanIds(int(found[1], 16), int(found[2], 16))
    return ids if ids.trace and ids.span else None


class DerivedIds(IdGenerator):
    """Gives the ids that were set for the next span, and random ones otherwise."""

    def __init__(self) -> None:
        self._random = RandomIdGenerator()
        self._next: SpanIds | None = None

    def set_next(self, ids: SpanIds) -> None:
        """The next span that begins gets these ids."""
        self._next = ids

    def generate_trace_id(self) -> int:
        """Called for spans without a parent only."""
        return self._next.trace if self._next is not None else self._random.generate_trace_id()

    def generate_span_id(self) -> int:
        """Called once for every span."""
        ids, self._next = self._next, None
        return ids.span if ids is not None else self._random.generate_span_id()
