"""Which task goes on which machine. Pure: everything comes as an argument.

Order: priority, then work within its team's guarantee, then deadline, then age. Place: where the
image lies (the design's rule), then where the least is left over, so that machines empty."""

from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime

from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job, JobSpec, Resources

EPS = 1e-6


@dataclass(slots=True)
class FreeCapacity:
    """A machine with what is free on it. `ready_in` is above zero while it boots."""

    id: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    images: Container[str] = frozenset()
    total: Resources = field(default_factory=lambda: Resources(0, 0, 0))
    ready_in: float = 0.0
    price: float = 0.0
    # How fast it fetches images, GB a second; 0: not known.
    fetch_gb_per_s: float = 0.0

    def fetch(self, image: str, gb: float) -> float:
        """Seconds until an image is there."""
        return 0.0 if image in self.images or self.fetch_gb_per_s <= 0 else gb / self.fetch_gb_per_s

    def fits(self, resources: Resources) -> bool:
        return (
            resources.cpus <= self.cpus + EPS
            and resources.gpus <= self.gpus + EPS
            and resources.memory <= self.memory + EPS
        )

    def take(self, resources: Resources) -> None:
        self.cpus -= resources.cpus
        self.gpus -= resources.gpus
        self.memory -= resources.memory

    def give(self, resources: Resources) -> None:
        self.cpus += resources.cpus
        self.gpus += resources.gpus
        self.memory += resources.memory

    def count(self, resources: Resources) -> int:
        """How many such tasks fit."""
        if not self.fits(resources):
            return 0
        most = 1_000_000
        if resources.cpus > 0:
            most = min(most, int((self.cpus + EPS) / resources.cpus))
        if resources.gpus > 0:
            most = min(most, int((self.gpus + EPS) / resources.gpus))
        if resources.memory > 0:
            most = min(most, int((self.memory + EPS) / resources.memory))
        return most

    def leftover_share(self, resources: Resources) -> float:
        """What would be left, as a share of the machine, over all that it has."""
        left, parts = 0.0, 0
        for have, want, total in (
            (self.cpus, resources.cpus, self.total.cpus),
            (self.gpus, resources.gpus, self.total.gpus),
            (self.memory, resources.memory, self.total.memory),
        ):
            if total > 0:
                left += (have - want) / total
                parts += 1
        return left / max(1, parts)


@dataclass(frozen=True, slots=True)
class PendingTasks:
    """Tasks of one job that wait together: they are alike, and stand in the queue side by side."""

    job: Job
    tasks: Ranges
    guaranteed: bool
    # A job that has waited for long and has begun nothing goes before its peers with one task.
    overdue: bool = False

    @property
    def count(self) -> int:
        return ranges.size(self.tasks)


# A task of an item of the queue, and the machine on which it goes.
Placed = tuple[PendingTasks, int, FreeCapacity]


def allowed(job: Job, machine_type: str, zone: str, spot: bool) -> bool:
    spec = job.spec
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or zone == spec.zone)
        and (spec.spot or not spot)
    )


def lateness(job: Job, now: datetime, times: tuple[float, ...]) -> int:
    """How many of the times of its due time at which a job's aims count are out of reach, by what
    its owner said and nothing else: every partition that holds a slice of it judges alike at one
    moment."""
    if job.spec.due is None:
        return 0
    end = now + job.spec.expected_duration - job.submitted_at
    return sum(1 for x in times if end > job.spec.due * x)


def rank(item: PendingTasks, late: int = 0) -> tuple:
    """`late`: work whose deadline is out of reach goes behind what can still be in time. When there
    is more than all machines can do, the order of deadlines alone would make nearly everything a
    little late."""
    job = item.job
    deadline = job.deadline
    return (
        -job.spec.priority,
        not item.overdue,
        not item.guaranteed,
        late,
        deadline is None,
        deadline or job.submitted_at,
        job.submitted_at,
        job.id,
    )


def suitable(
    job: Job,
    capacities: Iterable[FreeCapacity],
    barred: Container[str] = (),
    machine_types: Container[str] = (),
) -> list[FreeCapacity]:
    """Rooms on which a task of the job may go now or once they are up, the best first. A room that
    has been begun stays the best until it is full, so the order holds while tasks are taken from
    it."""
    spec = job.spec
    resources, image, spot = spec.resources, spec.image, spec.spot
    rows = []
    for capacity in capacities:
        if (
            resources.gpus <= capacity.gpus + EPS
            and resources.cpus <= capacity.cpus + EPS
            and resources.memory <= capacity.memory + EPS
            and (spot or not capacity.spot)
            and allowed(job, capacity.machine_type, capacity.zone, capacity.spot)
            and capacity.id not in barred
            and capacity.machine_type not in machine_types
        ):
            # Work that may run on spot machines leaves the others to work that may not.
            rows.append(
                (
                    capacity.ready_in,
                    spot and not capacity.spot,
                    image not in capacity.images,
                    capacity.leftover_share(resources),
                    capacity.id,
                    capacity,
                )
            )
    rows.sort(key=_by_key)
    return [row[5] for row in rows]


