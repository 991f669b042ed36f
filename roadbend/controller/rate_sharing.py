"""Share the permitted request rates of the state store and the cloud among controllers."""

from datetime import timedelta

from roadbend import clock
from roadbend.cloud.client import Cloud
from roadbend.peers.links import Peers
from roadbend.store.request_budget import RequestBudget

INTERVAL = timedelta(seconds=1)


async def share_rates(peers: Peers, budget: RequestBudget, cloud: Cloud) -> None:
    """Update our request budgets every second by the rates that live peers use, until cancelled."""
    while True:
        await clock.pause(INTERVAL)
        now = clock.now()
        rates = [
            link.peer_state.heartbeat.request_rates
            for link in peers.links.values()
            if link.alive(now) and link.peer_state.heartbeat
        ]
        budget.borrow([(rate.state_requests, rate.state_changes) for rate in rates])
        cloud.borrow([rate.cloud_requests for rate in rates])
