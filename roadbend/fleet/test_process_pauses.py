"""A controller process that is paused for seconds while its clocks run on."""

import pytest
import trio

from roadbend.autoscaler.machine_creation import while_leading
from roadbend.cloud.client import CloudBusyError
from roadbend.cloud.messages import CreationRequest, MachineKind
from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.partitions.leadership import LossReason
from roadbend.settings import Team


async def test_a_controller_that_stood_still_takes_no_machine_for_silent():
    """Guards against probing all machines at once after a process pause.

    When a controller resumes, the heartbeats of its machines are still unread, so that all machines
    look silent.
    """
    async with world(count=1, teams={"red": Team("red", 0, 0, 4, 40)}, capacity=20) as w:
        assert (
            await w.submit(0, job(1, legs=16, yard="east", shape="daemon", dueS=None), None) == 201
        )
        assert await w.until(lambda: len(w.board.running("run-000001")) == 16, 60)
        failure_detector, asked = w.controllers["node-0"].fleet.failure_detector, []

        async def probe(leader, name):
            asked.append(name)
            failure_detector._probing.discard((leader.partition, name))

        failure_detector._probe = probe
        await trio.sleep(3)
        assert asked == []
        trio.lowlevel.current_clock().jump(6)
        await trio.sleep(2)
        assert asked == []
        # From then on silence counts again, even if this process is constantly delayed.
        for machine in w.cloud.machines:
            w.network.block("node-0", machine)
        for _ in range(8):
            trio.lowlevel.current_clock().jump(2)
            await trio.sleep(1)
        assert len(set(asked)) == 8


async def test_a_late_call_for_a_part_that_is_no_longer_ours_does_not_go_out():
    async with world(count=1) as w:
        assert await w.submit(0, job(1, yard="east", shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        controller = w.controllers["node-0"]
        machine, leader = (
            next(iter(w.board.machines_by_task["run-000001/0"])),
            controller.leaders["east"],
        )
        still = while_leading(controller.context, leader)
        assert still()
        controller.election.lose("east", LossReason.RECORD_MISSING)
        assert not still()
        for call in (
            controller.cloud.delete_machines([machine], precondition=still),
            controller.cloud.create_machines(
                CreationRequest("h-1", MachineKind("g2", False), "east", 1), still
            ),
        ):
            with pytest.raises(CloudBusyError):
                await call
        assert list(w.cloud.machines) == [machine]
