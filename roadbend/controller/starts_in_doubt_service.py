"""Answer which cancelled jobs have starts in doubt in the partitions that we lead."""

from datetime import datetime

from roadbend import clock
from roadbend.controller.leaders import PartitionLeaders
from roadbend.peers.starts_in_doubt import (
    PartitionStartsInDoubt,
    StartsInDoubtReply,
    StartsInDoubtRequest,
)
from roadbend.placement.leader import PartitionLeader
from roadbend.store.record_view import RecordView


class StartsInDoubtService:
    """Answers queries of peers and of this controller itself."""

    def __init__(self, view: RecordView, leaders: PartitionLeaders) -> None:
        self._view, self._leaders = view, leaders

    def on_call(self, _sender: str, payload: bytes) -> bytes:
        """Answer a peer; raise `FrameError` if its request is malformed."""
        return self.answer(StartsInDoubtRequest.unpack(payload).jobs).pack()

    def answer(self, jobs: tuple[str, ...]) -> StartsInDoubtReply:
        """Answer for each partition that we lead; from now on we start no tasks of these jobs."""
        self._leaders.mark_cancelled(jobs)
        now = clock.now()
        partitions = [_answer_for(leader, jobs, now) for leader in self._leaders.leaders.values()]
        terms = {partition: term.number for partition, term in self._view.terms.items()}
        return StartsInDoubtReply(tuple(partitions), terms if self._view.loaded else {})


def _answer_for(
    leader: PartitionLeader, jobs: tuple[str, ...], now: datetime
) -> PartitionStartsInDoubt:
    with leader.lock:
        in_doubt = tuple(job for job in jobs if leader.starts_in_doubt.has_any(job, now))
    return PartitionStartsInDoubt(leader.partition, leader.leadership.term, in_doubt)
