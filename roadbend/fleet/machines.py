"""A partition's machines as their owner knows them, and which of their reports are taken in."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roadbend.fleet.messages import (
    NO_HEARTBEAT_YET,
    HeartbeatPosition,
    UnreadTasks,
    WorkerHeartbeat,
)
from roadbend.fleet.terminations import TaskKey


@dataclass
class ObservedTask:
    """A task as the machine last showed it."""

    attempt: int
    state: str
    since: datetime
    running_since: datetime | None = None


@dataclass
class DirectStart:
    """An order to start that went straight to the machine. It may be carried out late, so that the
    absence or the end of its attempt proves nothing before it is known what became of it: answered,
    with the machine's count then; or fenced, by a token that the machine must show first, since
    with it the order is refused."""

    attempt: int
    epoch: int
    acknowledged_position: HeartbeatPosition | None = None
    fenced: bool = False


@dataclass
class Machine:
    """A machine of a partition, as its owner knows it."""

    id: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    position: HeartbeatPosition = NO_HEARTBEAT_YET
    last_heartbeat_at: datetime | None = None
    # Its lease counts from no later than this: when the last report came that is or may be
    # answered with 200, for a lease counts from when that report was sent; or when the last direct
    # order to start went out, for a machine that had just begun anew would carry it out.
    lease_started_at: datetime | None = None
    # When something last showed that an answer of ours reached it. A machine that reports without
    # hearing us looks healthy by `reported` alone.
    acknowledged_at: datetime | None = None
    # It has carried our token: former owners' orders can't reach it any more.
    token_confirmed: bool = False
    # Hired in this term and not seen before: it takes work from its first report on.
    newly_created: bool = False
    # How often the machine was seen to begin anew; part of its token, so that lives are told apart.
    incarnation: int = 0
    # A report came that was not newer than the last: a late copy, or a machine that began anew.
    suspected: bool = False
    # The tasks as the last report had them, and the count of recorded changes then, if all was in
    # order.
    reported_tasks: UnreadTasks | None = None
    unchanged_version: int | None = None
    # What the records leave free on it, and the mark of the records that this was worked out from.
    free: tuple[int, float, float, float] | None = None
    reclaim_at: datetime | None = None
    tasks: dict[TaskKey, ObservedTask] = field(default_factory=dict)
    draining: str | None = None
    fencing: bool = False
    images: dict[str, float] = field(default_factory=dict)
    failures: dict[str, datetime] = field(default_factory=dict)
    empty_since: datetime | None = None
    unrecorded_tasks: int = 0
    direct: dict[TaskKey, DirectStart] = field(default_factory=dict)

    def fresh(self, now: datetime, silent_after: timedelta) -> bool:
        return self.acknowledged_at is not None and now - self.acknowledged_at < silent_after

    def admit(self, heartbeat: WorkerHeartbeat, token: int, now: datetime) -> bool:
        """Takes a report in if it is newer than all before it and may come from the life of the
        machine that we know. The one place where the machine's count moves on: what is read of this
        report later holds only as long as `is_latest`. Else the machine itself has to be asked."""
        if heartbeat.position <= self.position or self.token_confirmed and heartbeat.token < token:
            self.suspected = True
            return False
        self.take_in(heartbeat.position, now)
        return True

    def take_in(self, position: HeartbeatPosition, now: datetime) -> None:
        """The count of a newer report; it is, or may be, answered."""
        self.position = position
        self.lease_started_at = now

    def is_latest(self, heartbeat: WorkerHeartbeat) -> bool:
        """Whether nothing newer of the machine has been taken in than this report."""
        return self.position == heartbeat.position

    def note_heartbeat(self, now: datetime, heartbeat_interval: timedelta) -> None:
        """A worker that got its answer comes back after a report's time; one that didn't waits 4 s
        and tries another controller first."""
        last, self.last_heartbeat_at = self.last_heartbeat_at, now
        if last is None or now - last < heartbeat_interval * 1.25 + timedelta(seconds=0.7):
            self.acknowledged_at = now

    def settled(
        self, key: TaskKey, attempt: int, heartbeat: WorkerHeartbeat, current: bool
    ) -> bool:
        """Whether what a report shows of an attempt is the last word, as far as direct orders
        go."""
        row = self.direct.get(key)
        if row is None or row.attempt != attempt or heartbeat.epoch > row.epoch:
            return True
        if row.fenced:
            return current
        return (
            row.acknowledged_position is not None and heartbeat.position > row.acknowledged_position
        )

    def fence(self) -> None:
        """Nobody knows what became of a direct order: from now on a higher token goes out, and
        nothing more is started here before the machine shows it."""
        self.incarnation += 1
        self.token_confirmed = self.newly_created = False
        self.reported_tasks = self.unchanged_version = None
        for row in self.direct.values():
            row.fenced = True

    def restart(self, position: HeartbeatPosition) -> None:
        self.position, self.incarnation = position, self.incarnation + 1
        self.token_confirmed = self.newly_created = self.suspected = False
        for row in self.direct.values():
            row.fenced, row.epoch = True, 1 << 64
        self.tasks, self.images, self.unrecorded_tasks = {}, {}, 0
        self.reported_tasks = self.unchanged_version = None

    def note_image(self, image: str, gb: float, cache_gb: float) -> None:
        """Most recently used images stay."""
        self.images.pop(image, None)
        self.images[image] = gb
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.pop(next(iter(self.images)))


@dataclass
class StopOrder:
    """A task that we want stopped, and why."""

    attempt: int
    grace: timedelta
    reason: str
    decided_at: datetime
    machine: str
    # When the answer to a report last carried the kill.
    sent_at: datetime | None = None
