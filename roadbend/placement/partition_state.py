"""The in-memory state of a partition's leader for one term, besides the records."""

from dataclasses import dataclass, field

from roadbend.fleet.terminations import Terminations
from roadbend.partitions.leadership import Leadership
from roadbend.placement.aging import JobAging
from roadbend.placement.attempt_numbers import AttemptNumbers
from roadbend.placement.context import ControllerContext
from roadbend.placement.direct_starts import DirectStarts, SendStarts
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.failure_backoff import FailureBackoff
from roadbend.placement.failure_history import FailureHistory
from roadbend.placement.gang_attempts import GangAttempts
from roadbend.placement.machine_registry import MachineRegistry
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.reservations import Reservations
from roadbend.placement.starts_in_doubt import StartsInDoubt
from roadbend.placement.stop_orders import StopOrders
from roadbend.placement.unheld_attempts import UnheldAttempts


@dataclass(slots=True)
class PartitionState:
    """The state of one partition: one object per concern, each the only one to modify its data.

    The components of the leader take the objects that they use from here.
    """

    records: PartitionRecords
    registry: MachineRegistry
    stops: StopOrders
    attempt_numbers: AttemptNumbers
    direct_starts: DirectStarts
    starts_in_doubt: StartsInDoubt
    unheld: UnheldAttempts
    terminations: Terminations = field(default_factory=Terminations)
    aging: JobAging = field(default_factory=JobAging)
    backoff: FailureBackoff = field(default_factory=FailureBackoff)
    failures: FailureHistory = field(default_factory=FailureHistory)
    exclusions: PlacementExclusions = field(default_factory=PlacementExclusions)
    reservations: Reservations = field(default_factory=Reservations)
    gang_attempts: GangAttempts = field(default_factory=GangAttempts)

    @classmethod
    def create(
        cls,
        context: ControllerContext,
        leadership: Leadership,
        send_starts: SendStarts | None = None,
    ) -> "PartitionState":
        """Return the initial state of a leadership."""
        records = PartitionRecords(context, leadership)
        registry = MachineRegistry(leadership.partition)
        return cls(
            records,
            registry,
            StopOrders(records, registry),
            AttemptNumbers(leadership.term),
            DirectStarts(send_starts),
            StartsInDoubt(records, registry.by_id),
            UnheldAttempts(records),
        )
