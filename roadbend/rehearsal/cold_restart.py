"""Cold restart: all controllers crash at once, the workers keep running, the controllers return."""

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
# How long no controller runs, in seconds. Shorter than a worker's lease, so that the controllers
# return before the workers' leases expire.
MIN_DOWNTIME_S = 2.0
MAX_DOWNTIME_S = 8.0
# How long the deployment is observed after the restart, in seconds.
OBSERVATION_S = 40.0


def _seconds(value: float) -> timedelta:
    return timedelta(seconds=round(value, 3))


class _Plan:
    """The actions of one scenario: before, during and after the downtime of the controllers.

    Each method adds the actions of one hard case.
    """

    def __init__(self, rng: random.Random, workers: int) -> None:
        self.rng = rng
        self.machine_count = max(1, workers // 40)
        self.before: list[Action] = []
        # Actions right before the crash, while all workers are partitioned from the controllers.
        self.while_partitioned: list[Action] = []
        self.during_downtime: list[Action] = []
        self.after: list[Action] = []
        self.pause = timedelta()
        self.first_alone = timedelta()
        self.previous_version_first = False

    def cancelled(self) -> None:
        """Confirm cancellations; the controllers crash before the workers receive the stops."""
        self.while_partitioned.append(Cancel(2))

    def starts_on_their_way(self) -> None:
        """Record starts; the controllers crash before all orders are sent."""
        self.before += [Cancel(1), Wait(_seconds(3.0))]
        self.while_partitioned += [SubmitArrays(4), Wait(_seconds(self.rng.uniform(0.8, 1.6)))]

    def gangs_gathering(self) -> None:
        """Record gangs; the controllers crash before the starts of all tasks are sent."""
        self.while_partitioned += [SubmitGangs(2), Wait(_seconds(self.rng.uniform(0.8, 1.6)))]

    def team_at_limit(self) -> None:
        """Submit more tasks for a team than its quota permits."""
        self.before += [SubmitArrays(5, 4, limited=True), Wait(_seconds(8.0))]

    def boots_on_their_way(self) -> None:
        """Crash the controllers while machines that they created are booting."""
        self.before += [
            SubmitArrays(4, wave=True),
            Wait(_seconds(self.rng.uniform(2.0, 5.0))),
        ]

    def one_alone(self) -> None:
        """Start one controller first, which leads all partitions until the others start."""
        self.first_alone = _seconds(self.rng.uniform(10.0, 16.0))

    def lost_writes(self) -> None:
        """Start tasks, and let the state store lose their records."""
        self.before += [
            SubmitArrays(4, wave=True),
            Wait(_seconds(self.rng.uniform(0.0, 1.0))),
            RememberRecords(),
            Wait(_seconds(self.rng.uniform(9.0, 12.0))),
        ]
        self.during_downtime.append(LoseNewestWrites())

    def lost_term(self) -> None:
        """Restart a controller, and let the state store lose the records of its new terms.

        Workers have then seen higher terms than those in the state store.
        """
        self.before += [
            RememberRecords(),
            StopController(0),
            Wait(_seconds(1.0)),
            ReturnController(0),
            Wait(_seconds(self.rng.uniform(8.0, 10.0))),
        ]
        self.during_downtime.append(LoseNewestWrites())

    def machines_end(self) -> None:
        """End machines while no controller runs."""
        self.during_downtime.append(EndMachines(self.machine_count))

    def machines_begin_anew(self) -> None:
        """Restart machines while no controller runs."""
        self.during_downtime.append(RebootMachines(self.machine_count))

    def machines_hang(self) -> None:
        """Hang machines while the controllers return; they continue before their leases expire."""
        self.during_downtime.append(
            HangMachines(self.machine_count, _seconds(self.rng.uniform(3, 9)))
        )

    def machines_cut_off(self) -> None:
        """Partition machines from the controllers during and for a while after the restart."""
        self.during_downtime.append(
            CutMachines(self.machine_count, _seconds(self.rng.uniform(4, 12)))
        )

    def ends_again(self) -> None:
        """Crash the controllers again while they recover."""
        self.after += [
            Wait(_seconds(self.rng.uniform(0.2, 4.0))),
            StopControllers(),
            Wait(_seconds(self.rng.uniform(0.5, 2.0))),
            ReturnControllers(),
        ]

    def one_by_one(self) -> None:
        """Start the controllers one after the other, with a pause in between."""
        self.pause = _seconds(self.rng.uniform(0.5, 3.0))

    def older_version_first(self) -> None:
        """Start a controller of the version in production first; replace it later."""
        self.previous_version_first = True
        self.after += [
            Wait(_seconds(self.rng.uniform(5.0, 9.0))),
            StopController(0),
            Wait(_seconds(1.0)),
            ReturnController(0),
        ]

    def state_down(self) -> None:
        """Take the state store down while the controllers return."""
        self.during_downtime.append(StateOutage(_seconds(self.rng.uniform(2.0, 6.0))))

    def state_slow(self) -> None:
        """Slow the state store down from the downtime on."""
        self.during_downtime.append(SlowState(_seconds(self.rng.uniform(0.05, 0.3))))

    def cloud_down(self) -> None:
        """Take the cloud's API down while the controllers return."""
        self.during_downtime.append(CloudOutage(_seconds(self.rng.uniform(5.0, 15.0))))

    def new_work(self) -> None:
        """Submit new jobs after the controllers have returned."""
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
# Hard cases that are not combined. The state store loses writes only once, and never those of a
# cancellation: nothing else knows of it, so it could not be recovered.
EXCLUDED = (
    {"lost-writes", "lost-term"},
    {"lost-writes", "cancelled"},
    {"lost-term", "cancelled"},
    {"lost-term", "starts-on-their-way"},
    {"lost-writes", "starts-on-their-way"},
    {"lost-writes", "gangs-gathering"},
    {"lost-term", "gangs-gathering"},
    # The version in production can't recover from lost writes.
    {"lost-writes", "older-version-first"},
    {"lost-term", "older-version-first"},
)
MAX_CASES = 4


def draw_cases(rng: random.Random) -> tuple[str, ...]:
    """Draw zero to `MAX_CASES` hard cases that may be combined."""
    drawn: list[str] = []
    for name in rng.sample(sorted(HARD_CASES), rng.randint(0, MAX_CASES)):
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

    `cases` names the hard cases to use instead of drawn ones.
    """
    rng = random.Random(f"{NAME} {seed}")
    drawn = draw_cases(rng) if cases is None else cases
    plan = _Plan(rng, workers)
    # Lost writes come last before the crash, so that the writes of other hard cases are not lost.
    for name in sorted(drawn, key=lambda name: name.startswith("lost")):
        HARD_CASES[name](plan)
    downtime = _seconds(rng.uniform(MIN_DOWNTIME_S, MAX_DOWNTIME_S))
    actions = (
        StartWork(),
        Wait(_seconds(rng.uniform(3, 8))),
        *plan.before,
        *([CutWorkers(), *plan.while_partitioned] if plan.while_partitioned else ()),
        StopControllers(),
        Wait(downtime / 2),
        *plan.during_downtime,
        Wait(downtime / 2),
        ReturnControllers(plan.pause, plan.previous_version_first, plan.first_alone),
        *plan.after,
        Wait(_seconds(OBSERVATION_S)),
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
