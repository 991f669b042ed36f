"""State shared by all partitions of a controller."""

from dataclasses import dataclass, field
from datetime import timedelta

from roadbend.cloud.messages import MachineType
from roadbend.fleet.recorded_ends import RecordedEnds
from roadbend.observer import Observer
from roadbend.partitions.election import LeaderElection
from roadbend.placement.cancellations import Cancellations
from roadbend.placement.deleted_machines import DeletedMachines
from roadbend.placement.fair_share import FairShare
from roadbend.placement.objectives import Objectives
from roadbend.placement.recovery_hooks import Recovery
from roadbend.placement.run_time_estimates import RunTimeEstimates
from roadbend.placement.start_reports import StartReports
from roadbend.placement.starvation import Starvation
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.client import StateStoreClient
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

# With a whole core, a result is reused for this multiple of the time that computing it took.
REUSE_FACTOR = 12


@dataclass
class ControllerContext:
    """Objects shared by all partitions of a controller; each of them owns its state."""

    settings: PlatformSettings
    operator: OperatorSettings
    state: StateStoreClient
    view: RecordView
    reader: RecordReader
    election: LeaderElection
    # The catalog: machine types by name; empty until it is loaded.
    machine_types: dict[str, MachineType] = field(default_factory=dict)
    # Called before acting on records that may not match the state of the machines yet.
    recovery: Recovery = field(default_factory=Recovery)
    # Notified of what happens to jobs and attempts.
    observer: Observer = field(default_factory=Observer)
    deleted_machines: DeletedMachines = field(default_factory=DeletedMachines)
    run_times: RunTimeEstimates = field(default_factory=RunTimeEstimates)
    start_reports: StartReports = field(default_factory=StartReports)
    recorded_ends: RecordedEnds = field(default_factory=RecordedEnds)
    cancellations: Cancellations = field(init=False)
    objectives: Objectives = field(init=False)
    fair_share: FairShare = field(init=False)
    starvation: Starvation = field(init=False)

    def __post_init__(self) -> None:
        self.cancellations = Cancellations(self.view)
        self.objectives = Objectives(self.settings, self.operator)
        self.fair_share = FairShare(self.settings, self.view)
        self.starvation = Starvation(self.operator, self.view, self.cancellations)

    def reuse_window(self, compute_time: timedelta) -> timedelta:
        """Return how long a result that took `compute_time` to compute may be reused.

        A controller with a quarter of a core may spend a quarter of the time that it could with a
        whole one, and one that leads several partitions computes the results of each less often.
        This leaves time to answer heartbeats.
        """
        partitions = max(1, len(self.election.leaderships))
        return compute_time * (REUSE_FACTOR / self.settings.cpu * partitions)
