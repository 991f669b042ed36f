"""Answer which cancelled jobs have starts in doubt in the partitions that are led here."""

from collections.abc import Mapping
from datetime import datetime

from roadbend import clock
from roadbend.peers.starts_in_doubt import (
    PartitionStartsInDoubt,
    StartsInDoubtReply,
    StartsInDoubtRequest,
)
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader


class StartsInDoubtService:
    """Answers peers, and this controller itself."""

    def __init__(self, context: ControllerContext, leaders: Mapping[str, PartitionLeader]) -> None:
        self._context, self._leaders = context, leaders

    def on_call(self, _sender: str, payload: bytes) -> bytes:
        """Answer a peer; raise `FrameError` if its request is malformed."""
        return self.answer(StartsInDoubtRequest.unpack(payload).jobs).pack()

    def answer(self, jobs: tuple[str, ...]) -> StartsInDoubtReply:
        """Answer for each partition; nothing of these jobs is started here from now on."""
        view = self._context.view
        self._context.cancellations.add(jobs)
        now = clock.now()
        partitions = [self._answer_for(leader, jobs, now) for leader in self._leaders.values()]
        terms = {partition: term.number for partition, term in view.terms.items()}
        return StartsInDoubtReply(tuple(partitions), terms if view.loaded else {})

    def _answer_for(
        self, leader: PartitionLeader, jobs: tuple[str, ...], now: datetime
    ) -> PartitionStartsInDoubt:
        with leader.lock:
            leader.stops.order_cancelled_jobs(jobs, now)
            in_doubt = tuple(job for job in jobs if leader.starts_in_doubt.has_any(job, now))
        return PartitionStartsInDoubt(leader.partition, leader.leadership.term, in_doubt)
