"""Protocols of the partition leader and of its controller, as far as this package uses them.

`roadbend.placement` implements both. It is not imported here, because it imports this package.
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
    """State that all partitions of a controller share."""

    settings: PlatformSettings
    operator: OperatorSettings
    election: LeaderElection
    view: RecordView


class LeaderHeartbeats(Protocol):
    """How a leader answers the heartbeats of its machines."""

    def token(self, machine: Machine | None = None) -> int:
        """Return the fencing token for a machine."""

    def answer_unchanged(self, data: Any, now: datetime) -> int | None:
        """Return the token for the response to an unparsed heartbeat, None if it must be parsed."""

    async def handle(self, heartbeat: WorkerHeartbeat) -> tuple[int, list[WorkerOrder]] | None:
        """Return token and orders for a heartbeat, None if it is not admitted."""

    def begin_incarnation(self, machine: Machine, position: HeartbeatPosition) -> None:
        """Record that a machine has restarted."""


class StopDelayPolicy(Protocol):
    """Decides whether direct commands to stop may wait."""

    def should_delay_stop(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """Return whether the direct command for a stop may wait."""


class LeaderRecords(Protocol):
    """The records of a leader's partition."""

    def attempts_by_machine(self) -> dict[str, MachineAttempts]:
        """Return the recorded attempts by machine."""

    def live_job(self, job: str) -> Job | None:
        """Return a job unless it has ended or is cancelled."""


class LeaderStops(Protocol):
    """The tasks that a leader is to stop."""

    def __contains__(self, key: tuple[str, int]) -> bool:
        """Return whether a task is to be stopped."""

    def items(self) -> ItemsView[TaskKey, StopOrder]:
        """Return the tasks with their orders."""

    def order_all_cancelled(self, now: datetime) -> None:
        """Order the tasks of ended or cancelled jobs to be stopped."""


class LeaderMachines(Protocol):
    """Decides which machines a leader may give tasks."""

    def is_usable(self, machine: Machine, now: datetime, silent_after: timedelta) -> bool:
        """Return whether a machine may be given tasks; not if it is silent for `silent_after`."""


class LeaderStartsInDoubt(Protocol):
    """The starts in doubt: a leader has sent them, and they may still be executed."""

    def record_direct_start(self, machine: Machine, key: TaskKey, start: DirectStart) -> None:
        """Record a direct start before it is sent."""


class LeaderUnheldAttempts(Protocol):
    """The unheld attempts: recorded, but their machines have not reported to hold them."""

    def may_send(self, machine: str, key: TaskKey, number: int, now: datetime) -> bool:
        """Return whether the start of an attempt may be sent."""


class Leader(Protocol):
    """The leader of one partition for one term."""

    @property
    def partition(self) -> str:
        """The partition's name."""

    @property
    def leadership(self) -> Leadership:
        """The leadership of this term."""

    @property
    def lock(self) -> AbstractContextManager[Any]:
        """Guards the leader's state."""

    @property
    def machines(self) -> Mapping[str, Machine]:
        """The registered machines, by id."""

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
        """The starts that were sent and may still be executed."""

    @property
    def unheld(self) -> LeaderUnheldAttempts:
        """The recorded attempts that their machines have not reported to hold."""

    @property
    def usable_machines(self) -> LeaderMachines:
        """Decides which machines may be given tasks."""

    @property
    def heartbeats(self) -> LeaderHeartbeats:
        """Handles the heartbeats of the leader's machines."""

    @property
    def recovery(self) -> StopDelayPolicy:
        """Recovery, which may delay stops."""

    def mark_attempts_terminated(self, machine: str, evidence: TerminationEvidence) -> None:
        """Mark all attempts of a machine as terminated by evidence other than a heartbeat."""
