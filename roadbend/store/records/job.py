"""The records of live jobs, and of the final states of jobs."""

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

# The priorities by the names that users give, as they are recorded; higher ones go first.
PRIORITY = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}

# The number of fields of a recorded specification. Further fields, which a newer version may add,
# are ignored.
SPEC_FIELDS = 15
# Upper bounds, in bytes, of the sizes of parts of a job's value: all fixed parts; a name's overhead
# and each of its characters; and a range of tasks.
FIXED_BYTES = 300
NAME_BYTES = 2
CHARACTER_BYTES = 6
RANGE_BYTES = 18
# A partition's name is counted as this many ranges.
PARTITION_RANGES = 8


@dataclass(frozen=True)
class JobSpec:
    """A job as its user submitted it.

    `machine_types` and `zone` are the only ones allowed; None means any. `together`: all tasks must
    run in one zone; `apart`: at most half of the tasks may run in one zone. `checkpoint` is the
    checkpoint interval, zero for a job that saves no progress; `save` is the grace period that
    saving takes.
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
    # All tasks run at the same time or none does. This is not part of the specification's value,
    # since versions without gangs would drop it when they rewrite the job. It is in the job's
    # record and in a gang record, which they leave alone.
    gang: bool = False

    @property
    def zone_cap(self) -> int:
        """The maximum number of tasks in one zone: half of them, rounded up, with `apart`."""
        return (self.task_count + 1) // 2 if self.apart else self.task_count

    def to_value(self) -> JobSpecValue:
        """Return the value for a job's record: all fields but `gang`, in this order."""
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
        """Parse the value in a job's record; raise ValueError if fields are missing."""
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
        """The tasks that are neither done nor held by a partition."""
        held = ranges.normalize(
            [*self.done, *(pair for tasks in self.allocation.values() for pair in tasks)]
        )
        return ranges.minus(((0, self.spec.task_count),), held)

    @cached_property
    def deadline(self) -> datetime | None:
        """When the job should be complete; None if its user gave no due time."""
        return None if self.spec.due is None else self.submitted_at + self.spec.due

    @property
    def size_bound(self) -> int:
        """An upper bound of the value's size in bytes, in the encoding that the limits refer to."""
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
        """Return a copy of the job in which a partition holds the given tasks."""
        allocation = {name: tasks for name, tasks in self.allocation.items() if name != partition}
        if held:
            allocation[partition] = held
        return replace(self, allocation=allocation)

    def to_value(self) -> JobValue:
        """Return the value for the state store."""
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

    def to_compact_value(self, max_bytes: int) -> JobValue:
        """Return the value, with its ranges as text if it would otherwise exceed a limit in bytes.

        That happens if a version that permitted larger values wrote the job. Older versions can't
        parse the text form, so it is written only where the usual form is too large.
        """
        value = self.to_value()
        if value_size_bound(value) > max_bytes:
            value["a"] = {
                partition: ranges.to_text(tasks)
                for partition, tasks in self.allocation.items()
                if tasks
            }
            value["d"] = ranges.to_text(self.done)
        return value

    @staticmethod
    def from_value(job: str, value: JobValue, mod_revision: int) -> "Job":
        """Parse the value in the state store."""
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
    """Return the value of a job's final state: its status, and the number of done tasks."""
    return {"s": status, "n": done}