def _by_key(row: tuple) -> tuple:
    return row[:5]


def least_of(needs: Iterable[Resources]) -> Resources:
    """What each of some needs asks for at the least."""
    needs = list(needs)
    return Resources(
        min((n.cpus for n in needs), default=0.0),
        min((n.gpus for n in needs), default=0.0),
        min((n.memory for n in needs), default=0.0),
    )


Bars = Callable[[PendingTasks], tuple[Container[str], Container[str]]]


class QuotaAllowance:
    """What teams' limits leave, in cores and GPUs; it shrinks with what is taken.

    `holds` says of which jobs the tasks that found no room yet keep their team's limit from work of
    lower priority: for a while, until the machine that was hired for them is up, and not for
    ever."""

    def __init__(
        self,
        left: Callable[[str], tuple[float, float] | None],
        holds: Callable[[str], bool] = lambda job: False,
    ):
        self._left, self._holds = left, holds
        self._rows: dict[str, tuple[float, float] | None] = {}
        # What is kept for jobs that found no room, by team: priority, cores and GPUs.
        self._held: dict[str, list[tuple[int, float, float]]] = {}

    def most(self, spec: JobSpec) -> int:
        """How many more of a job's tasks its team's limit permits; none for a team that nobody
        knows."""
        if spec.team not in self._rows:
            self._rows[spec.team] = self._left(spec.team)
        left = self._rows[spec.team]
        if left is None:
            return 0
        for priority, cpus, gpus in self._held.get(spec.team, ()):
            if priority > spec.priority:
                left = (left[0] - cpus, left[1] - gpus)
        return fits_in(left, spec.resources)

    def hold(self, job: Job, tasks: int) -> None:
        if tasks and self._holds(job.id):
            resources = job.spec.resources.times(tasks)
            self._held.setdefault(job.spec.team, []).append(
                (job.spec.priority, resources.cpus, resources.gpus)
            )

    def take(self, spec: JobSpec, tasks: int) -> None:
        cpus, gpus = self._rows[spec.team]
        self._rows[spec.team] = (
            cpus - tasks * spec.resources.cpus,
            gpus - tasks * spec.resources.gpus,
        )

    def cut(self, item: PendingTasks) -> PendingTasks | None:
        """As much of an item as the limit permits."""
        count = min(item.count, self.most(item.job.spec))
        if count <= 0 or item.job.spec.gang and count < item.count:
            return None
        return item if count == item.count else replace(item, tasks=ranges.first(item.tasks, count))


def fits_in(left: tuple[float, float], resources: Resources) -> int:
    """How many tasks' cores and GPUs fit into what is left of a limit."""
    count = 1_000_000
    for have, want in zip(left, (resources.cpus, resources.gpus), strict=True):
        if want > 0 and have < float("inf"):
            count = min(count, int((have + EPS) / want))
    return max(0, count)


def place(
    queue: Iterable[PendingTasks],
    capacities: Iterable[FreeCapacity],
    most_jobs: int = 1_000_000,
    bars: Bars | None = None,
    limits: QuotaAllowance | None = None,
) -> tuple[list[Placed], list[PendingTasks], bool]:
    """Takes the tasks in order; gives what was placed, what was not, and whether it stopped after
    `most_jobs` jobs. `bars` names the machines and the types that a job must keep off.

    Of a team's limit only what is placed is taken: a wide job that finds no room must not keep the
    team's other jobs from machines that would fit them."""
    placed: list[Placed] = []
    left: list[PendingTasks] = []
    queue = list(queue)
    # Most machines are full: they are passed over once, not once a job.
    least = least_of(item.job.spec.resources for item in queue)
    capacities = [
        capacity for capacity in capacities if capacity.ready_in <= 0 and capacity.fits(least)
    ]
    # What found no room keeps others alike from looking again.
    hopeless: set[tuple] = set()
    jobs: set[str] = set()
    for item in queue:
        if limits is not None and (item := limits.cut(item)) is None:
            continue
        spec = item.job.spec
        kind = (spec.resources, spec.machine_types, spec.zone, spec.spot)
        barred, machine_types = bars(item) if bars is not None else ((), ())
        found = []
        if kind not in hopeless:
            found = suitable(item.job, capacities, barred, machine_types)
        if spec.gang and sum(capacity.count(spec.resources) for capacity in found) < item.count:
            # Whole or not at all: no gang holds some of the room while another holds the rest. It
            # says nothing of others alike, which may need less.
            rest: PendingTasks | None = item
        elif found and item.job.id not in jobs and len(jobs) >= most_jobs:
            return placed, left, True
        else:
            rest = fill_capacities(item, found, placed, limits)
            if found:
                jobs.add(item.job.id)
            if rest is not None and not barred and not machine_types:
                hopeless.add(kind)
        if rest is not None:
            left.append(rest)
            if limits is not None:
                limits.hold(item.job, rest.count)
    return placed, left, False


