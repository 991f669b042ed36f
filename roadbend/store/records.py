"""The records. Everything that must last is in one of these; what a record is called in the state
service, what is in it, and how it is read back.

r/job/<id>            a live job: spec, which part holds which tasks, which tasks are over
r/slice/<part>/<id>   a part's attempts at a job's tasks, and the resources that each of them takes
r/team/<team>         a team's use, one entry a part; changes together with the slices
r/term/<part>         the part's term, never removed; its stamp guards every write of an owner
r/own/<part>          who owns the part, on the owner's lease
r/node/<name>         a live controller, on its lease
r/catalog             the machine types as last seen, for a controller that starts in a cloud outage
fin/<id>              the end of a job, kept for ever and outside the part that everyone follows
"""

from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Any
from urllib.parse import quote

from roadbend import clock
from roadbend.store import ranges
from roadbend.store.ranges import Ranges

LIVE = "r/"
PRIORITY = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}


def job_key(job: str) -> str:
    return f"r/job/{job}"


def slice_key(part: str, job: str) -> str:
    return f"r/slice/{quote(part, safe='')}/{job}"


def team_key(team: str) -> str:
    return f"r/team/{quote(team, safe='')}"


def term_key(part: str) -> str:
    return f"r/term/{quote(part, safe='')}"


def own_key(part: str) -> str:
    return f"r/own/{quote(part, safe='')}"


def node_key(name: str) -> str:
    return f"r/node/{quote(name, safe='')}"


def fin_key(job: str) -> str:
    return f"fin/{job}"


CATALOG_KEY = "r/catalog"


@dataclass(frozen=True)
class Need:
    """What one task takes of its machine."""

    cpus: float
    gpus: float
    memory: float

    def times(self, n: int) -> "Need":
        return Need(self.cpus * n, self.gpus * n, self.memory * n)


@dataclass(frozen=True)
class Spec:
    """A job as its user submitted it."""

    team: str
    lane: str
    service: bool
    priority: int
    legs: int
    need: Need
    rigs: tuple[str, ...] | None
    zone: str | None
    together: bool
    apart: bool
    spot: bool
    image: str
    image_gb: float
    expected: timedelta
    checkpoint: timedelta
    save: timedelta
    due: timedelta | None

    @property
    def zone_cap(self) -> int:
        """apart: at most half of the tasks, rounded up, may be in one zone."""
        return (self.legs + 1) // 2 if self.apart else self.legs

    def to_value(self) -> list:
        return [
            self.team, self.lane, int(self.service), self.priority, self.legs,
            [self.need.cpus, self.need.gpus, self.need.memory],
            None if self.rigs is None else list(self.rigs),
            self.zone, int(self.together), int(self.apart), int(self.spot), self.image, self.image_gb,
            [self.expected.total_seconds(), self.checkpoint.total_seconds(), self.save.total_seconds()],
            None if self.due is None else self.due.total_seconds(),
        ]  # fmt: skip

    @staticmethod
    def from_value(v: list) -> "Spec":
        return Spec(
            v[0], v[1], bool(v[2]), v[3], v[4], Need(*map(float, v[5])),
            None if v[6] is None else tuple(v[6]),
            v[7], bool(v[8]), bool(v[9]), bool(v[10]), v[11], float(v[12]),
            *(timedelta(seconds=x) for x in v[13]),
            None if v[14] is None else timedelta(seconds=v[14]),
        )  # fmt: skip


