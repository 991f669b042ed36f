"""What the leaders of a controller's partitions are told."""

import threading
from types import SimpleNamespace

from roadbend.controller.leaders import PartitionLeaders
from roadbend.placement.cancellations import Cancellations
from roadbend.store.record_view import RecordView

JOB = "run-000001"


async def test_the_tasks_of_a_cancelled_job_are_marked_before_the_next_heartbeat_is_answered():
    """Guards against a lease that is renewed without a stop, after a user was told.

    A heartbeat that brings nothing new is answered without a step of the leader.
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
    partition_leaders.note_cancelled((JOB,))
    assert marked == ["east", "west"]
    # Nothing is marked anew where nothing is news.
    partition_leaders.note_cancelled((JOB,))
    assert marked == ["east", "west"]
