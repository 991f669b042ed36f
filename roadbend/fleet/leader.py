"""What this package needs of a partition's leader and of the controller that it belongs to.

`roadbend.placement` provides both; it is not imported here, because it uses this package itself.
"""

from contextlib import AbstractContextManager
from datetime import datetime, timedelta
from typing import Any, Protocol

from roadbend.fleet.machines import Machine, StopOrder
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat, WorkerOrder
from roadbend.fleet.terminations import TaskKey, TerminationEvidence, Terminations
from roadbend.partitions.election import LeaderElection
from roadbend.partitions.leadership import Leadership
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.record_view import MachineAttempts
from roadbend.store.records import Job


class Controller(Protocol):
    """What all partitions of a controller share."""

    settings: PlatformSettings
    operator: OperatorSettings
    election: LeaderElection


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

    def spaces_out(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """Whether the direct command for a stop may wait."""


class Leader(Protocol):
    """The leader of one partition for one term."""

    partition: str
    leadership: Leadership
    machines: dict[str, Machine]
    stops: dict[TaskKey, StopOrder]
    ended: Terminations

    @property
    def lock(self) -> AbstractContextManager[Any]:
        """Guards the fields."""

    @property
    def heartbeats(self) -> LeaderHeartbeats:
        """How it answers heartbeats."""

    @property
    def recovery(self) -> StopSpacing:
        """What recovery holds back."""

    def by_machine(self) -> dict[str, MachineAttempts]:
        """Return the recorded attempts by machine."""

    def live(self, job: str) -> Job | None:
        """Return a job that is neither over nor cancelled."""

    def usable(self, machine: Machine, now: datetime, silent: timedelta) -> bool:
        """Whether a machine may be given work; `silent`: how long it may have been silent."""

    def gone(self, machine: str, cause: TerminationEvidence) -> None:
        """Note evidence from outside a heartbeat that all attempts of a machine are terminated."""

    def stop_dead(self, now: datetime) -> None:
        """Stop the tasks of jobs that are over or cancelled."""
