"""When will queued tasks start on the machines there are? Pure; used for hiring just in time and for
telling peers how long a reoffered job would wait here."""

from dataclasses import dataclass, field
from datetime import timedelta

from roadbend.placement.policy import Pending, Room, allowed
from roadbend.store.records import Job, Need

NEVER = float("inf")


@dataclass
class Line:
    """A machine's future: what is free now, and what comes free when (seconds from now)."""

    room: Room
    releases: list[tuple[float, Need]] = field(default_factory=list)
    # What is free counts from here: room left by a task that had to wait is not there before it.
    free_from: float = 0.0

    def earliest(self, need: Need) -> float:
        if self.room.fits(need):
            return max(self.room.ready_in, self.free_from)
        cpus, gpus, memory = self.room.cpus, self.room.gpus, self.room.memory
        for at, freed in self.releases:
            cpus, gpus, memory = cpus + freed.cpus, gpus + freed.gpus, memory + freed.memory
            if need.cpus <= cpus + 1e-6 and need.gpus <= gpus + 1e-6 and need.memory <= memory + 1e-6:
                return max(at, self.room.ready_in)
        return NEVER

    def put(self, need: Need, start: float, length: float) -> None:
        while self.releases and self.releases[0][0] <= start and not self.room.fits(need):
            at, freed = self.releases.pop(0)
            self.room.give(freed)
            self.free_from = max(self.free_from, at)
        self.room.take(need)
        if length < NEVER:
            self.releases.append((start + length, need))
            self.releases.sort(key=lambda row: row[0])


def earliest(job: Job, lines: list[Line]) -> tuple[float, Line | None]:
    best, where = NEVER, None
    for line in lines:
        room = line.room
        if not allowed(job, room.rig, room.zone, room.spot):
            continue
        at = line.earliest(job.spec.need)
        better = at < best - 1e-6
        level = where is not None and abs(at - best) <= 1e-6 and job.spec.spot and room.spot and not where.room.spot
        if better or level:
            best, where = at, line
    return best, where


def task_seconds(job: Job, factor: float, pull: float | None) -> float:
    """Predicted time on the machine, with its fetch; a service never comes free."""
    if job.spec.service:
        return NEVER
    run = max(timedelta(seconds=5), job.spec.expected).total_seconds() * factor
    return run + (job.spec.image_gb / pull if pull else 0.0)


def slack(item: Pending, waited: float, run: float) -> float:
    """How many seconds from now a task may start and still be in time; without a deadline, a service
    wants to start at once and an array may wait for about twice its run time."""
    spec = item.job.spec
    if spec.due is not None:
        return spec.due.total_seconds() - waited - run
    if spec.service or spec.priority >= 2:
        return 0.0
    return max(0.0, 2 * run - waited)
