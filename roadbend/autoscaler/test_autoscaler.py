"""What is hired, kept and given back."""

from datetime import timedelta

import pytest

from roadbend import clock
from roadbend.autoscaler import policy
from roadbend.autoscaler.cloud import read_machine_types
from roadbend.autoscaler.policy import Timing
from roadbend.autoscaler.service import MAX_REQUESTS, Autoscaler
from roadbend.fakes.world import MACHINE_TYPE
from roadbend.http.server import MalformedError
from roadbend.placement.forecast import MachineTimeline, Release
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.test_placement import pending
from roadbend.store.records import Resources

SMALL = {
    **MACHINE_TYPE,
    "name": "s1",
    "vcpus": 12.0,
    "gpus": 2.0,
    "memoryGb": 72.0,
    "price": 5.0,
    "lowPrice": 1.0,
}
MACHINE_TYPES = read_machine_types([MACHINE_TYPE, SMALL])
S = timedelta(seconds=1)


def busy(seconds: float) -> MachineTimeline:
    capacity = FreeCapacity("m", "g2", "east", True, 0, 0, 0, total=Resources(24, 2, 144))
    return MachineTimeline(capacity, [Release(seconds, Resources(8, 1, 40))])


def choices(refused=()):
    return policy.options(MACHINE_TYPES.values(), "east", set(refused))


def test_a_task_that_can_wait_for_a_place_hires_nothing():
    timing = Timing(pending(), 20.0, 60.0)
    assert policy.wanted([timing], [busy(50.0)], choices(), "east", 1.0) == {}
    assert sum(policy.wanted([timing], [busy(70.0)], choices(), "east", 1.0).values()) == 1


def test_what_has_missed_a_deadline_hurries_for_the_next_one_and_then_takes_what_is_cheap():
    ordinary = choices({("g2", True), ("s1", True)})
    missed = Timing(pending(), 20.0, 3.0, later=(60.0,), least=1.0)
    assert policy.wanted([missed], [busy(50.0)], ordinary, "east", 1.0) == {}
    assert sum(policy.wanted([missed], [busy(70.0)], ordinary, "east", 1.0).values()) == 1
    lost = Timing(pending(), 20.0, -80.0, later=(-20.0,), least=1.0)
    assert policy.wanted([lost], [busy(70.0)], ordinary, "east", 1.0) == {}
    assert sum(policy.wanted([lost], [busy(70.0)], choices(), "east", 1.0).values()) == 1


def test_no_machine_is_hired_that_would_come_too_late_to_help():
    assert policy.wanted([Timing(pending(), 20.0, 0.0)], [busy(9.0)], choices(), "east", 1.0) == {}


def test_tasks_behind_share_the_machine_that_the_first_called_for():
    queue = [Timing(pending(1, 4, legs=4), 20.0, 12.0)]
    assert policy.wanted(queue, [], choices(), "east", 1.0) == {("g2", True): 2}


def test_ordinary_machines_where_spot_ones_are_refused_or_not_allowed():
    late = [Timing(pending(loaners=False), 20.0, 0.0)]
    assert all(not spot for _, spot in policy.wanted(late, [], choices(), "east", 1.0))
    refused = {("g2", True), ("s1", True)}
    assert all(
        not spot
        for _, spot in policy.wanted(
            [Timing(pending(), 20.0, 0.0)], [], choices(refused), "east", 1.0
        )
    )
    everything = {(machine_type, spot) for machine_type in MACHINE_TYPES for spot in (True, False)}
    assert policy.wanted(late, [], choices(everything), "east", 1.0) == {}


def test_a_type_on_which_a_service_wastes_the_machine_is_dear():
    service = pending(shape="daemon", loaners=False, dueS=None).job
    # Two fit on the large type at 6.0, one on the small at 5.0.
    assert policy.expensive_machine_types(service, MACHINE_TYPES.values(), 1.3, "east") == {"s1"}
    assert policy.expensive_machine_types(service, MACHINE_TYPES.values(), 2.0, "east") == set()
    # Spread over zones, half of it must go where the cheap type is not to be had.
    far = read_machine_types([{**MACHINE_TYPE, "yards": ["west"]}, SMALL]).values()
    spread = pending(shape="daemon", loaners=False, dueS=None, legs=2, apart=True).job
    assert (
        policy.expensive_machine_types(service, far, 1.3, "east") == {"s1"}
        and policy.expensive_machine_types(spread, far, 1.3, "east") == set()
    )
    assert policy.expensive_machine_types(spread, far, 1.3, "west") == {"s1"}


def test_warm_room_follows_measured_arrivals():
    assert policy.warm_places([], 40 * S, 300 * S, 3, 99) == 0
    assert policy.warm_places([1] * 6, 40 * S, 300 * S, 3, 99) == 1
    # As many replicas in wide services come less evenly.
    assert policy.warm_places([1] * 120, 40 * S, 300 * S, 3, 99) == 7
    assert policy.warm_places([12] * 10, 40 * S, 300 * S, 3, 99) == 10
    assert policy.warm_places([12] * 10, 40 * S, 300 * S, 3, 4) == 4


def test_the_longest_idle_goes_first_and_the_warm_room_stays():
    now = clock.ORIGIN + 100 * S
    idle = [
        ("a", now - 50 * S, 2),
        ("b", now - 90 * S, 2),
        ("c", now - 3 * S, 0),
        ("d", now - 60 * S, 0),
    ]
    assert policy.to_return(idle, now, 8 * S, 2) == ["b", "d"]
    assert policy.to_return(idle, now, 8 * S, 0) == ["d"]
    assert policy.to_return(idle, now, 8 * S, -3) == ["d"]


@pytest.mark.parametrize(
    "change", [{"vcpus": -1}, {"name": 3}, {"yards": "east"}, {"startupS": float("nan")}]
)
def test_a_nonsense_catalog_is_refused(change):
    with pytest.raises(MalformedError):
        read_machine_types([{**MACHINE_TYPE, **change}])


async def test_more_machines_than_a_request_rents_take_several_in_one_round():
    """One request a round, with rounds that grow with the machines, once kept a part of more than a
    thousand waiting for minutes."""

    async def requests(count: int, *there: int) -> list[int]:
        autoscaler, left, asked = Autoscaler.__new__(Autoscaler), list(there), []

        async def rent(_leader, _machine_type, _spot, count: int) -> int:
            asked.append(count)
            return min(count, left.pop(0))

        autoscaler._rent = rent
        await autoscaler._rent_all(None, "g2", False, count)
        return asked

    assert await requests(120, 50, 50, 50) == [50, 50, 20]
    # Where the cloud has fewer, it is not asked again at once.
    assert await requests(120, 50, 30, 50) == [50, 50]
    assert await requests(10_000, *[50] * MAX_REQUESTS) == [50] * MAX_REQUESTS
