"""What can happen in a scenario."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from roadbend.fakes.submission import gang, job
from roadbend.rehearsal.measurement import Restart
from roadbend.rehearsal.stage import Stage

SERVICE = dict(shape="daemon", dueS=None, loaners=False, rank="production")
# Places for tasks on one machine of the fake cloud, by its GPUs.
PLACES = 2
# How many tasks a service, an array and a gang have together, as shares of all places.
SERVICE_SHARE, ARRAY_SHARE, GANG_SHARE = 0.5, 0.35, 0.15
JOBS_OF_A_KIND, GANG_WIDTH = 6, 4
# One array for so many workers makes a wave that finds no room.
WAVE_SHARE = 12
# Its deadline in seconds: so short that machines are rented at once.
WAVE_DUE = 40.0
LIMITED_TEAM = "blue"
# How long tasks of arrays run; the first ones end while no controller is up.
SHORTEST, LONGEST = 45.0, 110.0


@dataclass(frozen=True)
class Wait:
    """Nothing but time passes."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        await trio.sleep(self.length.total_seconds())


@dataclass(frozen=True)
class StartWork:
    """Services, arrays and gangs fill most of the machines; returns once they run."""

    within: timedelta = timedelta(seconds=120)

    async def play(self, stage: Stage) -> None:
        places = stage.workers * PLACES
        for _ in range(JOBS_OF_A_KIND):
            legs = max(1, round(places * SERVICE_SHARE / JOBS_OF_A_KIND))
            body = job(stage.next_number(), legs=legs, **SERVICE)
            assert await stage.submit(body, None), body["id"]
            stage.services.append(body["id"])
            legs = max(1, round(places * ARRAY_SHARE / JOBS_OF_A_KIND))
            body = job(stage.next_number(), legs=legs, dueS=None, expectedS=60.0, loaners=False)
            assert await stage.submit(body, stage.rng.uniform(SHORTEST, LONGEST)), body["id"]
            stage.arrays.append(body["id"])
        for _ in range(max(1, round(places * GANG_SHARE / GANG_WIDTH))):
            body = gang(stage.next_number(), GANG_WIDTH, vcpus=8.0, gpus=1.0)
            assert await stage.submit(body, stage.rng.uniform(SHORTEST, LONGEST)), body["id"]
            stage.gangs.append(body["id"])
        assert await stage.world.until(lambda: _all_begun(stage), self.within.total_seconds(), 1.0)
        stage.note(f"{len(stage.world.workers())} machines work")


def _all_begun(stage: Stage) -> bool:
    begun: dict[str, set[str]] = {}
    for _, task, _ in stage.world.board.starts:
        begun.setdefault(task.rpartition("/")[0], set()).add(task)
    names = (*stage.services, *stage.arrays, *stage.gangs)
    return all(len(begun.get(n, ())) == stage.world.rules.cases[n].body["legs"] for n in names)


