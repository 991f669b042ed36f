"""When the machines of a partition led by another controller are counted."""

from datetime import timedelta

import pytest

from roadbend import clock
from roadbend.partitions.hold_offs import HoldOffs
from roadbend.partitions.partition_observation import PartitionObserver
from roadbend.partitions.policy import ControllersState
from roadbend.partitions.unserved import NO_MACHINES, MachineCounts
from roadbend.peers.heartbeat import PeerState
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Resources, SliceShard

S = timedelta(seconds=1)
T = clock.ORIGIN + 1000 * S
OPERATOR = OperatorSettings()


@pytest.mark.parametrize("silent_for, asked", [(5.9 * S, False), (6 * S, True)])
def test_machines_are_counted_only_while_their_leader_is_silent(silent_for, asked):
    """Guards against examining all machines in every election step."""
    view, queries = RecordView(), []
    view.put(keys.leader_key("west"), {"node": "n2", "boot": "i2", "term": 8}, 3)
    attempts = {0: Attempt(70, "m-1"), 1: Attempt(71, "m-2")}
    shard = SliceShard("run-1", "west", "red", Resources(1, 0, 1), attempts=attempts, shard=0)
    view.put(shard.key, shard.to_value(), 5)
    observer = PartitionObserver(OPERATOR, view, HoldOffs())

    def count(query, _now):
        queries.append((query.partition, query.term, set(query.machines)))
        return 1

    observer.count_unserved = count
    peers = {"n2": PeerState(received_at=T - silent_for)}
    zones = {"n1": "east", "n2": "west"}
    controllers = ControllersState("n1", "i1", zones, {"n1": T, "n2": T}, peers)
    state = observer.observe("west", None, controllers, T)
    assert state.machines == (MachineCounts(2, 1) if asked else NO_MACHINES)
    assert queries == ([("west", 8, {"m-1", "m-2"})] if asked else [])
