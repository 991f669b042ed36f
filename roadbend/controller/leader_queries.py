"""Query controllers for starts of a cancelled job that may still be carried out."""

from collections.abc import Collection, Iterable
from datetime import timedelta

import trio

from roadbend.controller.starts_in_doubt_service import StartsInDoubtService
from roadbend.log import Log
from roadbend.peers.frames import STARTS_EXTENSION, FrameError, FrameKind
from roadbend.peers.links import HeartbeatExchange, Link, NoReplyError, Peers
from roadbend.peers.starts_in_doubt import StartsInDoubtReply, StartsInDoubtRequest

log = Log("controller")

# The timeout for a controller's answer.
ANSWER_TIMEOUT = timedelta(milliseconds=500)


class LeaderQueries:
    """Queries this controller and its peers."""

    def __init__(
        self,
        controller: str,
        peers: Peers,
        exchange: HeartbeatExchange,
        service: StartsInDoubtService,
    ) -> None:
        self._controller, self._peers = controller, peers
        self._exchange, self._service = exchange, service

    async def query_all(self, job: str) -> list[StartsInDoubtReply] | None:
        """Return the replies of all controllers; None if one does not answer."""
        controllers = self._peers.links.keys() | {self._controller}
        replies = await self.query(job, controllers)
        return replies if len(replies) == len(controllers) else None

    async def query(
        self, job: str, controllers: Collection[str | None]
    ) -> list[StartsInDoubtReply]:
        """Return the replies of those of the given controllers that answer."""
        replies: list[StartsInDoubtReply] = []
        if self._controller in controllers:
            replies.append(self._service.answer((job,)))
        async with trio.open_nursery() as nursery:
            for name, link in self._peers.links.items():
                if name in controllers:
                    nursery.start_soon(self._query_peer, link, job, replies)
        return replies

    async def _query_peer(self, link: Link, job: str, replies: list[StartsInDoubtReply]) -> None:
        """Add a peer's reply to `replies`."""
        if not link.peer_state.supports(STARTS_EXTENSION):
            # An older version can't answer the query; a heartbeat notifies it of the cancellation.
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


def all_settled(job: str, replies: Iterable[StartsInDoubtReply]) -> bool:
    """Return whether no leader under the highest known terms has a start of the job in doubt.

    False as well if a leader's answer, or a controller's list of terms, is missing.
    """
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
