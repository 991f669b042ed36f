"""Compares records and machines from outside the controllers, without changing anything.

Records are read from the state store; machines are listed by the cloud and queried directly
(`GET /inspect`). So an operator sees the differences even while no controller is running.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

import trio

from roadbend.cloud.client import Cloud, CloudBusyError
from roadbend.cloud.messages import ListedMachine
from roadbend.errors import RetryableError
from roadbend.fleet import messages
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError
from roadbend.recovery.differences import (
    Comparison,
    DesiredState,
    ObservedState,
    Presence,
    RecordedAttempt,
    ReportedAttempt,
    TaskId,
    compare,
)
from roadbend.settings import PlatformSettings
from roadbend.store import keys
from roadbend.store.client import RefusedError, StateStoreClient
from roadbend.store.record_view import RecordView
from roadbend.store.request_budget import RequestBudget

MAX_CONCURRENT_QUERIES = 48
ANSWER_TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True)
class PartitionStatus:
    """The progress of a partition's recovery, by the records."""

    partition: str
    owner: str | None
    term: int
    phase: str
    lost_writes: bool = False
    # Numbers of machines: those that have sent a heartbeat, and all expected ones.
    heard: int = 0
    expected: int = 0
    # Since the beginning of the term.
    seconds: float = 0.0
    # By kind.
    differences: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class PartitionSurvey:
    """The differences of one partition."""

    partition: str
    comparison: Comparison
    services: frozenset[str]
    machines: int
    silent: tuple[str, ...]


@dataclass
class _PartitionState:
    recorded: set[RecordedAttempt] = field(default_factory=set)
    reported: set[ReportedAttempt] = field(default_factory=set)
    machines: dict[str, Presence] = field(default_factory=dict)


class SurveyError(RetryableError):
    """The state store or the cloud could not be read; the message says which."""


class Surveyor:
    """Reads the state of recovery and the differences for an operator."""

    def __init__(self, settings: PlatformSettings, net: Net) -> None:
        self._settings, self._net = settings, net
        budget = RequestBudget(
            settings.state_rps, settings.state_write_rps, settings.controller_count
        )
        self._state = StateStoreClient(
            Client(net, settings.state, max_connections=4, max_idle=2), budget
        )
        self._cloud = Cloud(
            Client(net, settings.cloud, max_connections=2, max_idle=1),
            settings.cloud_rps,
            settings.controller_count,
        )

    async def read_records(self) -> RecordView:
        """Return all live records; raise `SurveyError`."""
        try:
            rows, revision = await self._state.read_all(keys.LIVE)
        except (NoAnswerError, RefusedError) as error:
            raise SurveyError(f"state service: {error}") from None
        view = RecordView()
        view.load(rows, revision)
        return view

    async def status(self) -> list[PartitionStatus]:
        """Return the progress of each partition's recovery, as its leader recorded it."""
        view = await self.read_records()
        return [self._status_of(view, partition) for partition in sorted(view.terms)]

    @staticmethod
    def _status_of(view: RecordView, partition: str) -> PartitionStatus:
        term, progress = view.terms[partition], view.recoveries.get(partition)
        leader = view.partition_leaders.get(partition)
        owner = leader.controller if leader is not None else None
        if progress is None or progress.term != term.number:
            return PartitionStatus(partition, owner, term.number, phase="nothing recorded")
        return PartitionStatus(
            partition=partition,
            owner=owner,
            term=term.number,
            phase=progress.phase,
            lost_writes=progress.lost_writes,
            heard=progress.heard,
            expected=progress.expected,
            seconds=progress.took,
            differences=progress.differences,
        )

    async def survey(self) -> list[PartitionSurvey]:
        """Return the current differences of each partition; raise `SurveyError`."""
        view = await self.read_records()
        listed = await self._list_machines()
        partitions: dict[str, _PartitionState] = {}
        for partition, machines in view.attempts_by_machine.items():
            state = partitions.setdefault(partition, _PartitionState())
            for machine, rows in machines.items():
                state.machines[machine] = Presence.GONE
                for (job, index), (_, attempt) in rows.items():
                    state.recorded.add(RecordedAttempt(TaskId(job, index), attempt.number, machine))
        await self._query_machines(listed, partitions)
        live = frozenset(view.jobs)
        services = frozenset(name for name, job in view.jobs.items() if job.spec.service)
        return [
            PartitionSurvey(
                partition,
                compare(
                    DesiredState(frozenset(state.recorded), live),
                    ObservedState(frozenset(state.reported), state.machines),
                ),
                services,
                len(state.machines),
                tuple(
                    sorted(
                        machine
                        for machine, presence in state.machines.items()
                        if presence is Presence.SILENT
                    )
                ),
            )
            for partition, state in sorted(partitions.items())
        ]

    async def _list_machines(self) -> list[ListedMachine]:
        try:
            return await self._cloud.list_machines()
        except (NoAnswerError, CloudBusyError) as error:
            raise SurveyError(f"cloud: {error}") from None

    async def _query_machines(
        self, listed: list[ListedMachine], partitions: dict[str, _PartitionState]
    ) -> None:
        limit = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
        async with trio.open_nursery() as nursery:
            for row in listed:
                state = partitions.setdefault(row.zone, _PartitionState())
                nursery.start_soon(self._query_machine, limit, row, state)

    async def _query_machine(
        self, limit: trio.CapacityLimiter, row: ListedMachine, state: _PartitionState
    ) -> None:
        if row.status != "running":
            known = {"booting": Presence.BOOTING, "failed": Presence.GONE}
            state.machines[row.id] = known.get(row.status, Presence.SILENT)
            return
        async with limit:
            heartbeat = await self._inspect(row)
        state.machines[row.id] = Presence.SILENT if heartbeat is None else Presence.HEARD
        for task in heartbeat.tasks if heartbeat is not None else ():
            reported = ReportedAttempt(
                TaskId(task.job, task.task_index), task.attempt, row.id, task.state == "ended"
            )
            state.reported.add(reported)

    async def _inspect(self, row: ListedMachine) -> messages.WorkerHeartbeat | None:
        if not row.address:
            return None
        client = Client(self._net, row.address, max_connections=1, max_idle=0)
        try:
            status, body = await client.request("GET", "/inspect", within=ANSWER_TIMEOUT)
            heartbeat = messages.parse_heartbeat(body) if status == HTTPStatus.OK else None
        except (NoAnswerError, MalformedError):
            return None
        finally:
            await client.close()
        return heartbeat if heartbeat is not None and heartbeat.machine == row.id else None
