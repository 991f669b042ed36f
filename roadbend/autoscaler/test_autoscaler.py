"""Tests of which machines the autoscaler creates, keeps and deletes."""

from datetime import timedelta

import pytest

from roadbend import clock
from roadbend.autoscaler.machine_creation import MAX_REQUESTS, MachineCreation
from roadbend.autoscaler.scale_in import IdleMachine, machines_to_delete
from roadbend.autoscaler.scale_out_policy import TimedTasks, machines_to_create
from roadbend.autoscaler.warm_pool import tasks_to_keep
from roadbend.cloud.messages import MachineKind, read_machine_types
from roadbend.fakes.platform import MACHINE_TYPE
from roadbend.fakes.scheduling import MACHINE_TYPES, SMALL, choices, pending
from roadbend.http.server import MalformedError
from roadbend.placement import machine_options
from roadbend.placement.forecast import MachineTimeline, Release
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.store.records import Resources

S = timedelta(seconds=1)


def busy(seconds: float) -> MachineTimeline:
    capacity = FreeCapacity("m", "g2", "east", True, 0, 0, 0, total=Resources(24, 2, 144))
    return MachineTimeline(capacity, [Release(seconds, Resources(8, 1, 40))])


def test_a_task_that_can_wait_for_a_place_hires_nothing():
    timing = TimedTasks(pending(), 20.0, 60.0)
    assert machines_to_create([timing], [busy(50.0)], choices(), "east", 1.0) == {}
    assert sum(machines_to_create([timing], [busy(70.0)], choices(), "east", 1.0).values()) == 1


def test_what_has_missed_a_deadline_hurries_for_the_next_one_and_then_takes_what_is_cheap():
    ordinary = choices({("g2", True), ("s1", True)})
    missed = TimedTasks(pending(), 20.0, 3.0, later_slacks=(60.0,), min_cost=1.0)
    assert machines_to_create([missed], [busy(50.0)], ordinary, "east", 1.0) == {}
    assert sum(machines_to_create([missed], [busy(70.0)], ordinary, "east", 1.0).values()) == 1
    lost = TimedTasks(pending(), 20.0, -80.0, later_slacks=(-20.0,), min_cost=1.0)
    assert machines_to_create([lost], [busy(70.0)], ordinary, "east", 1.0) == {}
    assert sum(machines_to_create([lost], [busy(70.0)], choices(), "east", 1.0).values()) == 1


def test_no_machine_is_hired_that_would_come_too_late_to_help():
    assert (
        machines_to_create([TimedTasks(pending(), 20.0, 0.0)], [busy(9.0)], choices(), "east", 1.0)
        == {}
    )


def test_tasks_behind_share_the_machine_that_the_first_called_for():
    queue = [TimedTasks(pending(1, 4, legs=4), 20.0, 12.0)]
    assert machines_to_create(queue, [], choices(), "east", 1.0) == {("g2", True): 2}


def test_ordinary_machines_where_spot_ones_are_refused_or_not_allowed():
    late = [TimedTasks(pending(loaners=False), 20.0, 0.0)]
    assert all(not spot for _, spot in machines_to_create(late, [], choices(), "east", 1.0))
    refused = {("g2", True), ("s1", True)}
    assert all(
        not spot
        for _, spot in machines_to_create(
            [TimedTasks(pending(), 20.0, 0.0)], [], choices(refused), "east", 1.0
        )
    )
    everything = {(machine_type, spot) for machine_type in MACHINE_TYPES for spot in (True, False)}
    assert machines_to_create(late, [], choices(everything), "east", 1.0) == {}


def test_a_type_on_which_a_service_wastes_the_machine_is_dear():
    service = pending(shape="daemon", loaners=False, dueS=None).job
    # Two fit on the large type at 6.0, one on the small at 5.0.
    assert machine_options.expensive_machine_types(
        service, MACHINE_TYPES.values(), 1.3, "east"
    ) == {"s1"}
    assert (
        machine_options.expensive_machine_types(service, MACHINE_TYPES.values(), 2.0, "east")
        == set()
    )
    # With anti-affinity, half of the tasks must run in the zone without the cheap type.
    far = read_machine_types([{**MACHINE_TYPE, "yards": ["west"]}, SMALL]).values()
    spread = pending(shape="daemon", loaners=False, dueS=None, legs=2, apart=True).job
    assert (
        machine_options.expensive_machine_types(service, far, 1.3, "east") == {"s1"}
        and machine_options.expensive_machine_types(spread, far, 1.3, "east") == set()
    )
    assert machine_options.expensive_machine_types(spread, far, 1.3, "west") == {"s1"}


def test_warm_room_follows_measured_arrivals():
    assert tasks_to_keep([], 40 * S, 300 * S, 3, 99) == 0
    assert tasks_to_keep([1] * 6, 40 * S, 300 * S, 3, 99) == 1
    # The same number of tasks arrives less evenly in services with many tasks.
    assert tasks_to_keep([1] * 120, 40 * S, 300 * S, 3, 99) == 7
    assert tasks_to_keep([12] * 10, 40 * S, 300 * S, 3, 99) == 10
    assert tasks_to_keep([12] * 10, 40 * S, 300 * S, 3, 4) == 4


def test_the_longest_idle_goes_first_and_the_warm_room_stays():
    now = clock.ORIGIN + 100 * S
    idle = [
        IdleMachine("a", now - 50 * S, 2),
        IdleMachine("b", now - 90 * S, 2),
        IdleMachine("c", now - 3 * S, 0),
        IdleMachine("d", now - 60 * S, 0),
    ]
    assert machines_to_delete(idle, now, 8 * S, 2) == ["b", "d"]
    assert machines_to_delete(idle, now, 8 * S, 0) == ["d"]
    assert machines_to_delete(idle, now, 8 * S, -3) == ["d"]


@pytest.mark.parametrize(
    "change", [{"vcpus": -1}, {"name": 3}, {"yards": "east"}, {"startupS": float("nan")}]
)
def test_a_nonsense_catalog_is_refused(change):
    with pytest.raises(MalformedError):
        read_machine_types([{**MACHINE_TYPE, **change}])


async def test_more_machines_than_a_request_rents_take_several_in_one_round():
    """Guards against one request a round, with which a partition got its machines minutes late.

    Rounds take longer the more machines there are; this partition had more than a thousand.
    """

    async def requests(count: int, *available: int) -> list[int]:
        creation, remaining, requested = (
            MachineCreation.__new__(MachineCreation),
            list(available),
            [],
        )

        async def create(_leader, _kind, count: int) -> int:
            requested.append(count)
            return min(count, remaining.pop(0))

        creation._create = create
        await creation.create_all(None, MachineKind("g2", False), count)
        return requested

    assert await requests(120, 50, 50, 50) == [50, 50, 20]
    # If the cloud creates fewer than requested, no further request follows in the round.
    assert await requests(120, 50, 30, 50) == [50, 50]
    assert await requests(10_000, *[50] * MAX_REQUESTS) == [50] * MAX_REQUESTS
