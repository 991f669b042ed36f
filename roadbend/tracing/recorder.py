"""Turns the notifications of the core's observer into spans."""

from __future__ import annotations

from collections import OrderedDict
from datetime import datetime
from typing import NamedTuple

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
ZONE = "cloud.availability_zone"
MACHINE = "host.id"
ERROR = "error.type"
# Attributes specific to roadbend.
JOB = "roadbend.job.id"
JOB_CLASS = "roadbend.job.class"
TEAM = "roadbend.team"
SHAPE = "roadbend.job.shape"
TASKS = "roadbend.job.tasks"
STATUS = "roadbend.job.status"
TASK = "roadbend.task"
TASK_INDEX = "roadbend.task.index"
ATTEMPT = "roadbend.attempt"
TERMINATION_CAUSE = "roadbend.attempt.proof"
TERM = "roadbend.term"
PHASE = "roadbend.recovery.phase"
SETTLEMENT = "roadbend.recovery.settlement"
Attributes = dict[str, AttributeValue]


class _AttemptKey(NamedTuple):
    job: str
    task_index: int
    attempt: int


class _StartedAttempt(NamedTuple):
    # The ids of the span of the attempt's job.
    parent: SpanIds
    recorded_at: datetime


def _nanoseconds(at: datetime) -> int:
    return int(at.timestamp() * 1_000_000_000)


def _wall_at(steady: datetime) -> datetime:
    """Convert an instant of the steady clock to wall-clock time."""
    return clock.wall() - (clock.now() - steady)


