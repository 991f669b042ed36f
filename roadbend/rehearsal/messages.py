"""Submissions of a rehearsal's users, with the field names of the wire."""

from __future__ import annotations

from typing import Any

from roadbend.fakes import submission

# A submission's body, with the field names of the wire.
Body = dict[str, Any]

# Priorities by their names on the wire: a job of a higher one may preempt a lower one's tasks.
PRIORITIES = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}


def service(number: int, tasks: int) -> Body:
    """Return the body of a service that may not run on spot machines."""
    return submission.job(
        number, legs=tasks, shape="daemon", dueS=None, loaners=False, rank="production"
    )


def long_array(number: int, tasks: int) -> Body:
    """Return the body of a job array without a deadline that is expected to take one minute."""
    return submission.job(number, legs=tasks, dueS=None, expectedS=60.0, loaners=False)


def array(number: int, tasks: int, deadline_s: float | None, team: str) -> Body:
    """Return the body of a team's job array that is to be done within `deadline_s` seconds."""
    return submission.job(number, legs=tasks, dueS=deadline_s, loaners=False, crew=team)


def gang(number: int, tasks: int) -> Body:
    """Return the body of a gang."""
    return submission.gang(number, tasks)


def gpu_gang(number: int, tasks: int) -> Body:
    """Return the body of a gang whose tasks need one GPU each."""
    return submission.gang(number, tasks, vcpus=8.0, gpus=1.0)


def job_id_of(body: Body) -> str:
    """Return the job's id."""
    job: str = body["id"]
    return job


def task_count(body: Body) -> int:
    """Return the number of the job's tasks."""
    count: int = body["legs"]
    return count


def is_gang(body: Body) -> bool:
    """Return whether the job is a gang."""
    return bool(body["shape"] == "group")


def priority(body: Body) -> int:
    """Return the job's priority; a larger number is a higher priority."""
    return PRIORITIES[body["rank"]]
