"""What a checker knows of jobs and machines, from outside."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roadbend.checkers.requirements import resources_of

# The fields that every accepted submission has, in the names of the users' interface.
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
    """A machine: what it is, and what it has."""

    machine: str
    machine_type: str
    zone: str
    spot: bool


class MachineWithCapacity(NamedTuple):
    """A machine that works, and the CPUs, GPUs and gigabytes of memory that are free on it."""

    place: Place
    free: tuple[float, float, float]


@dataclass
class ObservedJob:
    """A job as its users and the machines show it. All times are in seconds."""

    body: dict[str, Any]
    accepted_at: float | None = None
    # When a withdrawal was first asked for, and when one was first confirmed.
    cancel_requested_at: float | None = None
    cancelled_at: float | None = None
    done_at: float | None = None
    completed: set[str] = field(default_factory=set)
    # When a question was last answered, and since when it waits beside free capacity.
    answered_at: float = 0.0
    waits_since: float | None = None
    # Accepted and over, as the watchers were last told.
    reported_state: tuple[bool, bool] = (False, False)

    @property
    def name(self) -> str:
        """Return the job's id."""
        return str(self.body["id"])

    @property
    def has_ended(self) -> bool:
        """Whether its user was told that it is cancelled or done."""
        return self.cancelled_at is not None or self.done_at is not None

    @property
    def is_complete(self) -> bool:
        """Whether all tasks have completed.

        Those of a gang complete together: one that is done says that all are, though a machine
        that hangs shows it later.
        """
        if self.body["shape"] == "group":
            return bool(self.completed)
        return len(self.completed) >= int(self.body["legs"])

    def tasks(self) -> list[str]:
        """Return the names of its tasks."""
        return [f"{self.name}/{n}" for n in range(self.body["legs"])]

    @property
    def resources(self) -> tuple[float, float, float]:
        """Return the CPUs, GPUs and gigabytes of memory that a task takes."""
        return resources_of(self.body)
