"""A leader's state of its partition's machines, and the rules for admitting their heartbeats."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend.fleet.messages import (
    NO_HEARTBEAT_YET,
    HeartbeatPosition,
    TaskState,
    UnparsedTasks,
    WorkerHeartbeat,
)
from roadbend.fleet.replayable_starts import ReplayableStarts
from roadbend.fleet.terminations import TaskKey
from roadbend.wire_values import INTEGER_LIMIT

# A worker that receives the response to its heartbeat sends the next one within HEARTBEAT_JITTER
# times the interval, plus SEND_DELAY_MARGIN. A worker whose response was lost times out after 4 s
# and tries another controller.
HEARTBEAT_JITTER = 1.25
SEND_DELAY_MARGIN = timedelta(seconds=0.7)
# Greater than the epoch of any heartbeat.
ABOVE_ALL_EPOCHS = INTEGER_LIMIT


@dataclass
class ObservedTask:
    """A task as the machine last reported it."""

    attempt: int
    state: TaskState | str
    # When it was first reported in this state.
    since: datetime
    running_since: datetime | None = None


@dataclass
class DirectStart:
    """A direct command to start an attempt.

    The machine may execute it late. That the attempt is absent or ended therefore proves nothing
    until the outcome of the command is known: it is acknowledged, with the machine's position at
    that time, or it is fenced by a higher token, with which the machine refuses the command.
    """

    attempt: int
    epoch: int
    acknowledged_position: HeartbeatPosition | None = None
    fenced: bool = False
    # The machine refused the command and will never execute it.
    refused: bool = False

    def is_settled(self, heartbeat: WorkerHeartbeat, current: bool) -> bool:
        """Return whether the attempt's state in a heartbeat is final.

        `current`: the heartbeat carries the leader's token.
        """
        if heartbeat.position.epoch > self.epoch:
            return True
        if self.fenced:
            return current
        acknowledged = self.acknowledged_position
        return acknowledged is not None and heartbeat.position > acknowledged

    def may_be_carried_out(self, machine: "Machine", _now: datetime) -> bool:
        """Return whether the machine may still execute the command.

        `is_settled` is about what a heartbeat proves of the attempt. This is about the command
        itself: one that was acknowledged has been executed already.
        """
        if self.refused or self.acknowledged_position is not None:
            return False
        if machine.contact.position.epoch > self.epoch:
            return False
        return not (self.fenced and machine.token.confirmed)


@dataclass(slots=True)
class HeartbeatContact:
    """Contact with a machine, as inferred from its heartbeats, and the start of its lease."""

    # Position of the newest admitted heartbeat.
    position: HeartbeatPosition = NO_HEARTBEAT_YET
    last_heartbeat_at: datetime | None = None
    # An upper bound for the start of the worker's lease. The lease starts when the worker sends a
    # heartbeat that is answered with 200, so this is when the last heartbeat arrived that is or may
    # be answered so. It is also the time of the last direct start, as a machine that has just
    # restarted would execute that.
    lease_started_at: datetime | None = None
    # When there was last evidence that a response reached the machine. A machine that sends
    # heartbeats but does not receive the responses looks healthy by `last_heartbeat_at` alone.
    acknowledged_at: datetime | None = None
    # A heartbeat arrived that was not newer than the last one: it was delivered late or twice, or
    # the machine has restarted.
    suspected: bool = False

    def is_responsive(self, now: datetime, silent_after: timedelta) -> bool:
        """Return whether a response is known to have reached the machine within this time."""
        return self.acknowledged_at is not None and now - self.acknowledged_at < silent_after

    def advance_to(self, position: HeartbeatPosition, now: datetime) -> None:
        """Advance to the position of a newer heartbeat that is or may be answered."""
        self.position = position
        self.lease_started_at = now

    def is_latest(self, heartbeat: WorkerHeartbeat) -> bool:
        """Return whether this is the newest heartbeat admitted from the machine."""
        return self.position == heartbeat.position

    def record_heartbeat(self, now: datetime, heartbeat_interval: timedelta) -> None:
        """Record the arrival of a heartbeat, and infer whether the previous one was answered."""
        last, self.last_heartbeat_at = self.last_heartbeat_at, now
        if last is None or now - last < heartbeat_interval * HEARTBEAT_JITTER + SEND_DELAY_MARGIN:
            self.acknowledged_at = now


@dataclass(slots=True)
class MachineToken:
    """The fencing token of a machine, and the direct starts that may still be in transit."""

    # The machine has reported the leader's token, so it refuses the orders of former leaders.
    confirmed: bool = False
    # Created in this term and not seen before: it may be given tasks from its first heartbeat on.
    newly_created: bool = False
    # Number of the machine's known restarts and of the times its token was raised. It is part of
    # the token, which distinguishes the incarnations.
    incarnation: int = 0
    direct_starts: dict[tuple[str, int], DirectStart] = field(default_factory=dict)
    replayable_starts: ReplayableStarts = field(default_factory=ReplayableStarts)

    def advance(self) -> None:
        """Advance to the next incarnation, whose token the machine has to confirm first.

        Direct starts in transit, and copies of earlier ones, carry a lower token, so they are
        fenced.
        """
        self.incarnation += 1
        self.confirmed = self.newly_created = False
        self.replayable_starts.clear()
        for start in self.direct_starts.values():
            start.fenced = True


@dataclass(slots=True)
class MachineLifecycle:
    """Whether a machine is about to be removed, and why."""

    # When the cloud reclaims it, if there is a reclaim notice.
    reclaim_at: datetime | None = None
    # Why it is being drained.
    draining: str | None = None
    # Until when it is given no tasks because tasks failed on it.
    quarantined_until: datetime | None = None
    # Its deletion is in progress: no orders are sent to it, as the deletion could overtake them.
    fencing: bool = False

    def is_quarantined(self, now: datetime) -> bool:
        """Return whether it is kept out of use because tasks failed on it."""
        return self.quarantined_until is not None and now < self.quarantined_until

    def accepts_tasks(self, now: datetime) -> bool:
        """Return whether it is neither about to be removed nor in quarantine."""
        return self.draining is None and self.reclaim_at is None and not self.is_quarantined(now)


@dataclass(slots=True)
class HeartbeatEvaluationCache:
    """The last evaluated heartbeat. The next one need not be parsed if it reports the same."""

    reported_tasks: UnparsedTasks | None = None
    # Version of the machine's records at the time; None: the next heartbeat is parsed in full.
    unchanged_version: int | None = None

    def invalidate(self) -> None:
        """Have the next heartbeat parsed in full, because the response may differ."""
        self.unchanged_version = None


@dataclass
class Machine:
    """A partition leader's state of one machine."""

    id: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    contact: HeartbeatContact = field(default_factory=HeartbeatContact)
    token: MachineToken = field(default_factory=MachineToken)
    lifecycle: MachineLifecycle = field(default_factory=MachineLifecycle)
    last_evaluation: HeartbeatEvaluationCache = field(default_factory=HeartbeatEvaluationCache)
    # Free capacity according to the records, with the version of the records it is computed from.
    free: tuple[int, float, float, float] | None = None
    tasks: dict[TaskKey, ObservedTask] = field(default_factory=dict)
    # Sizes in GB of the images that are presumably cached on it, most recently used last.
    images: dict[str, float] = field(default_factory=dict)
    empty_since: datetime | None = None
    unrecorded_tasks: int = 0

    def admit(self, heartbeat: WorkerHeartbeat, token: int, now: datetime) -> bool:
        """Admit a heartbeat that is newer than all before it and of the known incarnation.

        Later use of the heartbeat is valid only while `contact.is_latest` holds. If it is not
        admitted, the machine has to be probed.
        """
        contact = self.contact
        if heartbeat.position <= contact.position or (
            self.token.confirmed and heartbeat.token < token
        ):
            contact.suspected = True
            return False
        if heartbeat.position.epoch > contact.position.epoch:
            self.token.replayable_starts.clear()
        contact.advance_to(heartbeat.position, now)
        return True

    def is_settled(
        self, key: tuple[str, int], attempt: int, heartbeat: WorkerHeartbeat, current: bool
    ) -> bool:
        """Return whether no direct start can change what a heartbeat shows of an attempt."""
        start = self.token.direct_starts.get(key)
        if start is None or start.attempt != attempt:
            return True
        return start.is_settled(heartbeat, current)

    def raise_token(self) -> None:
        """Raise the machine's token, so that it refuses what was sent under the present one.

        Nothing more is started here until the machine reports the new token.
        """
        self.token.advance()
        self.last_evaluation = HeartbeatEvaluationCache()

    def follow_token(self, incarnation: int) -> None:
        """Adopt the higher token of this term that a peer has sent to the machine.

        A controller raises the token before it confirms a cancellation while the leader is
        unreachable.
        """
        self.token.advance()
        self.token.incarnation = incarnation
        self.last_evaluation = HeartbeatEvaluationCache()

    def record_restart(self, position: HeartbeatPosition) -> None:
        """Record that the machine restarted; its heartbeats now count from this position."""
        self.contact.position, self.contact.suspected = position, False
        self.token.advance()
        for start in self.token.direct_starts.values():
            start.epoch = ABOVE_ALL_EPOCHS
        self.tasks, self.images, self.unrecorded_tasks = {}, {}, 0
        self.last_evaluation = HeartbeatEvaluationCache()

    def record_image(self, image: str, gb: float, cache_gb: float) -> None:
        """Record that an image was used; the most recently used images stay in the cache."""
        self.images.pop(image, None)
        self.images[image] = gb
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.pop(next(iter(self.images)))


