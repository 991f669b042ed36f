"""Machines and machine types on which a job must not start for now, besides reserved machines."""

from collections.abc import Collection, Mapping
from datetime import datetime


class PlacementExclusions:
    """The machines and machine types excluded for each job of one partition."""

    def __init__(self) -> None:
        # Machines on which a job's tasks failed recently, and until when they are excluded, by job.
        self._failed_on: dict[str, dict[str, datetime]] = {}
        # The machine types excluded for pending services.
        self._excluded_types: Mapping[str, frozenset[str]] = {}
        # The machines excluded for a service because they lack its image.
        self._machines_without_image: Mapping[str, frozenset[str]] = {}

    def __bool__(self) -> bool:
        return bool(self._failed_on or self._excluded_types or self._machines_without_image)

    def exclude(self, job: str, machine: str, until: datetime) -> None:
        """Exclude a machine for a job whose task failed there, at least until then."""
        machines = self._failed_on.setdefault(job, {})
        machines[machine] = max(until, machines.get(machine, until))

    def failed_on(self, job: str) -> Collection[str]:
        """Return the machines excluded for a job because its tasks failed there."""
        return self._failed_on.get(job, {}).keys()

    def drop_expired(self, now: datetime) -> None:
        """Drop expired exclusions after failures."""
        for job, machines in list(self._failed_on.items()):
            for machine in [m for m, until in machines.items() if until <= now]:
                del machines[machine]
            if not machines:
                del self._failed_on[job]

    def exclude_types(self, machine_types: Mapping[str, frozenset[str]]) -> None:
        """Replace the machine types excluded for each pending service."""
        self._excluded_types = machine_types

    def excluded_types(self, job: str) -> frozenset[str]:
        """Return the machine types excluded for a job."""
        return self._excluded_types.get(job, frozenset())

    def exclude_machines_without_image(self, machines: Mapping[str, frozenset[str]]) -> None:
        """Replace the machines excluded for each service because they lack its image."""
        self._machines_without_image = machines

    def machines_without_image(self, job: str) -> frozenset[str]:
        """Return the machines excluded for a job because they lack its image."""
        return self._machines_without_image.get(job, frozenset())
