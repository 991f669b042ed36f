"""Machines of a partition as its leader knows them, and which of their heartbeats are admitted."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend.fleet.messages import (
    NO_HEARTBEAT_YET,
    HeartbeatPosition,
    TaskState,
    UnreadTasks,
    WorkerHeartbeat,
)
from roadbend.fleet.terminations import TaskKey
from roadbend.wire_values import INTEGER_LIMIT

# A worker whose heartbeat was answered sends the next one within this share of the interval, and
# within this time of a change; one whose answer was lost waits 4 s and tries another controller.
HEARTBEAT_JITTER = 1.25
ANSWERED_WITHIN = timedelta(seconds=0.7)
# Greater than the epoch of any heartbeat.
NO_EPOCH = INTEGER_LIMIT


@dataclass
class ObservedTask:
    """A task as the machine last showed it."""

    attempt: int
    state: TaskState | str
    # Since when it has been in this state.
    since: datetime
    running_since: datetime | None = None


@dataclass
class DirectStart:
    """A direct command to start an attempt.

    It may be carried out late, so that absence or end of the attempt proves nothing before it is
    known what became of the command: answered, with the machine's position then; or fenced, by a
    token that the machine must show first, since with it the command is refused.
    """

    attempt: int
    epoch: int
    acknowledged_position: HeartbeatPosition | None = None
    fenced: bool = False
    # The machine refused the command: it was not carried out, nor will be.
    refused: bool = False

    def is_settled(self, heartbeat: WorkerHeartbeat, current: bool) -> bool:
        """Whether what a heartbeat shows of the attempt is final; `current`: it has our token."""
        if heartbeat.position.epoch > self.epoch:
            return True
        if self.fenced:
            return current
        acknowledged = self.acknowledged_position
        return acknowledged is not None and heartbeat.position > acknowledged

    def may_be_carried_out(self, machine: "Machine", _now: datetime) -> bool:
        """Whether the machine may still carry the command out.

        Unlike `is_settled`, which tells what a heartbeat proves of the attempt: a command that was
        answered has been carried out.
        """
        if self.refused or self.acknowledged_position is not None:
            return False
        if machine.contact.position.epoch > self.epoch:
            return False
        return not (self.fenced and machine.token.confirmed)


@dataclass(slots=True)
class HeartbeatContact:
    """What heartbeats tell of contact with a machine, and when its lease began."""

    # Of the newest heartbeat admitted.
    position: HeartbeatPosition = NO_HEARTBEAT_YET
    last_heartbeat_at: datetime | None = None
    # The lease counts from no later than this: when the last heartbeat came that is or may be
    # answered with 200, for a lease counts from when that heartbeat was sent; or when the last
    # direct start went out, for a machine that had just restarted would carry it out.
    lease_started_at: datetime | None = None
    # When something last showed that an answer of ours reached the machine. One that sends
    # heartbeats without receiving our answers looks healthy by `last_heartbeat_at` alone.
    acknowledged_at: datetime | None = None
    # A heartbeat came that was not newer than the last: a late copy, or the machine restarted.
    suspected: bool = False

    def is_responsive(self, now: datetime, silent_after: timedelta) -> bool:
        """Whether an answer of ours reached the machine within this time."""
        return self.acknowledged_at is not None and now - self.acknowledged_at < silent_after

    def advance_to(self, position: HeartbeatPosition, now: datetime) -> None:
        """Advance to a newer heartbeat, which is, or may be, answered."""
        self.position = position
        self.lease_started_at = now

    def is_latest(self, heartbeat: WorkerHeartbeat) -> bool:
        """Whether nothing newer of the machine has been admitted than this heartbeat."""
        return self.position == heartbeat.position

    def record_heartbeat(self, now: datetime, heartbeat_interval: timedelta) -> None:
        """Note when a heartbeat came, and infer whether the one before it was answered."""
        last, self.last_heartbeat_at = self.last_heartbeat_at, now
        if last is None or now - last < heartbeat_interval * HEARTBEAT_JITTER + ANSWERED_WITHIN:
            self.acknowledged_at = now


@dataclass(slots=True)
class MachineToken:
    """How far a machine follows our fencing token, and which direct starts may be under way."""

    # It has carried our token: former leaders' orders can't reach it any more.
    confirmed: bool = False
    # Created in this term and not seen before: it takes work from its first heartbeat on.
    newly_created: bool = False
    # How often the machine was seen to restart, and how often it was fenced; part of the token, so
    # that incarnations are told apart.
    incarnation: int = 0
    direct_starts: dict[tuple[str, int], DirectStart] = field(default_factory=dict)

    def advance(self) -> None:
        """Go on to the next incarnation, whose token the machine has to confirm first.

        Direct starts that are under way carry a lower token, so they are fenced.
        """
        self.incarnation += 1
        self.confirmed = self.newly_created = False
        for start in self.direct_starts.values():
            start.fenced = True


@dataclass(slots=True)
class MachineLifecycle:
    """Why a machine is leaving, if it is."""

    # When the cloud reclaims it, if it has given notice.
    reclaim_at: datetime | None = None
    # Why it is being drained.
    draining: str | None = None
    # Its deletion is under way: no order goes to it, so that the deletion can't overtake one.
    fencing: bool = False


@dataclass(slots=True)
class HeartbeatEvaluationCache:
    """The last evaluated heartbeat, by which one that says the same is answered unread."""

    reported_tasks: UnreadTasks | None = None
    # Count of changes to the machine's records then; None: the next heartbeat is read in full.
    unchanged_version: int | None = None

    def invalidate(self) -> None:
        """Have the next heartbeat read in full, because what it is answered may have changed."""
        self.unchanged_version = None


@dataclass
class Machine:
    """A machine of a partition, as the partition's leader knows it."""

    id: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    contact: HeartbeatContact = field(default_factory=HeartbeatContact)
    token: MachineToken = field(default_factory=MachineToken)
    lifecycle: MachineLifecycle = field(default_factory=MachineLifecycle)
    last_evaluation: HeartbeatEvaluationCache = field(default_factory=HeartbeatEvaluationCache)
    # What the records leave free on it, and the version of the records that it was computed from.
    free: tuple[int, float, float, float] | None = None
    tasks: dict[TaskKey, ObservedTask] = field(default_factory=dict)
    # Sizes of the images that it is thought to have, in GB, the most recently used one last.
    images: dict[str, float] = field(default_factory=dict)
    # Jobs of which a task failed here, and when it last did.
    failures: dict[str, datetime] = field(default_factory=dict)
    empty_since: datetime | None = None
    unrecorded_tasks: int = 0

    def admit(self, heartbeat: WorkerHeartbeat, token: int, now: datetime) -> bool:
        """Admit a heartbeat that is newer than all before it and of the known incarnation.

        The one place where the machine's position moves on: what is read of this heartbeat later
        holds only as long as `contact.is_latest`. Where it is not admitted, the machine itself has
        to be asked.
        """
        contact = self.contact
        if heartbeat.position <= contact.position or (
            self.token.confirmed and heartbeat.token < token
        ):
            contact.suspected = True
            return False
        contact.advance_to(heartbeat.position, now)
        return True

    def settled(
        self, key: tuple[str, int], attempt: int, heartbeat: WorkerHeartbeat, current: bool
    ) -> bool:
        """Whether what a heartbeat shows of an attempt is final, as far as direct starts go."""
        start = self.token.direct_starts.get(key)
        if start is None or start.attempt != attempt:
            return True
        return start.is_settled(heartbeat, current)

    def raise_token(self) -> None:
        """Raise the token, because nobody knows what became of a direct start.

        Nothing more is started here before the machine shows the new token.
        """
        self.token.advance()
        self.last_evaluation = HeartbeatEvaluationCache()

    def follow_token(self, incarnation: int) -> None:
        """Go on from the token of our term that a peer has raised the machine's to.

        A controller does so before it confirms a cancellation while we can't be asked.
        """
        self.token.advance()
        self.token.incarnation = incarnation
        self.last_evaluation = HeartbeatEvaluationCache()

    def record_restart(self, position: HeartbeatPosition) -> None:
        """Begin a new incarnation, which counts its heartbeats anew from this position."""
        self.contact.position, self.contact.suspected = position, False
        self.token.advance()
        for start in self.token.direct_starts.values():
            start.epoch = NO_EPOCH
        self.tasks, self.images, self.unrecorded_tasks = {}, {}, 0
        self.last_evaluation = HeartbeatEvaluationCache()

    def record_image(self, image: str, gb: float, cache_gb: float) -> None:
        """Note that an image was used; the most recently used images stay in the cache."""
        self.images.pop(image, None)
        self.images[image] = gb
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.pop(next(iter(self.images)))


