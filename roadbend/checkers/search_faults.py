"""The faults that the search for broken rules draws, and what each does to a deployment."""

import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from roadbend.checkers.protocol_rules import JOBS_PATH, WITHDRAW
from roadbend.fakes.world import World

# The share of the jobs that are cancelled as they start, and how long their users ask, in seconds.
CANCELLED_STARTS, PATIENCE_S = 0.5, 60.0
# How long a controller is away at the most before it returns in an older version, in seconds.
OLDER_VERSION_AWAY_S = 12.0


class Deployment:
    """What a run's faults act on.

    Each fault lasts about `length` seconds and draws what it needs from `rng`.
    """

    def __init__(self, w: World) -> None:
        self.world = w

    def node(self, rng: random.Random) -> int:
        """Draw the number of a controller."""
        return rng.randrange(self.world.count)

    def some_machines(self, rng: random.Random) -> list[str]:
        """Draw one machine, some, or all of a zone."""
        zone = rng.choice(self.world.zones)
        rows = sorted(m.id for m in self.world.cloud.machines.values() if m.zone == zone)
        rows = [row for row in rows if self.world.cloud.machines[row].status == "running"]
        if not rows:
            return []
        return rng.sample(rows, rng.choice((1, (len(rows) + 1) // 2, len(rows))))

    # Faults of controllers.

    async def crash(self, length: float, rng: random.Random) -> None:
        """End a controller, and start it again."""
        at = self.node(rng)
        if f"node-{at}" not in self.world.controllers:
            return
        self.world.crash(at)
        await trio.sleep(length)
        self.world.start(at)

    async def crash_all(self, length: float, rng: random.Random) -> None:
        """End all controllers at once, and start them one after the other."""
        down = [at for at in range(self.world.count) if f"node-{at}" in self.world.controllers]
        for at in down:
            self.world.crash(at)
        await trio.sleep(length)
        for at in down:
            self.world.start(at)
            await trio.sleep(rng.uniform(0.0, 2.0))

    async def older_version(self, length: float, rng: random.Random) -> None:
        """End a controller, start it in the version in production, and replace that one later."""
        at = self.node(rng)
        if f"node-{at}" not in self.world.controllers:
            return
        self.world.crash(at)
        await trio.sleep(rng.uniform(0.1, OLDER_VERSION_AWAY_S))
        self.world.start(at, True)
        await trio.sleep(length)
        if f"node-{at}" in self.world.controllers:
            self.world.crash(at)
        self.world.start(at)

    async def stall(self, length: float, rng: random.Random) -> None:
        """Let a controller stand still."""
        await self.world.stalls.stall(f"node-{self.node(rng)}", length)

    async def slow(self, length: float, rng: random.Random) -> None:
        """Let a controller stand still again and again."""
        host, end = f"node-{self.node(rng)}", trio.current_time() + length
        while trio.current_time() < end:
            await self.world.stalls.stall(host, rng.uniform(0.1, 1.5))
            await trio.sleep(rng.uniform(0.01, 0.3))

    async def hand_over(self, _length: float, rng: random.Random) -> None:
        """Let a controller give up the partitions that it leads."""
        node = self.world.controllers.get(f"node-{self.node(rng)}")
        if node is None:
            return
        for partition in list(node.leaders):
            try:
                await node.election.fail_over(partition)
            except Exception:  # Whatever keeps it from handing over, the run goes on.
                logging.getLogger("search").info("no hand-over", exc_info=True)

    async def isolate_controller(self, length: float, rng: random.Random) -> None:
        """Cut a controller off from all but its machines."""
        await self.world.isolate_controller(self.node(rng), length)

    async def isolate_zone(self, length: float, rng: random.Random) -> None:
        """Cut a zone off, its controller included."""
        await self.world.isolate_zone(self.node(rng), length)

    # Faults of the state service and the cloud.

    async def outage(self, length: float, _rng: random.Random) -> None:
        """Let the state store answer nobody."""
        await self.world.outage(length)

    async def refuse(self, length: float, rng: random.Random) -> None:
        """Let the state store refuse one controller."""
        await self.world.refuse(self.node(rng), length)

    async def slow_state(self, length: float, rng: random.Random) -> None:
        """Let the state store answer late."""
        self.world.state.slow = rng.uniform(0.05, 1.2)
        await trio.sleep(length)
        self.world.state.slow = 0.0

    async def late_writes(self, length: float, rng: random.Random) -> None:
        """Let some transactions be carried out late and never be answered."""
        self.world.state.late_writes(rng.uniform(0.1, 0.5), rng)
        await trio.sleep(length)
        self.world.state.late_writes(0.0, None)

    async def lost_answers(self, length: float, rng: random.Random) -> None:
        """Let some transactions be carried out at once and never be answered."""
        self.world.state.lose_answers(rng.uniform(0.1, 0.5), rng)
        await trio.sleep(length)
        self.world.state.lose_answers(0.0, None)

    async def no_cloud(self, length: float, _rng: random.Random) -> None:
        """Let the cloud answer nobody."""
        self.world.cloud.down = True
        await trio.sleep(length)
        self.world.cloud.down = False

    # Faults of machines and of the network.

    async def cut_machines(self, length: float, rng: random.Random) -> None:
        """Cut some machines off from all controllers."""
        machines = self.some_machines(rng)
        controllers = [f"node-{n}" for n in range(self.world.count)]
        await self.world.block_pairs([(m, node) for m in machines for node in controllers], length)

    async def flap(self, length: float, rng: random.Random) -> None:
        """Cut machines off for about as long as a lease; they are back for moments only."""
        machines, end = self.some_machines(rng), trio.current_time() + length
        controllers = [f"node-{n}" for n in range(self.world.count)]
        pairs = [(machine, node) for machine in machines for node in controllers]
        while trio.current_time() < end:
            await self.world.block_pairs(pairs, rng.uniform(14.0, 24.0))
            await trio.sleep(rng.uniform(0.2, 4.0))

    async def lease_edge(self, length: float, rng: random.Random) -> None:
        """Cut machines off until their leases end.

        They are back for a moment while the records can't be reached, or have just come back; none
        can be deleted meanwhile.
        """
        machines = self.some_machines(rng)
        pairs = [(m, f"node-{n}") for m in machines for n in range(self.world.count)]
        self.world.cloud.refuse_deletion = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.world.block_pairs, pairs, rng.uniform(19.0, 26.0))
            await trio.sleep(rng.uniform(14.0, 20.0))
            nursery.start_soon(self.world.outage, rng.uniform(1.0, length))
        await trio.sleep(rng.uniform(0.1, 2.0))
        await self.world.block_pairs(pairs, rng.uniform(2.0, 17.0))
        self.world.cloud.refuse_deletion = False

    async def held_burst(self, length: float, rng: random.Random) -> None:
        """Hold heartbeats back until they come all at once.

        Meanwhile transactions are carried out and their answers lost; then the machines are out of
        reach.
        """
        machines, at = self.some_machines(rng), self.node(rng)
        self.world.cloud.refuse_deletion = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.world.hold, [(m, f"node-{at}") for m in machines], length)
            await trio.sleep(length * 0.9)
            nursery.start_soon(self.lost_answers, 4.0, rng)
        pairs = [(m, f"node-{n}") for m in machines for n in range(self.world.count)]
        await self.world.block_pairs(pairs, rng.uniform(2.0, 17.0))
        self.world.cloud.refuse_deletion = False

    async def hold_packets(self, length: float, rng: random.Random) -> None:
        """Hold back packets between some machines and a controller, one way or both."""
        node = f"node-{self.node(rng)}"
        out = [(machine, node) for machine in self.some_machines(rng)]
        back = [(node, machine) for machine, _ in out]
        await self.world.hold(rng.choice((out, back, out + back)), length)

    async def hold_state(self, length: float, rng: random.Random) -> None:
        """Hold back packets between a controller and the state store, one way."""
        node = f"node-{self.node(rng)}"
        way = rng.choice(((node, "state"), ("state", node)))
        await self.world.hold([way], length)

    async def reset(self, length: float, rng: random.Random) -> None:
        """Break the connections of some machines, again and again."""
        machines, end = self.some_machines(rng), trio.current_time() + length
        while trio.current_time() < end:
            for machine in machines:
                for at in range(self.world.count):
                    self.world.network.reset(machine, f"node-{at}")
            await trio.sleep(rng.uniform(0.05, 2.0))

    async def hang(self, length: float, rng: random.Random) -> None:
        """Let some machines stand still."""
        await self.world.hang(self.some_machines(rng), length)

    async def block_inbound(self, length: float, rng: random.Random) -> None:
        """Let nobody open connections to some machines."""
        await self.world.block_inbound(self.some_machines(rng), length)

    async def block_outbound(self, length: float, rng: random.Random) -> None:
        """Let some machines open no connections."""
        await self.world.block_outbound(self.some_machines(rng), length)

    async def reboot(self, _length: float, rng: random.Random) -> None:
        """Restart some machines."""
        for machine in self.some_machines(rng):
            self.world.cloud.reboot(machine)

    async def die(self, _length: float, rng: random.Random) -> None:
        """End some machines with all that is on them."""
        for machine in self.some_machines(rng):
            self.world.cloud.kill(machine)

    async def notice(self, length: float, rng: random.Random) -> None:
        """Announce that the cloud takes machines back, and take them at the end."""
        machines = self.some_machines(rng)
        for worker in self.world.workers():
            if worker.machine in machines:
                worker.reclaim_in_s = length
        await trio.sleep(length)
        for machine in machines:
            if machine in self.world.cloud.machines:
                self.world.cloud.kill(machine)

    async def replay_heartbeats(self, length: float, rng: random.Random) -> None:
        """Let copies of heartbeats arrive late."""
        await self.world.replay_heartbeats(rng.uniform(0.1, 0.6), length, rng)

    async def replay_heartbeats_to_next_leader(self, length: float, rng: random.Random) -> None:
        """Let copies of heartbeats arrive late, at the next leader."""
        await self.world.replay_heartbeats_to_next_leader(rng.uniform(0.1, 0.6), length, rng)

    async def delay_commands(self, length: float, rng: random.Random) -> None:
        """Let direct commands arrive late."""
        await self.world.delay_commands(rng.uniform(0.1, 0.6), length, rng)

    # What users do.

    async def cancel_starts(self, length: float, rng: random.Random) -> None:
        """Cancel jobs as soon as their first start is recorded, while machines hang for moments.

        Users ask every controller in every way until the cancellation is confirmed.
        """
        end, seen = trio.current_time() + length, self._jobs_with_starts()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hang_for_moments, end, rng)
            while trio.current_time() < end:
                await trio.sleep(rng.uniform(0.005, 0.05))
                begun = self._jobs_with_starts()
                for called in sorted(begun - seen):
                    if rng.random() < CANCELLED_STARTS:
                        nursery.start_soon(self._ask_until_cancelled, called, rng)
                seen |= begun

    def _jobs_with_starts(self) -> set[str]:
        """Return the jobs of which a start is recorded."""
        return {key.split("/")[3] for key in self.world.state.values_with_prefix("r/slice/")}

    async def _hang_for_moments(self, end: float, rng: random.Random) -> None:
        while trio.current_time() < end:
            await self.world.hang(self.some_machines(rng), rng.uniform(0.3, 6.0))
            await trio.sleep(rng.uniform(0.0, 2.0))

    async def _ask_until_cancelled(self, called: str, rng: random.Random) -> None:
        """Withdraw a job, ask after it and submit it again, at any controller."""
        case = self.world.rules.jobs[called]
        path = f"{JOBS_PATH}/{called}"
        end = trio.current_time() + PATIENCE_S
        requests: list[tuple[str, str, Any]] = [
            ("POST", f"{path}{WITHDRAW}", {}),
            ("GET", path, None),
            ("POST", JOBS_PATH, case.body),
        ]
        while not case.has_ended and trio.current_time() < end:
            for method, target, body in requests:
                await self.world.call(self.node(rng), method, target, body)
            await trio.sleep(rng.uniform(0.01, 0.3))

    async def cancel(self, _length: float, rng: random.Random) -> None:
        """Cancel some jobs at once, each at any controller."""
        cases = [
            c.name for c in self.world.rules.jobs.values() if c.accepted_at and not c.has_ended
        ]
        async with trio.open_nursery() as nursery:
            for called in rng.sample(cases, min(len(cases), 4)):
                path, at = f"/v1/jobs/{called}/withdraw", self.node(rng)
                nursery.start_soon(self.world.call, at, "POST", path, {})


