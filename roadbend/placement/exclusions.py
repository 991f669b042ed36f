"""Machines and machine types that jobs are kept from for now, other than by reservations."""

from collections.abc import Collection, Mapping
from datetime import datetime


class PlacementExclusions:
    """What the jobs of one partition are kept from."""

    def __init__(self) -> None:
        # Until when a job keeps off a machine on which it just failed: job, machine, instant.
        self._failed_on: dict[str, dict[str, datetime]] = {}
        # The machine types that waiting services are kept from.
        self._withheld_types: Mapping[str, frozenset[str]] = {}
        # Machines without its image that a service keeps off.
        self._without_image: Mapping[str, frozenset[str]] = {}

    def __bool__(self) -> bool:
        return bool(self._failed_on or self._withheld_types or self._without_image)

    def exclude(self, job: str, machine: str, until: datetime) -> None:
        """Keep a job off a machine on which its task just failed."""
        self._failed_on.setdefault(job, {})[machine] = until

    def failed_on(self, job: str) -> Collection[str]:
        """Return the machines that a job keeps off because its tasks failed there."""
        return self._failed_on.get(job, {}).keys()

    def drop_expired(self, now: datetime) -> None:
        """Let jobs back onto machines on which they failed long enough ago."""
        for job, machines in list(self._failed_on.items()):
            for machine in [m for m, until in machines.items() if until <= now]:
                del machines[machine]
            if not machines:
                del self._failed_on[job]

    def exclude_types(self, machine_types: Mapping[str, frozenset[str]]) -> None:
        """Replace the machine types that each waiting service is kept from."""
        self._withheld_types = machine_types

    def excluded_types(self, job: str) -> frozenset[str]:
        """Return the machine types that a job is kept from."""
        return self._withheld_types.get(job, frozenset())

    def exclude_machines_without_image(self, machines: Mapping[str, frozenset[str]]) -> None:
        """Replace the machines that each service keeps off for lack of its image."""
        self._without_image = machines

    def machines_without_image(self, job: str) -> frozenset[str]:
        """Return the machines that a job keeps off for lack of its image."""
        return self._without_image.get(job, frozenset())
