"""Decide when the cancellation of a job may be confirmed to users.

After the confirmation, no start of the job may be carried out any more. No leader can record a
start of a job whose cancellation is recorded, so only attempts that are already recorded may still
start. The leaders of the partitions with such attempts are queried for starts in doubt. If a leader
can't be queried, its last report is used, or the machines are queried. docs/meetings.md has the
argument for this and for the time bound.
"""

from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.controller.cancellation_check import CancellationCheck, Evidence, UnsettledReason
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.leader_evidence import LeaderEvidence
from roadbend.controller.leader_queries import LeaderQueries, all_settled
from roadbend.controller.machine_evidence import MachineEvidence
from roadbend.controller.peer_start_reports import STALE_STARTS_PERIOD, PeerStartReports
from roadbend.controller.starts_in_doubt_service import StartsInDoubtService
from roadbend.fleet.direct_commands import START_TIMEOUT
from roadbend.log import Log
from roadbend.partitions.election import START_FRESHNESS
from roadbend.peers.frames import STARTS_EXTENSION
from roadbend.peers.links import HeartbeatExchange, Peers
from roadbend.placement.context import ControllerContext
from roadbend.settings import OperatorSettings, PlatformSettings

log = Log("controller")

# The timeout of the first step, in which all controllers are queried at once.
QUICK_ANSWER_TIMEOUT = timedelta(milliseconds=200)
# How long the last check may overrun the caller's timeout.
CHECK_TIMEOUT = timedelta(seconds=1)
# The interval between queries of the machines.
MACHINE_QUERY_INTERVAL = timedelta(seconds=1)
# The delay before a cancellation that can't be confirmed yet is checked again.
RETRY_INTERVAL = timedelta(milliseconds=100)


def max_confirmation_wait(settings: PlatformSettings, operator: OperatorSettings) -> timedelta:
    """Return after what time no start of a cancelled job can be carried out, whatever fails.

    The time counts from when the cancellation was added to `ConfirmedCancellations` here. A leader
    that does not know of it renews workers' leases so that they end within `cancel_within`. One
    that knows of it has fenced what it sent within `START_FRESHNESS` and `START_TIMEOUT`; the lease
    of a worker that does not receive the raised token expires.
    """
    fenced = START_FRESHNESS + START_TIMEOUT
    longest = max(settings.cancel_within, fenced + settings.lease)
    return longest * (1 + 2 * clock.DRIFT) + operator.state_margin


class CancellationConfirmation:
    """Determines whether a recorded cancellation may be confirmed to users."""

    def __init__(
        self,
        context: ControllerContext,
        peers: Peers,
        exchange: HeartbeatExchange,
        service: StartsInDoubtService,
        machines: AttemptsOnMachines,
        cancellations: ConfirmedCancellations,
        reports: PeerStartReports | None = None,
    ) -> None:
        self._context, self._peers = context, peers
        self._leader_queries = LeaderQueries(context.settings.name, peers, exchange, service)
        self._cancellations = cancellations
        reports = reports or PeerStartReports(cancellations)
        self._leader_evidence = LeaderEvidence(context.view, reports)
        self._machine_evidence = MachineEvidence(context.view, machines)
        self._max_confirmation_wait = max_confirmation_wait(context.settings, context.operator)

    async def confirm(self, job: str, timeout: timedelta) -> bool:
        """Return whether no start of a cancelled job can be carried out any more.

        Until then, the check is repeated for up to `timeout`.
        """
        self._cancellations.add(job)
        began = clock.now()
        check: CancellationCheck | None = None
        with trio.move_on_after((timeout + CHECK_TIMEOUT).total_seconds()):
            check = await self._check_until(job, began + timeout)
        waited_s = f"{(clock.now() - began).total_seconds():.2f}"
        if check is not None and not check.unsettled:
            evidence = _format_partitions(check.settled)
            log.info("cancellation-confirmed", job=job, evidence=evidence, waited_s=waited_s)
            return True
        # None: reading the records or querying the leaders did not finish in time.
        partitions = "unknown" if check is None else _format_partitions(check.unsettled)
        log.info("cancellation-waits", job=job, partitions=partitions, waited_s=waited_s)
        return False

    async def _check_until(self, job: str, until: datetime) -> CancellationCheck:
        """Repeat the check until no start can be carried out any more, or until the given time."""
        if await self._is_settled_everywhere(job):
            return CancellationCheck({"*": Evidence.ALL_LEADERS})
        # After this read the view has all starts that were recorded before the cancellation.
        await self._context.reader.read_barrier()
        query_machines_at = clock.ORIGIN
        while True:
            check = await self._query_leaders(job)
            may_query_machines = (
                self._time_since_added(job) > STALE_STARTS_PERIOD
                and clock.now() >= query_machines_at
            )
            if check.unsettled and may_query_machines:
                query_machines_at = clock.now() + MACHINE_QUERY_INTERVAL
                await self._machine_evidence.collect(job, check)
            if self._time_since_added(job) > self._max_confirmation_wait:
                for partition in list(check.unsettled):
                    check.mark_settled(partition, Evidence.TIME)
            if not check.unsettled or clock.now() >= until:
                return check
            await clock.pause(RETRY_INTERVAL)

    def _time_since_added(self, job: str) -> timedelta:
        """Return how long ago the cancellation was added here."""
        added_at = self._cancellations.added_at(job)
        return clock.ZERO if added_at is None else clock.now() - added_at

    # Without a read of the records: all controllers must answer.

    async def _is_settled_everywhere(self, job: str) -> bool:
        """Return whether all controllers answer and no leader has a start of the job in doubt.

        A controller that acquired a partition before the cancellation was written knows its own
        term. So the leader under the highest term that any controller knows has all recorded
        starts.
        """
        now = clock.now()
        if not all(
            link.alive(now) and link.peer_state.supports(STARTS_EXTENSION)
            for link in self._peers.links.values()
        ):
            return False
        with trio.move_on_after(QUICK_ANSWER_TIMEOUT.total_seconds()):
            replies = await self._leader_queries.query_all(job)
            return replies is not None and all_settled(job, replies)
        return False

    # With the records: only the leaders of partitions with attempts matter.

    def _partitions_with_attempts(self, job: str) -> set[str]:
        """Return the partitions that have recorded attempts of a job."""
        return {
            partition
            for partition, job_slices in self._context.view.job_slices.items()
            if job in job_slices and job_slices[job].attempts
        }

    async def _query_leaders(self, job: str) -> CancellationCheck:
        """Query the leaders of partitions with attempts; without an answer, use their reports."""
        check = CancellationCheck()
        partitions = self._partitions_with_attempts(job)
        if not partitions:
            return check
        leaders = {self._context.election.leader_of(partition) for partition in partitions}
        replies = await self._leader_queries.query(job, leaders)
        answers = [answer for reply in replies for answer in reply.partitions]
        # Attempts that were recorded before the query may have been removed in the meantime.
        for partition in sorted(partitions & self._partitions_with_attempts(job)):
            self._leader_evidence.evaluate(job, partition, answers, check)
        return check


def _format_partitions(partitions: dict[str, Evidence] | dict[str, UnsettledReason]) -> str:
    """Format partitions for the log, each with the result of its check."""
    entries = [f"{partition}:{found}" for partition, found in sorted(partitions.items())]
    return ",".join(entries) or "none"
