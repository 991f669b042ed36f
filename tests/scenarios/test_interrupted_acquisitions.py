"""An acquisition that an outage of the state store interrupts is completed after the outage.

Running tasks were restarted because the controller released the partition, which had no leader for
three more seconds (docs/incidents/2026-12-acquisition-interrupted-by-an-outage.md).
"""

import pytest
import trio

from roadbend.fakes.world import World, world
from tests.scenarios.test_silent_leaders import ACQUISITION_S, TEAMS, run_tasks, term
from tests.scenarios.test_workers_of_silent_leaders import (
    LIVE_RETRY_ROUND_S,
    first_lease_expiry,
    isolate_leader_after_heartbeat,
)

# A controller retries a refused request within a second; then the election runs its next step.
RETRY_S = 1.0
# How long before the first expiry of a worker's lease the state store is available again.
RESTORED_BEFORE_EXPIRY_S = 3.5


async def wait_for_new_term(w: World) -> None:
    """Wait until another controller has written its term for node-0's partition."""
    before = term(w)
    assert await w.until(lambda: term(w) > before, 20, 0.001)


def has_leader(w: World) -> bool:
    """Return whether one of the remaining controllers leads node-0's partition."""
    remaining = [controller for name, controller in w.controllers.items() if name != "node-0"]
    return any(controller.election.leadership("east") for controller in remaining)


@pytest.mark.parametrize("outage", [3, 8, 30])
async def test_the_partition_is_led_at_once_after_the_outage(outage):
    """Guards against a partition without a leader for longer than the takeover grace."""
    async with world(teams=TEAMS) as w:
        await run_tasks(w)
        w.crash(0)
        await wait_for_new_term(w)
        await w.outage(outage)
        assert not has_leader(w)
        assert await w.until(lambda: has_leader(w), RETRY_S + ACQUISITION_S, 0.05)
        w.start(0)
        assert await w.until_ready()


async def test_no_task_begins_again_when_an_outage_interrupts_the_acquisition():
    """Guards against workers' leases that expire while their partition has no leader."""
    async with world(teams=TEAMS) as w:
        assert RETRY_S + ACQUISITION_S + LIVE_RETRY_ROUND_S <= RESTORED_BEFORE_EXPIRY_S
        start_count = await run_tasks(w)
        await isolate_leader_after_heartbeat(w, 60)
        await wait_for_new_term(w)
        await w.outage(first_lease_expiry(w) - RESTORED_BEFORE_EXPIRY_S - trio.current_time())
        await trio.sleep(60)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("outages", [2, 4])
async def test_an_acquisition_that_is_interrupted_again_and_again_is_left_to_others(outages):
    """Guards against a controller that holds a partition without ever leading it."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        w.crash(0)
        for _ in range(outages):
            await wait_for_new_term(w)
            await w.outage(2)
        within = RETRY_S + ACQUISITION_S + 3 * w.operator.takeover_grace.total_seconds()
        assert await w.until(lambda: has_leader(w), within, 0.05)
        w.start(0)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count