class Recorder(Observer):
    """Records spans of the events that it is notified of.

    Ids are derived from records, so every controller adds to the same traces. The start times of at
    most `max_started_attempts` attempts are kept; the oldest are dropped first.
    """

    def __init__(
        self, provider: TracerProvider, ids: DerivedIds, max_started_attempts: int
    ) -> None:
        self._tracer = provider.get_tracer("roadbend")
        self._ids = ids
        self._max_started_attempts = max_started_attempts
        # The attempts that this controller has started and that have not ended.
        self._started: OrderedDict[_AttemptKey, _StartedAttempt] = OrderedDict()
        # Malformed `traceparent` headers of submissions.
        self.malformed_headers = 0

    def _record_span(
        self,
        name: str,
        *,
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
        context = trace.set_span_in_context(_remote_span(parent)) if parent is not None else None
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
    def _job_attributes(job: Job) -> Attributes:
        spec = job.spec
        shape = "gang" if spec.gang else "service" if spec.service else "array"
        return {JOB: job.id, JOB_CLASS: spec.job_class, TEAM: spec.team, SHAPE: shape}

    def job_accepted(self, job: Job, trace_parent: str | None) -> None:
        """Record the span of acceptance, within the job's span and linked to the user's trace."""
        links: tuple[Link, ...] = ()
        if trace_parent is not None:
            user_ids = read_trace_parent(trace_parent)
            if user_ids is None:
                self.malformed_headers += 1
            else:
                links = (Link(_context_of(user_ids)),)
        self._record_span(
            "job.accept",
            ids=None,
            parent=_ids_of(job),
            began=job.submitted_at,
            ended=clock.wall(),
            attributes=self._job_attributes(job),
            links=links,
        )

    def job_assigned(self, job: Job, partitions: list[str]) -> None:
        """Record the span from submission to assignment."""
        attributes = {**self._job_attributes(job), ZONE: tuple(partitions)}
        self._record_span(
            "job.assign",
            ids=None,
            parent=_ids_of(job),
            began=job.submitted_at,
            ended=clock.wall(),
            attributes=attributes,
        )

    def attempt_recorded(self, partition: str, job: Job, index: int, attempt: Attempt) -> None:
        """Store when an attempt began; its span is recorded at its end."""
        key = _AttemptKey(job.id, index, attempt.number)
        self._started[key] = _StartedAttempt(_ids_of(job), clock.wall())
        while len(self._started) > self._max_started_attempts:
            self._started.popitem(last=False)

    def attempt_ended(self, partition: str, job: str, index: int, end: Termination) -> None:
        """Record the span of an attempt that this controller started.

        The trace ids of other attempts are not known once the job has ended.
        """
        started = self._started.pop(_AttemptKey(job, index, end.attempt), None)
        if started is None:
            return
        attributes: Attributes = {
            JOB: job,
            TASK_INDEX: index,
            ATTEMPT: str(end.attempt),
            MACHINE: end.machine,
            ZONE: partition,
            TERMINATION_CAUSE: end.cause,
        }
        self._record_span(
            "attempt",
            ids=attempt_ids(started.parent, index, end.attempt, end.machine),
            parent=started.parent,
            began=started.recorded_at,
            ended=clock.wall(),
            attributes=attributes,
            error=None if end.done or end.cause == "stopped" else end.cause,
        )

    def job_ended(self, job: Job, status: str) -> None:
        """Record the span of a whole job; called by the controller that recorded its end."""
        attributes = {**self._job_attributes(job), STATUS: status, TASKS: job.spec.task_count}
        self._record_span(
            "job",
            ids=_ids_of(job),
            parent=None,
            began=job.submitted_at,
            ended=clock.wall(),
            attributes=attributes,
        )

    def recovery_phase(
        self, partition: str, term: int, phase: str, since: datetime, counts: dict[str, int]
    ) -> None:
        """Record the span of a phase, within its recovery."""
        attributes = {**_recovery_attributes(partition, term, counts), PHASE: phase}
        self._record_span(
            f"recovery.{phase}",
            ids=None,
            parent=recovery_ids(partition, term),
            began=_wall_at(since),
            ended=clock.wall(),
            attributes=attributes,
        )

    def recovery_ended(
        self, partition: str, term: int, since: datetime, counts: dict[str, int]
    ) -> None:
        """Record the span of a whole recovery."""
        self._record_span(
            "recovery",
            ids=recovery_ids(partition, term),
            parent=None,
            began=_wall_at(since),
            ended=clock.wall(),
            attributes=_recovery_attributes(partition, term, counts),
        )

    def recovery_machine(self, partition: str, term: int, machine: str, since: datetime) -> None:
        """Record the span from the beginning of the term until a machine's first heartbeat."""
        attributes: Attributes = {ZONE: partition, TERM: term, MACHINE: machine}
        self._record_span(
            "recovery.machine",
            ids=None,
            parent=recovery_ids(partition, term),
            began=_wall_at(since),
            ended=clock.wall(),
            attributes=attributes,
        )

    def recovery_settled(
        self, partition: str, term: int, task: str, machine: str, how: str, since: datetime
    ) -> None:
        """Record the span of an unrecorded attempt from its first report until its settlement."""
        attributes: Attributes = {
            ZONE: partition,
            TERM: term,
            MACHINE: machine,
            TASK: task,
            SETTLEMENT: how,
        }
        self._record_span(
            "recovery.settlement",
            ids=None,
            parent=recovery_ids(partition, term),
            began=_wall_at(since),
            ended=clock.wall(),
            attributes=attributes,
        )


def _recovery_attributes(partition: str, term: int, counts: dict[str, int]) -> Attributes:
    counted: Attributes = {f"roadbend.recovery.{kind}": count for kind, count in counts.items()}
    return {ZONE: partition, TERM: term, **counted}


def _ids_of(job: Job) -> SpanIds:
    return job_ids(job.id, clock.to_ms(job.submitted_at))


def _context_of(ids: SpanIds) -> trace.SpanContext:
    return trace.SpanContext(
        ids.trace, ids.span, is_remote=True, trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED)
    )


def _remote_span(ids: SpanIds) -> trace.Span:
    return trace.NonRecordingSpan(_context_of(ids))
