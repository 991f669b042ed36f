"""The settings that the platform gives to a controller, and values derived from them."""

from dataclasses import dataclass
from datetime import timedelta

# The bounds of a shard's width, in tasks. An attempt takes 16 to 24 bytes in the encoding that the
# limits refer to; a shard whose tasks are all running must fit, with space for a few ranges.
MIN_SHARD_WIDTH, MAX_SHARD_WIDTH = 8, 512
USED_VALUE_SHARE = 0.8
SHARD_OVERHEAD_BYTES = 400
ATTEMPT_BYTES = 28
# A transaction may have four conditions for each permitted change; one in four is reserved for
# records other than shards.
SHARD_CONDITIONS_PER_CHANGE = 3


@dataclass(frozen=True)
class Peer:
    """Another controller: its name, its zone, and its address."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True)
class Team:
    """A team's guaranteed resources and its limits (`_max`); 0 means none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class ServiceLevelObjective:
    """A service level objective as the platform states it; unknown kinds are ignored."""

    kind: str
    job_class: str | None
    share: float
    within: timedelta | None
    # For deadlines: the multiple of the due time that the objective concerns.
    times: float = 1.0


@dataclass(frozen=True)
class PlatformSettings:
    """The platform's settings, as defined by the deploy page.

    Rates are per second, sizes in bytes.
    """

    name: str
    zone: str
    # The addresses to listen on: for users and workers, and for the other controllers.
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
    # The state store's limits on the size of a value and on the changes in a transaction.
    value_bytes: int
    txn_ops: int
    cloud_rps: float
    list_lag: timedelta
    sockets: int
    # The share of a CPU core that the controller has.
    cpu: float = 1.0
    # The changes per second that the state store will permit from an unknown time on. Its other
    # announced limits are already included in `value_bytes` and `txn_ops`, which are the smaller of
    # the present and the announced values.
    state_write_rps_next: float | None = None
    # How long a gang's tasks wait for each other, and how soon they detect that one is missing.
    gang_wait: timedelta = timedelta(seconds=30)
    gang_peer: timedelta = timedelta(seconds=5)
    objectives: tuple[ServiceLevelObjective, ...] = ()

    @property
    def controller_count(self) -> int:
        """The number of controllers, including this one."""
        return len(self.peers) + 1

    @property
    def shard_width(self) -> int:
        """The number of consecutive tasks that share a record."""
        usable = int(self.value_bytes * USED_VALUE_SHARE - SHARD_OVERHEAD_BYTES)
        return max(MIN_SHARD_WIDTH, min(MAX_SHARD_WIDTH, usable // ATTEMPT_BYTES))

    @property
    def widest_gang(self) -> int:
        """The maximum size of a gang whose attempts can all be recorded while the first one waits.

        That is with half of the permitted change rate, within half of the time that tasks wait.
        """
        changes = min(self.state_write_rps, self.state_write_rps_next or self.state_write_rps)
        seconds = self.gang_wait.total_seconds() / 2
        return max(self.txn_ops - 1, int(changes / 2 * seconds)) * self.shard_width

    @property
    def widest_apart_gang(self) -> int:
        """As `widest_gang`, for a gang whose tasks are spread over several partitions.

        Each start then has the records of all its shards as conditions.
        """
        shards = SHARD_CONDITIONS_PER_CHANGE * self.txn_ops
        return min(self.widest_gang, shards * self.shard_width)
