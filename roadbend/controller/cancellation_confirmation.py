"""Decide when users may be told that a job is cancelled.

Once a user is told, no start of the job may be carried out any more. No leader can record a start
of a job whose cancellation is in the records; so what may still start are attempts that they name.
The leaders of the partitions that have such attempts are asked whether a start of them is in doubt.
Where one can't be asked, what it reported before counts, or the machines are asked.
docs/meetings.md has the argument, and the bound's.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum

import trio

from roadbend import clock
from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.leader_questions import LeaderQuestions, all_settled
from roadbend.controller.peer_start_reports import NO_MORE_STARTS, PeerStartReports
from roadbend.controller.starts_in_doubt_service import StartsInDoubtService
from roadbend.fleet.direct_commands import START_TIMEOUT
from roadbend.log import Log
from roadbend.partitions.election import START_FRESHNESS
from roadbend.peers.frames import SETTLED_EXTENSION, STARTS_EXTENSION
from roadbend.peers.links import HeartbeatExchange, Peers
from roadbend.peers.starts_in_doubt import PartitionStartsInDoubt
from roadbend.placement.context import ControllerContext
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.record_view import JobSlice

log = Log("controller")

# How long leaders may take for an answer where all controllers are asked first.
QUICK_ANSWER_TIMEOUT = timedelta(milliseconds=200)
# How long a look may take beyond its user's patience.
LOOK_TIMEOUT = timedelta(seconds=1)
# How soon machines that did not settle all attempts are asked again.
INSPECT_INTERVAL = timedelta(seconds=1)
# How soon a cancellation that can't be confirmed yet is looked at again.
RETRY_INTERVAL = timedelta(milliseconds=100)


def max_wait(settings: PlatformSettings, operator: OperatorSettings) -> timedelta:
    """Return after how long no start of a cancelled job can be carried out, whatever fails.

    Counted from when the cancellation was noted here. A leader that does not know of it renews
    workers' leases so that they end within `cancel_within`; one that knows of it has fenced what it
    sent within `START_FRESHNESS` and `START_TIMEOUT`, and a worker that is not shown the raised
    token ends its lease.
    """
    fenced = START_FRESHNESS + START_TIMEOUT
    longest = max(settings.cancel_within, fenced + settings.lease)
    return longest * (1 + 2 * clock.DRIFT) + operator.state_margin


class Evidence(StrEnum):
    """What proved that no start of a job can be carried out any more; logged."""

    # The leaders of all partitions answered, without a read of the records.
    ALL_LEADERS = "all-leaders"
    LEADER = "leader"
    REPORT = "report"
    MACHINES = "machines"
    TIME = "time"


class Missing(StrEnum):
    """Why a partition is waited for; logged."""

    LEADER_SILENT = "leader-silent"
    LEADER_IN_DOUBT = "leader-in-doubt"


@dataclass
class _Look:
    """What came of looking at the partitions whose records name attempts of a job."""

    settled: dict[str, Evidence] = field(default_factory=dict)
    waits_for: dict[str, Missing] = field(default_factory=dict)

    def settle(self, partition: str, evidence: Evidence) -> None:
        self.waits_for.pop(partition, None)
        self.settled[partition] = evidence


class CancellationConfirmation:
    """Finds out whether users may be told of a cancellation that is in the records."""

    def __init__(
        self,
        context: ControllerContext,
        peers: Peers,
        exchange: HeartbeatExchange,
        service: StartsInDoubtService,
        machines: AttemptsOnMachines,
        noted: ConfirmedCancellations,
        reports: PeerStartReports | None = None,
    ) -> None:
        self._context, self._peers = context, peers
        self._leaders = LeaderQuestions(context.settings.name, peers, exchange, service)
        self._machines, self._noted = machines, noted
        self._reports = reports or PeerStartReports(noted)
        self._max_wait = max_wait(context.settings, context.operator)

    async def confirm(self, job: str, patience: timedelta) -> bool:
        """Tell whether no start of a cancelled job can be carried out any more.

        With `patience` that is looked at again for so long.
        """
        self._noted.add(job)
        began = clock.now()
        look: _Look | None = None
        with trio.move_on_after((patience + LOOK_TIMEOUT).total_seconds()):
            look = await self._look_until(job, began + patience)
        waited_s = f"{(clock.now() - began).total_seconds():.2f}"
        if look is not None and not look.waits_for:
            evidence = _pairs(look.settled)
            log.info("cancellation-confirmed", job=job, evidence=evidence, waited_s=waited_s)
            return True
        # None: the records were not read, or a leader did not answer, in time.
        partitions = "unknown" if look is None else _pairs(look.waits_for)
        log.info("cancellation-waits", job=job, partitions=partitions, waited_s=waited_s)
        return False

    async def _look_until(self, job: str, until: datetime) -> _Look:
        """Look for starts of a job that may still be carried out, until there are none."""
        if await self._is_settled_everywhere(job):
            return _Look({"*": Evidence.ALL_LEADERS})
        # Whatever start was recorded before the cancellation is in the view from here on.
        await self._context.reader.read_barrier()
        inspect_at = clock.ORIGIN
        while True:
            look = await self._ask_leaders(job)
            inspects = self._noted_for(job) > NO_MORE_STARTS and clock.now() >= inspect_at
            if look.waits_for and inspects:
                inspect_at = clock.now() + INSPECT_INTERVAL
                await self._ask_machines(job, look)
            if self._noted_for(job) > self._max_wait:
                for partition in list(look.waits_for):
                    look.settle(partition, Evidence.TIME)
            if not look.waits_for or clock.now() >= until:
                return look
            await clock.pause(RETRY_INTERVAL)

    def _noted_for(self, job: str) -> timedelta:
        """Return how long ago the cancellation was noted."""
        noted_at = self._noted.noted_at(job)
        return clock.ZERO if noted_at is None else clock.now() - noted_at

    # Without a read: all controllers answer.

    async def _is_settled_everywhere(self, job: str) -> bool:
        """Whether all controllers answer, and no leader has a start of a job in doubt.

        Whoever acquired a partition before the cancellation was written knows that term; so the
        leader under the highest term that anybody knows knows all starts that were recorded.
        """
        now = clock.now()
        if not all(
            link.alive(now) and link.known.supports(STARTS_EXTENSION)
            for link in self._peers.links.values()
        ):
            return False
        with trio.move_on_after(QUICK_ANSWER_TIMEOUT.total_seconds()):
            replies = await self._leaders.ask_all(job)
            return replies is not None and all_settled(job, replies)
        return False

    # With the records: only those matter whose partitions have attempts.

    def _open_partitions(self, job: str) -> set[str]:
        """Return the partitions whose records name attempts of a job."""
        return {
            partition
            for partition, job_slices in self._context.view.job_slices.items()
            if job in job_slices and job_slices[job].attempts
        }

    async def _ask_leaders(self, job: str) -> _Look:
        """Ask the leaders of open partitions; for those that can't be asked read their reports."""
        look = _Look()
        partitions = self._open_partitions(job)
        if not partitions:
            return look
        leaders = {self._context.election.leader_of(partition) for partition in partitions}
        replies = await self._leaders.ask(job, leaders)
        answers = [answer for reply in replies for answer in reply.partitions]
        # What was in the records before the question may have been cleared meanwhile.
        for partition in sorted(partitions & self._open_partitions(job)):
            self._judge(job, partition, answers, look)
        return look

    def _judge(
        self, job: str, partition: str, answers: Iterable[PartitionStartsInDoubt], look: _Look
    ) -> None:
        """Note whether the partition's leader has answered, or reported, that all is settled."""
        answer = next(
            (a for a in answers if a.partition == partition and self._is_current(a)), None
        )
        if answer is not None and job in answer.jobs:
            look.waits_for[partition] = Missing.LEADER_IN_DOUBT
        elif answer is not None:
            look.settle(partition, Evidence.LEADER)
        elif self._is_reported_settled(job, partition):
            look.settle(partition, Evidence.REPORT)
        else:
            look.waits_for[partition] = Missing.LEADER_SILENT

    def _is_current(self, answer: PartitionStartsInDoubt) -> bool:
        """Whether an answer is of the latest leadership that the records name, or a later one."""
        term = self._context.view.terms.get(answer.partition)
        return term is not None and answer.term >= term.number

    def _is_reported_settled(self, job: str, partition: str) -> bool:
        """Whether the latest leader has reported that all recorded starts of a job are settled.

        Until a report is withdrawn it sends none of them anew. None are recorded any more.
        """
        view = self._context.view
        term, job_slice = view.terms.get(partition), view.job_slices[partition].get(job)
        if term is None or job_slice is None:
            return False
        report = self._reports.find(partition, term.number)
        if report is None or job in report.unsettled_jobs:
            return False
        return job_slice.newest_mod_revision <= report.revision

    # The machines themselves, once no leader sends starts of the job any more.

    async def _ask_machines(self, job: str, look: _Look) -> None:
        """Settle the partitions whose machines hold, or refuse, all attempts of a job."""
        for partition in list(look.waits_for):
            job_slice = self._context.view.job_slices[partition].get(job)
            if job_slice is None or await self._machines_settle(partition, job_slice):
                look.settle(partition, Evidence.MACHINES)

    async def _machines_settle(self, partition: str, job_slice: JobSlice) -> bool:
        attempts = dict(job_slice.attempts)
        term = self._followed_term(partition)
        if term is None:
            return await self._machines.hold_all(job_slice.job, attempts)
        return await self._machines.settle_all(job_slice.job, attempts, term)

    def _followed_term(self, partition: str) -> int | None:
        """Return the partition's term if its leader goes on from a token that a peer raises.

        One that does not would leave the machine to its lease.
        """
        term = self._context.view.terms.get(partition)
        leader = self._context.view.partition_leaders.get(partition)
        if term is None or leader is None or leader.term != term.number:
            return None
        return term.number if leader.incarnation.endswith(SETTLED_EXTENSION) else None


def _pairs(partitions: dict[str, Evidence] | dict[str, Missing]) -> str:
    """Return what is logged of partitions: each with what was found there."""
    pairs = [f"{partition}:{found}" for partition, found in sorted(partitions.items())]
    return ",".join(pairs) or "none"
