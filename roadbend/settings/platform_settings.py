"""What the platform sets for a controller, and what follows from it."""

from dataclasses import dataclass
from datetime import timedelta

# How wide a shard is, in tasks. An attempt takes 16 to 24 bytes in the form in which limits are
# measured; a shard of only running tasks must fit with room for a few ranges.
MIN_SHARD_WIDTH, MAX_SHARD_WIDTH = 8, 512
USED_VALUE_SHARE = 0.8
SHARD_OVERHEAD_BYTES = 400
ATTEMPT_BYTES = 28
# A transaction takes four conditions a change; one in four is left for what is not a shard.
SHARD_CONDITIONS_PER_CHANGE = 3


@dataclass(frozen=True)
class Peer:
    """Another controller."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True)
class Team:
    """A team's guarantee and limit; 0 means none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class ServiceLevelObjective:
    """An aim as the platform restates it; kinds that we don't know are ignored."""

    kind: str
    job_class: str | None
    share: float
    within: timedelta | None
    # Of a deadline: how many times the due time it is about.
    times: float = 1.0


@dataclass(frozen=True)
class PlatformSettings:
    """What the platform sets.

    Source: the deploy page; rates are per second, sizes in bytes.
    """

    name: str
    zone: str
    listen: str
    back: str
    peers: tuple[Peer, ...]
    cloud: str
    state: str
    zones: tuple[str, ...]
    teams: dict[str, Team]
    clock_off: timedelta
    heartbeat_interval: timedelta
    lease: timedelta
    cancel_within: timedelta
    state_rps: float
    state_write_rps: float
    value_bytes: int
    txn_ops: int
    cloud_rps: float
    list_lag: timedelta
    sockets: int
    # How much of a core we have.
    cpu: float = 1.0
    # The changes a second that the state store will allow from some moment on, without notice. Its
    # other limits to come are in `value_bytes` and `txn_ops`: from the start we write within the
    # smaller of both.
    state_write_rps_next: float | None = None
    # How long a gang's tasks wait for each other, and how soon they notice that one is gone.
    gang_wait: timedelta = timedelta(seconds=30)
    gang_peer: timedelta = timedelta(seconds=5)
    objectives: tuple[ServiceLevelObjective, ...] = ()

    @property
    def controller_count(self) -> int:
        """How many controllers there are, this one among them."""
        return len(self.peers) + 1

    @property
    def shard_width(self) -> int:
        """How many neighbouring tasks share a record."""
        usable = int(self.value_bytes * USED_VALUE_SHARE - SHARD_OVERHEAD_BYTES)
        return max(MIN_SHARD_WIDTH, min(MAX_SHARD_WIDTH, usable // ATTEMPT_BYTES))

    @property
    def widest_gang(self) -> int:
        """The widest gang whose attempts can all be recorded while its first task waits.

        That is with half of the changes that the state store permits, within half of the time that
        tasks wait.
        """
        changes = min(self.state_write_rps, self.state_write_rps_next or self.state_write_rps)
        seconds = self.gang_wait.total_seconds() / 2
        return max(self.txn_ops - 1, int(changes / 2 * seconds)) * self.shard_width

    @property
    def widest_apart_gang(self) -> int:
        """As `widest_gang`, for one whose shares several partitions hold.

        The record of every shard is a condition of each start.
        """
        shards = SHARD_CONDITIONS_PER_CHANGE * self.txn_ops
        return min(self.widest_gang, shards * self.shard_width)
