"""Heartbeats between controllers, and the state of a peer that they provide."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend.clock import DRIFT, ZERO
from roadbend.peers.frames import PayloadReader, PayloadWriter, supports

# A peer counts as alive if it answered a heartbeat within this time.
ALIVE_FOR = timedelta(seconds=3.5)
# Encodes a last read age of None; also the upper limit of other encoded durations.
_NEVER = 0xFFFFFFFF
# Durations in a heartbeat are whole milliseconds. The second millisecond excludes a cancellation
# that was confirmed exactly at the start of the span that the list covers.
_ROUNDING = timedelta(milliseconds=2)


class RequestRates(NamedTuple):
    """The request rates per second that a controller recently used of the shared limits."""

    state_requests: float
    state_changes: float
    cloud_requests: float


@dataclass(frozen=True)
class PeerHeartbeat:
    """The state that a controller reports to each of the others every second."""

    incarnation: str
    uptime: timedelta
    # Time since the last answered read of the state store began; None: none since the process
    # started.
    last_read_age: timedelta | None
    request_rates: RequestRates
    # The partitions that the sender leads, with their terms.
    led_partitions: dict[str, int] = field(default_factory=dict)
    # Machines that recently sent heartbeats to the sender, by partition, for partitions that it
    # does not lead.
    reporting_machines: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # Cancellations that the sender confirmed to users, complete for the last `cancellations_span`.
    cancellations_span: timedelta = ZERO
    cancellations: tuple[str, ...] = ()

    def pack(self) -> bytes:
        """Encode the payload of a frame."""
        writer = PayloadWriter().text(self.incarnation).put("Q", _milliseconds(self.uptime))
        writer.put("I", _read_age_milliseconds(self.last_read_age))
        span = min(_milliseconds(self.cancellations_span), _NEVER)
        writer.put("fffI", *self.request_rates, span)
        writer.put("H", len(self.led_partitions))
        for partition, term in self.led_partitions.items():
            writer.text(partition).put("Q", term)
        writer.put("H", len(self.reporting_machines))
        for partition, machines in self.reporting_machines.items():
            writer.text(partition).texts(machines)
        return writer.texts(self.cancellations).payload()

    @staticmethod
    def unpack(payload: bytes) -> "PeerHeartbeat":
        """Decode the payload of a frame; raise `FrameError` if it is malformed."""
        reader = PayloadReader(payload)
        incarnation = reader.text()
        uptime, last_read_age = reader.read_one("Q"), reader.read_one("I")
        state_requests, state_changes, cloud_requests, span = reader.read("fffI")
        led_partitions = {}
        for _ in range(reader.read_one("H")):
            partition = reader.text()
            led_partitions[partition] = reader.read_one("Q")
        reporting_machines = {}
        for _ in range(reader.read_one("H")):
            partition = reader.text()
            reporting_machines[partition] = reader.texts()
        cancellations = reader.texts()
        reader.expect_end()
        return PeerHeartbeat(
            incarnation=incarnation,
            uptime=timedelta(milliseconds=uptime),
            last_read_age=None
            if last_read_age == _NEVER
            else timedelta(milliseconds=last_read_age),
            request_rates=RequestRates(state_requests, state_changes, cloud_requests),
            led_partitions=led_partitions,
            reporting_machines=reporting_machines,
            cancellations_span=timedelta(milliseconds=span),
            cancellations=cancellations,
        )


def _milliseconds(duration: timedelta) -> int:
    return max(0, round(duration.total_seconds() * 1000))


def _read_age_milliseconds(age: timedelta | None) -> int:
    return _NEVER if age is None else min(_milliseconds(age), _NEVER - 1)


@dataclass
class PeerState:
    """The state of a peer according to its last reply to a heartbeat."""

    heartbeat: PeerHeartbeat | None = None
    # When the heartbeat that it answered was sent, and when its reply was received.
    requested_at: datetime | None = None
    received_at: datetime | None = None
    # All cancellations that the peer confirmed to users before this time are known here, from the
    # peer's own lists.
    cancellation_watermark: datetime | None = None

    def update(
        self,
        heartbeat: PeerHeartbeat,
        requested_at: datetime,
        now: datetime,
        last_read_at: datetime | None,
    ) -> None:
        """Store a reply received now, and advance the cancellation watermark if possible.

        `last_read_at` is when our last answered read of the state store began. The watermark
        advances only if the peer's list reaches back to the time up to which we knew its
        cancellations, and the peer's process has run since then: it can't know what a former
        process confirmed to users. The peer measures the span back from when it replied, which may
        be as late as now, and its clock may run faster than ours.
        """
        known_until = self.cancellations_known_until(last_read_at)
        covered = min(heartbeat.uptime, heartbeat.cancellations_span) * (1 - DRIFT) - _ROUNDING
        if known_until is not None and now - covered <= known_until:
            self.cancellation_watermark = max(known_until, requested_at)
        self.heartbeat, self.requested_at, self.received_at = heartbeat, requested_at, now

    def cancellations_known_until(self, last_read_at: datetime | None) -> datetime | None:
        """Return the time up to which all of the peer's cancellations are known here.

        They are known from the records, or from the peer's own lists. None: nothing is known.
        """
        known = [at for at in (self.cancellation_watermark, last_read_at) if at is not None]
        return max(known) if known else None

    def alive(self, now: datetime) -> bool:
        """Return whether the peer answered a heartbeat recently."""
        return self.received_at is not None and now - self.received_at < ALIVE_FOR

    def supports(self, extension: str) -> bool:
        """Return whether the peer supports an extension of version 2 of the frames.

        False for a peer that has never answered a heartbeat.
        """
        return self.heartbeat is not None and supports(self.heartbeat.incarnation, extension)
