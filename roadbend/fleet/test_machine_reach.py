"""Whether a few of another leader's machines answer us."""

from datetime import timedelta

import pytest
import trio

from roadbend.cloud.messages import ListedMachine, MachineStatus
from roadbend.fleet import machine_reach
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_reach import MAX_ASKED, RETRY_INTERVAL, MachineReach
from roadbend.store import keys
from roadbend.store.record_view import RecordView


class Machines:
    """Machines of the east with an attempt each; those in `answering` answer."""

    def __init__(self, monkeypatch, count, listed=True):
        self.names = [f"m-{at:03}" for at in range(count)]
        self.answering, self.asked = set(self.names), []
        view, inventory = RecordView(), CloudInventory()
        attempts = [part for at, name in enumerate(self.names) for part in (at, at + 1, name)]
        value = {"t": "red", "n": [1.0, 0.0, 1.0], "d": [], "r": [[8, "", attempts]]}
        view.put(keys.slice_key("east", "run-1", 0), value, 1)
        if listed:
            inventory.take([listed_machine(name) for name in self.names])
        self.reach = MachineReach(None, inventory, view)
        monkeypatch.setattr(machine_reach, "inspect_machine", self.inspect)

    async def inspect(self, _net, address, name):
        assert address == f"{name}:1"
        self.asked.append(name)
        return object() if name in self.answering else None


def listed_machine(name):
    return ListedMachine(
        id=name,
        address=f"{name}:1",
        machine_type="g2",
        zone="east",
        spot=False,
        status=MachineStatus.RUNNING,
        age=timedelta(seconds=60),
    )


@pytest.mark.parametrize("answering, reached", [(4, True), (3, True), (2, False), (0, False)])
async def test_a_partition_is_in_reach_if_most_of_its_machines_answer(
    monkeypatch, answering, reached
):
    """Guards against a partition that is acquired although its machines reach another one alone."""
    machines = Machines(monkeypatch, 4)
    machines.answering = set(machines.names[:answering])
    assert await machines.reach.is_reached("east") is reached


async def test_it_is_not_in_reach_while_no_machine_is_listed_and_is_asked_again_at_once(
    monkeypatch,
):
    machines = Machines(monkeypatch, 4, listed=False)
    assert not await machines.reach.is_reached("east") and machines.asked == []
    machines.reach._inventory.take([listed_machine(name) for name in machines.names])
    assert await machines.reach.is_reached("east")


async def test_a_partition_out_of_reach_is_asked_again_only_after_a_while(monkeypatch):
    """Guards against an election that waits for silent machines in each of its rounds."""
    machines = Machines(monkeypatch, 4)
    machines.answering = set()
    assert not await machines.reach.is_reached("east")
    machines.answering = set(machines.names)
    await trio.sleep(RETRY_INTERVAL.total_seconds() - 1)
    assert not await machines.reach.is_reached("east")
    await trio.sleep(2)
    assert await machines.reach.is_reached("east")


async def test_of_many_machines_a_few_are_asked_from_the_first_to_the_last_ones(monkeypatch):
    machines = Machines(monkeypatch, 1000)
    assert await machines.reach.is_reached("east")
    assert len(machines.asked) == MAX_ASKED
    assert min(machines.asked) == "m-000" and max(machines.asked) == "m-875"