class StopReceipt(NamedTuple):
    """A machine's response to a direct command to stop, which it has executed."""

    # The machine's incarnation, as its leader counts them, when the command was sent.
    incarnation: int
    # The machine's position when it answered.
    position: HeartbeatPosition


@dataclass
class StopOrder:
    """The decision to stop an attempt, its reason, and when it was last sent on each path."""

    attempt: int
    grace: timedelta
    reason: str
    decided_at: datetime
    machine: str
    # When the order was last sent in the response to a heartbeat.
    sent_at: datetime | None = None
    # When it was last sent as a direct command, and the response to that.
    sent_directly_at: datetime | None = None
    receipt: StopReceipt | None = None

    def was_carried_out_after(self, heartbeat: HeartbeatPosition, incarnation: int) -> bool:
        """Return whether the machine has executed the order since it sent a heartbeat.

        Such a heartbeat can't show the effect yet, and its response need not repeat the order.
        Without a receipt the response repeats it, as the direct command may be lost.
        """
        receipt = self.receipt
        if receipt is None or receipt.incarnation != incarnation:
            return False
        return receipt.position > heartbeat

    def continue_from(self, former: "StopOrder") -> None:
        """Copy the send times and the receipt of a former order if it is the same."""
        if (former.attempt, former.grace, former.machine) == (
            self.attempt,
            self.grace,
            self.machine,
        ):
            self.sent_at = former.sent_at
            self.sent_directly_at, self.receipt = former.sent_directly_at, former.receipt
