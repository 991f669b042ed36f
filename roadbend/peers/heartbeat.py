"""What controllers tell each other all the time: reach, ownership, reports heard, cancellations."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roadbend.clock import DRIFT
from roadbend.peers.frames import Scanner, Writer

ALIVE_FOR = timedelta(seconds=3.5)
_NEVER = 0xFFFFFFFF
# Times in a pulse are whole milliseconds; one more keeps out what was told at the very edge of the
# list.
_ROUNDING = timedelta(milliseconds=2)


@dataclass(frozen=True)
class PeerHeartbeat:
    """What a controller tells each of the others every second."""

    incarnation: str
    uptime: timedelta
    # Age of the last answered read of the state service; None: none since the process began.
    contact_age: timedelta | None
    # Requests and changes of the state service, and calls of the cloud, a second.
    request_rates: tuple[float, float, float]
    led_partitions: dict[str, int] = field(default_factory=dict)
    # Machines heard lately by partition, for partitions that the sender does not own.
    heard_machines: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # Cancellations that the sender told users of, complete for the last `span`.
    cancellations_span: timedelta = timedelta()
    cancellations: tuple[str, ...] = ()

    def pack(self) -> bytes:
        out = Writer().text(self.incarnation).put("Q", _ms(self.uptime))
        out.put("I", _NEVER if self.contact_age is None else min(_ms(self.contact_age), _NEVER - 1))
        out.put("fffI", *self.request_rates, min(_ms(self.cancellations_span), _NEVER))
        out.put("H", len(self.led_partitions))
        for partition, term in self.led_partitions.items():
            out.text(partition).put("Q", term)
        out.put("H", len(self.heard_machines))
        for partition, names in self.heard_machines.items():
            out.text(partition).put("H", len(names))
            for name in names:
                out.text(name)
        out.put("H", len(self.cancellations))
        for job in self.cancellations:
            out.text(job)
        return out.bytes()

    @staticmethod
    def unpack(data: bytes) -> "PeerHeartbeat":
        scan = Scanner(data)
        incarnation, uptime, contact = scan.text(), scan.one("Q"), scan.one("I")
        calls, writes, cloud, span = scan.get("fffI")
        owned = {}
        for _ in range(scan.one("H")):
            partition = scan.text()
            owned[partition] = scan.one("Q")
        heard = {}
        for _ in range(scan.one("H")):
            partition = scan.text()
            heard[partition] = tuple(scan.text() for _ in range(scan.one("H")))
        cancellations = tuple(scan.text() for _ in range(scan.one("H")))
        scan.end()
        age = None if contact == _NEVER else timedelta(milliseconds=contact)
        return PeerHeartbeat(
            incarnation,
            timedelta(milliseconds=uptime),
            age,
            (calls, writes, cloud),
            owned,
            heard,
            timedelta(milliseconds=span),
            cancellations,
        )


def _ms(length: timedelta) -> int:
    return max(0, round(length.total_seconds() * 1000))


@dataclass
class PeerState:
    """What we know of a peer. `covered`: all cancellations that it told users of before that
    instant are known to us, from the records or from its own word."""

    heartbeat: PeerHeartbeat | None = None
    asked: datetime | None = None
    heard_at: datetime | None = None
    vouched_until: datetime | None = None

    def take(
        self, heartbeat: PeerHeartbeat, asked: datetime, now: datetime, contact: datetime | None
    ) -> None:
        base = self.reach(contact)
        # Its list closes the gap only if it goes back to what we had, in one life of that process:
        # what a former process told its users, this one can't know. The peer counted back from when
        # it answered, which may have been as late as now, on a clock that may run faster than ours.
        back = min(heartbeat.uptime, heartbeat.cancellations_span) * (1 - DRIFT) - _ROUNDING
        if base is not None and now - back <= base:
            self.vouched_until = max(base, asked)
        self.heartbeat, self.asked, self.heard_at = heartbeat, asked, now

    def alive(self, now: datetime) -> bool:
        """Tell whether the peer was heard lately."""
        return self.heard_at is not None and now - self.heard_at < ALIVE_FOR

    def speaks(self, dialect: str) -> bool:
        """Whether the peer understands what came after version 2 of the frames; one that we have
        not heard may not."""
        return self.heartbeat is not None and self.heartbeat.incarnation.endswith(dialect)

    def reach(self, contact: datetime | None) -> datetime | None:
        known = [at for at in (self.vouched_until, contact) if at is not None]
        return max(known) if known else None
