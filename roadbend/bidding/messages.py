"""Payloads of the frames of the bidding: requests for bids, bids, assignments, revocations.

docs/peers.md describes them byte by byte. What cannot be read raises `FrameError`.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from roadbend.bidding.casa import Bid
from roadbend.clock import ZERO
from roadbend.peers.frames import PayloadReader, PayloadWriter, finite
from roadbend.store.records import JobSpec, Resources

# What stands for an absent duration, and for an absent list of machine types.
ABSENT_SECONDS = -1.0
ABSENT_LIST = -1
# The longest duration that is read.
MAX_SECONDS = 1e8
# The largest number of tasks that a bid states.
MAX_TASKS = 1 << 31


@dataclass(frozen=True, kw_only=True)
class BidRequest:
    """What a partition must know to bid for a job: the paper's request message (algorithm 1).

    With `requester_response` set it is the paper's inform message (algorithm 4): the job waits in
    `from_partition`, and is to be rescheduled.
    """

    job: str
    # To how many controllers the request goes, the paper's x.
    requests: int
    # For how many of the job's tasks bids are asked.
    tasks: int
    spec: JobSpec
    from_partition: str = ""
    # The job's response time in `from_partition`, and the average queuing time there.
    requester_response: timedelta | None = None
    requester_average: timedelta = ZERO
    # How long the job has waited since its submission.
    waited: timedelta = ZERO

    def pack(self) -> bytes:
        """Return the payload. Whether the job is a gang is told by the frame's kind."""
        out = PayloadWriter().text(self.job).put("HI", self.requests, self.tasks)
        _pack_spec(out, self.spec)
        out.text(self.from_partition)
        out.put("d", _seconds(self.requester_response))
        out.put("d", _seconds(self.requester_average))
        out.put("d", max(0.0, _seconds(self.waited)))
        return out.payload()

    def as_gang(self) -> "BidRequest":
        """Return the same request for a gang."""
        return replace(self, spec=replace(self.spec, gang=True))

    @staticmethod
    def unpack(data: bytes) -> "BidRequest":
        """Read a payload."""
        scan = PayloadReader(data)
        job, (requests, tasks) = scan.text(), scan.read("HI")
        spec = _unpack_spec(scan)
        from_partition, (response, average, waited) = scan.text(), scan.read("ddd")
        scan.expect_end()
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


def _pack_spec(out: PayloadWriter, spec: JobSpec) -> None:
    out.text(spec.team).text(spec.job_class)
    out.put("?BI", spec.service, spec.priority, spec.task_count)
    out.put("ddd", spec.resources.cpus, spec.resources.gpus, spec.resources.memory)
    out.put("h", ABSENT_LIST if spec.machine_types is None else len(spec.machine_types))
    for machine_type in spec.machine_types or ():
        out.text(machine_type)
    out.optional_text(spec.zone).put("???", spec.together, spec.apart, spec.spot)
    out.text(spec.image).put("d", spec.image_gb)
    for duration in (spec.expected_duration, spec.checkpoint, spec.save, spec.due):
        out.put("d", _seconds(duration))


def _unpack_spec(scan: PayloadReader) -> JobSpec:
    team, job_class, (service, priority, task_count) = scan.text(), scan.text(), scan.read("?BI")
    cpus, gpus, memory = (finite(value) for value in scan.read("ddd"))
    count = scan.read_one("h")
    machine_types = None if count < 0 else tuple(scan.text() for _ in range(count))
    zone, (together, apart, spot) = scan.optional_text(), scan.read("???")
    image, image_gb = scan.text(), finite(scan.read_one("d"))
    expected_duration, checkpoint, save = (_duration(value) for value in scan.read("ddd"))
    due = _optional_duration(scan.read_one("d"))
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
    return timedelta(seconds=min(MAX_SECONDS, finite(seconds)))


def _optional_duration(seconds: float) -> timedelta | None:
    return None if seconds < 0 else _duration(seconds)


def pack_bids(bids: Sequence[Bid]) -> bytes:
    """Return the payload of the answer to a request: the bids of a controller's partitions."""
    out = PayloadWriter().put("H", len(bids))
    for bid in bids:
        out.text(bid.partition).text(bid.controller)
        for duration in (bid.job_time, bid.queue_time, bid.shadow_time):
            out.put("d", duration.total_seconds())
        out.put("II", min(bid.startable_now, MAX_TASKS), min(bid.capacity, MAX_TASKS))
    return out.payload()


def unpack_bids(data: bytes) -> list[Bid]:
    """Read the payload of the answer to a request."""
    scan = PayloadReader(data)
    bids = [_unpack_bid(scan) for _ in range(scan.read_one("H"))]
    scan.expect_end()
    return bids


def _unpack_bid(scan: PayloadReader) -> Bid:
    partition, controller = scan.text(), scan.text()
    job_time, queue_time, shadow_time = (_duration(value) for value in scan.read("ddd"))
    startable_now, capacity = scan.read("II")
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
    """Tells a bidder that its partition gets tasks of a job: the paper's assign message.

    `value` is the job's new record as CBOR, and may be empty; `mod_revision` is its revision.
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
        scan = PayloadReader(data)
        job, (mod_revision, length) = scan.text(), scan.read("QI")
        return Assignment(job, data[len(data) - length :] if length else b"", mod_revision)


@dataclass(frozen=True)
class Revocation:
    """Tells a bidder that a job went elsewhere, so that its promise no longer counts."""

    job: str

    def pack(self) -> bytes:
        """Return the payload."""
        return PayloadWriter().text(self.job).payload()

    @staticmethod
    def unpack(data: bytes) -> "Revocation":
        """Read a payload."""
        scan = PayloadReader(data)
        job = scan.text()
        scan.expect_end()
        return Revocation(job)
