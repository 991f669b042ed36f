"""Which task goes on which machine. Pure: everything comes as an argument.

Order: priority, then work within its team's guarantee, then deadline, then age. Place: where the
image lies (the design's rule), then where the least is left over, so that machines empty."""

from dataclasses import dataclass, field

from roadbend.store.records import Job, Need

EPS = 1e-6


@dataclass
class Room:
    """A machine with what is free on it. `ready_in` is above zero while it boots."""

    id: str
    rig: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    images: frozenset[str] = frozenset()
    total: Need = field(default_factory=lambda: Need(0, 0, 0))
    ready_in: float = 0.0
    price: float = 0.0
    # How fast it fetches images, GB a second; 0: not known.
    pull: float = 0.0

    def fetch(self, image: str, gb: float) -> float:
        """Seconds until an image is there."""
        return 0.0 if image in self.images or self.pull <= 0 else gb / self.pull

    def fits(self, need: Need) -> bool:
        return need.cpus <= self.cpus + EPS and need.gpus <= self.gpus + EPS and need.memory <= self.memory + EPS

    def take(self, need: Need) -> None:
        self.cpus -= need.cpus
        self.gpus -= need.gpus
        self.memory -= need.memory

    def give(self, need: Need) -> None:
        self.cpus += need.cpus
        self.gpus += need.gpus
        self.memory += need.memory

    def count(self, need: Need) -> int:
        """How many such tasks fit."""
        most = 1_000_000
        for want, have in (
            (need.cpus, self.cpus),
            (need.gpus, self.gpus),
            (need.memory, self.memory),
        ):
            if want > 0:
                most = min(most, int((have + EPS) / want))
        return max(0, most)

    def scrap(self, need: Need) -> float:
        """What would be left, as a share of the machine, over all that it has."""
        left, parts = 0.0, 0
        for have, want, total in (
            (self.cpus, need.cpus, self.total.cpus),
            (self.gpus, need.gpus, self.total.gpus),
            (self.memory, need.memory, self.total.memory),
        ):
            if total > 0:
                left += (have - want) / total
                parts += 1
        return left / max(1, parts)


@dataclass(frozen=True)
class Pending:
    job: Job
    leg: int
    guaranteed: bool


def allowed(job: Job, rig: str, zone: str, spot: bool) -> bool:
    spec = job.spec
    return (
        (spec.rigs is None or rig in spec.rigs) and (spec.zone is None or zone == spec.zone) and (spec.spot or not spot)
    )


def rank(item: Pending) -> tuple:
    job = item.job
    deadline = job.deadline
    return (
        -job.spec.priority,
        not item.guaranteed,
        deadline is None,
        deadline or job.at,
        job.at,
        job.id,
        item.leg,
    )


def best_room(job: Job, rooms: list[Room]) -> Room | None:
    best, best_key = None, None
    for room in rooms:
        if not room.fits(job.spec.need) or not allowed(job, room.rig, room.zone, room.spot):
            continue
        # Work that may run on spot machines leaves the others to work that may not.
        key = (
            room.ready_in,
            job.spec.spot and not room.spot,
            job.spec.image not in room.images,
            room.scrap(job.spec.need),
            room.id,
        )
        if best_key is None or key < best_key:
            best, best_key = room, key
    return best


def place(queue: list[Pending], rooms: list[Room]) -> tuple[list[tuple[Pending, Room]], list[Pending]]:
    """Takes the tasks in order; gives what was placed and what was not."""
    placed, left = [], []
    hopeless: set[str] = set()
    for item in queue:
        room = None if item.job.id in hopeless else best_room(item.job, rooms)
        if room is None:
            hopeless.add(item.job.id)
            left.append(item)
        else:
            room.take(item.job.spec.need)
            placed.append((item, room))
    return placed, left


def victims(
    item: Pending,
    rooms: list[Room],
    running: list[tuple[str, Need, int, bool, float, object]],
) -> tuple[Room, list[object]] | None:
    """Preemption as the protocol permits: tasks of lower priority, or, for work within its team's
    guarantee, tasks that another team runs beyond its own. `running` rows: machine, need, priority,
    beyond-its-guarantee-and-another-team's, loss in seconds, handle. Fewest and cheapest losses win."""
    best = None
    need = item.job.spec.need
    for room in rooms:
        if room.ready_in > 0 or not allowed(item.job, room.rig, room.zone, room.spot):
            continue
        rows = [
            row
            for row in running
            if row[0] == room.id and (row[2] < item.job.spec.priority or (item.guaranteed and row[3]))
        ]
        rows.sort(key=lambda row: row[4])
        trial = Room(room.id, room.rig, room.zone, room.spot, room.cpus, room.gpus, room.memory, total=room.total)
        chosen, loss = [], 0.0
        for row in rows:
            if trial.fits(need):
                break
            trial.give(row[1])
            chosen.append(row[5])
            loss += row[4]
        if chosen and trial.fits(need):
            key = (item.job.spec.image not in room.images, loss, len(chosen), room.id)
            if best is None or key < best[0]:
                best = (key, room, chosen)
    return None if best is None else (best[1], best[2])
