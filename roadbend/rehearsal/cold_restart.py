"""Cold restart: every controller ends at once, the workers run on, and the controllers return."""

import random
from collections.abc import Callable
from datetime import timedelta

from roadbend.rehearsal.actions import (
    Cancel,
    CloudOutage,
    CutMachines,
    CutWorkers,
    EndMachines,
    HangMachines,
    LoseNewestWrites,
    RebootMachines,
    RememberRecords,
    ReturnController,
    ReturnControllers,
    SlowState,
    StartWork,
    StateOutage,
    StopController,
    StopControllers,
    SubmitArrays,
    SubmitGangs,
    Wait,
)
from roadbend.rehearsal.scenario import Action, Limits, Scenario

NAME = "cold-restart"
SUMMARY = "All controllers end at once under running work, and return."
# How long no controller is up, in seconds: less than a worker's lease leaves for the return.
SHORTEST_AWAY = 2.0
LONGEST_AWAY = 8.0
# How long is watched after the return, in seconds.
WATCHED = 40.0


def _seconds(value: float) -> timedelta:
    return timedelta(seconds=round(value, 3))


class _Plan:
    """The actions of a seed.

    They come before the end of the controllers, while they are away, at their return, and after
    it. Each method adds one hard case.
    """

    def __init__(self, rng: random.Random, workers: int) -> None:
        self.rng = rng
        self.few = max(1, workers // 40)
        self.before: list[Action] = []
        # What happens while the controllers reach no worker any more, right before they end.
        self.cut_first: list[Action] = []
        self.away: list[Action] = []
        self.after: list[Action] = []
        self.pause = timedelta()
        self.first_alone = timedelta()
        self.previous_version_first = False

    def cancelled(self) -> None:
        """Cancel jobs and tell users; the controllers end before workers hear."""
        self.cut_first.append(Cancel(2))

    def starts_on_their_way(self) -> None:
        """Record starts; the controllers end before all orders are out."""
        self.before += [Cancel(1), Wait(_seconds(3.0))]
        self.cut_first += [SubmitArrays(4), Wait(_seconds(self.rng.uniform(0.8, 1.6)))]

    def gangs_gathering(self) -> None:
        """Record gangs; the controllers end before all of their tasks are ordered."""
        self.cut_first += [SubmitGangs(2), Wait(_seconds(self.rng.uniform(0.8, 1.6)))]

    def team_at_limit(self) -> None:
        """Give a team more to do than its quota allows."""
        self.before += [SubmitArrays(5, 4, limited=True), Wait(_seconds(8.0))]

    def boots_on_their_way(self) -> None:
        """End the controllers while machines that they created boot."""
        self.before += [
            SubmitArrays(4, wave=True),
            Wait(_seconds(self.rng.uniform(2.0, 5.0))),
        ]

    def one_alone(self) -> None:
        """Return one controller alone, which leads all partitions until the others follow."""
        self.first_alone = _seconds(self.rng.uniform(10.0, 16.0))

    def lost_writes(self) -> None:
        """Begin work, and let the state store lose the records of that."""
        self.before += [
            SubmitArrays(4, wave=True),
            Wait(_seconds(self.rng.uniform(0.0, 1.0))),
            RememberRecords(),
            Wait(_seconds(self.rng.uniform(9.0, 12.0))),
        ]
        self.away.append(LoseNewestWrites())

    def lost_term(self) -> None:
        """Restart a controller, and let the state store lose the records of that.

        Workers have then seen higher terms than it holds.
        """
        self.before += [
            RememberRecords(),
            StopController(0),
            Wait(_seconds(1.0)),
            ReturnController(0),
            Wait(_seconds(self.rng.uniform(8.0, 10.0))),
        ]
        self.away.append(LoseNewestWrites())

    def machines_end(self) -> None:
        """End machines while no controller is up."""
        self.away.append(EndMachines(self.few))

    def machines_begin_anew(self) -> None:
        """Restart machines while no controller is up."""
        self.away.append(RebootMachines(self.few))

    def machines_hang(self) -> None:
        """Hang machines over the return; they go on within their lease."""
        self.away.append(HangMachines(self.few, _seconds(self.rng.uniform(3, 9))))

    def machines_cut_off(self) -> None:
        """Cut machines off for a while after the return."""
        self.away.append(CutMachines(self.few, _seconds(self.rng.uniform(4, 12))))

    def ends_again(self) -> None:
        """End the controllers once more while they recover."""
        self.after += [
            Wait(_seconds(self.rng.uniform(0.2, 4.0))),
            StopControllers(),
            Wait(_seconds(self.rng.uniform(0.5, 2.0))),
            ReturnControllers(),
        ]

    def one_by_one(self) -> None:
        """Return the controllers one after the other."""
        self.pause = _seconds(self.rng.uniform(0.5, 3.0))

    def older_version_first(self) -> None:
        """Return a controller of the version in production first; replace it later."""
        self.previous_version_first = True
        self.after += [
            Wait(_seconds(self.rng.uniform(5.0, 9.0))),
            StopController(0),
            Wait(_seconds(1.0)),
            ReturnController(0),
        ]

    def state_down(self) -> None:
        """Take the state store down as the controllers return."""
        self.away.append(StateOutage(_seconds(self.rng.uniform(2.0, 6.0))))

    def state_slow(self) -> None:
        """Slow the state store down as the controllers return."""
        self.away.append(SlowState(_seconds(self.rng.uniform(0.05, 0.3))))

    def cloud_down(self) -> None:
        """Take the cloud's interface down as the controllers return."""
        self.away.append(CloudOutage(_seconds(self.rng.uniform(5.0, 15.0))))

    def new_work(self) -> None:
        """Submit new work as the controllers return."""
        self.after.append(SubmitArrays(3))


HARD_CASES: dict[str, Callable[[_Plan], None]] = {
    "cancelled": _Plan.cancelled,
    "starts-on-their-way": _Plan.starts_on_their_way,
    "gangs-gathering": _Plan.gangs_gathering,
    "team-at-limit": _Plan.team_at_limit,
    "boots-on-their-way": _Plan.boots_on_their_way,
    "one-alone": _Plan.one_alone,
    "lost-writes": _Plan.lost_writes,
    "lost-term": _Plan.lost_term,
    "machines-end": _Plan.machines_end,
    "machines-begin-anew": _Plan.machines_begin_anew,
    "machines-hang": _Plan.machines_hang,
    "machines-cut-off": _Plan.machines_cut_off,
    "ends-again": _Plan.ends_again,
    "one-by-one": _Plan.one_by_one,
    "older-version-first": _Plan.older_version_first,
    "state-down": _Plan.state_down,
    "state-slow": _Plan.state_slow,
    "cloud-down": _Plan.cloud_down,
    "new-work": _Plan.new_work,
}
# The state store can lose its newest writes once, and what it lost holds no cancellation: those
# nobody can know of any more.
EXCLUDED = (
    {"lost-writes", "lost-term"},
    {"lost-writes", "cancelled"},
    {"lost-term", "cancelled"},
    {"lost-term", "starts-on-their-way"},
    {"lost-writes", "starts-on-their-way"},
    {"lost-writes", "gangs-gathering"},
    {"lost-term", "gangs-gathering"},
    # The version in production knows no way out of lost writes.
    {"lost-writes", "older-version-first"},
    {"lost-term", "older-version-first"},
)
MOST_CASES = 4


def draw_cases(rng: random.Random) -> tuple[str, ...]:
    """Draw none to four hard cases that can meet."""
    drawn: list[str] = []
    for name in rng.sample(sorted(HARD_CASES), rng.randint(0, MOST_CASES)):
        if not any(name in pair and pair & set(drawn) for pair in EXCLUDED):
            drawn.append(name)
    return tuple(drawn)


def scenario(
    seed: int,
    workers: int = 200,
    recovery: bool = True,
    cases: tuple[str, ...] | None = None,
) -> Scenario:
    """Return the scenario of a seed.

    `cases` names hard cases to have in place of drawn ones.
    """
    rng = random.Random(f"{NAME} {seed}")
    drawn = draw_cases(rng) if cases is None else cases
    plan = _Plan(rng, workers)
    # What loses writes comes last before the end, so that nothing else is lost with them.
    for name in sorted(drawn, key=lambda name: name.startswith("lost")):
        HARD_CASES[name](plan)
    away = _seconds(rng.uniform(SHORTEST_AWAY, LONGEST_AWAY))
    actions = (
        StartWork(),
        Wait(_seconds(rng.uniform(3, 8))),
        *plan.before,
        *([CutWorkers(), *plan.cut_first] if plan.cut_first else ()),
        StopControllers(),
        Wait(away / 2),
        *plan.away,
        Wait(away / 2),
        ReturnControllers(plan.pause, plan.previous_version_first, plan.first_alone),
        *plan.after,
        Wait(_seconds(WATCHED)),
    )
    summary = f"{SUMMARY} Hard cases: {', '.join(drawn) or 'none'}."
    return Scenario(
        name=NAME,
        summary=summary,
        seed=seed,
        workers=workers,
        actions=actions,
        limits=Limits(),
        recovery=recovery,
    )
