"""Payloads of the bidding frames: requests for bids, bids, assignments, revocations.

docs/peers.md specifies them byte by byte. A malformed payload raises `FrameError`.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from roadbend.bidding.casa import Bid
from roadbend.clock import ZERO
from roadbend.peers.frames import PayloadReader, PayloadWriter, require_finite
from roadbend.store.records import JobSpec, Resources

# The encodings of an absent duration and of an absent list of machine types.
ABSENT_SECONDS = -1.0
ABSENT_LIST = -1
# Longer durations are read as this one.
MAX_SECONDS = 1e8
# Larger numbers of tasks are sent as this one.
MAX_TASKS = 1 << 31


@dataclass(frozen=True, kw_only=True)
class BidRequest:
    """A request to bid for a job: the paper's request message (algorithm 1).

    With `requester_response` set it is the paper's inform message (algorithm 4): the job waits in
    `from_partition` and is to be rescheduled.
    """

    job: str
    # The number of controllers that the request is sent to, the paper's x.
    requests: int
    # The number of the job's tasks for which bids are requested.
    tasks: int
    spec: JobSpec
    from_partition: str = ""
    # The job's response time in `from_partition`, and the average queuing time there.
    requester_response: timedelta | None = None
    requester_average: timedelta = ZERO
    # How long the job has waited since its submission.
    waited: timedelta = ZERO

    def pack(self) -> bytes:
        """Return the payload. The frame's kind, not the payload, says whether the job is a gang."""
        writer = PayloadWriter().text(self.job).put("HI", self.requests, self.tasks)
        _pack_spec(writer, self.spec)
        writer.text(self.from_partition)
        writer.put("d", _seconds(self.requester_response))
        writer.put("d", _seconds(self.requester_average))
        writer.put("d", max(0.0, _seconds(self.waited)))
        return writer.payload()

    def as_gang(self) -> "BidRequest":
        """Return the same request for a gang."""
        return replace(self, spec=replace(self.spec, gang=True))

    @staticmethod
    def unpack(data: bytes) -> "BidRequest":
        """Read a payload."""
        reader = PayloadReader(data)
        job, (requests, tasks) = reader.text(), reader.read("HI")
        spec = _unpack_spec(reader)
        from_partition, (response, average, waited) = reader.text(), reader.read("ddd")
        reader.expect_end()
        return BidRequest(
            job=job,
            requests=requests,
            tasks=tasks,
            spec=spec,
            from_partition=from_partition,
            requester_response=_optional_duration(response),
            requester_average=_duration(average),
            waited=_duration(waited),
        )


def _pack_spec(writer: PayloadWriter, spec: JobSpec) -> None:
    writer.text(spec.team).text(spec.job_class)
    writer.put("?BI", spec.service, spec.priority, spec.task_count)
    writer.put("ddd", spec.resources.cpus, spec.resources.gpus, spec.resources.memory)
    writer.put("h", ABSENT_LIST if spec.machine_types is None else len(spec.machine_types))
    for machine_type in spec.machine_types or ():
        writer.text(machine_type)
    writer.optional_text(spec.zone).put("???", spec.together, spec.apart, spec.spot)
    writer.text(spec.image).put("d", spec.image_gb)
    for duration in (spec.expected_duration, spec.checkpoint, spec.save, spec.due):
        writer.put("d", _seconds(duration))


def _unpack_spec(reader: PayloadReader) -> JobSpec:
    team, job_class, (service, priority, task_count) = (
        reader.text(),
        reader.text(),
        reader.read("?BI"),
    )
    cpus, gpus, memory = (require_finite(value) for value in reader.read("ddd"))
    count = reader.read_one("h")
    machine_types = None if count < 0 else tuple(reader.text() for _ in range(count))
    zone, (together, apart, spot) = reader.optional_text(), reader.read("???")
    image, image_gb = reader.text(), require_finite(reader.read_one("d"))
    expected_duration, checkpoint, save = (_duration(value) for value in reader.read("ddd"))
    due = _optional_duration(reader.read_one("d"))
    return JobSpec(
        team=team,
        job_class=job_class,
        service=service,
        priority=priority,
        task_count=task_count,
        resources=Resources(cpus, gpus, memory),
        machine_types=machine_types,
        zone=zone,
        together=together,
        apart=apart,
        spot=spot,
        image=image,
        image_gb=image_gb,
        expected_duration=expected_duration,
        checkpoint=checkpoint,
        save=save,
        due=due,
    )


def _seconds(duration: timedelta | None) -> float:
    return ABSENT_SECONDS if duration is None else duration.total_seconds()


def _duration(seconds: float) -> timedelta:
    return timedelta(seconds=min(MAX_SECONDS, require_finite(seconds)))


def _optional_duration(seconds: float) -> timedelta | None:
    return None if seconds < 0 else _duration(seconds)


def pack_bids(bids: Sequence[Bid]) -> bytes:
    """Return the payload of the reply to a request: the bids of a controller's partitions."""
    writer = PayloadWriter().put("H", len(bids))
    for bid in bids:
        writer.text(bid.partition).text(bid.controller)
        for duration in (bid.job_time, bid.queue_time, bid.shadow_time):
            writer.put("d", duration.total_seconds())
        writer.put("II", min(bid.startable_now, MAX_TASKS), min(bid.capacity, MAX_TASKS))
    return writer.payload()


def unpack_bids(data: bytes) -> list[Bid]:
    """Read the payload of the reply to a request."""
    reader = PayloadReader(data)
    bids = [_unpack_bid(reader) for _ in range(reader.read_one("H"))]
    reader.expect_end()
    return bids


def _unpack_bid(reader: PayloadReader) -> Bid:
    partition, controller = reader.text(), reader.text()
    job_time, queue_time, shadow_time = (_duration(value) for value in reader.read("ddd"))
    startable_now, capacity = reader.read("II")
    return Bid(
        partition=partition,
        controller=controller,
        job_time=job_time,
        queue_time=queue_time,
        shadow_time=shadow_time,
        startable_now=startable_now,
        capacity=capacity,
    )


@dataclass(frozen=True)
class Assignment:
    """Notifies a bidder that its partition gets tasks of a job: the paper's assign message.

    `value` is the job's new record as CBOR and may be empty; `mod_revision` is its mod revision.
    """

    job: str
    value: bytes
    mod_revision: int

    def pack(self) -> bytes:
        """Return the payload."""
        head = PayloadWriter().text(self.job).put("QI", self.mod_revision, len(self.value))
        return head.payload() + self.value

    @staticmethod
    def unpack(data: bytes) -> "Assignment":
        """Read a payload."""
        reader = PayloadReader(data)
        job, (mod_revision, length) = reader.text(), reader.read("QI")
        return Assignment(job, data[len(data) - length :] if length else b"", mod_revision)


@dataclass(frozen=True)
class Revocation:
    """Notifies a bidder that other partitions got the job, so that its promise no longer counts."""

    job: str

    def pack(self) -> bytes:
        """Return the payload."""
        return PayloadWriter().text(self.job).payload()

    @staticmethod
    def unpack(data: bytes) -> "Revocation":
        """Read a payload."""
        reader = PayloadReader(data)
        job = reader.text()
        reader.expect_end()
        return Revocation(job)
