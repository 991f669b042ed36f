"""Decide when users may be told that a job is cancelled.

Once a user is told, no start of the job may be carried out any more. No leader can record a start
of a job whose cancellation is in the records; so what may still start are attempts that they name.
The leaders of the partitions that have such attempts are asked whether a start of them is in doubt.
docs/meetings.md has the argument, and that of the bound.
"""

from collections.abc import Mapping
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.fleet.direct_commands import START_TIMEOUT
from roadbend.log import Log
from roadbend.partitions.election import START_FRESHNESS
from roadbend.peers.frames import STARTS_EXTENSION, FrameError, FrameKind
from roadbend.peers.links import HeartbeatExchange, Link, NoReplyError, Peers
from roadbend.peers.starts_in_doubt import (
    PartitionStartsInDoubt,
    StartsInDoubtReply,
    StartsInDoubtRequest,
)
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.settings import OperatorSettings, PlatformSettings

log = Log("controller")

# How long the records and the leaders may take for one answer.
ANSWER_TIMEOUT = timedelta(seconds=1)
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


class StartsInDoubtService:
    """Answers which cancelled jobs have starts in doubt in the partitions that are led here."""

    def __init__(self, context: ControllerContext, leaders: Mapping[str, PartitionLeader]) -> None:
        self._context, self._leaders = context, leaders

    def on_call(self, _sender: str, payload: bytes) -> bytes:
        """Answer a peer; raise `FrameError` if its request is malformed."""
        request = StartsInDoubtRequest.unpack(payload)
        return StartsInDoubtReply(tuple(self.answer(request.jobs))).pack()

    def answer(self, jobs: tuple[str, ...]) -> list[PartitionStartsInDoubt]:
        """Answer for each partition; nothing of these jobs is started here from now on."""
        self._context.cancellations.add(jobs)
        now = clock.now()
        return [self._answer_for(leader, jobs, now) for leader in self._leaders.values()]

    def _answer_for(
        self, leader: PartitionLeader, jobs: tuple[str, ...], now: datetime
    ) -> PartitionStartsInDoubt:
        with leader.lock:
            leader.stops.order_cancelled_jobs(jobs, now)
            in_doubt = tuple(job for job in jobs if leader.starts_in_doubt.has_any(job, now))
        return PartitionStartsInDoubt(leader.partition, leader.leadership.term, in_doubt)


class CancellationConfirmation:
    """Finds out whether users may be told of a cancellation that is in the records."""

    def __init__(
        self,
        context: ControllerContext,
        peers: Peers,
        exchange: HeartbeatExchange,
        service: StartsInDoubtService,
        noted: ConfirmedCancellations,
    ) -> None:
        self._context, self._peers, self._exchange = context, peers, exchange
        self._service, self._noted = service, noted
        self._max_wait = max_wait(context.settings, context.operator)

    async def confirm(self, job: str, patience: timedelta) -> bool:
        """Tell whether no start of a cancelled job can be carried out any more.

        With `patience` that is looked at again for so long.
        """
        self._noted.add(job)
        began = clock.now()
        # Until the records have been read nobody knows which partitions hold attempts.
        waits_for: set[str] | None = None
        with trio.move_on_after(max(patience, ANSWER_TIMEOUT).total_seconds()):
            waits_for = await self._look(job, began + patience)
        waited_s = f"{(clock.now() - began).total_seconds():.2f}"
        if waits_for == set():
            log.info("cancellation-confirmed", job=job, waited_s=waited_s)
            return True
        partitions = ",".join(sorted(waits_for or ()))
        log.info("cancellation-waits", job=job, partitions=partitions, waited_s=waited_s)
        return False

    async def _look(self, job: str, until: datetime) -> set[str]:
        """Return the partitions in which starts of a job may still be carried out, by `until`."""
        # Whatever start was recorded before the cancellation is in the view from here on.
        await self._context.reader.read_barrier()
        while True:
            waits_for = self._open_partitions(job)
            if waits_for:
                waits_for -= await self._settled_partitions(job, waits_for)
            if self._is_over(job):
                return set()
            if not waits_for or clock.now() >= until:
                return waits_for
            await clock.pause(RETRY_INTERVAL)

    def _open_partitions(self, job: str) -> set[str]:
        """Return the partitions whose records name attempts of a job."""
        return {
            partition
            for partition, job_slices in self._context.view.job_slices.items()
            if job in job_slices and job_slices[job].attempts
        }

    def _is_over(self, job: str) -> bool:
        """Whether so much time has passed that no start can be carried out."""
        noted_at = self._noted.noted_at(job)
        return noted_at is not None and clock.now() - noted_at > self._max_wait

    async def _settled_partitions(self, job: str, partitions: set[str]) -> set[str]:
        """Ask the leaders of partitions; return those in which no start of a job is in doubt."""
        leaders = {self._context.election.leader_of(partition) for partition in partitions}
        answers: list[PartitionStartsInDoubt] = []
        if self._context.settings.name in leaders:
            answers += self._service.answer((job,))
        async with trio.open_nursery() as nursery:
            for name, link in self._peers.links.items():
                if name in leaders:
                    nursery.start_soon(self._ask, link, job, answers)
        return {
            answer.partition
            for answer in answers
            if job not in answer.jobs and self._is_current(answer)
        }

    def _is_current(self, answer: PartitionStartsInDoubt) -> bool:
        """Whether an answer is of the latest leadership that the records name, or a later one."""
        term = self._context.view.terms.get(answer.partition)
        return term is not None and answer.term >= term.number

    async def _ask(self, link: Link, job: str, answers: list[PartitionStartsInDoubt]) -> None:
        """Add a peer's answers to `answers`."""
        if not link.known.supports(STARTS_EXTENSION):
            # An older version is told of the cancellation, and can't answer for its starts.
            await link.exchange_heartbeats(self._exchange)
            return
        request = StartsInDoubtRequest((job,)).pack()
        try:
            reply = await link.call(FrameKind.STARTS_IN_DOUBT, request, ANSWER_TIMEOUT)
            answers += StartsInDoubtReply.unpack(reply).partitions
        except NoReplyError:
            log.debug("starts-in-doubt-unanswered", peer=link.peer.name, job=job)
        except FrameError as error:
            log.error("frame-malformed", peer=link.peer.name, error=str(error))
