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

    def put(self, job: Job, start: float, run: float) -> None:
        """A task is laid on this machine from `start`; its image is there afterwards."""
        need = job.spec.need
        while self.releases and self.releases[0][0] <= start and not self.room.fits(need):
            at, freed = self.releases.pop(0)
            self.room.give(freed)
            self.free_from = max(self.free_from, at)
        self.room.take(need)
        if run < NEVER:
            end = start + self.room.fetch(job.spec.image, job.spec.image_gb) + run
            self.releases.append((end, need))
            self.releases.sort(key=lambda row: row[0])
        self.room.images = self.room.images | {job.spec.image}


def earliest(job: Job, lines: list[Line]) -> tuple[float, Line | None]:
    """Where a task would begin to run first, its fetch counted, and from when it would be there."""
    best, where, when = NEVER, None, NEVER
    spec = job.spec
    for line in lines:
        room = line.room
        if not allowed(job, room.rig, room.zone, room.spot):
            continue
        at = line.earliest(spec.need)
        runs = at + room.fetch(spec.image, spec.image_gb)
        better = runs < best - 1e-6
        level = where is not None and abs(runs - best) <= 1e-6 and spec.spot and room.spot and not where.room.spot
        if better or level:
            best, where, when = runs, line, at
            if runs <= 0 and (room.spot or not spec.spot):
                break
    return when, where


def run_seconds(job: Job, factor: float) -> float:
    """Predicted run time, without the fetch; a service never comes free."""
    if job.spec.service:
        return NEVER
    return max(timedelta(seconds=5), job.spec.expected).total_seconds() * factor


def slack(item: Pending, waited: float, run: float) -> float:
    """How many seconds from now a task may start and still be in time; without a deadline, a service
    wants to start at once and an array may wait for about twice its run time."""
    spec = item.job.spec
    if spec.due is not None:
        return spec.due.total_seconds() - waited - run
    if spec.service or spec.priority >= 2:
        return 0.0
    return max(0.0, 2 * run - waited)
