"""A deployment with a machine that is ready for a start, and ways to delay that start."""

from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from typing import Any

import trio

from roadbend.fakes.scenario import OBJECTIVES, SITES, TEAMS, job_id
from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world

# The start of the service is sent directly, that of the array with the response to a heartbeat.
SERVICE = dict(shape="daemon", dueS=None, loaners=False, yard="east", vcpus=2.0, gpus=0.0)
ARRAY = dict(loaners=False, yard="east", vcpus=2.0, gpus=0.0)
RUNNING_JOB, CANCELLED_JOB = job_id(50), job_id(1)
# Shorter than a lease, and than the time after which a machine is considered failed; in seconds.
HANG_S = 4.5
# How late a start arrives, and how late the direct commands after it; in seconds.
START_DELAY_S, COMMAND_DELAY_S = 4.0, 12.0


def deployment(site: str = "visa", **changes: Any) -> AbstractAsyncContextManager[World]:
    """Return three controllers; a task whose image is cached on its machine starts immediately."""
    return world(
        teams=TEAMS, objectives=OBJECTIVES, caches_images=True, **{**SITES[site], **changes}
    )


async def run_service(w: World) -> str:
    """Run a service in the east; return its machine, which has free capacity and the image."""
    assert await w.submit(0, job(50, **SERVICE), None) == HTTPStatus.CREATED
    assert await w.until(lambda: w.board.running(RUNNING_JOB), 60)
    await trio.sleep(8)
    return next(iter(w.board.machines_by_task[w.board.running(RUNNING_JOB)[0]]))


async def wait_for_heartbeat(w: World, machine: str) -> None:
    """Wait until a machine has sent a heartbeat."""
    sent = trio.Event()
    worker = w.cloud.machines[machine].worker
    worker.heartbeat_listeners.append(lambda *_: sent.set())
    await sent.wait()
    worker.heartbeat_listeners.pop()
    await trio.sleep(0.05)


async def submit_until_start_recorded(w: World, body: dict, length: float | None) -> None:
    """Submit a job, and wait until the start of a task in the east is recorded and sent."""
    assert await w.submit(1, body, length) == HTTPStatus.CREATED
    prefix = f"r/slice/east/{body['id']}/"
    assert await w.until(lambda: w.state.values_with_prefix(prefix), 5, 0.005)
    await trio.sleep(0.02)


async def record_cancellation(w: World, at: int) -> None:
    """Have a controller record the cancellation, without waiting for its response."""
    w.nursery.start_soon(w.call, at, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {})
    recorded = await w.until(lambda: w.state.values_with_prefix(f"fin/{CANCELLED_JOB}"), 5, 0.0005)
    assert recorded


async def assert_cancellation_completed(w: World) -> None:
    """Check that the cancellation is confirmed eventually, and that no task of the job runs."""
    await w.cancel_job(CANCELLED_JOB, 60)
    # All delayed messages arrive meanwhile.
    await trio.sleep(COMMAND_DELAY_S)
    assert await w.until_ready()
    await w.finish()
    assert not w.board.running(CANCELLED_JOB)


async def delay_start(w: World, machine: str) -> None:
    """Delay the next direct command, and all commands that could revoke it for longer.

    The machine sends no heartbeats meanwhile, so no raised token arrives with the response to one.
    A machine behaves this way if it hangs and then accepts its connections in order of arrival.
    """
    worker = w.cloud.machines[machine].worker
    usual_interval_s = worker.settings.heartbeat_s
    worker.settings.heartbeat_s = HANG_S + 1.0
    await wait_for_heartbeat(w, machine)
    delays = iter([START_DELAY_S])
    worker.command_delay = lambda: next(delays, COMMAND_DELAY_S)

    async def end_delays() -> None:
        await trio.sleep(HANG_S)
        worker.settings.heartbeat_s = usual_interval_s
        worker.command_delay = lambda: None

    w.nursery.start_soon(end_delays)
