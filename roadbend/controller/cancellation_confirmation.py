"""Decide when users may be told that a job is cancelled.

Once a user is told, no start of the job may be carried out any more. No leader can record a start
of a job whose cancellation is in the records; so what may still start are attempts that they name.
The leaders of the partitions that have such attempts are asked whether a start of them is in doubt,
or, where one can't be asked, the machines. docs/meetings.md has the argument, and the bound's.
"""

from collections.abc import Collection, Iterable
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.starts_in_doubt_service import StartsInDoubtService
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
from roadbend.settings import OperatorSettings, PlatformSettings

log = Log("controller")

# How long a leader may take for an answer, and where all controllers are asked first.
ANSWER_TIMEOUT = timedelta(milliseconds=500)
QUICK_ANSWER_TIMEOUT = timedelta(milliseconds=200)
# How long a look may take beyond its user's patience.
LOOK_TIMEOUT = timedelta(seconds=1)
# How soon machines that did not hold all attempts are asked again.
INSPECT_INTERVAL = timedelta(seconds=1)
# Once a cancellation has been noted for so long, no leader sends a start of the job any more: it
# knows of it, or its records are too old.
NO_MORE_STARTS = START_FRESHNESS * (1 + 2 * clock.DRIFT)
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
    ) -> None:
        self._context, self._peers, self._exchange = context, peers, exchange
        self._service, self._machines, self._noted = service, machines, noted
        self._max_wait = max_wait(context.settings, context.operator)

    async def confirm(self, job: str, patience: timedelta) -> bool:
        """Tell whether no start of a cancelled job can be carried out any more.

        With `patience` that is looked at again for so long.
        """
        self._noted.add(job)
        began = clock.now()
        waits_for: set[str] | None = None
        with trio.move_on_after((patience + LOOK_TIMEOUT).total_seconds()):
            waits_for = await self._look(job, began + patience)
        waited_s = f"{(clock.now() - began).total_seconds():.2f}"
        if waits_for == set():
            log.info("cancellation-confirmed", job=job, waited_s=waited_s)
            return True
        # None: the records were not read, or a leader did not answer, in time.
        partitions = "unknown" if waits_for is None else ",".join(sorted(waits_for))
        log.info("cancellation-waits", job=job, partitions=partitions, waited_s=waited_s)
        return False

    async def _look(self, job: str, until: datetime) -> set[str]:
        """Return the partitions in which starts of a job may still be carried out, by `until`."""
        if await self._is_settled_everywhere(job):
            return set()
        # Whatever start was recorded before the cancellation is in the view from here on.
        await self._context.reader.read_barrier()
        inspect_at = clock.ORIGIN
        while True:
            waits_for = self._open_partitions(job)
            if waits_for:
                waits_for -= await self._settled_partitions(job, waits_for)
            if waits_for and self._noted_for(job) > NO_MORE_STARTS and clock.now() >= inspect_at:
                inspect_at = clock.now() + INSPECT_INTERVAL
                waits_for -= await self._partitions_held(job, waits_for)
            if self._noted_for(job) > self._max_wait:
                return set()
            if not waits_for or clock.now() >= until:
                return waits_for
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
        links = self._peers.links
        now = clock.now()
        if not all(
            link.alive(now) and link.known.supports(STARTS_EXTENSION) for link in links.values()
        ):
            return False
        with trio.move_on_after(QUICK_ANSWER_TIMEOUT.total_seconds()):
            replies = await self._ask(job, links.keys() | {self._context.settings.name})
            return len(replies) == len(links) + 1 and _all_settled(job, replies)
        return False

    # With the records: only those matter whose partitions have attempts.

    def _open_partitions(self, job: str) -> set[str]:
        """Return the partitions whose records name attempts of a job."""
        return {
            partition
            for partition, job_slices in self._context.view.job_slices.items()
            if job in job_slices and job_slices[job].attempts
        }

    async def _settled_partitions(self, job: str, partitions: set[str]) -> set[str]:
        """Ask the leaders of partitions; return those in which no start of a job is in doubt."""
        leaders = {self._context.election.leader_of(partition) for partition in partitions}
        replies = await self._ask(job, leaders)
        return {
            answer.partition
            for reply in replies
            for answer in reply.partitions
            if job not in answer.jobs and self._is_current(answer)
        }

    def _is_current(self, answer: PartitionStartsInDoubt) -> bool:
        """Whether an answer is of the latest leadership that the records name, or a later one."""
        term = self._context.view.terms.get(answer.partition)
        return term is not None and answer.term >= term.number

    async def _partitions_held(self, job: str, partitions: set[str]) -> set[str]:
        """Return the partitions all of whose attempts of a job are held by their machines.

        To be asked once no leader can send a start of the job any more.
        """
        return {
            partition
            for partition in partitions
            if (job_slice := self._context.view.job_slices[partition].get(job)) is None
            or await self._machines.hold_all(job, dict(job_slice.attempts))
        }

    # Asking controllers.

    async def _ask(self, job: str, controllers: Collection[str | None]) -> list[StartsInDoubtReply]:
        """Return the replies of those controllers that answer."""
        replies: list[StartsInDoubtReply] = []
        if self._context.settings.name in controllers:
            replies.append(self._service.answer((job,)))
        async with trio.open_nursery() as nursery:
            for name, link in self._peers.links.items():
                if name in controllers:
                    nursery.start_soon(self._ask_peer, link, job, replies)
        return replies

    async def _ask_peer(self, link: Link, job: str, replies: list[StartsInDoubtReply]) -> None:
        """Add a peer's reply to `replies`."""
        if not link.known.supports(STARTS_EXTENSION):
            # An older version is told of the cancellation, and can't answer for its starts.
            await link.exchange_heartbeats(self._exchange)
            return
        request = StartsInDoubtRequest((job,)).pack()
        try:
            reply = await link.call(FrameKind.STARTS_IN_DOUBT, request, ANSWER_TIMEOUT)
            replies.append(StartsInDoubtReply.unpack(reply))
        except NoReplyError:
            log.debug("starts-in-doubt-unanswered", peer=link.peer.name, job=job)
        except FrameError as error:
            log.error("frame-malformed", peer=link.peer.name, error=str(error))


def _all_settled(job: str, replies: Iterable[StartsInDoubtReply]) -> bool:
    """Whether the leaders under the highest terms that anybody knows have no start in doubt."""
    latest: dict[str, int] = {}
    for reply in replies:
        if not reply.terms:
            return False
        for partition, term in reply.terms.items():
            latest[partition] = max(term, latest.get(partition, 0))
    settled = {
        answer.partition
        for reply in replies
        for answer in reply.partitions
        if job not in answer.jobs and answer.term >= latest.get(answer.partition, 0)
    }
    return latest.keys() <= settled