@dataclass(frozen=True)
class Kind:
    """A kind of fault, and between which lengths it is drawn, in seconds."""

    begin: Callable[[Deployment, float, random.Random], Awaitable[None]]
    length: tuple[float, float]


FAULTS = {
    "crash": Kind(Deployment.crash, (0.05, 12.0)),
    "crash-all": Kind(Deployment.crash_all, (0.1, 12.0)),
    "older-version": Kind(Deployment.older_version, (2.0, 40.0)),
    "stall": Kind(Deployment.stall, (0.2, 25.0)),
    "slow": Kind(Deployment.slow, (2.0, 40.0)),
    "hand-over": Kind(Deployment.hand_over, (0.1, 0.2)),
    "cut-controller": Kind(Deployment.isolate_controller, (1.0, 45.0)),
    "cut-zone": Kind(Deployment.isolate_zone, (1.0, 60.0)),
    "outage": Kind(Deployment.outage, (1.0, 70.0)),
    "refuse": Kind(Deployment.refuse, (1.0, 50.0)),
    "slow-state": Kind(Deployment.slow_state, (1.0, 30.0)),
    "late-writes": Kind(Deployment.late_writes, (2.0, 40.0)),
    "lost-answers": Kind(Deployment.lost_answers, (2.0, 40.0)),
    "no-cloud": Kind(Deployment.no_cloud, (5.0, 70.0)),
    "cut-machines": Kind(Deployment.cut_machines, (1.0, 45.0)),
    "flap": Kind(Deployment.flap, (10.0, 60.0)),
    "lease-edge": Kind(Deployment.lease_edge, (2.0, 10.0)),
    "held-burst": Kind(Deployment.held_burst, (2.0, 12.0)),
    "hold-packets": Kind(Deployment.hold_packets, (0.1, 45.0)),
    "hold-state": Kind(Deployment.hold_state, (0.1, 20.0)),
    "reset": Kind(Deployment.reset, (0.5, 20.0)),
    "hang": Kind(Deployment.hang, (0.5, 40.0)),
    "deaf": Kind(Deployment.block_inbound, (1.0, 45.0)),
    "mute": Kind(Deployment.block_outbound, (1.0, 45.0)),
    "reboot": Kind(Deployment.reboot, (0.1, 0.2)),
    "die": Kind(Deployment.die, (0.1, 0.2)),
    "notice": Kind(Deployment.notice, (3.0, 30.0)),
    "late-reports": Kind(Deployment.replay_heartbeats, (5.0, 60.0)),
    "late-reports-next": Kind(Deployment.replay_heartbeats_to_next_leader, (5.0, 60.0)),
    "late-commands": Kind(Deployment.delay_commands, (5.0, 60.0)),
    "cancel": Kind(Deployment.cancel, (0.1, 0.2)),
    "cancel-starts": Kind(Deployment.cancel_starts, (5.0, 20.0)),
}


# Kinds that a seed draws only where `--kinds` names them, so that seeds keep their runs.
ONLY_ON_REQUEST = {"crash-all", "older-version", "cancel-starts"}
