"""The faults that the search for broken rules injects into a deployment."""

import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from roadbend.checkers.protocol_rules import CANCEL_SUFFIX, JOBS_PATH
from roadbend.fakes import submission
from roadbend.fakes.world import World

# The share of jobs that are cancelled as they start, and how long their users repeat the requests,
# in seconds.
CANCELLED_STARTS_SHARE, CANCELLATION_TIMEOUT_S = 0.5, 60.0
# How many mistaken jobs are submitted at once, how many tasks each has at most, and the bounds for
# the number of the first; the jobs of a run have lower numbers.
MISTAKEN_JOBS, MAX_MISTAKEN_TASKS, FIRST_MISTAKEN_JOB = 4, 6, (10_000, 990_000)
# How long a controller is down at most before it returns in an older version, in seconds.
MAX_OLDER_VERSION_DOWNTIME_S = 12.0


class Deployment:
    """The deployment of a run, with a method for each fault.

    A fault lasts for about `length` seconds and makes its random draws from `rng`.
    """

    def __init__(self, w: World) -> None:
        self.world = w

    def draw_index(self, rng: random.Random) -> int:
        """Draw the number of a controller."""
        return rng.randrange(self.world.count)

    def some_machines(self, rng: random.Random) -> list[str]:
        """Draw one machine of a zone, half of them, or all."""
        zone = rng.choice(self.world.zones)
        ids = sorted(m.id for m in self.world.cloud.machines.values() if m.zone == zone)
        ids = [id_ for id_ in ids if self.world.cloud.machines[id_].status == "running"]
        if not ids:
            return []
        return rng.sample(ids, rng.choice((1, (len(ids) + 1) // 2, len(ids))))

    # Faults of controllers.

    async def crash(self, length: float, rng: random.Random) -> None:
        """Crash a controller, and start it again later."""
        index = self.draw_index(rng)
        if f"node-{index}" not in self.world.controllers:
            return
        self.world.crash(index)
        await trio.sleep(length)
        self.world.start(index)

    async def crash_all(self, length: float, rng: random.Random) -> None:
        """Crash all controllers at once, and start them one after the other."""
        down = [
            index for index in range(self.world.count) if f"node-{index}" in self.world.controllers
        ]
        for index in down:
            self.world.crash(index)
        await trio.sleep(length)
        for index in down:
            self.world.start(index)
            await trio.sleep(rng.uniform(0.0, 2.0))

    async def older_version(self, length: float, rng: random.Random) -> None:
        """Replace a controller by one of the version in production for a while."""
        index = self.draw_index(rng)
        if f"node-{index}" not in self.world.controllers:
            return
        self.world.crash(index)
        await trio.sleep(rng.uniform(0.1, MAX_OLDER_VERSION_DOWNTIME_S))
        self.world.start(index, True)
        await trio.sleep(length)
        if f"node-{index}" in self.world.controllers:
            self.world.crash(index)
        self.world.start(index)

    async def stall(self, length: float, rng: random.Random) -> None:
        """Pause the process of a controller."""
        await self.world.stalls.stall(f"node-{self.draw_index(rng)}", length)

    async def slow(self, length: float, rng: random.Random) -> None:
        """Pause the process of a controller repeatedly for short times."""
        host, end = f"node-{self.draw_index(rng)}", trio.current_time() + length
        while trio.current_time() < end:
            await self.world.stalls.stall(host, rng.uniform(0.1, 1.5))
            await trio.sleep(rng.uniform(0.01, 0.3))

    async def hand_over(self, _length: float, rng: random.Random) -> None:
        """Let a controller fail over the partitions that it leads."""
        controller = self.world.controllers.get(f"node-{self.draw_index(rng)}")
        if controller is None:
            return
        for partition in list(controller.leaders):
            try:
                await controller.election.fail_over(partition)
            except Exception:  # A failed failover must not end the run.
                logging.getLogger("search").info("failover failed", exc_info=True)

    async def isolate_controller(self, length: float, rng: random.Random) -> None:
        """Partition a controller from the state store and the other controllers."""
        await self.world.isolate_controller(self.draw_index(rng), length)

    async def isolate_zone(self, length: float, rng: random.Random) -> None:
        """Partition a zone's controller from the state store, the cloud and its peers.

        The zone's machines are partitioned from the peers as well.
        """
        await self.world.isolate_zone(self.draw_index(rng), length)

    # Faults of the state store and the cloud.

    async def outage(self, length: float, _rng: random.Random) -> None:
        """Take the state store down."""
        await self.world.outage(length)

    async def refuse(self, length: float, rng: random.Random) -> None:
        """Let the state store refuse all requests of one controller."""
        await self.world.refuse(self.draw_index(rng), length)

    async def slow_state(self, length: float, rng: random.Random) -> None:
        """Delay all answers of the state store."""
        self.world.state.slow = rng.uniform(0.05, 1.2)
        await trio.sleep(length)
        self.world.state.slow = 0.0

    async def late_writes(self, length: float, rng: random.Random) -> None:
        """Let some transactions be committed late and never answered."""
        self.world.state.late_writes(rng.uniform(0.1, 0.5), rng)
        await trio.sleep(length)
        self.world.state.late_writes(0.0, None)

    async def lost_answers(self, length: float, rng: random.Random) -> None:
        """Let some transactions be committed at once and never answered."""
        self.world.state.lose_answers(rng.uniform(0.1, 0.5), rng)
        await trio.sleep(length)
        self.world.state.lose_answers(0.0, None)

    async def no_cloud(self, length: float, _rng: random.Random) -> None:
        """Take the cloud's API down."""
        self.world.cloud.down = True
        await trio.sleep(length)
        self.world.cloud.down = False

    # Faults of machines and of the network.

    async def isolate_machines(self, length: float, rng: random.Random) -> None:
        """Partition some machines from all controllers."""
        machines = self.some_machines(rng)
        controllers = [f"node-{n}" for n in range(self.world.count)]
        await self.world.block_pairs(
            [(m, controller) for m in machines for controller in controllers], length
        )

    async def flap(self, length: float, rng: random.Random) -> None:
        """Partition machines for about one lease at a time, with short reconnections in between."""
        machines, end = self.some_machines(rng), trio.current_time() + length
        controllers = [f"node-{n}" for n in range(self.world.count)]
        pairs = [(machine, controller) for machine in machines for controller in controllers]
        while trio.current_time() < end:
            await self.world.block_pairs(pairs, rng.uniform(14.0, 24.0))
            await trio.sleep(rng.uniform(0.2, 4.0))

    async def lease_edge(self, length: float, rng: random.Random) -> None:
        """Partition machines until about the end of their leases.

        They are reachable for a moment while the state store is down or has just returned. No
        machine can be deleted meanwhile.
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
        """Hold heartbeats back until they all arrive at once.

        At about that time transactions are committed but their answers are lost; then the machines
        are partitioned from all controllers.
        """
        machines, index = self.some_machines(rng), self.draw_index(rng)
        self.world.cloud.refuse_deletion = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.world.hold, [(m, f"node-{index}") for m in machines], length)
            await trio.sleep(length * 0.9)
            nursery.start_soon(self.lost_answers, 4.0, rng)
        pairs = [(m, f"node-{n}") for m in machines for n in range(self.world.count)]
        await self.world.block_pairs(pairs, rng.uniform(2.0, 17.0))
        self.world.cloud.refuse_deletion = False

    async def hold_packets(self, length: float, rng: random.Random) -> None:
        """Hold back packets between some machines and a controller, in one direction or both."""
        controller = f"node-{self.draw_index(rng)}"
        inbound = [(machine, controller) for machine in self.some_machines(rng)]
        outbound = [(controller, machine) for machine, _ in inbound]
        await self.world.hold(rng.choice((inbound, outbound, inbound + outbound)), length)

    async def hold_state(self, length: float, rng: random.Random) -> None:
        """Hold back packets between a controller and the state store, in one direction."""
        controller = f"node-{self.draw_index(rng)}"
        direction = rng.choice(((controller, "state"), ("state", controller)))
        await self.world.hold([direction], length)

    async def reset(self, length: float, rng: random.Random) -> None:
        """Break the connections of some machines repeatedly."""
        machines, end = self.some_machines(rng), trio.current_time() + length
        while trio.current_time() < end:
            for machine in machines:
                for index in range(self.world.count):
                    self.world.network.reset(machine, f"node-{index}")
            await trio.sleep(rng.uniform(0.05, 2.0))

    async def hang(self, length: float, rng: random.Random) -> None:
        """Hang some machines."""
        await self.world.hang(self.some_machines(rng), length)

    async def block_inbound(self, length: float, rng: random.Random) -> None:
        """Block all inbound traffic of some machines."""
        await self.world.block_inbound(self.some_machines(rng), length)

    async def block_outbound(self, length: float, rng: random.Random) -> None:
        """Keep some machines from opening connections."""
        await self.world.block_outbound(self.some_machines(rng), length)

    async def break_machines(self, length: float, rng: random.Random) -> None:
        """Let every task fail that some machines start."""
        await self.world.break_machines(self.some_machines(rng), length)

    async def reboot(self, _length: float, rng: random.Random) -> None:
        """Restart some machines."""
        for machine in self.some_machines(rng):
            self.world.cloud.reboot(machine)

    async def die(self, _length: float, rng: random.Random) -> None:
        """End some machines and all tasks on them."""
        for machine in self.some_machines(rng):
            self.world.cloud.kill(machine)

    async def notice(self, length: float, rng: random.Random) -> None:
        """Send reclaim notices for some machines, and end the machines when the time is up."""
        machines = self.some_machines(rng)
        for worker in self.world.workers():
            if worker.machine in machines:
                worker.reclaim_in_s = length
        await trio.sleep(length)
        for machine in machines:
            if machine in self.world.cloud.machines:
                self.world.cloud.kill(machine)

    async def replay_heartbeats(self, length: float, rng: random.Random) -> None:
        """Deliver copies of heartbeats late."""
        await self.world.replay_heartbeats(rng.uniform(0.1, 0.6), length, rng)

    async def replay_heartbeats_to_next_leader(self, length: float, rng: random.Random) -> None:
        """Deliver copies of heartbeats late, to the next leader."""
        await self.world.replay_heartbeats_to_next_leader(rng.uniform(0.1, 0.6), length, rng)

    async def delay_commands(self, length: float, rng: random.Random) -> None:
        """Deliver direct commands late."""
        await self.world.delay_commands(rng.uniform(0.1, 0.6), length, rng)

    async def repeat_commands(self, length: float, rng: random.Random) -> None:
        """Deliver copies of direct commands that were executed and answered."""
        await self.world.repeat_commands(rng.uniform(0.3, 1.0), length, rng)

    # Actions of users.

    async def cancel_starts(self, length: float, rng: random.Random) -> None:
        """Cancel jobs as soon as their first start is recorded, while machines hang briefly.

        Users send every kind of request to any controller until the cancellation is confirmed.
        """
        end, known = trio.current_time() + length, self._jobs_with_starts()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hang_briefly, end, rng)
            while trio.current_time() < end:
                await trio.sleep(rng.uniform(0.005, 0.05))
                started = self._jobs_with_starts()
                for job_id in sorted(started - known):
                    if rng.random() < CANCELLED_STARTS_SHARE:
                        nursery.start_soon(self._request_until_cancelled, job_id, rng)
                known |= started

    def _jobs_with_starts(self) -> set[str]:
        """Return the jobs with at least one recorded start."""
        return {key.split("/")[3] for key in self.world.state.values_with_prefix("r/slice/")}

    async def _hang_briefly(self, end: float, rng: random.Random) -> None:
        while trio.current_time() < end:
            await self.world.hang(self.some_machines(rng), rng.uniform(0.3, 6.0))
            await trio.sleep(rng.uniform(0.0, 2.0))

    async def _request_until_cancelled(self, job_id: str, rng: random.Random) -> None:
        """Cancel a job, query it and submit it again, at any controller, until it has ended."""
        job = self.world.rules.jobs[job_id]
        path = f"{JOBS_PATH}/{job_id}"
        end = trio.current_time() + CANCELLATION_TIMEOUT_S
        requests: list[tuple[str, str, Any]] = [
            ("POST", f"{path}{CANCEL_SUFFIX}", {}),
            ("GET", path, None),
            ("POST", JOBS_PATH, job.body),
        ]
        while not job.has_ended and trio.current_time() < end:
            for method, target, body in requests:
                await self.world.call(self.draw_index(rng), method, target, body)
            await trio.sleep(rng.uniform(0.01, 0.3))

    async def mistaken_jobs(self, length: float, rng: random.Random) -> None:
        """Submit jobs whose tasks fail on every machine, and cancel them after `length`."""
        first = rng.randrange(*FIRST_MISTAKEN_JOB)
        bodies = [
            submission.job(first + offset, legs=rng.randint(1, MAX_MISTAKEN_TASKS), dueS=None)
            for offset in range(MISTAKEN_JOBS)
        ]
        async with trio.open_nursery() as nursery:
            for body in bodies:
                self.world.board.mistaken_jobs.add(body["id"])
                nursery.start_soon(self.world.submit, self.draw_index(rng), body)
            await trio.sleep(length)
            for body in bodies:
                nursery.start_soon(self._request_until_cancelled, body["id"], rng)

    async def cancel(self, _length: float, rng: random.Random) -> None:
        """Cancel some jobs at once, each at any controller."""
        job_ids = [
            job.id
            for job in self.world.rules.jobs.values()
            if job.accepted_at and not job.has_ended
        ]
        async with trio.open_nursery() as nursery:
            for job_id in rng.sample(job_ids, min(len(job_ids), 4)):
                path, index = f"/v1/jobs/{job_id}/withdraw", self.draw_index(rng)
                nursery.start_soon(self.world.call, index, "POST", path, {})


@dataclass(frozen=True)
class Kind:
    """A kind of fault, and the bounds for its random length, in seconds."""

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
    "cut-machines": Kind(Deployment.isolate_machines, (1.0, 45.0)),
    "flap": Kind(Deployment.flap, (10.0, 60.0)),
    "lease-edge": Kind(Deployment.lease_edge, (2.0, 10.0)),
    "held-burst": Kind(Deployment.held_burst, (2.0, 12.0)),
    "hold-packets": Kind(Deployment.hold_packets, (0.1, 45.0)),
    "hold-state": Kind(Deployment.hold_state, (0.1, 20.0)),
    "reset": Kind(Deployment.reset, (0.5, 20.0)),
    "hang": Kind(Deployment.hang, (0.5, 40.0)),
    "deaf": Kind(Deployment.block_inbound, (1.0, 45.0)),
    "mute": Kind(Deployment.block_outbound, (1.0, 45.0)),
    "broken-machines": Kind(Deployment.break_machines, (20.0, 60.0)),
    "reboot": Kind(Deployment.reboot, (0.1, 0.2)),
    "die": Kind(Deployment.die, (0.1, 0.2)),
    "notice": Kind(Deployment.notice, (3.0, 30.0)),
    "late-reports": Kind(Deployment.replay_heartbeats, (5.0, 60.0)),
    "late-reports-next": Kind(Deployment.replay_heartbeats_to_next_leader, (5.0, 60.0)),
    "late-commands": Kind(Deployment.delay_commands, (5.0, 60.0)),
    "late-copies": Kind(Deployment.repeat_commands, (20.0, 60.0)),
    "cancel": Kind(Deployment.cancel, (0.1, 0.2)),
    "cancel-starts": Kind(Deployment.cancel_starts, (5.0, 20.0)),
    "mistaken-jobs": Kind(Deployment.mistaken_jobs, (5.0, 40.0)),
}

# Kinds that are drawn only if `--kinds` names them, so that a seed still gives the same run as
# before they were added.
ONLY_ON_REQUEST = {
    "broken-machines",
    "cancel-starts",
    "crash-all",
    "late-copies",
    "mistaken-jobs",
    "older-version",
}
