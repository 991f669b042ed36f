"""A deployment with a machine that is ready for a start, and ways to hold that start up."""

from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from typing import Any

import trio

from roadbend.fakes.scenario import OBJECTIVES, SITES, TEAMS, job_id
from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world

# A service whose start goes out directly, and an array whose start goes with a heartbeat's answer.
SERVICE = dict(shape="daemon", dueS=None, loaners=False, yard="east", vcpus=2.0, gpus=0.0)
ARRAY = dict(loaners=False, yard="east", vcpus=2.0, gpus=0.0)
KEPT, CANCELLED = job_id(50), job_id(1)
# Shorter than a lease, and shorter than it takes to find a machine dead; in seconds.
HANG_S = 4.5
# How late a start arrives, and how late the direct commands that follow it; in seconds.
START_DELAY_S, COMMAND_DELAY_S = 4.0, 12.0


def deployment(site: str = "visa", **changes: Any) -> AbstractAsyncContextManager[World]:
    """Three controllers; a task whose image is on its machine begins at once."""
    return world(
        teams=TEAMS, objectives=OBJECTIVES, caches_images=True, **{**SITES[site], **changes}
    )


async def machine_of_kept_service(w: World) -> str:
    """Have a machine in the east with room and with the image; return its id."""
    assert await w.submit(0, job(50, **SERVICE), None) == HTTPStatus.CREATED
    assert await w.until(lambda: w.board.running(KEPT), 60)
    await trio.sleep(8)
    return next(iter(w.board.machines_by_task[w.board.running(KEPT)[0]]))


async def next_heartbeat(w: World, machine: str) -> None:
    """Wait until a machine has sent a heartbeat."""
    sent = trio.Event()
    worker = w.cloud.machines[machine].worker
    worker.heartbeat_listeners.append(lambda *_: sent.set())
    await sent.wait()
    worker.heartbeat_listeners.pop()
    await trio.sleep(0.05)


async def start_recorded(w: World, body: dict, length: float | None) -> None:
    """Submit a job, and wait until the start of a task in the east is recorded and has gone out."""
    assert await w.submit(1, body, length) == HTTPStatus.CREATED
    prefix = f"r/slice/east/{body['id']}/"
    assert await w.until(lambda: w.state.values_with_prefix(prefix), 5, 0.005)
    await trio.sleep(0.02)


async def cancellation_recorded(w: World, at: int) -> None:
    """Have a controller record the cancellation; its answer is not waited for."""
    w.nursery.start_soon(w.call, at, "POST", f"/v1/jobs/{CANCELLED}/withdraw", {})
    recorded = await w.until(lambda: w.state.values_with_prefix(f"fin/{CANCELLED}"), 5, 0.0005)
    assert recorded


async def over(w: World) -> None:
    """The cancellation is confirmed in the end, and nothing of the job is left."""
    await w.cancel_job(CANCELLED, 60)
    # Whatever is still held up arrives meanwhile.
    await trio.sleep(COMMAND_DELAY_S)
    assert await w.until_ready()
    await w.finish()
    assert not w.board.running(CANCELLED)


async def hold_up_start(w: World, machine: str) -> None:
    """Have the next direct command arrive late, and all that could stop it later still.

    The machine says nothing meanwhile, so that no token comes with the answer to a heartbeat: that
    is how a machine looks that hangs and takes up its connections in the order in which they came.
    """
    worker = w.cloud.machines[machine].worker
    usual = worker.settings.heartbeat_s
    worker.settings.heartbeat_s = HANG_S + 1.0
    await next_heartbeat(w, machine)
    delays = iter([START_DELAY_S])
    worker.command_delay = lambda: next(delays, COMMAND_DELAY_S)

    async def end() -> None:
        await trio.sleep(HANG_S)
        worker.settings.heartbeat_s = usual
        worker.command_delay = lambda: None

    w.nursery.start_soon(end)
