"""How long a partition is without a leader.

Tasks were restarted because the only remaining controller waited for a terminated one although that
one's lease had expired (docs/incidents/2026-12-waited-for-twice.md).
"""

import pytest
import trio

from roadbend.fakes.world import world
from roadbend.settings import OperatorSettings

# The delay of a lease's expiry, and the time to acquire a partition: to read that the lease has
# expired, decide, write the new term and read the records.
LEASE_EXPIRY_DELAY_S, ACQUISITION_S = 0.1, 1.0
OWN_LEASE_S = OperatorSettings().own_lease.total_seconds()


@pytest.mark.parametrize("step", range(5))
async def test_a_controller_that_ended_is_followed_within_its_lease(step):
    """Guards against a grace period in addition to a lease of the same length that has expired."""
    async with world() as w:
        await trio.sleep(5 + step * 0.6)
        w.crash(0)
        within = OWN_LEASE_S + LEASE_EXPIRY_DELAY_S + ACQUISITION_S
        assert await w.until(lambda: w.leader_of("east") not in (None, "node-0"), within, 0.05)
        w.start(0)
        assert await w.until_ready()


async def test_the_only_controller_that_is_left_leads_everything_soon_after_an_outage():
    """Guards against a second wait after an outage, which renews the leases of dead controllers.

    The workers' leases expire soon after those.
    """
    async with world() as w:
        await trio.sleep(5)
        for at in range(3):
            w.crash(at)
        w.state.down = True
        await trio.sleep(2)
        w.state.end_outage()
        outage_ended_at = trio.current_time()
        w.start(0)
        within = OWN_LEASE_S + LEASE_EXPIRY_DELAY_S + ACQUISITION_S
        for zone in w.zones:
            remaining = outage_ended_at + within - trio.current_time()
            assert await w.until(lambda zone=zone: w.leader_of(zone) == "node-0", remaining, 0.05)
        for at in (1, 2):
            w.start(at)
        assert await w.until_ready()
