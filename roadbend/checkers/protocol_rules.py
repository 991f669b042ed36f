"""Checks a whole deployment against the rules of the protocol.

The checker sees the answers that users received and the tasks on machines, never the controllers'
records. One checker observes a deployment, and every scenario reads its findings at the end.
"""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from roadbend.checkers import placements, requirements
from roadbend.checkers.observed_jobs import REQUIRED_FIELDS, MachineWithCapacity, ObservedJob, Place
from roadbend.checkers.requirements import TOLERANCE
from roadbend.settings import Team

# Used as the limit of a team without one.
UNLIMITED = 1e18
# Paths of the API for users.
JOBS_PATH, CANCEL_SUFFIX = "/v1/jobs", "/withdraw"
# An order to start may arrive this long after the cancellation was confirmed to the user, because
# it was already on its way; in seconds.
MAX_IN_FLIGHT_S = 0.1
# After the last fault: how long a job's queries may stay unanswered before it counts as forgotten,
# and how long a task may wait although it fits free capacity. In seconds.
FORGOTTEN_S, LEFT_WAITING_S = 75.0, 90.0


class Rules:
    """Observes one deployment and records each broken rule in `broken`.

    `machine_types` and `teams` are those of the platform; `cancel_s` is how long a cancelled job
    may still be on machines; `now` is the deployment's clock. All times are in seconds.
    """

    def __init__(
        self,
        machine_types: list[dict[str, Any]],
        teams: Iterable[Team],
        cancel_s: float,
        now: Callable[[], float],
    ) -> None:
        self._machine_types = {row["name"]: row for row in machine_types}
        self._teams = {
            team.name: (team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED) for team in teams
        }
        self._cancel_s, self._now = cancel_s, now
        self.jobs: dict[str, ObservedJob] = {}
        self.placements: dict[str, dict[str, Place]] = {}
        self.broken: list[str] = []
        # Findings that were already recorded; one that persists is recorded once.
        self._reported: set[tuple[str, str]] = set()
        self.faults_ended_at: float | None = None
        self.starts = 0
        # Called with each job whose user was just told that it is accepted or has ended.
        self.listeners: list[Callable[[ObservedJob], None]] = []

    def _record_broken(self, rule: str, *details: object) -> None:
        detail = " ".join(str(part) for part in details)
        if (rule, detail) not in self._reported:
            self._reported.add((rule, detail))
            self.broken.append(f"{rule} at {self._now():.1f}: {detail}")

    # Requests of users and their answers.

    def can_run(self, body: dict[str, Any]) -> bool:
        """Return whether a job could ever run; if not, its submission has to get 422."""
        limit = self._teams.get(body["crew"])
        return limit is not None and requirements.can_run(body, limit, self._machine_types.values())

    def record_submission(self, body: Any) -> None:
        """Record a submission before it is sent."""
        if (
            isinstance(body, dict)
            and isinstance(body.get("id"), str)
            and body["id"] not in self.jobs
        ):
            self.jobs[body["id"]] = ObservedJob(body)

    def check_answer(
        self, method: str, path: str, body: Any, status: int, answer: Any, began: float
    ) -> None:
        """Record and check the answer to a user's request that was begun at `began`."""
        if method == "POST" and path == JOBS_PATH:
            job = self._check_submission_answer(body, status, began)
        elif path.startswith(f"{JOBS_PATH}/"):
            job = self._check_job_answer(path, status, began)
        else:
            return
        if status in (200, 201) and isinstance(answer, dict) and job is not None:
            now = self._now()
            job.answered_at = now
            self._check_status(job, answer.get("status"), began, now)
            self._notify_listeners(job)

    def _check_submission_answer(self, body: Any, status: int, began: float) -> ObservedJob | None:
        job_id = body.get("id") if isinstance(body, dict) else None
        job = self.jobs.get(job_id) if isinstance(job_id, str) else None
        if job is None:
            return None
        if status in (200, 201) and job.accepted_at is None:
            if any(body.get(field) is None for field in REQUIRED_FIELDS):
                self._record_broken("accepted_lacking", job_id)
            elif not self.can_run(body):
                self._record_broken("accepted_unfit", job_id)
            job.accepted_at, job.body = self._now(), body
        elif status in (400, 422) and job.accepted_at is not None and job.accepted_at <= began:
            self._record_broken("forgotten", job_id, "a repeat got", status)
        return job

    def _check_job_answer(self, path: str, status: int, began: float) -> ObservedJob | None:
        job_id = path.removeprefix(f"{JOBS_PATH}/").removesuffix(CANCEL_SUFFIX)
        job = self.jobs.get(job_id)
        if status == HTTPStatus.OK and job is None:
            self._record_broken("invented", job_id)
        if job is None:
            return None
        if (
            status == HTTPStatus.NOT_FOUND
            and job.accepted_at is not None
            and job.accepted_at <= began
        ):
            self._record_broken("forgotten", job_id, "got 404")
        if path.endswith(CANCEL_SUFFIX) and job.cancel_requested_at is None:
            job.cancel_requested_at = began
        return job

    def _notify_listeners(self, job: ObservedJob) -> None:
        if job.reported_state != (job.accepted_at is not None, job.has_ended):
            job.reported_state = (job.accepted_at is not None, job.has_ended)
            for listener in self.listeners:
                listener(job)

    def record_cancellation_request(self, path: str) -> None:
        """Record a cancellation request before it is sent.

        It may be carried out although its answer is lost.
        """
        job = self.jobs.get(path.removeprefix(f"{JOBS_PATH}/").removesuffix(CANCEL_SUFFIX))
        if job is not None and job.cancel_requested_at is None:
            job.cancel_requested_at = self._now()

    def _check_status(self, job: ObservedJob, status: Any, began: float, now: float) -> None:
        if job.accepted_at is None:
            # The answer to its submission was lost; this answer shows the user that it is accepted.
            job.accepted_at = now
        if status == "done":
            if job.cancelled_at is not None and job.cancelled_at <= began:
                self._record_broken("went_back", job.id, "aborted, then done")
            if not job.is_complete:
                self._record_broken("not_done", job.id, len(job.completed), "of", job.body["legs"])
            job.done_at = now if job.done_at is None else job.done_at
        elif status == "aborted":
            if job.cancel_requested_at is None:
                self._record_broken("went_back", job.id, "cancelled by nobody")
            if job.done_at is not None and job.done_at <= began:
                self._record_broken("went_back", job.id, "done, then aborted")
            job.cancelled_at = now if job.cancelled_at is None else job.cancelled_at
        elif (
            job.has_ended
            and min(at for at in (job.done_at, job.cancelled_at) if at is not None) <= began
        ):
            self._record_broken("went_back", job.id, status, "after its end")

    # Tasks on machines.

    def check_start_order(self, task: str, machine: str) -> None:
        """Check that a machine may carry out an order to start."""
        job = self.jobs.get(task.rpartition("/")[0])
        if (
            job is not None
            and job.cancelled_at is not None
            and self._now() - job.cancelled_at > MAX_IN_FLIGHT_S
        ):
            self._record_broken(
                "ran_cancelled",
                task,
                "ordered on",
                machine,
                f"{self._now() - job.cancelled_at:.1f} s after",
            )

    def check_start(self, task: str, place: Place) -> None:
        """Record that a task starts on a machine, and check that it may."""
        self.starts += 1
        places = self.placements.setdefault(task, {})
        if places.keys() - {place.machine}:
            self._record_broken("ran_twice", task, "on", place.machine, "and", sorted(places))
        places[place.machine] = place
        job = self.jobs.get(task.rpartition("/")[0])
        if job is None:
            return
        self._check_place(job, task, place)
        self._check_limit(job.body["crew"])
        if job.cancelled_at is not None and self._now() - job.cancelled_at > self._cancel_s:
            self._record_broken("ran_cancelled", task, "started")

    def record_removal(self, task: str, machine: str) -> None:
        """Record that a task is no longer on a machine."""
        places = self.placements.get(task, {})
        places.pop(machine, None)
        if not places:
            self.placements.pop(task, None)

    def record_completion(self, task: str) -> None:
        """Record that a task has completed."""
        job = self.jobs.get(task.rpartition("/")[0])
        if job is not None:
            job.completed.add(task)

    def _check_place(self, job: ObservedJob, task: str, place: Place) -> None:
        body, machine_type = job.body, self._machine_types[place.machine_type]
        allowed = requirements.allows(body, machine_type, place.zone)
        if not allowed or (place.spot and not body["loaners"]):
            self._record_broken("wrong_place", task, "on", place)
        other_zones = placements.zones_of(job, self.placements, task)
        if body["together"] and other_zones - {place.zone}:
            self._record_broken(
                "wrong_place", task, "in", place.zone, "others in", sorted(other_zones)
            )
        if body["apart"]:
            tasks_in_zone = placements.running_in(job, self.placements, place.zone)
            if tasks_in_zone > (body["legs"] + 1) // 2:
                self._record_broken("wrong_place", task, tasks_in_zone, "tasks in", place.zone)

    def _used(self, team: str) -> tuple[float, float]:
        cpus = gpus = 0.0
        for task, places in self.placements.items():
            job = self.jobs.get(task.rpartition("/")[0])
            if job is not None and job.body["crew"] == team:
                cpus += len(places) * job.body["vcpus"]
                gpus += len(places) * job.body["gpus"]
        return cpus, gpus

    def _check_limit(self, team: str) -> None:
        for used, limit in zip(self._used(team), self._teams.get(team, (0, 0)), strict=True):
            if used > limit + TOLERANCE:
                self._record_broken("quota", team, used, "of", limit)

    # Periodic checks.

    def mark_faults_ended(self) -> None:
        """Record that the last fault has ended."""
        self.faults_ended_at = self._now()
        for job in self.jobs.values():
            job.answered_at, job.waits_since = max(job.answered_at, self.faults_ended_at), None

    def mark_fault_began(self) -> None:
        """Record that a fault begins."""
        self.faults_ended_at = None

    def check(self, hung: set[str], machines: list[MachineWithCapacity]) -> None:
        """Check the tasks on machines now, and the jobs that wait although they fit free capacity.

        `hung`: machines that hang, so that their tasks do nothing. `machines`: running machines
        with their free capacity.
        """
        self._check_cancelled(hung)
        if self.faults_ended_at is not None:
            self._check_unserved(machines)

    def _check_cancelled(self, hung: set[str]) -> None:
        now = self._now()
        for job in self.jobs.values():
            if job.cancelled_at is None or now - job.cancelled_at <= self._cancel_s:
                continue
            for task in job.tasks():
                for machine in self.placements.get(task, {}):
                    if machine not in hung:
                        self._record_broken("ran_cancelled", task, "on", machine)

    def _check_unserved(self, machines: list[MachineWithCapacity]) -> None:
        """Find jobs whose queries stay unanswered, and those that wait although they fit."""
        now = self._now()
        for job in self.jobs.values():
            if job.accepted_at is None or job.has_ended:
                continue
            if now - job.answered_at > FORGOTTEN_S:
                self._record_broken("forgotten", job.id, "no answer")
            if not self._has_startable_task(job, machines):
                job.waits_since = None
            elif job.waits_since is None:
                job.waits_since = now
            elif now - job.waits_since > LEFT_WAITING_S:
                self._record_broken("left_waiting", job.id)

    def _has_startable_task(self, job: ObservedJob, machines: list[MachineWithCapacity]) -> bool:
        """Return whether a task of the job waits that could start now."""
        if job.cancel_requested_at is not None:
            return False
        waiting = [
            task
            for task in job.tasks()
            if task not in self.placements and task not in job.completed
        ]
        team = job.body["crew"]
        limit, used = self._teams[team], self._used(team)
        if not waiting or requirements.exceeds_limit(job.body, len(waiting), used, limit):
            return False
        zones = placements.zones_of(job, self.placements, waiting[0])
        return any(
            placements.has_capacity(
                job,
                self.placements,
                zones,
                MachineWithCapacity(place, free),
                self._machine_types[place.machine_type],
            )
            for place, free in machines
        )