@dataclass(frozen=True)
class Job:
    id: str
    spec: Spec
    at: datetime
    alloc: dict[str, Ranges] = field(default_factory=dict)
    done: Ranges = ranges.EMPTY
    stamp: int = 0

    @property
    def free(self) -> Ranges:
        """Tasks that are neither over nor held by a part."""
        held = ranges.normal([*self.done, *(pair for rs in self.alloc.values() for pair in rs)])
        return ranges.minus(((0, self.spec.legs),), held)

    @property
    def deadline(self) -> datetime | None:
        return None if self.spec.due is None else self.at + self.spec.due

    def to_value(self) -> dict:
        value = {"s": self.spec.to_value(), "at": clock.to_ms(self.at)}
        if self.alloc:
            value["a"] = {part: [list(p) for p in rs] for part, rs in self.alloc.items() if rs}
        if self.done:
            value["d"] = [list(p) for p in self.done]
        return value

    @staticmethod
    def from_value(job: str, v: dict, stamp: int) -> "Job":
        return Job(
            job,
            Spec.from_value(v["s"]),
            clock.from_ms(v["at"]),
            {part: ranges.normal(rs) for part, rs in v.get("a", {}).items()},
            ranges.normal(v.get("d", ())),
            stamp,
        )

    @property
    def weight(self) -> int:
        """A safe upper bound on the value's size in the form in which limits are measured."""
        count = len(self.done) + sum(len(rs) + 8 for rs in self.alloc.values())
        spec = self.spec
        names = [spec.team, spec.lane, spec.image, spec.zone or "", *(spec.rigs or ())]
        return 300 + 6 * sum(len(name) + 2 for name in names) + 18 * count

    def with_part(self, part: str, held: Ranges) -> "Job":
        alloc = {p: rs for p, rs in self.alloc.items() if p != part}
        if held:
            alloc[part] = held
        return replace(self, alloc=alloc)


@dataclass(frozen=True)
class Attempt:
    number: int
    machine: str


@dataclass(frozen=True)
class Slice:
    """A part's work on a job. An attempt stays in `run` from before its order is sent until the
    task is proven gone; that is what the team's use counts."""

    job: str
    part: str
    team: str
    need: Need
    done: Ranges = ranges.EMPTY
    run: dict[int, Attempt] = field(default_factory=dict)
    stamp: int = 0

    def to_value(self) -> dict:
        return {
            "t": self.team,
            "n": [self.need.cpus, self.need.gpus, self.need.memory],
            "d": [list(p) for p in self.done],
            "r": {str(leg): [a.number, a.machine] for leg, a in self.run.items()},
        }

    @staticmethod
    def from_value(part: str, job: str, v: dict, stamp: int) -> "Slice":
        run = {int(leg): Attempt(a[0], a[1]) for leg, a in v["r"].items()}
        return Slice(job, part, v["t"], Need(*map(float, v["n"])), ranges.normal(v["d"]), run, stamp)

    @property
    def weight(self) -> int:
        """A safe upper bound on the value's size in the form in which limits are measured."""
        return 200 + len(self.team) * 6 + 26 * len(self.done) + 80 * len(self.run)


@dataclass(frozen=True)
class Use:
    """A team's use by part: cpus and gpus of every attempt not proven gone."""

    team: str
    parts: dict[str, tuple[float, float]] = field(default_factory=dict)
    stamp: int = 0

    @property
    def cpus(self) -> float:
        return sum(c for c, _ in self.parts.values())

    @property
    def gpus(self) -> float:
        return sum(g for _, g in self.parts.values())

    def with_part(self, part: str, cpus: float, gpus: float) -> "Use":
        parts = {p: u for p, u in self.parts.items() if p != part}
        if cpus > 1e-9 or gpus > 1e-9:
            parts[part] = (round(cpus, 6), round(gpus, 6))
        return replace(self, parts=parts)

    def to_value(self) -> dict:
        return {part: [c, g] for part, (c, g) in self.parts.items()}


@dataclass(frozen=True)
class Term:
    number: int
    node: str
    stamp: int = 0


@dataclass(frozen=True)
class Own:
    node: str
    boot: str
    term: int
    stamp: int = 0


@dataclass(frozen=True)
class Live:
    name: str
    boot: str
    stamp: int = 0


def fin_value(status: str, done: int) -> dict[str, Any]:
    return {"s": status, "n": done}
