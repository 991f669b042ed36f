"""What the recovery of one partition asks of its controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.recovery.settings import RecoverySettings


@dataclass(frozen=True)
class Surroundings:
    """A controller, as the recovery of a partition sees it."""

    settings: RecoverySettings
    inventory: CloudInventory
    # When the records were last read, and since when every live peer was heard.
    records_read: Callable[[], datetime | None]
    peers_heard: Callable[[], datetime | None]
    # Whether a job may be given machines.
    gate_is_open: Callable[[str], bool]
    # Told once when machines show that the state service lost writes.
    note_lost_writes: Callable[[str], None]