def fill_capacities(
    item: PendingTasks,
    found: list[FreeCapacity],
    placed: list[Placed],
    limits: QuotaAllowance | None,
) -> PendingTasks | None:
    """Puts an item's tasks on the rooms in their order; gives those that found no place."""
    resources, tasks, count = item.job.spec.resources, ranges.numbers(item.tasks), item.count
    for capacity in found:
        take = min(count, capacity.count(resources))
        for _ in range(take):
            capacity.take(resources)
            placed.append((item, next(tasks), capacity))
        if limits is not None:
            limits.take(item.job.spec, take)
        count -= take
        if not count:
            return None
    if count == item.count:
        return item
    return replace(
        item, tasks=ranges.minus(item.tasks, ranges.first(item.tasks, item.count - count))
    )


@dataclass(frozen=True, slots=True)
class Victim:
    """A task that runs, as preemption sees it."""

    resources: Resources
    priority: int
    # It belongs to a team that is beyond its guarantee, and is not within it.
    beyond: bool
    team: str
    # Seconds of work that stopping it would waste.
    loss: float
    handle: object


def may_stop(item: PendingTasks, row: Victim) -> bool:
    """Preemption as the protocol permits: work of lower priority, or, for work within its team's
    guarantee, what another team runs beyond its own."""
    spec = item.job.spec
    return row.priority < spec.priority or (
        item.guaranteed and row.beyond and row.team != spec.team
    )


# A machine on which room can be made, and what is stopped there.
Clearing = tuple[FreeCapacity, list[Victim]]


def clearings(
    item: PendingTasks, capacities: Iterable[FreeCapacity], running: Mapping[str, list[Victim]]
) -> list[Clearing]:
    """The machines on which room for a task of the item can be made, the best first: the image,
    then the cheapest and the fewest losses. All are found in one look, for a wide job takes many of
    them and none of them changes by what is stopped on another."""
    spec = item.job.spec
    found = []
    for capacity in capacities:
        rows = running.get(capacity.id)
        if (
            not rows
            or capacity.ready_in > 0
            or not allowed(item.job, capacity.machine_type, capacity.zone, capacity.spot)
        ):
            continue
        chosen = _least_losses(item, capacity, rows)
        if chosen:
            loss = sum(row.loss for row in chosen)
            key = (spec.image not in capacity.images, loss, len(chosen), capacity.id)
            found.append((key, capacity, chosen))
    found.sort(key=_by_first)
    return [(capacity, chosen) for _, capacity, chosen in found]


def _least_losses(item: PendingTasks, capacity: FreeCapacity, rows: list[Victim]) -> list[Victim]:
    """What to stop on a machine so that a task of the item fits; empty if that can't be had, or
    need not be."""
    resources = item.job.spec.resources
    cpus, gpus, memory = capacity.cpus + EPS, capacity.gpus + EPS, capacity.memory + EPS
    chosen: list[Victim] = []
    for row in sorted((row for row in rows if may_stop(item, row)), key=_by_loss):
        if resources.cpus <= cpus and resources.gpus <= gpus and resources.memory <= memory:
            return chosen
        cpus, gpus, memory = (
            cpus + row.resources.cpus,
            gpus + row.resources.gpus,
            memory + row.resources.memory,
        )
        chosen.append(row)
    fits = resources.cpus <= cpus and resources.gpus <= gpus and resources.memory <= memory
    return chosen if fits else []


def _by_loss(row: Victim) -> float:
    return row.loss


def _by_first(row: tuple) -> tuple:
    return row[0]
