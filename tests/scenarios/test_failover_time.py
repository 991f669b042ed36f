"""How long a partition is without a leader.

Tasks began again because the controller that was left waited for a dead one after its lease had
expired (docs/incidents/2026-12-waited-for-twice.md).
"""

import pytest
import trio

from roadbend.fakes.world import world
from roadbend.settings import OperatorSettings

# The lease may end so late; beside that, reading that it ended, deciding, writing and reading.
LEASE_LATE_S, ACQUIRING_S = 0.1, 1.0
OWN_LEASE_S = OperatorSettings().own_lease.total_seconds()


@pytest.mark.parametrize("moment", range(5))
async def test_a_controller_that_ended_is_followed_within_its_lease(moment):
    """Guards against a grace period on top of a lease that has been silent for as long."""
    async with world() as w:
        await trio.sleep(5 + moment * 0.6)
        w.crash(0)
        within = OWN_LEASE_S + LEASE_LATE_S + ACQUIRING_S
        assert await w.until(lambda: w.leader_of("east") not in (None, "node-0"), within, 0.05)
        w.start(0)
        assert await w.until_ready()


async def test_the_only_controller_that_is_left_leads_everything_soon_after_an_outage():
    """Guards against the second wait: the outage gave the dead controllers' leases all their time
    again, and workers' leases end soon after."""
    async with world() as w:
        await trio.sleep(5)
        for at in range(3):
            w.crash(at)
        w.state.down = True
        await trio.sleep(2)
        w.state.end_outage()
        over_at = trio.current_time()
        w.start(0)
        within = OWN_LEASE_S + LEASE_LATE_S + ACQUIRING_S
        for zone in w.zones:
            left = over_at + within - trio.current_time()
            assert await w.until(lambda zone=zone: w.leader_of(zone) == "node-0", left, 0.05)
        for at in (1, 2):
            w.start(at)
        assert await w.until_ready()
