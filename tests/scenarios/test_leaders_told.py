"""How leaders are notified of a cancellation before it is confirmed to its user."""

import threading
from types import SimpleNamespace

from roadbend.controller.leader_queries import LeaderQueries
from roadbend.controller.leaders import PartitionLeaders
from roadbend.placement.cancellations import Cancellations
from roadbend.store.record_view import RecordView

JOB = "run-000001"


async def test_the_tasks_of_a_cancelled_job_are_marked_before_the_next_heartbeat_is_answered():
    """Guards against a lease that is renewed without a stop after the cancellation was confirmed.

    An unchanged heartbeat is answered without a scheduling step of the leader.
    """
    marked = []
    leaders = {
        zone: SimpleNamespace(
            lock=threading.RLock(),
            stops=SimpleNamespace(order_all_cancelled=lambda _now, zone=zone: marked.append(zone)),
        )
        for zone in ("east", "west")
    }
    context = SimpleNamespace(cancellations=Cancellations(RecordView()))
    partition_leaders = PartitionLeaders(context, None, None, leaders)
    partition_leaders.mark_cancelled((JOB,))
    assert marked == ["east", "west"]
    # A cancellation that is known already is not marked again.
    partition_leaders.mark_cancelled((JOB,))
    assert marked == ["east", "west"]


class PreviousVersionLink:
    """A link to a controller of version 0.9.0, which does not support the query for starts."""

    def __init__(self):
        self.peer_state = SimpleNamespace(supports=lambda _extension: False)
        self.heartbeat_count = 0

    async def exchange_heartbeats(self, _exchange) -> bool:
        self.heartbeat_count += 1
        return True


async def test_a_leader_of_an_older_version_is_told_as_the_others_are_asked():
    """Guards against a leader that starts tasks of the job until the next regular heartbeat."""
    leader, other = PreviousVersionLink(), PreviousVersionLink()
    peers = SimpleNamespace(links={"node-1": leader, "node-2": other})
    queries = LeaderQueries("node-0", peers, None, None)
    assert await queries.query(JOB, {"node-1"}) == []
    assert (leader.heartbeat_count, other.heartbeat_count) == (1, 0)
