"""An acquisition that an outage of the state store interrupts is carried through after it.

Running tasks began again because the controller gave the partition back, and nobody led it for
three seconds more (docs/incidents/2026-12-acquisition-interrupted-by-an-outage.md).
"""

import pytest
import trio

from roadbend.fakes.world import World, world
from tests.scenarios.test_silent_leaders import ACQUIRING_S, TEAMS, run_tasks, term
from tests.scenarios.test_workers_of_silent_leaders import (
    LIVE_ROUND_S,
    cut_off_after_heartbeat,
    first_expiry,
)

# A controller that is refused asks again within a second; then the election looks.
READING_AGAIN_S = 1.0
# The store is back this long before the first lease of a worker ends.
BACK_BEFORE_EXPIRY_S = 3.5


async def new_term(w: World) -> None:
    """Wait until another controller has written its term for node-0's partition."""
    before = term(w)
    assert await w.until(lambda: term(w) > before, 20, 0.001)


def leads(w: World) -> bool:
    """Tell whether one of the controllers that are left leads node-0's partition."""
    left = [controller for name, controller in w.controllers.items() if name != "node-0"]
    return any(controller.election.leadership("east") for controller in left)


@pytest.mark.parametrize("outage", [3, 8, 30])
async def test_the_partition_is_led_at_once_after_the_outage(outage):
    """Guards against a partition without a leader for as long as a takeover grace and more."""
    async with world(teams=TEAMS) as w:
        await run_tasks(w)
        w.crash(0)
        await new_term(w)
        await w.outage(outage)
        assert not leads(w)
        assert await w.until(lambda: leads(w), READING_AGAIN_S + ACQUIRING_S, 0.05)
        w.start(0)
        assert await w.until_ready()


async def test_no_task_begins_again_when_an_outage_interrupts_the_acquisition():
    """Guards against workers' leases that end while nobody leads them."""
    async with world(teams=TEAMS) as w:
        assert READING_AGAIN_S + ACQUIRING_S + LIVE_ROUND_S <= BACK_BEFORE_EXPIRY_S
        started = await run_tasks(w)
        await cut_off_after_heartbeat(w, 60)
        await new_term(w)
        await w.outage(first_expiry(w) - BACK_BEFORE_EXPIRY_S - trio.current_time())
        await trio.sleep(60)
        assert await w.until_ready()
        assert len(w.board.starts) == started


@pytest.mark.parametrize("outages", [2, 4])
async def test_an_acquisition_that_is_interrupted_again_and_again_is_left_to_others(outages):
    """Guards against a controller that holds a partition without ever leading it."""
    async with world(teams=TEAMS) as w:
        started = await run_tasks(w)
        w.crash(0)
        for _ in range(outages):
            await new_term(w)
            await w.outage(2)
        within = READING_AGAIN_S + ACQUIRING_S + 3 * w.operator.takeover_grace.total_seconds()
        assert await w.until(lambda: leads(w), within, 0.05)
        w.start(0)
        assert await w.until_ready()
        assert len(w.board.starts) == started
