"""Jobs and machines as a checker observes them from outside."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roadbend.checkers.requirements import resources_of

# The fields that every accepted submission has, by their names on the wire.
REQUIRED_FIELDS = (
    "id",
    "lane",
    "crew",
    "shape",
    "rank",
    "legs",
    "vcpus",
    "gpus",
    "memoryGb",
    "bundle",
    "imageGb",
    "together",
    "apart",
    "loaners",
    "expectedS",
    "milestoneS",
    "stowS",
)


@dataclass(frozen=True)
class Place:
    """A machine with its type and zone."""

    machine: str
    machine_type: str
    zone: str
    spot: bool


class MachineWithCapacity(NamedTuple):
    """A running machine, and the CPUs, GPUs and gigabytes of memory that are free on it."""

    place: Place
    free: tuple[float, float, float]


@dataclass
class ObservedJob:
    """A job as its user and the machines show it. All times are in seconds."""

    body: dict[str, Any]
    accepted_at: float | None = None
    # When a cancellation was first requested, and when it was first confirmed.
    cancel_requested_at: float | None = None
    cancelled_at: float | None = None
    done_at: float | None = None
    completed: set[str] = field(default_factory=set)
    # When a query was last answered, and since when a task waits although it fits free capacity.
    answered_at: float = 0.0
    waits_since: float | None = None
    # Whether it was accepted and had ended, as last reported to the listeners.
    reported_state: tuple[bool, bool] = (False, False)

    @property
    def id(self) -> str:
        """Return the job's id."""
        return str(self.body["id"])

    @property
    def has_ended(self) -> bool:
        """Whether its user was told that it is cancelled or done."""
        return self.cancelled_at is not None or self.done_at is not None

    @property
    def is_complete(self) -> bool:
        """Whether all tasks have completed.

        The tasks of a gang complete together: one completed task means that all have completed,
        although a hung machine shows it later.
        """
        if self.body["shape"] == "group":
            return bool(self.completed)
        return len(self.completed) >= int(self.body["legs"])

    def tasks(self) -> list[str]:
        """Return the names of its tasks."""
        return [f"{self.id}/{n}" for n in range(self.body["legs"])]

    @property
    def resources(self) -> tuple[float, float, float]:
        """Return the CPUs, GPUs and gigabytes of memory that a task needs."""
        return resources_of(self.body)
