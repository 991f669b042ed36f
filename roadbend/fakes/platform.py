"""The platform settings of deployments in memory, and their one machine type."""

from datetime import timedelta
from typing import Any

from roadbend.settings import Peer, PlatformSettings, Team

ZONES = ("east", "north", "west")
# The one machine type of the catalog, with the field names of the cloud's API.
MACHINE_TYPE: dict[str, Any] = {
    "name": "g2",
    "vcpus": 24.0,
    "gpus": 2.0,
    "memoryGb": 144.0,
    "cacheGb": 100.0,
    "pullGbPerS": 1.0,
    "price": 6.0,
    "lowPrice": 2.0,
    "startupS": 10.0,
    "yards": list(ZONES),
}


def settings_for(index: int, count: int, **changes: Any) -> PlatformSettings:
    """Return the platform settings of one of `count` controllers, with `changes`."""
    names = [f"node-{n}" for n in range(count)]
    values: dict[str, Any] = dict(
        name=names[index],
        zone=ZONES[index],
        listen=f"{names[index]}:80",
        back=f"{names[index]}:81",
        peers=tuple(Peer(n, ZONES[i], f"{n}:81") for i, n in enumerate(names) if i != index),
        cloud="cloud:1",
        state="state:1",
        zones=ZONES[:count],
        teams={"red": Team("red", 0, 0, 4, 6), "blue": Team("blue", 0, 0, 4, 12)},
        clock_off=timedelta(milliseconds=50),
        heartbeat_interval=timedelta(seconds=2.5),
        lease=timedelta(seconds=18),
        cancel_within=timedelta(seconds=38),
        state_rps=250.0,
        state_write_rps=60.0,
        value_bytes=32 * 1024,
        txn_ops=16,
        cloud_rps=6.0,
        list_lag=timedelta(seconds=5),
        sockets=1000,
    )
    return PlatformSettings(**{**values, **changes})
