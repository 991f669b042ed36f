"""The queue laid on a part's machines: what bids, reoffers and estimates look at."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import cached_property
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.placement import forecast, policy
from roadbend.placement.forecast import Line
from roadbend.placement.policy import Room
from roadbend.store.records import Job, Need

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

# For how long a layout that was worked out may serve again, at the least.
REUSE = timedelta(milliseconds=600)
# Layouts that are kept, by what was asked for.
MAX_LAYOUTS = 4


@dataclass
class Layout:
    """The machines with the queue laid on them."""

    lines: list[Line]
    # When the waiting tasks of each job would begin, in seconds; those beyond the forecast are
    # missing.
    starts: dict[str, list[float]]
    # How many tasks of a kind fit, as far as it was asked for.
    _fitting: dict[tuple, tuple[int, int]] = field(default_factory=dict)

    @cached_property
    def cores(self) -> float:
        return max(1.0, sum(line.room.total.cpus for line in self.lines))

    @cached_property
    def ready(self) -> list[Room]:
        """The machines that are up."""
        return [line.room for line in self.lines if line.room.ready_in <= 0]

    @cached_property
    def laid(self) -> int:
        """How many waiting tasks found a place."""
        return sum(len(rows) for rows in self.starts.values())

    def fitting(self, job: Job) -> tuple[int, int]:
        """How many tasks of a job fit on the machines that are up, and on those that boot."""
        spec = job.spec
        kind = (spec.need, spec.machine_types, spec.zone, spec.spot)
        found = self._fitting.get(kind)
        if found is None:
            counts = [0, 0]
            for line in self.lines:
                room = line.room
                if room.fits(spec.need) and policy.allowed(
                    job, room.machine_type, room.zone, room.spot
                ):
                    counts[room.ready_in > 0] += room.count(spec.need)
            found = self._fitting[kind] = (counts[0], counts[1])
        return found


class Layouts:
    """Works layouts out, and keeps the last ones for a moment."""

    def __init__(self, runtime: PartRuntime):
        self._runtime = runtime
        self._layouts: deque[tuple[tuple, datetime, timedelta, Layout]] = deque(maxlen=MAX_LAYOUTS)

    def of(self, least: int, avoid: frozenset[str]) -> Layout:
        """The machines with the queue from a priority on laid on them. One layout serves all that
        is asked of a moment, for in a burst bids come by the dozen; what took long to work out
        serves longer."""
        runtime = self._runtime
        now, mark = clock.now(), (least, avoid, len(runtime.booting))
        for key, at, window, layout in self._layouts:
            if key == mark and now - at < window:
                return layout
        booting = [replace(room) for room in runtime.booting if room.id not in runtime.machines]
        lines = [line for line in self.lines(booting) if line.room.machine_type not in avoid]
        queue = [item for item in runtime.queue.pending() if item.job.spec.priority >= least]
        starts = forecast.lay(queue, lines, self.run_seconds, self.most_forecast(lines))
        layout = Layout(lines, starts)
        self._layouts.append(
            (mark, now, max(REUSE, runtime.shared.rest(clock.now() - now)), layout)
        )
        return layout

    @staticmethod
    def most_forecast(lines: list[Line]) -> int:
        """How far down the queue a forecast looks: to about where every machine has been filled
        anew."""
        return max(128, 6 * len(lines))

    def run_seconds(self, job: Job) -> float:
        runtime = self._runtime
        return forecast.run_seconds(job, runtime.shared.factor(job.spec.job_class))

    def lines(self, more: list[Room]) -> list[Line]:
        """The machines with what runs on them and when that is thought to end."""
        runtime = self._runtime
        now, index = clock.now(), runtime.by_machine()
        out = []
        lengths: dict[str, float | None] = {}
        for room in runtime.rooms():
            machine = runtime.machines[room.id]
            releases = []
            for key, (work, attempt) in index.get(room.id, {}).items():
                if key in runtime.stops:
                    releases.append((runtime.stops[key].grace.total_seconds() + 1.0, work.need))
                    continue
                if work.job not in lengths:
                    job = runtime.shared.view.jobs.get(work.job)
                    lengths[work.job] = (
                        None if job is None or job.spec.service else self.run_seconds(job)
                    )
                run = lengths[work.job]
                if run is None:
                    continue
                seen = machine.tasks.get(key)
                if (
                    seen is not None
                    and seen.attempt == attempt.number
                    and seen.running_since is not None
                ):
                    spent = (now - seen.running_since).total_seconds()
                    # An estimate that has been passed says little: the longer it ran, the longer it
                    # may.
                    left = max(run - spent, 0.25 * spent, 1.0)
                else:
                    spec = runtime.shared.view.jobs[work.job].spec
                    left = run + room.fetch(spec.image, spec.image_gb)
                releases.append((left, work.need))
            releases.sort(key=_when)
            out.append(Line(room, releases))
        return out + [Line(room) for room in more]


def _when(row: tuple[float, Need]) -> float:
    return row[0]
