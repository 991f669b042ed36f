"""The protocol's rules, judged from outside: by what users were told and what was on machines,
never by the product's own records. One judge watches a whole deployment and every scenario asks it
at the end."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

EPS = 1e-6
# An order that was on its way when its job's user was told is no start after a cancellation.
IN_FLIGHT_S = 0.1
# Once all troubles are over: a job of which no question is answered for so long is forgotten, and
# one may wait for so long beside room that fits it.
FORGOTTEN_S, LEFT_WAITING_S = 75.0, 90.0
FIELDS = (
    "id",
    "lane",
    "crew",
    "shape",
    "rank",
    "legs",
    "vcpus",
    "gpus",
    "memoryGb",
    "bundle",
    "imageGb",
    "together",
    "apart",
    "loaners",
    "expectedS",
    "milestoneS",
    "stowS",
)


@dataclass(frozen=True)
class Place:
    """A machine: what it is, and what it has."""

    machine: str
    machine_type: str
    zone: str
    spot: bool


@dataclass
class Case:
    """A job as its users and the machines show it."""

    body: dict
    accepted: float | None = None
    # When a withdrawal was first asked for, and when one was first confirmed.
    asked: float | None = None
    aborted: float | None = None
    done: float | None = None
    completed: set[str] = field(default_factory=set)
    # When a question was last answered, and since when it waits beside room.
    answered: float = 0.0
    waits_since: float | None = None
    # Accepted and over, as the watchers were last told.
    news: tuple[bool, bool] = (False, False)

    @property
    def name(self) -> str:
        return self.body["id"]

    @property
    def over(self) -> bool:
        return self.aborted is not None or self.done is not None

    @property
    def complete(self) -> bool:
        """All tasks have completed. Those of a gang complete together: one that is done says that
        all are, though a machine that hangs shows it later."""
        if self.body["shape"] == "group":
            return bool(self.completed)
        return len(self.completed) >= self.body["legs"]

    def tasks(self) -> list[str]:
        return [f"{self.name}/{n}" for n in range(self.body["legs"])]

    @property
    def resources(self) -> tuple[float, float, float]:
        return self.body["vcpus"], self.body["gpus"], self.body["memoryGb"]


class Rules:
    """`machine_types` and `teams` as the platform gives them; `now` is the world's clock."""

    def __init__(
        self,
        machine_types: list[dict],
        teams: Iterable[Any],
        cancel_s: float,
        now: Callable[[], float],
    ):
        self._machine_types = {row["name"]: row for row in machine_types}
        self._teams = {
            team.name: (team.cpus_max or EPS + 1e18, team.gpus_max or EPS + 1e18) for team in teams
        }
        self._cancel_s, self._now = cancel_s, now
        self.cases: dict[str, Case] = {}
        self.on: dict[str, dict[str, Place]] = {}
        self.broken: list[str] = []
        # What was reported already; what goes on breaking a rule is reported once.
        self._seen: set[tuple[str, str]] = set()
        self.quiet_since: float | None = None
        self.starts = 0
        # Called with every job whose user has just learned that it is accepted or over.
        self.watchers: list[Callable[[Case], None]] = []

    def _break(self, rule: str, *what: object) -> None:
        detail = " ".join(str(x) for x in what)
        if (rule, detail) not in self._seen:
            self._seen.add((rule, detail))
            self.broken.append(f"{rule} at {self._now():.1f}: {detail}")

    # What users send and are told.

    def submitted(self, body: Any) -> None:
        if (
            isinstance(body, dict)
            and isinstance(body.get("id"), str)
            and body["id"] not in self.cases
        ):
            self.cases[body["id"]] = Case(body)

    def can_run(self, body: dict) -> bool:
        """What 422 is for."""
        most = self._teams.get(body["crew"])
        if most is None:
            return False
        count = body["legs"] if body["shape"] != "batch" else 1
        if any(
            count * resources > limit + EPS
            for resources, limit in zip(self._need(body)[:2], most, strict=True)
        ):
            return False
        return any(
            self._allows(body, machine_type, zone)
            for machine_type in self._machine_types.values()
            for zone in machine_type["yards"]
        )

    @staticmethod
    def _need(body: dict) -> tuple[float, float, float]:
        return body["vcpus"], body["gpus"], body["memoryGb"]

    def _allows(self, body: dict, machine_type: dict, zone: str) -> bool:
        return (
            (body.get("rigs") is None or machine_type["name"] in body["rigs"])
            and body.get("yard") in (None, zone)
            and all(
                resources <= machine_type[name] + EPS
                for resources, name in zip(
                    self._need(body), ("vcpus", "gpus", "memoryGb"), strict=True
                )
            )
        )

    def answered(
        self, method: str, path: str, body: Any, status: int, answer: Any, began: float
    ) -> None:
        now = self._now()
        if method == "POST" and path == "/v1/jobs":
            name = body.get("id") if isinstance(body, dict) else None
            case = self.cases.get(name) if isinstance(name, str) else None
            if case is None:
                return
            if status in (200, 201) and case.accepted is None:
                if any(body.get(field) is None for field in FIELDS):
                    self._break("accepted_lacking", name)
                elif not self.can_run(body):
                    self._break("accepted_unfit", name)
                case.accepted, case.body = now, body
            elif status in (400, 422) and case.accepted is not None and case.accepted <= began:
                self._break("forgotten", name, "a repeat got", status)
        elif path.startswith("/v1/jobs/"):
            name = path.removeprefix("/v1/jobs/").removesuffix("/withdraw")
            case = self.cases.get(name)
            if status == 200 and case is None:
                self._break("invented", name)
            if (
                status == 404
                and case is not None
                and case.accepted is not None
                and case.accepted <= began
            ):
                self._break("forgotten", name, "got 404")
            if case is None:
                return
            if path.endswith("/withdraw") and case.asked is None:
                case.asked = began
        else:
            return
        if status in (200, 201) and isinstance(answer, dict) and case is not None:
            case.answered = now
            self._told(case, answer.get("status"), began, now)
            self._tell_watchers(case)

    def _tell_watchers(self, case: Case) -> None:
        if case.news != (case.accepted is not None, case.over):
            case.news = (case.accepted is not None, case.over)
            for watcher in self.watchers:
                watcher(case)

    def withdrawing(self, path: str) -> None:
        """Before a withdrawal goes out: it may be carried out though nobody hears an answer."""
        case = self.cases.get(path.removeprefix("/v1/jobs/").removesuffix("/withdraw"))
        if case is not None and case.asked is None:
            case.asked = self._now()

    def _told(self, case: Case, word: Any, began: float, now: float) -> None:
        if case.accepted is None:
            # The answer to its submission got lost; now its user knows.
            case.accepted = now
        if word == "done":
            if case.aborted is not None and case.aborted <= began:
                self._break("went_back", case.name, "aborted, then done")
            if not case.complete:
                self._break("not_done", case.name, len(case.completed), "of", case.body["legs"])
            case.done = now if case.done is None else case.done
        elif word == "aborted":
            if case.asked is None:
                self._break("went_back", case.name, "cancelled by nobody")
            if case.done is not None and case.done <= began:
                self._break("went_back", case.name, "done, then aborted")
            case.aborted = now if case.aborted is None else case.aborted
        elif case.over and min(x for x in (case.done, case.aborted) if x is not None) <= began:
            self._break("went_back", case.name, word, "after its end")

    # What machines do.

    def ordered(self, task: str, machine: str) -> None:
        """A machine carries out an order to start."""
        case = self.cases.get(task.rpartition("/")[0])
        if (
            case is not None
            and case.aborted is not None
            and self._now() - case.aborted > IN_FLIGHT_S
        ):
            self._break(
                "ran_cancelled",
                task,
                "ordered on",
                machine,
                f"{self._now() - case.aborted:.1f} s after",
            )

    def entered(self, task: str, place: Place) -> None:
        self.starts += 1
        homes = self.on.setdefault(task, {})
        if homes.keys() - {place.machine}:
            self._break("ran_twice", task, "on", place.machine, "and", sorted(homes))
        homes[place.machine] = place
        case = self.cases.get(task.rpartition("/")[0])
        if case is None:
            return
        self._check_place(case, task, place)
        self._check_limit(case.body["crew"])
        if case.aborted is not None and self._now() - case.aborted > self._cancel_s:
            self._break("ran_cancelled", task, "started")

    def left(self, task: str, machine: str) -> None:
        homes = self.on.get(task, {})
        homes.pop(machine, None)
        if not homes:
            self.on.pop(task, None)

    def completed(self, task: str) -> None:
        case = self.cases.get(task.rpartition("/")[0])
        if case is not None:
            case.completed.add(task)

    def _check_place(self, case: Case, task: str, place: Place) -> None:
        body, machine_type = case.body, self._machine_types[place.machine_type]
        if not self._allows(body, machine_type, place.zone) or place.spot and not body["loaners"]:
            self._break("wrong_place", task, "on", place)
        others = self._zones(case, task)
        if body["together"] and others - {place.zone}:
            self._break("wrong_place", task, "in", place.zone, "others in", sorted(others))
        if body["apart"]:
            here = sum(
                1
                for other in case.tasks()
                if any(p.zone == place.zone for p in self.on.get(other, {}).values())
            )
            if here > (body["legs"] + 1) // 2:
                self._break("wrong_place", task, here, "tasks in", place.zone)

    def _zones(self, case: Case, but: str) -> set[str]:
        return {
            p.zone for task in case.tasks() if task != but for p in self.on.get(task, {}).values()
        }

    def _used(self, team: str) -> tuple[float, float]:
        cpus = gpus = 0.0
        for task, homes in self.on.items():
            case = self.cases.get(task.rpartition("/")[0])
            if case is not None and case.body["crew"] == team:
                cpus += len(homes) * case.body["vcpus"]
                gpus += len(homes) * case.body["gpus"]
        return cpus, gpus

    def _check_limit(self, team: str) -> None:
        for used, most in zip(self._used(team), self._teams.get(team, (0, 0)), strict=True):
            if used > most + EPS:
                self._break("quota", team, used, "of", most)

    # What time shows.

    def troubles_over(self) -> None:
        """All troubles are over."""
        self.quiet_since = self._now()
        for case in self.cases.values():
            case.answered, case.waits_since = max(case.answered, self.quiet_since), None

    def trouble(self) -> None:
        self.quiet_since = None

    def look(self, hung: set[str], rooms: list[tuple[Place, tuple[float, float, float]]]) -> None:
        """`hung`: machines that stand still, whose tasks do nothing. `rooms`: machines that work,
        and what is free."""
        now = self._now()
        for case in self.cases.values():
            if case.aborted is not None and now - case.aborted > self._cancel_s:
                for task in case.tasks():
                    for machine in self.on.get(task, {}):
                        if machine not in hung:
                            self._break("ran_cancelled", task, "on", machine)
        if self.quiet_since is None:
            return
        for case in self.cases.values():
            if case.accepted is None or case.over:
                continue
            if now - case.answered > FORGOTTEN_S:
                self._break("forgotten", case.name, "no answer")
            if not self._waits(case, rooms):
                case.waits_since = None
            elif case.waits_since is None:
                case.waits_since = now
            elif now - case.waits_since > LEFT_WAITING_S:
                self._break("left_waiting", case.name)

    def _waits(self, case: Case, rooms: list[tuple[Place, tuple[float, float, float]]]) -> bool:
        """Whether a task of the job waits that could run now."""
        if case.asked is not None:
            return False
        waiting = [
            task for task in case.tasks() if task not in self.on and task not in case.completed
        ]
        if not waiting:
            return False
        body, most, used = case.body, self._teams[case.body["crew"]], self._used(case.body["crew"])
        count = len(waiting) if body["shape"] == "group" else 1
        if any(
            u + count * n > m + EPS for u, n, m in zip(used, case.resources[:2], most, strict=True)
        ):
            return False
        zones = self._zones(case, waiting[0])
        for place, free in rooms:
            if (
                not self._allows(body, self._machine_types[place.machine_type], place.zone)
                or place.spot
                and not body["loaners"]
            ):
                continue
            if (
                body["together"]
                and zones - {place.zone}
                or any(f < n - EPS for f, n in zip(free, case.resources, strict=True))
            ):
                continue
            if body["apart"]:
                here = sum(
                    1
                    for t in case.tasks()
                    if any(p.zone == place.zone for p in self.on.get(t, {}).values())
                )
                if here >= (body["legs"] + 1) // 2:
                    continue
            return True
        return False
