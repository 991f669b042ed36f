"""The records: everything that must last is in one of these. What is in them, and how they are
written and read back; `keys` has what they are called."""

import json
import os.path
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import cached_property
from typing import Any, NamedTuple

from roadbend import clock
from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges

# The workers' token is the partition's term with this many bits below it, which number a machine's
# lives.
INCARNATION_BITS = 16
PRIORITY = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}


def shard_width(value_bytes: int) -> int:
    """As in settings, where a value's size alone is known."""
    return max(8, min(512, int(value_bytes * 0.8 - 400) // 28))


def weigh(value: Any) -> int:
    """The size of a value in the form in which limits are measured, an upper bound."""
    return len(json.dumps(value))


@dataclass(frozen=True)
class Resources:
    """What one task takes of its machine."""

    cpus: float
    gpus: float
    memory: float

    def times(self, n: int) -> "Resources":
        return Resources(self.cpus * n, self.gpus * n, self.memory * n)


@dataclass(frozen=True)
class JobSpec:
    """A job as its user submitted it."""

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
    # All tasks run at the same time or none does. Not part of the value: versions before gangs
    # would drop it when they write the job again. It is in the job's record, and in one of its own
    # that they leave alone.
    gang: bool = False

    @property
    def zone_cap(self) -> int:
        """apart: at most half of the tasks, rounded up, may be in one zone."""
        return (self.task_count + 1) // 2 if self.apart else self.task_count

    def to_value(self) -> list:
        return [
            self.team,
            self.job_class,
            int(self.service),
            self.priority,
            self.task_count,
            [self.resources.cpus, self.resources.gpus, self.resources.memory],
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
    def from_value(v: list) -> "JobSpec":
        return JobSpec(
            v[0],
            v[1],
            bool(v[2]),
            v[3],
            v[4],
            Resources(*map(float, v[5])),
            None if v[6] is None else tuple(v[6]),
            v[7],
            bool(v[8]),
            bool(v[9]),
            bool(v[10]),
            v[11],
            float(v[12]),
            *(timedelta(seconds=x) for x in v[13]),
            None if v[14] is None else timedelta(seconds=v[14]),
        )


@dataclass(frozen=True)
class Job:
    """A live job."""

    id: str
    spec: JobSpec
    submitted_at: datetime
    allocation: dict[str, Ranges] = field(default_factory=dict)
    done: Ranges = ranges.EMPTY
    mod_revision: int = 0

    @cached_property
    def unassigned(self) -> Ranges:
        """Tasks that are neither over nor held by a partition."""
        held = ranges.normal(
            [*self.done, *(pair for rs in self.allocation.values() for pair in rs)]
        )
        return ranges.minus(((0, self.spec.task_count),), held)

    @cached_property
    def deadline(self) -> datetime | None:
        return None if self.spec.due is None else self.submitted_at + self.spec.due

    def to_value(self) -> dict:
        value = {"s": self.spec.to_value(), "at": clock.to_ms(self.submitted_at)}
        if self.spec.gang:
            value["g"] = 1
        if self.allocation:
            value["a"] = {
                partition: [list(p) for p in rs] for partition, rs in self.allocation.items() if rs
            }
        if self.done:
            value["d"] = [list(p) for p in self.done]
        return value

    def to_small_value(self, most: int) -> dict:
        """The same within a limit: what would not fit, since a version with larger values wrote it,
        has its ranges as text. Versions before this one can't read that, so it is written only
        where the usual form is too large."""
        value = self.to_value()
        if weigh(value) > most:
            value = {
                **value,
                "a": {
                    partition: ranges.to_text(rs) for partition, rs in self.allocation.items() if rs
                },
            }
            value["d"] = ranges.to_text(self.done)
        return value

    @staticmethod
    def from_value(job: str, v: dict, mod_revision: int) -> "Job":
        spec = JobSpec.from_value(v["s"])
        return Job(
            job,
            replace(spec, gang=True) if v.get("g") else spec,
            clock.from_ms(v["at"]),
            {partition: ranges.read(rs) for partition, rs in v.get("a", {}).items()},
            ranges.read(v.get("d", ())),
            mod_revision,
        )

    @property
    def weight(self) -> int:
        """A safe upper bound on the value's size in the form in which limits are measured."""
        count = len(self.done) + sum(len(rs) + 8 for rs in self.allocation.values())
        spec = self.spec
        names = [
            spec.team,
            spec.job_class,
            spec.image,
            spec.zone or "",
            *(spec.machine_types or ()),
        ]
        return 300 + 6 * sum(len(name) + 2 for name in names) + 18 * count

    def as_gang(self) -> "Job":
        return self if self.spec.gang else replace(self, spec=replace(self.spec, gang=True))

    def with_partition(self, partition: str, held: Ranges) -> "Job":
        allocation = {p: rs for p, rs in self.allocation.items() if p != partition}
        if held:
            allocation[partition] = held
        return replace(self, allocation=allocation)


class Attempt(NamedTuple):
    """One start of a task, and the machine it is on."""

    number: int
    machine: str


@dataclass(frozen=True)
class SliceShard:
    """A shard of a partition's work on a job. An attempt stays in `run` from before its order is
    sent until the task is proven gone; that is what the team's use counts."""

    job: str
    partition: str
    team: str
    resources: Resources
    done: Ranges = ranges.EMPTY
    attempts: dict[int, Attempt] = field(default_factory=dict)
    mod_revision: int = 0
    shard: int = 0

    @property
    def key(self) -> str:
        return keys.slice_key(self.partition, self.job, self.shard)

    def to_value(self) -> dict:
        """Attempts are written by term, with what their machines' names begin with said once."""
        terms: dict[int, list[tuple[int, int, str]]] = {}
        for task_index, (number, machine) in self.attempts.items():
            terms.setdefault(number >> 32, []).append((task_index, number & 0xFFFFFFFF, machine))
        rows = []
        for term, attempts in terms.items():
            start = os.path.commonprefix([machine for _, _, machine in attempts])
            cut, flat = len(start), []
            for task_index, sequence, machine in attempts:
                flat += (task_index, sequence, machine[cut:])
            rows.append([term, start, flat])
        return {
            "t": self.team,
            "n": [self.resources.cpus, self.resources.gpus, self.resources.memory],
            "d": [list(p) for p in self.done],
            "r": rows,
        }

    @staticmethod
    def from_value(
        partition: str, job: str, shard: int, v: dict, mod_revision: int
    ) -> "SliceShard":
        if isinstance(v["r"], dict):
            run = {int(task_index): Attempt(a[0], a[1]) for task_index, a in v["r"].items()}
        else:
            run = {}
            for term, start, flat in v["r"]:
                high = term << 32
                for at in range(0, len(flat), 3):
                    run[flat[at]] = Attempt(high | flat[at + 1], start + flat[at + 2])
        return SliceShard(
            job,
            partition,
            v["t"],
            Resources(*map(float, v["n"])),
            ranges.normal(v["d"]),
            run,
            mod_revision,
            shard,
        )


@dataclass(frozen=True)
class QuotaRecord:
    """What each partition may use at most for a team: cpus and gpus set aside for it, never less
    than those of its attempts that are not proven gone. A partition changes its own entry only."""

    team: str
    partitions: dict[str, tuple[float, float]] = field(default_factory=dict)
    mod_revision: int = 0

    @property
    def cpus(self) -> float:
        return sum(c for c, _ in self.partitions.values())

    @property
    def gpus(self) -> float:
        return sum(g for _, g in self.partitions.values())

    def with_partition(self, partition: str, cpus: float, gpus: float) -> "QuotaRecord":
        partitions = {p: u for p, u in self.partitions.items() if p != partition}
        if cpus > 1e-9 or gpus > 1e-9:
            partitions[partition] = (round(cpus, 6), round(gpus, 6))
        return replace(self, partitions=partitions)

    def to_value(self) -> dict:
        return {partition: [c, g] for partition, (c, g) in self.partitions.items()}


@dataclass(frozen=True)
class TermRecord:
    """A partition's term."""

    number: int
    controller: str
    mod_revision: int = 0


@dataclass(frozen=True)
class LeaderRecord:
    """Who owns a partition."""

    controller: str
    incarnation: str
    term: int
    mod_revision: int = 0


@dataclass(frozen=True)
class ControllerRecord:
    """A live controller."""

    name: str
    incarnation: str
    mod_revision: int = 0


@dataclass(frozen=True)
class RecoveryProgress:
    """How far the recovery of a partition is under one term, as its owner tells the other
    controllers and operators."""

    term: int
    phase: str
    # The state service is known to have lost writes that machines have acted on.
    lost_writes: bool
    # How many machines were expected and how many were heard, and what differed, by kind.
    expected: int = 0
    heard: int = 0
    differences: dict[str, int] = field(default_factory=dict)
    # Seconds since the term began.
    took: float = 0.0
    mod_revision: int = 0

    VERSION = 1

    def to_value(self) -> dict:
        return {
            "v": self.VERSION,
            "t": self.term,
            "p": self.phase,
            "l": int(self.lost_writes),
            "m": [self.expected, self.heard],
            "d": self.differences,
            "s": round(self.took, 1),
        }

    @staticmethod
    def from_value(v: dict, mod_revision: int) -> "RecoveryProgress":
        if v["v"] != RecoveryProgress.VERSION:
            raise ValueError(f"version {v['v']}")
        return RecoveryProgress(
            int(v["t"]),
            str(v["p"]),
            bool(v["l"]),
            int(v["m"][0]),
            int(v["m"][1]),
            {str(name): int(count) for name, count in v["d"].items()},
            float(v["s"]),
            mod_revision,
        )


def job_end_value(status: str, done: int) -> dict[str, Any]:
    return {"s": status, "n": done}
