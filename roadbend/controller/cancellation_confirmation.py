"""Decide when users may be told that a job is cancelled.

Once a user is told, no start of the job may be carried out any more. No leader can record a start
of a job whose cancellation is in the records; so what may still start are attempts that they name.
The leaders of the partitions that have such attempts are asked whether a start of them is in doubt.
Where one can't be asked, what it reported before counts, or the machines are asked.
docs/meetings.md has the argument, and the bound's.
"""

from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.controller.cancellation_check import CancellationCheck, Evidence, Missing
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.leader_evidence import LeaderEvidence
from roadbend.controller.leader_queries import LeaderQueries, all_settled
from roadbend.controller.machine_evidence import MachineEvidence
from roadbend.controller.peer_start_reports import NO_MORE_STARTS, PeerStartReports
from roadbend.controller.starts_in_doubt_service import StartsInDoubtService
from roadbend.fleet.direct_commands import START_TIMEOUT
from roadbend.log import Log
from roadbend.partitions.election import START_FRESHNESS
from roadbend.peers.frames import STARTS_EXTENSION
from roadbend.peers.links import HeartbeatExchange, Peers
from roadbend.placement.context import ControllerContext
from roadbend.settings import OperatorSettings, PlatformSettings

log = Log("controller")

# How long leaders may take for an answer where all controllers are asked first.
QUICK_ANSWER_TIMEOUT = timedelta(milliseconds=200)
# How long a look may take beyond its user's patience.
LOOK_TIMEOUT = timedelta(seconds=1)
# How soon machines that did not settle all attempts are asked again.
INSPECT_INTERVAL = timedelta(seconds=1)
# How soon a cancellation that can't be confirmed yet is looked at again.
RETRY_INTERVAL = timedelta(milliseconds=100)


def max_confirmation_wait(settings: PlatformSettings, operator: OperatorSettings) -> timedelta:
    """Return after how long no start of a cancelled job can be carried out, whatever fails.

    Counted from when the cancellation was noted here. A leader that does not know of it renews
    workers' leases so that they end within `cancel_within`; one that knows of it has fenced what it
    sent within `START_FRESHNESS` and `START_TIMEOUT`, and a worker that is not shown the raised
    token ends its lease.
    """
    fenced = START_FRESHNESS + START_TIMEOUT
    longest = max(settings.cancel_within, fenced + settings.lease)
    return longest * (1 + 2 * clock.DRIFT) + operator.state_margin


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
        self._leaders = LeaderQueries(context.settings.name, peers, exchange, service)
        self._noted = noted
        reports = reports or PeerStartReports(noted)
        self._leader_evidence = LeaderEvidence(context.view, reports)
        self._machine_evidence = MachineEvidence(context.view, machines)
        self._max_confirmation_wait = max_confirmation_wait(context.settings, context.operator)

    async def confirm(self, job: str, patience: timedelta) -> bool:
        """Tell whether no start of a cancelled job can be carried out any more.

        With `patience` that is looked at again for so long.
        """
        self._noted.add(job)
        began = clock.now()
        look: CancellationCheck | None = None
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

    async def _look_until(self, job: str, until: datetime) -> CancellationCheck:
        """Look for starts of a job that may still be carried out, until there are none."""
        if await self._is_settled_everywhere(job):
            return CancellationCheck({"*": Evidence.ALL_LEADERS})
        # Whatever start was recorded before the cancellation is in the view from here on.
        await self._context.reader.read_barrier()
        inspect_at = clock.ORIGIN
        while True:
            look = await self._ask_leaders(job)
            inspects = self._noted_for(job) > NO_MORE_STARTS and clock.now() >= inspect_at
            if look.waits_for and inspects:
                inspect_at = clock.now() + INSPECT_INTERVAL
                await self._machine_evidence.ask(job, look)
            if self._noted_for(job) > self._max_confirmation_wait:
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
            link.alive(now) and link.peer_state.supports(STARTS_EXTENSION)
            for link in self._peers.links.values()
        ):
            return False
        with trio.move_on_after(QUICK_ANSWER_TIMEOUT.total_seconds()):
            replies = await self._leaders.query_all(job)
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

    async def _ask_leaders(self, job: str) -> CancellationCheck:
        """Ask the leaders of open partitions; for those that can't be asked read their reports."""
        look = CancellationCheck()
        partitions = self._open_partitions(job)
        if not partitions:
            return look
        leaders = {self._context.election.leader_of(partition) for partition in partitions}
        replies = await self._leaders.query(job, leaders)
        answers = [answer for reply in replies for answer in reply.partitions]
        # What was in the records before the question may have been cleared meanwhile.
        for partition in sorted(partitions & self._open_partitions(job)):
            self._leader_evidence.judge(job, partition, answers, look)
        return look


def _pairs(partitions: dict[str, Evidence] | dict[str, Missing]) -> str:
    """Return what is logged of partitions: each with what was found there."""
    pairs = [f"{partition}:{found}" for partition, found in sorted(partitions.items())]
    return ",".join(pairs) or "none"