@dataclass(frozen=True)
class SubmitArrays:
    """More arrays come, a few tasks each; returns as soon as they are accepted. `wave`: so many
    that machines must be rented for them."""

    count: int
    tasks: int = 3
    wave: bool = False
    # Of the team that has a limit, and more than that allows.
    limited: bool = False

    async def play(self, stage: Stage) -> None:
        count = max(self.count, stage.workers // WAVE_SHARE) if self.wave else self.count
        for _ in range(count):
            due = WAVE_DUE if self.wave else None
            crew = LIMITED_TEAM if self.limited else "red"
            body = job(stage.next_number(), legs=self.tasks, dueS=due, loaners=False, crew=crew)
            if await stage.submit(body, stage.rng.uniform(30, 60)):
                stage.arrays.append(body["id"])
        stage.note(f"{count} more arrays accepted")


@dataclass(frozen=True)
class SubmitGangs:
    """More gangs come, which fit beside what runs; returns as soon as they are accepted."""

    count: int

    async def play(self, stage: Stage) -> None:
        for _ in range(self.count):
            body = gang(stage.next_number(), GANG_WIDTH)
            if await stage.submit(body, stage.rng.uniform(30, 60)):
                stage.gangs.append(body["id"])
        stage.note(f"{self.count} more gangs accepted")


@dataclass(frozen=True)
class Cancel:
    """Users cancel services and arrays that run, and are told so."""

    count: int

    async def play(self, stage: Stage) -> None:
        names = stage.services[1:] + stage.arrays
        drawn = stage.rng.sample(names, min(self.count, len(names)))
        for name in drawn:
            await stage.world.withdrawn(name, 60)
        for rows in (stage.services, stage.arrays):
            rows[:] = [name for name in rows if name not in drawn]
        stage.note(f"cancelled: {', '.join(drawn)}")


@dataclass(frozen=True)
class CutWorkers:
    """Controllers and workers can't reach each other until the controllers have ended: what is
    decided now is recorded, and no worker hears of it."""

    async def play(self, stage: Stage) -> None:
        for worker in stage.world.workers():
            for at in range(stage.world.count):
                stage.world.network.cut(worker.machine, f"node-{at}")
        stage.note("workers cut off from the controllers")


@dataclass(frozen=True)
class StopControllers:
    """All controllers end at once, without a word."""

    async def play(self, stage: Stage) -> None:
        for at in range(stage.world.count):
            stage.world.crash(at)
        for worker in stage.world.workers():
            for at in range(stage.world.count):
                stage.world.network.heal(worker.machine, f"node-{at}")
        stage.note("all controllers ended")


@dataclass(frozen=True)
class StopController:
    """One controller ends."""

    at: int

    async def play(self, stage: Stage) -> None:
        stage.world.crash(self.at)
        stage.note(f"controller {self.at} ended")


@dataclass(frozen=True)
class ReturnControllers:
    """All controllers start, one after the other, with a pause in between. The first one starts
    the measurement, unless one is under way."""

    pause: timedelta = timedelta()
    previous_version_first: bool = False
    # How long the first one is alone.
    first_alone: timedelta = timedelta()

    async def play(self, stage: Stage) -> None:
        if stage.restart is None:
            stage.restart = Restart(stage.world, stage.faulted)
            stage.world.nursery.start_soon(stage.restart.watch)
            stage.note(f"differences at the return: {_listed(stage.restart.before.counts())}")
        for at in range(stage.world.count):
            if f"node-{at}" not in stage.world.controllers:
                stage.world.start(at, self.previous_version_first and at == 0)
                stage.note(f"controller {at} started")
                pause = self.pause if len(stage.world.controllers) > 1 else self.first_alone
                await trio.sleep(max(pause, self.pause).total_seconds())


@dataclass(frozen=True)
class ReturnController:
    """One controller starts."""

    at: int

    async def play(self, stage: Stage) -> None:
        stage.world.start(self.at)
        stage.note(f"controller {self.at} started")


@dataclass(frozen=True)
class RememberRecords:
    """The state service's records are copied as they are, for `LoseNewestWrites`."""

    async def play(self, stage: Stage) -> None:
        stage.stored = stage.world.state.copy_records()
        stage.note("records copied")


@dataclass(frozen=True)
class LoseNewestWrites:
    """The state service goes on from the copy: what was written since is lost."""

    async def play(self, stage: Stage) -> None:
        assert stage.stored is not None, "no copy was made"
        lost = stage.world.state.revision - stage.stored.revision
        stage.world.state.restore_records(stage.stored)
        stage.note(f"the state service lost its newest {lost} changes")


@dataclass(frozen=True)
class EndMachines:
    """Machines end with all that is on them; the cloud lists them as failed."""

    count: int

    async def play(self, stage: Stage) -> None:
        drawn = stage.draw_machines(self.count)
        for name in drawn:
            stage.world.cloud.kill(name)
        stage.note(f"machines ended: {', '.join(drawn)}")


@dataclass(frozen=True)
class RebootMachines:
    """Machines begin anew at once, and hold nothing."""

    count: int

    async def play(self, stage: Stage) -> None:
        drawn = stage.draw_machines(self.count)
        for name in drawn:
            stage.world.cloud.reboot(name)
        stage.note(f"machines began anew: {', '.join(drawn)}")


@dataclass(frozen=True)
class HangMachines:
    """Machines stand still for a while, and then go on where they stood."""

    count: int
    length: timedelta

    async def play(self, stage: Stage) -> None:
        drawn = stage.draw_machines(self.count)
        stage.world.nursery.start_soon(stage.world.hang, drawn, self.length.total_seconds())
        stage.note(f"machines hang for {self.length.total_seconds():g} s: {', '.join(drawn)}")


@dataclass(frozen=True)
class CutMachines:
    """Machines reach no controller and none reaches them, for a while."""

    count: int
    length: timedelta

    async def play(self, stage: Stage) -> None:
        drawn = stage.draw_machines(self.count)
        controllers = [f"node-{at}" for at in range(stage.world.count)]
        pairs = [(machine, controller) for machine in drawn for controller in controllers]
        length = self.length.total_seconds()
        stage.world.nursery.start_soon(stage.world.cut_pairs, pairs, length)
        stage.note(f"machines cut off for {length:g} s: {', '.join(drawn)}")


@dataclass(frozen=True)
class StateOutage:
    """The state service answers nobody for a while; goes on meanwhile."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        stage.world.nursery.start_soon(stage.world.outage, self.length.total_seconds())
        stage.note(f"state service down for {self.length.total_seconds():g} s")


@dataclass(frozen=True)
class SlowState:
    """Every answer of the state service takes that much longer, from now on."""

    delay: timedelta

    async def play(self, stage: Stage) -> None:
        stage.world.state.slow = self.delay.total_seconds()
        stage.note(f"state service slower by {self.delay.total_seconds():g} s")


@dataclass(frozen=True)
class CloudOutage:
    """The cloud's interface is down for a while; goes on meanwhile."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        stage.world.cloud.down = True
        stage.note(f"cloud down for {self.length.total_seconds():g} s")
        stage.world.nursery.start_soon(self._end, stage)

    async def _end(self, stage: Stage) -> None:
        await trio.sleep(self.length.total_seconds())
        stage.world.cloud.down = False


def _listed(counts: dict[str, int]) -> str:
    found = [f"{count} {name}" for name, count in counts.items() if count]
    return ", ".join(found) or "none"
