"""The records of live jobs, and of how jobs ended."""

from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import cached_property
from typing import Any

from roadbend import clock
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records.resources import Resources
from roadbend.store.records.size import value_size_bound

JobValue = dict[str, Any]
JobSpecValue = list[Any]

# The priorities as users name them, and as they are recorded; higher ones go first.
PRIORITY = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}

# How many fields a recorded specification has. More, which a newer version may add, are left out.
SPEC_FIELDS = 15
# Upper bounds, in bytes, of what parts of a job's value take: all that is always there; what a name
# takes beside its characters, and each character; and a range of tasks or a partition's name.
FIXED_BYTES = 300
NAME_BYTES = 2
CHARACTER_BYTES = 6
RANGE_BYTES = 18
# A partition's name takes as much as so many ranges.
PARTITION_RANGES = 8


@dataclass(frozen=True)
class JobSpec:
    """A job as its user submitted it.

    `machine_types` and `zone` are the only ones allowed, None means any; `together` and `apart` say
    whether tasks must be in one zone, or at most half of them may be; `checkpoint` is zero for a
    job that saves no progress; `save` is the grace period that saving takes.
    """

    team: str
    job_class: str
    service: bool
    priority: int
    task_count: int
    resources: Resources
    machine_types: tuple[str, ...] | None
    zone: str | None
    together: bool
    apart: bool
    spot: bool
    image: str
    image_gb: float
    expected_duration: timedelta
    checkpoint: timedelta
    save: timedelta
    due: timedelta | None
    # All tasks run at the same time or none does. It is not part of the specification's value:
    # versions before gangs would drop it when they write the job again. It is in the job's record,
    # and in a record of its own that they leave alone.
    gang: bool = False

    @property
    def zone_cap(self) -> int:
        """How many tasks one zone may have: half of them, rounded up, if they must be apart."""
        return (self.task_count + 1) // 2 if self.apart else self.task_count

    def to_value(self) -> JobSpecValue:
        """Return the form that stands in a job's record: all fields but `gang`, in this order."""
        return [
            self.team,
            self.job_class,
            int(self.service),
            self.priority,
            self.task_count,
            self.resources.to_value(),
            None if self.machine_types is None else list(self.machine_types),
            self.zone,
            int(self.together),
            int(self.apart),
            int(self.spot),
            self.image,
            self.image_gb,
            [
                self.expected_duration.total_seconds(),
                self.checkpoint.total_seconds(),
                self.save.total_seconds(),
            ],
            None if self.due is None else self.due.total_seconds(),
        ]

    @staticmethod
    def from_value(value: JobSpecValue, *, gang: bool = False) -> "JobSpec":
        """Read the form that stands in a job's record; raises ValueError if fields are missing."""
        (
            team,
            job_class,
            service,
            priority,
            task_count,
            resources,
            machine_types,
            zone,
            together,
            apart,
            spot,
            image,
            image_gb,
            (expected_duration, checkpoint, save),
            due,
        ) = value[:SPEC_FIELDS]
        return JobSpec(
            team=team,
            job_class=job_class,
            service=bool(service),
            priority=priority,
            task_count=task_count,
            resources=Resources.from_value(resources),
            machine_types=None if machine_types is None else tuple(machine_types),
            zone=zone,
            together=bool(together),
            apart=bool(apart),
            spot=bool(spot),
            image=image,
            image_gb=float(image_gb),
            expected_duration=timedelta(seconds=expected_duration),
            checkpoint=timedelta(seconds=checkpoint),
            save=timedelta(seconds=save),
            due=None if due is None else timedelta(seconds=due),
            gang=gang,
        )


@dataclass(frozen=True)
class Job:
    """A live job: its specification, which partition holds which tasks, and which are done."""

    id: str
    spec: JobSpec
    submitted_at: datetime
    allocation: dict[str, Ranges] = field(default_factory=dict)
    done: Ranges = ranges.EMPTY
    mod_revision: int = 0

    @cached_property
    def unassigned(self) -> Ranges:
        """Tasks that are neither done nor held by a partition."""
        held = ranges.normalize(
            [*self.done, *(pair for tasks in self.allocation.values() for pair in tasks)]
        )
        return ranges.minus(((0, self.spec.task_count),), held)

    @cached_property
    def deadline(self) -> datetime | None:
        """When the job should be complete, if its user said so."""
        return None if self.spec.due is None else self.submitted_at + self.spec.due

    @property
    def size_bound(self) -> int:
        """An upper bound of the value's size in bytes, in the form in which limits are measured."""
        count = len(self.done)
        count += sum(len(tasks) + PARTITION_RANGES for tasks in self.allocation.values())
        spec = self.spec
        names = [
            spec.team,
            spec.job_class,
            spec.image,
            spec.zone or "",
            *(spec.machine_types or ()),
        ]
        name_bytes = CHARACTER_BYTES * sum(len(name) + NAME_BYTES for name in names)
        return FIXED_BYTES + name_bytes + RANGE_BYTES * count

    def as_gang(self) -> "Job":
        """Return the job as a gang."""
        return self if self.spec.gang else replace(self, spec=replace(self.spec, gang=True))

    def with_partition(self, partition: str, held: Ranges) -> "Job":
        """Return the job with other tasks held by a partition."""
        allocation = {name: tasks for name, tasks in self.allocation.items() if name != partition}
        if held:
            allocation[partition] = held
        return replace(self, allocation=allocation)

    def to_value(self) -> JobValue:
        """Return the value that the state store keeps."""
        value: JobValue = {"s": self.spec.to_value(), "at": clock.to_ms(self.submitted_at)}
        if self.spec.gang:
            value["g"] = 1
        if self.allocation:
            value["a"] = {
                partition: [list(pair) for pair in tasks]
                for partition, tasks in self.allocation.items()
                if tasks
            }
        if self.done:
            value["d"] = [list(pair) for pair in self.done]
        return value

    def to_compact_value(self, most: int) -> JobValue:
        """Return the value within a limit, in bytes.

        What would not fit, since a version with larger values wrote it, has its ranges as text.
        Older versions can't read that, so it is written only where the usual form is too
        large.
        """
        value = self.to_value()
        if value_size_bound(value) > most:
            value["a"] = {
                partition: ranges.to_text(tasks)
                for partition, tasks in self.allocation.items()
                if tasks
            }
            value["d"] = ranges.to_text(self.done)
        return value

    @staticmethod
    def from_value(job: str, value: JobValue, mod_revision: int) -> "Job":
        """Read the value that the state store keeps."""
        return Job(
            id=job,
            spec=JobSpec.from_value(value["s"], gang=bool(value.get("g"))),
            submitted_at=clock.from_ms(value["at"]),
            allocation={
                partition: ranges.read(tasks) for partition, tasks in value.get("a", {}).items()
            },
            done=ranges.read(value.get("d", ())),
            mod_revision=mod_revision,
        )


def job_end_value(status: str, done: int) -> JobValue:
    """Return the value of a job's end: its final status, and how many tasks were done."""
    return {"s": status, "n": done}