class StopReceipt(NamedTuple):
    """A machine's answer to a direct command to stop: it has carried the command out."""

    # Of the machine, as its leader counts them, when the command went out.
    incarnation: int
    # The machine's position when it answered.
    position: HeartbeatPosition


@dataclass
class StopOrder:
    """The decision to stop an attempt, why, and when and by which way it last went out."""

    attempt: int
    grace: timedelta
    reason: str
    decided_at: datetime
    machine: str
    # When the answer to a heartbeat last carried the order.
    sent_at: datetime | None = None
    # When a direct command last did, and its answer.
    sent_directly_at: datetime | None = None
    receipt: StopReceipt | None = None

    def was_carried_out_after(self, heartbeat: HeartbeatPosition, incarnation: int) -> bool:
        """Whether the machine has carried the order out since it sent a heartbeat.

        Such a heartbeat can't show it, and its answer need not carry the order again. Without that
        proof it does: the direct command may be lost.
        """
        receipt = self.receipt
        if receipt is None or receipt.incarnation != incarnation:
            return False
        return receipt.position > heartbeat

    def continue_from(self, former: "StopOrder") -> None:
        """Take over when an order that says the same went out."""
        if (former.attempt, former.grace, former.machine) == (
            self.attempt,
            self.grace,
            self.machine,
        ):
            self.sent_at = former.sent_at
            self.sent_directly_at, self.receipt = former.sent_directly_at, former.receipt
