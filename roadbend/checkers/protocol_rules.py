"""Judges a whole deployment by the protocol's rules.

The judge sees what users were told and what was on machines, never the controllers' own records.
One judge watches a deployment, and every scenario asks it at the end.
"""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from roadbend.checkers import placements, requirements
from roadbend.checkers.observed_jobs import REQUIRED_FIELDS, MachineWithCapacity, ObservedJob, Place
from roadbend.checkers.requirements import EPS
from roadbend.settings import Team

# What a team without a limit may use.
UNLIMITED = 1e18
# Paths of the users' interface.
JOBS_PATH, WITHDRAW = "/v1/jobs", "/withdraw"
# An order that was on its way when its job's user was told is no start after a cancellation; in
# seconds.
IN_FLIGHT_S = 0.1
# In seconds, once all failures are over: a job of which no question is answered for so long is
# forgotten, and one may wait for so long beside free capacity that fits it.
FORGOTTEN_S, LEFT_WAITING_S = 75.0, 90.0


class Rules:
    """Watches one deployment, and notes in `broken` each rule that it breaks.

    `machine_types` and `teams` are as the platform gives them; `cancel_s` is how long a cancelled
    job may still be on machines; `now` is the deployment's clock. All times are in seconds.
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
        self.on: dict[str, dict[str, Place]] = {}
        self.broken: list[str] = []
        # What was reported already; what goes on breaking a rule is reported once.
        self._seen: set[tuple[str, str]] = set()
        self.quiet_since: float | None = None
        self.starts = 0
        # Called with every job whose user has just learned that it is accepted or over.
        self.watchers: list[Callable[[ObservedJob], None]] = []

    def _break(self, rule: str, *what: object) -> None:
        detail = " ".join(str(x) for x in what)
        if (rule, detail) not in self._seen:
            self._seen.add((rule, detail))
            self.broken.append(f"{rule} at {self._now():.1f}: {detail}")

    # What users send and are told.

    def can_run(self, body: dict[str, Any]) -> bool:
        """Whether a job could ever run; one that could not is answered with 422."""
        most = self._teams.get(body["crew"])
        return most is not None and requirements.can_run(body, most, self._machine_types.values())

    def record_submission(self, body: Any) -> None:
        """Note a submission before it goes out."""
        if (
            isinstance(body, dict)
            and isinstance(body.get("id"), str)
            and body["id"] not in self.jobs
        ):
            self.jobs[body["id"]] = ObservedJob(body)

    def check_answer(
        self, method: str, path: str, body: Any, status: int, answer: Any, began: float
    ) -> None:
        """Judge the answer to a request of a user that began at `began`, in seconds."""
        if method == "POST" and path == JOBS_PATH:
            case = self._submission_answered(body, status, began)
        elif path.startswith(f"{JOBS_PATH}/"):
            case = self._job_answered(path, status, began)
        else:
            return
        if status in (200, 201) and isinstance(answer, dict) and case is not None:
            now = self._now()
            case.answered_at = now
            self._told(case, answer.get("status"), began, now)
            self._tell_watchers(case)

    def _submission_answered(self, body: Any, status: int, began: float) -> ObservedJob | None:
        name = body.get("id") if isinstance(body, dict) else None
        case = self.jobs.get(name) if isinstance(name, str) else None
        if case is None:
            return None
        if status in (200, 201) and case.accepted_at is None:
            if any(body.get(field) is None for field in REQUIRED_FIELDS):
                self._break("accepted_lacking", name)
            elif not self.can_run(body):
                self._break("accepted_unfit", name)
            case.accepted_at, case.body = self._now(), body
        elif status in (400, 422) and case.accepted_at is not None and case.accepted_at <= began:
            self._break("forgotten", name, "a repeat got", status)
        return case

    def _job_answered(self, path: str, status: int, began: float) -> ObservedJob | None:
        name = path.removeprefix(f"{JOBS_PATH}/").removesuffix(WITHDRAW)
        case = self.jobs.get(name)
        if status == HTTPStatus.OK and case is None:
            self._break("invented", name)
        if case is None:
            return None
        if (
            status == HTTPStatus.NOT_FOUND
            and case.accepted_at is not None
            and case.accepted_at <= began
        ):
            self._break("forgotten", name, "got 404")
        if path.endswith(WITHDRAW) and case.cancel_requested_at is None:
            case.cancel_requested_at = began
        return case

    def _tell_watchers(self, case: ObservedJob) -> None:
        if case.reported_state != (case.accepted_at is not None, case.has_ended):
            case.reported_state = (case.accepted_at is not None, case.has_ended)
            for watcher in self.watchers:
                watcher(case)

    def record_cancellation_request(self, path: str) -> None:
        """Note a withdrawal before it goes out.

        It may be carried out though nobody hears an answer.
        """
        case = self.jobs.get(path.removeprefix(f"{JOBS_PATH}/").removesuffix(WITHDRAW))
        if case is not None and case.cancel_requested_at is None:
            case.cancel_requested_at = self._now()

    def _told(self, case: ObservedJob, word: Any, began: float, now: float) -> None:
        if case.accepted_at is None:
            # The answer to its submission got lost; now its user knows.
            case.accepted_at = now
        if word == "done":
            if case.cancelled_at is not None and case.cancelled_at <= began:
                self._break("went_back", case.name, "aborted, then done")
            if not case.is_complete:
                self._break("not_done", case.name, len(case.completed), "of", case.body["legs"])
            case.done_at = now if case.done_at is None else case.done_at
        elif word == "aborted":
            if case.cancel_requested_at is None:
                self._break("went_back", case.name, "cancelled by nobody")
            if case.done_at is not None and case.done_at <= began:
                self._break("went_back", case.name, "done, then aborted")
            case.cancelled_at = now if case.cancelled_at is None else case.cancelled_at
        elif (
            case.has_ended
            and min(x for x in (case.done_at, case.cancelled_at) if x is not None) <= began
        ):
            self._break("went_back", case.name, word, "after its end")

    # What machines do.

    def check_start_order(self, task: str, machine: str) -> None:
        """Judge that a machine carries out an order to start."""
        case = self.jobs.get(task.rpartition("/")[0])
        if (
            case is not None
            and case.cancelled_at is not None
            and self._now() - case.cancelled_at > IN_FLIGHT_S
        ):
            self._break(
                "ran_cancelled",
                task,
                "ordered on",
                machine,
                f"{self._now() - case.cancelled_at:.1f} s after",
            )

    def check_start(self, task: str, place: Place) -> None:
        """Judge that a task begins on a machine."""
        self.starts += 1
        homes = self.on.setdefault(task, {})
        if homes.keys() - {place.machine}:
            self._break("ran_twice", task, "on", place.machine, "and", sorted(homes))
        homes[place.machine] = place
        case = self.jobs.get(task.rpartition("/")[0])
        if case is None:
            return
        self._check_place(case, task, place)
        self._check_limit(case.body["crew"])
        if case.cancelled_at is not None and self._now() - case.cancelled_at > self._cancel_s:
            self._break("ran_cancelled", task, "started")

    def record_removal(self, task: str, machine: str) -> None:
        """Note that a task is on a machine no more."""
        homes = self.on.get(task, {})
        homes.pop(machine, None)
        if not homes:
            self.on.pop(task, None)

    def record_completion(self, task: str) -> None:
        """Note that a task has completed."""
        case = self.jobs.get(task.rpartition("/")[0])
        if case is not None:
            case.completed.add(task)

    def _check_place(self, case: ObservedJob, task: str, place: Place) -> None:
        body, machine_type = case.body, self._machine_types[place.machine_type]
        allowed = requirements.allows(body, machine_type, place.zone)
        if not allowed or (place.spot and not body["loaners"]):
            self._break("wrong_place", task, "on", place)
        others = placements.zones_of(case, self.on, task)
        if body["together"] and others - {place.zone}:
            self._break("wrong_place", task, "in", place.zone, "others in", sorted(others))
        if body["apart"]:
            here = placements.running_in(case, self.on, place.zone)
            if here > (body["legs"] + 1) // 2:
                self._break("wrong_place", task, here, "tasks in", place.zone)

    def _used(self, team: str) -> tuple[float, float]:
        cpus = gpus = 0.0
        for task, homes in self.on.items():
            case = self.jobs.get(task.rpartition("/")[0])
            if case is not None and case.body["crew"] == team:
                cpus += len(homes) * case.body["vcpus"]
                gpus += len(homes) * case.body["gpus"]
        return cpus, gpus

    def _check_limit(self, team: str) -> None:
        for used, most in zip(self._used(team), self._teams.get(team, (0, 0)), strict=True):
            if used > most + EPS:
                self._break("quota", team, used, "of", most)

    # What time shows.

    def mark_faults_ended(self) -> None:
        """Note that all failures are over."""
        self.quiet_since = self._now()
        for case in self.jobs.values():
            case.answered_at, case.waits_since = max(case.answered_at, self.quiet_since), None

    def mark_fault_began(self) -> None:
        """Note that a failure begins."""
        self.quiet_since = None

    def check(self, hung: set[str], machines: list[MachineWithCapacity]) -> None:
        """Judge what is on machines now, and which jobs wait beside free capacity.

        `hung`: machines that stand still, whose tasks do nothing. `machines`: those that work, and
        what is free on each.
        """
        self._look_for_cancelled(hung)
        if self.quiet_since is not None:
            self._look_for_neglected(machines)

    def _look_for_cancelled(self, hung: set[str]) -> None:
        now = self._now()
        for case in self.jobs.values():
            if case.cancelled_at is None or now - case.cancelled_at <= self._cancel_s:
                continue
            for task in case.tasks():
                for machine in self.on.get(task, {}):
                    if machine not in hung:
                        self._break("ran_cancelled", task, "on", machine)

    def _look_for_neglected(self, machines: list[MachineWithCapacity]) -> None:
        """Find jobs of which no question is answered, and those that wait beside free capacity."""
        now = self._now()
        for case in self.jobs.values():
            if case.accepted_at is None or case.has_ended:
                continue
            if now - case.answered_at > FORGOTTEN_S:
                self._break("forgotten", case.name, "no answer")
            if not self._waits(case, machines):
                case.waits_since = None
            elif case.waits_since is None:
                case.waits_since = now
            elif now - case.waits_since > LEFT_WAITING_S:
                self._break("left_waiting", case.name)

    def _waits(self, case: ObservedJob, machines: list[MachineWithCapacity]) -> bool:
        """Whether a task of the job waits that could run now."""
        if case.cancel_requested_at is not None:
            return False
        waiting = [
            task for task in case.tasks() if task not in self.on and task not in case.completed
        ]
        team = case.body["crew"]
        limit, used = self._teams[team], self._used(team)
        if not waiting or requirements.exceeds_limit(case.body, len(waiting), used, limit):
            return False
        zones = placements.zones_of(case, self.on, waiting[0])
        return any(
            placements.has_capacity(
                case,
                self.on,
                zones,
                MachineWithCapacity(place, free),
                self._machine_types[place.machine_type],
            )
            for place, free in machines
        )
