"""Actions of users: jobs are submitted and cancelled, and time passes."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from roadbend.rehearsal import messages
from roadbend.rehearsal.stage import Stage

# Tasks that one machine of the fake cloud holds at a time, by its GPUs.
TASKS_PER_MACHINE = 2
# How many tasks services, arrays and gangs have together, as shares of what all machines hold.
SERVICE_SHARE = 0.5
ARRAY_SHARE = 0.35
GANG_SHARE = 0.15
JOBS_OF_A_KIND = 6
GANG_WIDTH = 4
# One array for so many workers is a wave that finds no free capacity.
WAVE_SHARE = 12
# Its deadline in seconds: so short that machines are created at once.
WAVE_DEADLINE = 40.0
USUAL_TEAM = "red"
LIMITED_TEAM = "blue"
# How long tasks of the first work run, in seconds; the first end while no controller is up.
FIRST_SHORTEST = 45.0
FIRST_LONGEST = 110.0
# How long tasks of later work run, in seconds.
LATER_SHORTEST = 30
LATER_LONGEST = 60
# How long users wait for the confirmation of a cancellation, in seconds.
CANCELLED_WITHIN = 60


@dataclass(frozen=True)
class Wait:
    """Nothing but time passes."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Sleep."""
        await trio.sleep(self.length.total_seconds())


@dataclass(frozen=True)
class StartWork:
    """Services, arrays and gangs fill most of the machines."""

    within: timedelta = timedelta(seconds=120)

    async def play(self, stage: Stage) -> None:
        """Submit the jobs, and return once all of their tasks have begun."""
        capacity = stage.workers * TASKS_PER_MACHINE
        service_tasks = max(1, round(capacity * SERVICE_SHARE / JOBS_OF_A_KIND))
        array_tasks = max(1, round(capacity * ARRAY_SHARE / JOBS_OF_A_KIND))
        for _ in range(JOBS_OF_A_KIND):
            service = messages.service(stage.next_number(), service_tasks)
            await _submit_first(stage, service, None, stage.services)
            array = messages.long_array(stage.next_number(), array_tasks)
            await _submit_first(stage, array, _draw_first_length(stage), stage.arrays)
        for _ in range(max(1, round(capacity * GANG_SHARE / GANG_WIDTH))):
            gang = messages.gpu_gang(stage.next_number(), GANG_WIDTH)
            await _submit_first(stage, gang, _draw_first_length(stage), stage.gangs)
        begun = await stage.world.until(lambda: _all_begun(stage), self.within.total_seconds(), 1.0)
        assert begun, "the first work did not begin in time"
        stage.note(f"{len(stage.world.workers())} machines work")


def _draw_first_length(stage: Stage) -> float:
    return stage.rng.uniform(FIRST_SHORTEST, FIRST_LONGEST)


def _draw_later_length(stage: Stage) -> float:
    return stage.rng.uniform(LATER_SHORTEST, LATER_LONGEST)


async def _submit_first(
    stage: Stage, body: messages.Body, length: float | None, jobs: list[str]
) -> None:
    job = messages.job_of(body)
    accepted = await stage.submit(body, length)
    assert accepted, job
    jobs.append(job)


def _all_begun(stage: Stage) -> bool:
    begun: dict[str, set[str]] = {}
    for _, task, _ in stage.world.board.starts:
        begun.setdefault(task.rpartition("/")[0], set()).add(task)
    cases = stage.world.rules.jobs
    return all(
        len(begun.get(job, ())) == messages.task_count(cases[job].body)
        for job in (*stage.services, *stage.arrays, *stage.gangs)
    )


@dataclass(frozen=True)
class SubmitArrays:
    """More arrays come, a few tasks each."""

    count: int
    tasks: int = 3
    # So many that machines must be created for them.
    wave: bool = False
    # Of the team that has a quota, and more than that allows.
    limited: bool = False

    async def play(self, stage: Stage) -> None:
        """Submit the arrays, and return as soon as they are accepted."""
        count = max(self.count, stage.workers // WAVE_SHARE) if self.wave else self.count
        deadline = WAVE_DEADLINE if self.wave else None
        team = LIMITED_TEAM if self.limited else USUAL_TEAM
        for _ in range(count):
            body = messages.array(stage.next_number(), self.tasks, deadline, team)
            if await stage.submit(body, _draw_later_length(stage)):
                stage.arrays.append(messages.job_of(body))
        stage.note(f"{count} more arrays accepted")


@dataclass(frozen=True)
class SubmitGangs:
    """More gangs come, which fit beside what runs."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Submit the gangs, and return as soon as they are accepted."""
        for _ in range(self.count):
            body = messages.gang(stage.next_number(), GANG_WIDTH)
            if await stage.submit(body, _draw_later_length(stage)):
                stage.gangs.append(messages.job_of(body))
        stage.note(f"{self.count} more gangs accepted")


@dataclass(frozen=True)
class Cancel:
    """Users cancel services and arrays that run, and are told so."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Draw the jobs and cancel them; the first service runs on."""
        jobs = stage.services[1:] + stage.arrays
        drawn = stage.rng.sample(jobs, min(self.count, len(jobs)))
        for job in drawn:
            await stage.world.cancel_job(job, CANCELLED_WITHIN)
        for kind in (stage.services, stage.arrays):
            kind[:] = [job for job in kind if job not in drawn]
        stage.note(f"cancelled: {', '.join(drawn)}")
