"""Whether another leader's machines are reachable from this controller."""

from datetime import timedelta

import pytest
import trio

from roadbend.cloud.messages import ListedMachine, MachineStatus
from roadbend.fleet import machine_reach
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_reach import MAX_PROBED, RETRY_INTERVAL, MachineReach
from roadbend.store import keys
from roadbend.store.record_view import RecordView


class Machines:
    """Machines of the zone east with an attempt each; those in `answering` answer probes."""

    def __init__(self, monkeypatch, count, listed=True):
        self.names = [f"m-{at:03}" for at in range(count)]
        self.answering, self.asked = set(self.names), []
        self.view, self.inventory = RecordView(), CloudInventory()
        if self.names:
            self.view.put(keys.slice_key("east", "run-1", 0), slice_value(self.names), 1)
        if listed:
            self.inventory.update([listed_machine(name) for name in self.names])
        self.reach = MachineReach(None, self.inventory, self.view)
        monkeypatch.setattr(machine_reach, "inspect_machine", self.inspect)

    async def inspect(self, _net, address, name):
        assert address == f"{name}:1"
        self.asked.append(name)
        return object() if name in self.answering else None


def slice_value(machines):
    """Build the record of a slice with a task on each of some machines."""
    attempts = [part for at, name in enumerate(machines) for part in (at, at + 1, name)]
    return {"t": "red", "n": [1.0, 0.0, 1.0], "d": [], "r": [[8, "", attempts]]}


def listed_machine(name, status=MachineStatus.RUNNING):
    return ListedMachine(
        id=name,
        address=f"{name}:1",
        machine_type="g2",
        zone="east",
        spot=False,
        status=status,
        age=timedelta(seconds=60),
    )


@pytest.mark.parametrize("answering, reached", [(4, True), (3, False), (0, False)])
async def test_a_partition_is_in_reach_if_all_machines_of_its_gangs_answer(
    monkeypatch, answering, reached
):
    """Guards against a gang that ends because the new leader can't reach one of its machines."""
    machines = Machines(monkeypatch, 4)
    machines.answering = set(machines.names[:answering])
    assert await machines.reach.is_reachable("east") is reached


async def test_machines_that_have_failed_by_the_cloud_need_not_answer(monkeypatch):
    """Guards against a failed machine because of which a leader without gangs is not replaced."""
    machines = Machines(monkeypatch, 4)
    machines.answering = set(machines.names[1:])
    failed = listed_machine(machines.names[0], MachineStatus.FAILED)
    machines.inventory.update([failed, *(listed_machine(name) for name in machines.names[1:])])
    assert await machines.reach.is_reachable("east")


async def test_machines_that_run_gangs_are_asked_before_others(monkeypatch):
    machines = Machines(monkeypatch, 4)
    machines.view.put(keys.slice_key("east", "run-2", 0), slice_value(["m-900"]), 2)
    machines.view.put(keys.gang_key("run-2"), {}, 2)
    machines.inventory.update([listed_machine("m-900")])
    machines.answering = {"m-900"}
    assert await machines.reach.is_reachable("east")
    assert machines.asked == ["m-900"]


async def test_a_partition_in_which_nothing_runs_is_in_reach(monkeypatch):
    assert await Machines(monkeypatch, 0).reach.is_reachable("east")


async def test_it_is_not_in_reach_while_its_machines_are_not_listed_and_is_asked_again_at_once(
    monkeypatch,
):
    machines = Machines(monkeypatch, 4, listed=False)
    assert not await machines.reach.is_reachable("east") and machines.asked == []
    machines.inventory.update([listed_machine(name) for name in machines.names])
    assert await machines.reach.is_reachable("east")


async def test_a_partition_out_of_reach_is_asked_again_only_after_a_while(monkeypatch):
    """Guards against an election that waits for unreachable machines in each of its rounds."""
    machines = Machines(monkeypatch, 4)
    machines.answering = set()
    assert not await machines.reach.is_reachable("east")
    machines.answering = set(machines.names)
    await trio.sleep(RETRY_INTERVAL.total_seconds() - 1)
    assert not await machines.reach.is_reachable("east")
    await trio.sleep(2)
    assert await machines.reach.is_reachable("east")


async def test_of_many_machines_a_few_are_asked_from_the_first_to_the_last_ones(monkeypatch):
    machines = Machines(monkeypatch, 1000)
    assert await machines.reach.is_reachable("east")
    assert len(machines.asked) == MAX_PROBED
    assert min(machines.asked) == "m-000" and max(machines.asked) == "m-875"
