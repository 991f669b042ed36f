"""Frames of the bidding: request, accept, assign, revoke, inform. docs/peers.md describes them."""

from dataclasses import dataclass, replace
from datetime import timedelta

from roadbend.bidding.casa import Bid
from roadbend.peers.frames import Scanner, Writer
from roadbend.peers.links import finite
from roadbend.store.records import JobSpec, Resources


@dataclass(frozen=True)
class BidRequest:
    """A request, or, with `theirs` set, an inform: what a partition must know to bid."""

    job: str
    requests: int
    free: int
    spec: JobSpec
    partition: str = ""
    theirs: timedelta | None = None
    their_average: timedelta = timedelta()
    # How long the job has waited since its submission.
    waited: timedelta = timedelta()

    def pack(self) -> bytes:
        s = self.spec
        out = Writer().text(self.job).put("HI", self.requests, self.free)
        out.text(s.team).text(s.job_class).put("?BI", s.service, s.priority, s.task_count)
        out.put("ddd", s.resources.cpus, s.resources.gpus, s.resources.memory)
        out.put("h", -1 if s.machine_types is None else len(s.machine_types))
        for machine_type in s.machine_types or ():
            out.text(machine_type)
        out.maybe(s.zone).put("???", s.together, s.apart, s.spot).text(s.image).put("d", s.image_gb)
        out.put("ddd", *(x.total_seconds() for x in (s.expected_duration, s.checkpoint, s.save)))
        out.put("d", -1.0 if s.due is None else s.due.total_seconds())
        out.text(self.partition).put(
            "ddd",
            -1.0 if self.theirs is None else self.theirs.total_seconds(),
            self.their_average.total_seconds(),
            max(0.0, self.waited.total_seconds()),
        )
        return out.bytes()

    def as_gang(self) -> "BidRequest":
        return replace(self, spec=replace(self.spec, gang=True))

    @staticmethod
    def unpack(data: bytes) -> "BidRequest":
        scan = Scanner(data)
        job, (requests, free) = scan.text(), scan.get("HI")
        team, job_class, (service, priority, task_count) = scan.text(), scan.text(), scan.get("?BI")
        resources = Resources(*(finite(x) for x in scan.get("ddd")))
        count = scan.one("h")
        machine_types = None if count < 0 else tuple(scan.text() for _ in range(count))
        zone, (together, apart, spot) = scan.maybe(), scan.get("???")
        image, image_gb = scan.text(), finite(scan.one("d"))
        expected, checkpoint, save = (_span(x) for x in scan.get("ddd"))
        due = scan.one("d")
        partition, (theirs, average, waited) = scan.text(), scan.get("ddd")
        scan.end()
        spec = JobSpec(
            team,
            job_class,
            service,
            priority,
            task_count,
            resources,
            machine_types,
            zone,
            together,
            apart,
            spot,
            image,
            image_gb,
            expected,
            checkpoint,
            save,
            None if due < 0 else _span(due),
        )
        theirs = None if theirs < 0 else _span(theirs)
        return BidRequest(
            job, requests, free, spec, partition, theirs, _span(average), _span(waited)
        )


def _span(value: float) -> timedelta:
    return timedelta(seconds=min(1e8, finite(value)))


def pack_bids(bids: list[Bid]) -> bytes:
    out = Writer().put("H", len(bids))
    for bid in bids:
        out.text(bid.partition).text(bid.controller)
        out.put(
            "ddd", *(x.total_seconds() for x in (bid.job_time, bid.queue_time, bid.shadow_time))
        )
        out.put("II", min(bid.startable_now, 1 << 31), min(bid.capacity, 1 << 31))
    return out.bytes()


def unpack_bids(data: bytes) -> list[Bid]:
    scan = Scanner(data)
    bids = []
    for _ in range(scan.one("H")):
        partition, controller = scan.text(), scan.text()
        times = [_span(x) for x in scan.get("ddd")]
        now, capacity = scan.get("II")
        bids.append(Bid(partition, controller, *times, now, capacity))
    scan.end()
    return bids


def pack_assign(job: str, value: bytes, mod_revision: int) -> bytes:
    return Writer().text(job).put("QI", mod_revision, len(value)).bytes() + value


def unpack_assign(data: bytes) -> tuple[str, bytes, int]:
    scan = Scanner(data)
    job, (mod_revision, length) = scan.text(), scan.get("QI")
    return job, data[len(data) - length :] if length else b"", mod_revision


def pack_revoke(job: str) -> bytes:
    return Writer().text(job).bytes()


def unpack_revoke(data: bytes) -> str:
    scan = Scanner(data)
    job = scan.text()
    scan.end()
    return job
