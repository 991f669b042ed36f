"""Turns what the core tells its observer into spans."""

from __future__ import annotations

from collections import OrderedDict
from datetime import datetime, timedelta

from opentelemetry import trace
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace import Link, SpanKind, Status, StatusCode
from opentelemetry.util.types import AttributeValue

from roadbend import clock
from roadbend.fleet.terminations import Termination
from roadbend.observer import Observer
from roadbend.store.records import Attempt, Job
from roadbend.tracing.ids import (
    DerivedIds,
    SpanIds,
    attempt_ids,
    job_ids,
    read_trace_parent,
    recovery_ids,
)

# Semantic conventions of OpenTelemetry.
ZONE, MACHINE = "cloud.availability_zone", "host.id"
ERROR = "error.type"
# Ours.
JOB, JOB_CLASS, TEAM, SHAPE = (
    "roadbend.job.id",
    "roadbend.job.class",
    "roadbend.team",
    ("roadbend.job.shape"),
)
TASKS, STATUS, INDEX, ATTEMPT = (
    "roadbend.job.tasks",
    "roadbend.job.status",
    ("roadbend.task.index"),
    "roadbend.attempt",
)
PROOF, TERM, PHASE = "roadbend.attempt.proof", "roadbend.term", "roadbend.recovery.phase"
Attributes = dict[str, AttributeValue]


def _nanoseconds(at: datetime) -> int:
    return int(at.timestamp() * 1_000_000_000)


def _wall_at(steady: datetime) -> datetime:
    """The time of day at an instant of the steady clock."""
    return clock.wall() - (clock.now() - steady)


class Recorder(Observer):
    """Makes spans. Ids come from records, so every controller adds to the same traces."""

    def __init__(self, provider: TracerProvider, ids: DerivedIds, attempts_most: int) -> None:
        self._tracer = provider.get_tracer("roadbend")
        self._ids = ids
        self._most = attempts_most
        # When attempts that this controller started were recorded, until they end.
        self._started: OrderedDict[tuple[str, int, int], tuple[SpanIds, datetime]] = OrderedDict()
        self.nonsense_headers = 0

    # Spans.

    def _span(
        self,
        name: str,
        ids: SpanIds | None,
        parent: SpanIds | None,
        began: datetime,
        ended: datetime,
        attributes: Attributes,
        links: tuple[Link, ...] = (),
        error: str | None = None,
    ) -> None:
        if ids is not None:
            self._ids.set_next(ids)
        context = trace.set_span_in_context(_remote(parent)) if parent is not None else None
        span = self._tracer.start_span(
            name,
            context=context,
            kind=SpanKind.INTERNAL,
            attributes=attributes,
            links=links,
            start_time=_nanoseconds(began),
        )
        if error is not None:
            span.set_attribute(ERROR, error)
            span.set_status(Status(StatusCode.ERROR, error))
        span.end(end_time=max(_nanoseconds(began), _nanoseconds(ended)))

    @staticmethod
    def _of_job(job: Job) -> Attributes:
        spec = job.spec
        shape = "gang" if spec.gang else "service" if spec.service else "array"
        return {JOB: job.id, JOB_CLASS: spec.job_class, TEAM: spec.team, SHAPE: shape}

    # Jobs.

    def job_accepted(self, job: Job, trace_parent: str | None) -> None:
        """A point within the job's span, linked to the user's own trace."""
        parent, links = _ids_of(job), ()
        if trace_parent is not None:
            theirs = read_trace_parent(trace_parent)
            if theirs is None:
                self.nonsense_headers += 1
            else:
                links = (Link(_context_of(theirs)),)
        self._span(
            "job.accept", None, parent, job.submitted_at, clock.wall(), self._of_job(job), links
        )

    def job_assigned(self, job: Job, partitions: list[str]) -> None:
        """From submission to assignment."""
        attributes = {**self._of_job(job), ZONE: tuple(partitions)}
        self._span("job.assign", None, _ids_of(job), job.submitted_at, clock.wall(), attributes)

    def attempt_recorded(self, partition: str, job: Job, index: int, attempt: Attempt) -> None:
        """Remembers when an attempt began; its span is made at its end."""
        self._started[(job.id, index, attempt.number)] = (_ids_of(job), clock.wall())
        while len(self._started) > self._most:
            self._started.popitem(last=False)

    def attempt_ended(self, partition: str, job: str, index: int, end: Termination) -> None:
        """The span of an attempt that this controller started. Of others its trace is not known
        once the job is over."""
        found = self._started.pop((job, index, end.attempt), None)
        if found is None:
            return
        parent, began = found
        attributes: Attributes = {
            JOB: job,
            INDEX: index,
            ATTEMPT: str(end.attempt),
            MACHINE: end.machine,
            ZONE: partition,
            PROOF: end.cause,
        }
        ids = attempt_ids(parent, index, end.attempt, end.machine)
        error = None if end.done or end.cause == "stopped" else end.cause
        self._span("attempt", ids, parent, began, clock.wall(), attributes, error=error)

    def job_over(self, job: Job, status: str) -> None:
        """The span of a whole job, by the controller that recorded its end."""
        attributes = {**self._of_job(job), STATUS: status, TASKS: job.spec.task_count}
        self._span("job", _ids_of(job), None, job.submitted_at, clock.wall(), attributes)

    # Recoveries.

    def recovery_phase(
        self, partition: str, term: int, phase: str, since: datetime, counts: dict[str, int]
    ) -> None:
        """A phase, within its recovery."""
        attributes = {**_of_recovery(partition, term, counts), PHASE: phase}
        ids = recovery_ids(partition, term)
        self._span(f"recovery.{phase}", None, ids, _wall_at(since), clock.wall(), attributes)

    def recovery_over(
        self, partition: str, term: int, since: datetime, counts: dict[str, int]
    ) -> None:
        """A whole recovery."""
        attributes = _of_recovery(partition, term, counts)
        ids = recovery_ids(partition, term)
        self._span("recovery", ids, None, _wall_at(since), clock.wall(), attributes)

    def recovery_machine(self, partition: str, term: int, machine: str, since: datetime) -> None:
        """From the beginning of the term until a machine was heard."""
        attributes: Attributes = {ZONE: partition, TERM: term, MACHINE: machine}
        ids = recovery_ids(partition, term)
        self._span("recovery.machine", None, ids, _wall_at(since), clock.wall(), attributes)

    def recovery_settled(
        self, partition: str, term: int, task: str, machine: str, how: str, since: datetime
    ) -> None:
        """From when an unrecorded attempt was first seen until it was settled."""
        attributes: Attributes = {
            ZONE: partition,
            TERM: term,
            MACHINE: machine,
            "roadbend.task": task,
            "roadbend.recovery.settlement": how,
        }
        ids = recovery_ids(partition, term)
        self._span("recovery.settlement", None, ids, _wall_at(since), clock.wall(), attributes)


def _of_recovery(partition: str, term: int, counts: dict[str, int]) -> Attributes:
    found: Attributes = {f"roadbend.recovery.{kind}": count for kind, count in counts.items()}
    return {ZONE: partition, TERM: term, **found}


def _ids_of(job: Job) -> SpanIds:
    return job_ids(job.id, clock.to_ms(job.submitted_at))


def _context_of(ids: SpanIds) -> trace.SpanContext:
    return trace.SpanContext(
        ids.trace, ids.span, is_remote=True, trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED)
    )


def _remote(ids: SpanIds) -> trace.Span:
    return trace.NonRecordingSpan(_context_of(ids))


# How often the counters are logged.
COUNTERS_EVERY = timedelta(seconds=60)
