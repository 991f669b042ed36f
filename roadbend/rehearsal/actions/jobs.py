"""Actions of users, who submit and cancel jobs, and waiting."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from roadbend.rehearsal import messages
from roadbend.rehearsal.stage import Stage

# Number of tasks that fit on one machine of the fake cloud; its GPUs are the limit.
TASKS_PER_MACHINE = 2
# Tasks of all services, all arrays and all gangs, as shares of the tasks that fit on all machines.
SERVICE_SHARE = 0.5
ARRAY_SHARE = 0.35
GANG_SHARE = 0.15
JOBS_PER_KIND = 6
GANG_SIZE = 4
# A wave has one array per so many workers, which is more than the free capacity.
WORKERS_PER_WAVE_ARRAY = 12
# Deadline of a wave's arrays, in seconds; so short that machines are created at once.
WAVE_DEADLINE_S = 40.0
UNLIMITED_TEAM = "red"
LIMITED_TEAM = "blue"
# How long tasks of the initial jobs run, in seconds. The shortest end while no controller runs.
INITIAL_MIN_LENGTH_S = 45.0
INITIAL_MAX_LENGTH_S = 110.0
# How long tasks of later jobs run, in seconds.
LATER_MIN_LENGTH_S = 30
LATER_MAX_LENGTH_S = 60
# How long users wait for the confirmation of a cancellation, in seconds.
CANCELLATION_TIMEOUT_S = 60


@dataclass(frozen=True)
class Wait:
    """Let time pass."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Sleep."""
        await trio.sleep(self.length.total_seconds())


@dataclass(frozen=True)
class StartWork:
    """Submit services, arrays and gangs that use most of the machines."""

    within: timedelta = timedelta(seconds=120)

    async def play(self, stage: Stage) -> None:
        """Submit the jobs; return once all their tasks have started."""
        capacity = stage.workers * TASKS_PER_MACHINE
        service_tasks = max(1, round(capacity * SERVICE_SHARE / JOBS_PER_KIND))
        array_tasks = max(1, round(capacity * ARRAY_SHARE / JOBS_PER_KIND))
        for _ in range(JOBS_PER_KIND):
            service = messages.service(stage.next_number(), service_tasks)
            await _submit_initial(stage, service, None, stage.services)
            array = messages.long_array(stage.next_number(), array_tasks)
            await _submit_initial(stage, array, _draw_initial_length(stage), stage.arrays)
        for _ in range(max(1, round(capacity * GANG_SHARE / GANG_SIZE))):
            gang = messages.gpu_gang(stage.next_number(), GANG_SIZE)
            await _submit_initial(stage, gang, _draw_initial_length(stage), stage.gangs)
        started = await stage.world.until(
            lambda: _all_started(stage), self.within.total_seconds(), 1.0
        )
        assert started, "the initial jobs did not start in time"
        stage.record_event(f"{len(stage.world.workers())} machines work")


def _draw_initial_length(stage: Stage) -> float:
    return stage.rng.uniform(INITIAL_MIN_LENGTH_S, INITIAL_MAX_LENGTH_S)


def _draw_later_length(stage: Stage) -> float:
    return stage.rng.uniform(LATER_MIN_LENGTH_S, LATER_MAX_LENGTH_S)


async def _submit_initial(
    stage: Stage, body: messages.Body, length: float | None, jobs: list[str]
) -> None:
    job = messages.job_id_of(body)
    accepted = await stage.submit(body, length)
    assert accepted, job
    jobs.append(job)


def _all_started(stage: Stage) -> bool:
    started: dict[str, set[str]] = {}
    for _, task, _ in stage.world.board.starts:
        started.setdefault(task.rpartition("/")[0], set()).add(task)
    jobs = stage.world.rules.jobs
    return all(
        len(started.get(job, ())) == messages.task_count(jobs[job].body)
        for job in (*stage.services, *stage.arrays, *stage.gangs)
    )


@dataclass(frozen=True)
class SubmitArrays:
    """Submit more arrays of a few tasks each."""

    count: int
    tasks: int = 3
    # Submit so many that machines must be created for them.
    wave: bool = False
    # Submit them for the team with a quota, and more than the quota permits.
    limited: bool = False

    async def play(self, stage: Stage) -> None:
        """Submit the arrays; return once they are accepted."""
        count = (
            max(self.count, stage.workers // WORKERS_PER_WAVE_ARRAY) if self.wave else self.count
        )
        deadline = WAVE_DEADLINE_S if self.wave else None
        team = LIMITED_TEAM if self.limited else UNLIMITED_TEAM
        for _ in range(count):
            body = messages.array(stage.next_number(), self.tasks, deadline, team)
            if await stage.submit(body, _draw_later_length(stage)):
                stage.arrays.append(messages.job_id_of(body))
        stage.record_event(f"{count} more arrays accepted")


@dataclass(frozen=True)
class SubmitGangs:
    """Submit more gangs, which fit into the free capacity."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Submit the gangs; return once they are accepted."""
        for _ in range(self.count):
            body = messages.gang(stage.next_number(), GANG_SIZE)
            if await stage.submit(body, _draw_later_length(stage)):
                stage.gangs.append(messages.job_id_of(body))
        stage.record_event(f"{self.count} more gangs accepted")


@dataclass(frozen=True)
class Cancel:
    """Cancel running services and arrays, and wait for the confirmations."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Draw the jobs and cancel them; the first service is never drawn."""
        jobs = stage.services[1:] + stage.arrays
        drawn = stage.rng.sample(jobs, min(self.count, len(jobs)))
        for job in drawn:
            await stage.world.cancel_job(job, CANCELLATION_TIMEOUT_S)
        for kind in (stage.services, stage.arrays):
            kind[:] = [job for job in kind if job not in drawn]
        stage.record_event(f"cancelled: {', '.join(drawn)}")
