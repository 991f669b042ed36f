"""The heartbeats of controllers, and what is known of a peer by them."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend.clock import DRIFT, ZERO
from roadbend.peers.frames import PayloadReader, PayloadWriter, supports

# A peer that was heard this lately counts as alive.
ALIVE_FOR = timedelta(seconds=3.5)
# What stands in a frame for the age of a contact that never was; other durations end at it.
_NO_CONTACT = 0xFFFFFFFF
# Durations in a heartbeat are whole milliseconds; one more keeps out what was told at the very edge
# of the list.
_ROUNDING = timedelta(milliseconds=2)


class RequestRates(NamedTuple):
    """What a controller used of the common limits lately, a second."""

    state_requests: float
    state_changes: float
    cloud_requests: float


@dataclass(frozen=True)
class PeerHeartbeat:
    """What a controller tells each of the others every second."""

    incarnation: str
    uptime: timedelta
    # Age of the last answered read of the state store; None: none since the process began.
    contact_age: timedelta | None
    request_rates: RequestRates
    # The partitions that the sender leads, with their terms.
    led_partitions: dict[str, int] = field(default_factory=dict)
    # Machines heard lately by partition, for partitions that the sender does not lead.
    reporting_machines: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # Cancellations that the sender confirmed to users, complete for the last `cancellations_span`.
    cancellations_span: timedelta = ZERO
    cancellations: tuple[str, ...] = ()

    def pack(self) -> bytes:
        """Encode the payload of a frame."""
        writer = PayloadWriter().text(self.incarnation).put("Q", _milliseconds(self.uptime))
        writer.put("I", _contact_milliseconds(self.contact_age))
        span = min(_milliseconds(self.cancellations_span), _NO_CONTACT)
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
        uptime, contact_age = reader.read_one("Q"), reader.read_one("I")
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
            contact_age=None if contact_age == _NO_CONTACT else timedelta(milliseconds=contact_age),
            request_rates=RequestRates(state_requests, state_changes, cloud_requests),
            led_partitions=led_partitions,
            reporting_machines=reporting_machines,
            cancellations_span=timedelta(milliseconds=span),
            cancellations=cancellations,
        )


def _milliseconds(duration: timedelta) -> int:
    return max(0, round(duration.total_seconds() * 1000))


def _contact_milliseconds(age: timedelta | None) -> int:
    return _NO_CONTACT if age is None else min(_milliseconds(age), _NO_CONTACT - 1)


@dataclass
class PeerState:
    """What is known of a peer by its last answer to a heartbeat."""

    heartbeat: PeerHeartbeat | None = None
    # When the heartbeat that it answered was sent, and when the answer came.
    requested_at: datetime | None = None
    received_at: datetime | None = None
    # All cancellations that the peer confirmed to users before this instant are known here, by its
    # own word.
    cancellation_watermark: datetime | None = None

    def update(
        self,
        heartbeat: PeerHeartbeat,
        requested_at: datetime,
        now: datetime,
        contact: datetime | None,
    ) -> None:
        """Take in an answer that came now, and raise the cancellation watermark if it may be.

        `contact` is when our last answered read of the state store began. The peer's list closes
        the gap only if it goes back to what we had, in one life of that process: what a former
        process confirmed to users, this one can't know. The peer counted back from when it
        answered, which may have been as late as now, on a clock that may run faster than ours.
        """
        known_until = self.cancellations_known_until(contact)
        covered = min(heartbeat.uptime, heartbeat.cancellations_span) * (1 - DRIFT) - _ROUNDING
        if known_until is not None and now - covered <= known_until:
            self.cancellation_watermark = max(known_until, requested_at)
        self.heartbeat, self.requested_at, self.received_at = heartbeat, requested_at, now

    def cancellations_known_until(self, contact: datetime | None) -> datetime | None:
        """Return before which instant all of the peer's cancellations are known here.

        They are known from the records, or from the peer's own word. None: nothing is known.
        """
        known = [at for at in (self.cancellation_watermark, contact) if at is not None]
        return max(known) if known else None

    def alive(self, now: datetime) -> bool:
        """Tell whether the peer was heard lately."""
        return self.received_at is not None and now - self.received_at < ALIVE_FOR

    def supports(self, extension: str) -> bool:
        """Tell whether the peer understands an extension of version 2 of the frames.

        One that has not been heard may not.
        """
        return self.heartbeat is not None and supports(self.heartbeat.incarnation, extension)
