"""What this package needs of a partition's leader and of the controller that it belongs to.

`roadbend.placement` provides both; it is not imported here, because it uses this package itself.
"""

from collections.abc import ItemsView, Mapping
from contextlib import AbstractContextManager
from datetime import datetime, timedelta
from typing import Any, Protocol

from roadbend.fleet.machines import DirectStart, Machine, StopOrder
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat, WorkerOrder
from roadbend.fleet.terminations import TaskKey, TerminationEvidence, Terminations
from roadbend.partitions.election import LeaderElection
from roadbend.partitions.leadership import Leadership
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.record_view import MachineAttempts, RecordView
from roadbend.store.records import Job


class Controller(Protocol):
    """What all partitions of a controller share."""

    settings: PlatformSettings
    operator: OperatorSettings
    election: LeaderElection
    view: RecordView


class LeaderHeartbeats(Protocol):
    """How a leader answers the heartbeats of its machines."""

    def token(self, machine: Machine | None = None) -> int:
        """Return the fencing token for a machine."""

    def answer_unchanged(self, data: Any, now: datetime) -> int | None:
        """Return the token to answer an unread heartbeat with, None if it has to be read."""

    async def handle(self, heartbeat: WorkerHeartbeat) -> tuple[int, list[WorkerOrder]] | None:
        """Return token and orders for a heartbeat, None if it is not admitted."""

    def begin_incarnation(self, machine: Machine, position: HeartbeatPosition) -> None:
        """Note that a machine has shown that it restarted."""


class StopSpacing(Protocol):
    """Whether direct commands to stop may wait."""

    def should_delay_stop(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """Whether the direct command for a stop may wait."""


class LeaderRecords(Protocol):
    """The records of a leader's partition."""

    def attempts_by_machine(self) -> dict[str, MachineAttempts]:
        """Return the recorded attempts by machine."""

    def live_job(self, job: str) -> Job | None:
        """Return a job that is neither over nor cancelled."""


class LeaderStops(Protocol):
    """The tasks that a leader wants stopped."""

    def __contains__(self, key: tuple[str, int]) -> bool:
        """Whether a task is to be stopped."""

    def items(self) -> ItemsView[TaskKey, StopOrder]:
        """Return the tasks with their orders."""

    def order_all_cancelled(self, now: datetime) -> None:
        """Stop the tasks of jobs that are over or cancelled."""


class LeaderMachines(Protocol):
    """Which machines a leader may give work."""

    def is_usable(self, machine: Machine, now: datetime, silent_after: timedelta) -> bool:
        """Whether a machine that has not been silent for so long may be given work."""


class LeaderStartsInDoubt(Protocol):
    """The starts that a leader has sent and that may still be carried out."""

    def record_direct_start(self, machine: Machine, key: TaskKey, start: DirectStart) -> None:
        """Note a direct start before it is sent."""


class LeaderUnheldAttempts(Protocol):
    """The recorded attempts that machines have not shown to hold."""

    def may_send(self, machine: str, key: TaskKey, number: int, now: datetime) -> bool:
        """Whether the start of an attempt may be sent."""


class Leader(Protocol):
    """The leader of one partition for one term."""

    @property
    def partition(self) -> str:
        """The partition's name."""

    @property
    def leadership(self) -> Leadership:
        """The leadership under which the partition is led."""

    @property
    def lock(self) -> AbstractContextManager[Any]:
        """Guards the state."""

    @property
    def machines(self) -> Mapping[str, Machine]:
        """The registered machines by id."""

    @property
    def records(self) -> LeaderRecords:
        """The partition's records."""

    @property
    def stops(self) -> LeaderStops:
        """The tasks that are to be stopped."""

    @property
    def terminations(self) -> Terminations:
        """The terminated attempts that are not recorded yet."""

    @property
    def starts_in_doubt(self) -> LeaderStartsInDoubt:
        """The starts that were sent and may still be carried out."""

    @property
    def unheld(self) -> LeaderUnheldAttempts:
        """The recorded attempts that machines have not shown to hold."""

    @property
    def usable_machines(self) -> LeaderMachines:
        """Which machines may be given work."""

    @property
    def heartbeats(self) -> LeaderHeartbeats:
        """How it answers heartbeats."""

    @property
    def recovery(self) -> StopSpacing:
        """What recovery holds back."""

    def terminate_attempts(self, machine: str, evidence: TerminationEvidence) -> None:
        """Note evidence from outside a heartbeat that all attempts of a machine are terminated."""
