"""Hiring for a partition's queue, returning what is empty, deleting what never came up, adopting
strays."""

import random
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.autoscaler import policy
from roadbend.autoscaler.cloud import (
    MAX_HIRED,
    Cloud,
    CloudBusyError,
    Listed,
    NoCapacityError,
    Still,
    read_machine_types,
)
from roadbend.autoscaler.scale_in import ScaleIn
from roadbend.autoscaler.warm_pool import WarmPool
from roadbend.fleet.service import Fleet
from roadbend.http.client import NoAnswerError
from roadbend.http.server import MalformedError
from roadbend.log import Log
from roadbend.placement import forecast
from roadbend.placement.context import ControllerContext
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.quota_allowance import QuotaAllowance, QuotaAmount
from roadbend.placement.quotas import within
from roadbend.retry import Backoff, drawn
from roadbend.store import keys
from roadbend.store.client import ConflictError, LeaseEndedError, UnavailableError, commit, put
from roadbend.store.records import Job

log = Log("autoscaler")
ROUND = timedelta(milliseconds=900)
# Requests to rent machines of one type and kind in a round; after these the queue is looked at
# anew.
MAX_REQUESTS = 8
# How often a controller without a partition looks whether it has one, before it reads the list.
LIST_SOON = timedelta(milliseconds=300)


@dataclass
class BootingMachine:
    """A machine that we hired and that has not reported yet."""

    id: str
    machine_type: str
    spot: bool
    since: datetime
    # First seen in the list, as running: it may as well be gone, or report elsewhere. No room yet.
    stray: bool = False


@dataclass
class CapacityRefusal:
    """Until when a type, zone and kind is not asked for again."""

    until: datetime
    pause: timedelta


class Autoscaler:
    """Rents and returns the machines of all partitions that this controller owns."""

    def __init__(
        self,
        context: ControllerContext,
        cloud: Cloud,
        fleet: Fleet,
        leaders: dict[str, PartitionLeader],
        rng: random.Random,
    ):
        self._rng = rng
        self._context, self._cloud, self._fleet, self._leaders = context, cloud, fleet, leaders
        self.refused: dict[tuple[str, str, bool], CapacityRefusal] = {}
        self._boots: dict[str, dict[str, BootingMachine]] = {}
        self._names = 0
        self._first_listed: dict[str, datetime] = {}
        self._warm_pool = WarmPool(context)
        self._returns = ScaleIn(context, cloud)

    # The catalog and the list, once a controller.

    def adopt_catalog(self) -> None:
        """What was last seen by anyone, for a start while the cloud is out."""
        if not self._context.machine_types and self._context.view.catalog is not None:
            try:
                self._context.machine_types = read_machine_types(self._context.view.catalog)
                log.info("catalog-loaded", machine_types=len(self._context.machine_types))
            except MalformedError as error:
                log.error("record-unreadable", key=keys.CATALOG_KEY, error=error)

    async def catalog_loop(self) -> None:
        while True:
            self.adopt_catalog()
            try:
                machine_types = await self._cloud.catalog()
                self._context.machine_types = machine_types
                await self._keep_catalog(machine_types)
                # Until it is in the records, a controller that starts in a cloud outage would not
                # know it.
                await clock.pause(
                    timedelta(seconds=20 if self._context.view.catalog is not None else 1)
                )
            except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
                log.info("catalog-unavailable", error=str(error)[:60])
                await clock.pause(timedelta(seconds=1 if not self._context.machine_types else 4))

    async def _keep_catalog(self, machine_types) -> None:
        view = self._context.view
        if not view.loaded:
            return
        value = [machine_type.to_value() for machine_type in machine_types.values()]

        def lasting(rows):
            return [{k: v for k, v in row.items() if k != "lowPrice"} for row in rows]

        if view.catalog is not None and lasting(view.catalog) == lasting(value):
            return
        rows = [put(keys.CATALOG_KEY, value)]
        conditions = {keys.CATALOG_KEY: view.catalog_mod_revision}
        try:
            view.applied(
                rows,
                await commit(self._context.state, conditions, rows, within=timedelta(seconds=3)),
            )
        except (ConflictError, LeaseEndedError, UnavailableError):
            pass

    async def list_loop(self) -> None:
        while True:
            if not self._leaders:
                # Soon after a partition was taken its machines are to be known.
                await clock.pause(LIST_SOON)
                continue
            try:
                rows = await self._cloud.machines()
                self._fleet.inventory.take(rows)
                self._sort_listed(rows)
            except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
                log.debug("machine-list-unavailable", error=str(error)[:60])
            except Exception:
                log.crash("machine-list-failed")
            await clock.pause(self._cloud.list_pause(len(self._fleet.inventory.rows)))

    def _sort_listed(self, rows: list[Listed]) -> None:
        """Strays: machines of our partitions that we don't know. They are used when they report,
        and returned when they never do."""
        now = clock.now()
        ids = {row.id for row in rows}
        self._first_listed = {k: at for k, at in self._first_listed.items() if k in ids}
        for row in rows:
            leader = self._leaders.get(row.zone)
            if leader is None or row.id in leader.machines:
                continue
            self._first_listed.setdefault(row.id, now)
            boots = self._boots.setdefault(row.zone, {})
            if row.id in self._context.deleted_machines.ids:
                # The list lags: what we deleted still appears in it, and is no stray.
                continue
            if row.status in ("booting", "running") and row.id not in boots:
                boots[row.id] = BootingMachine(
                    row.id, row.machine_type, row.spot, now - row.age, row.status == "running"
                )

    # A partition's loop.

    async def run(self, leader: PartitionLeader) -> None:
        partition, pause = leader.partition, ROUND
        while self._context.election.leadership(partition) == leader.leadership:
            await clock.pause(pause)
            pause = ROUND
            try:
                now = clock.now()
                if self._context.election.may_start(now) and self._context.machine_types:
                    hires = self._plan(leader, now)
                    # Where looking at everything takes long, it is done less often.
                    pause = max(ROUND, self._context.reuse_window(clock.now() - now))
                    await self._round(leader, now, *hires)
            except (NoAnswerError, CloudBusyError) as error:
                log.debug("cloud-unavailable", partition=partition, error=str(error)[:60])
                await clock.pause(timedelta(seconds=1))
            except Exception:
                log.crash("autoscaling-failed", partition=partition)
                await clock.pause(timedelta(seconds=1))

    def closed(self, partition: str, now: datetime) -> set[tuple[str, bool]]:
        if self._fleet.reachability.is_cut(partition, now):
            # What is hired behind a cut comes up unheard.
            return {
                (machine_type, spot)
                for machine_type in self._context.machine_types
                for spot in (True, False)
            }
        return {
            (machine_type, spot)
            for (p, machine_type, spot), row in self.refused.items()
            if p == partition and row.until > now
        }

    def booting_capacities(self, leader: PartitionLeader, now: datetime) -> list[FreeCapacity]:
        out = []
        for boot in self._boots.get(leader.partition, {}).values():
            machine_type = self._context.machine_types.get(boot.machine_type)
            if machine_type is None or boot.stray or boot.id in leader.machines:
                continue
            if now - boot.since > machine_type.startup * 1.8:
                # It may still come, but others are hired in its place.
                continue
            price = machine_type.spot_price if boot.spot else machine_type.price
            capacity = policy.empty_room(
                boot.id, policy.MachineOption(machine_type, boot.spot, price), leader.partition
            )
            capacity.ready_in = max(
                1.0, (machine_type.startup - (now - boot.since)).total_seconds()
            )
            out.append(capacity)
        return out

    def _plan(
        self, leader: PartitionLeader, now: datetime
    ) -> tuple[dict[tuple[str, bool], int], Job | None, int]:
        """What to hire, the service to keep room for, and how many places there are beyond that."""
        partition, operator = leader.partition, self._context.operator
        boots = self._boots.setdefault(partition, {})
        for name in [n for n in boots if n in leader.machines]:
            del boots[name]
        fresh = self.booting_capacities(leader, now)
        leader.booting = fresh
        queue = self._timed(leader, self._within_limits(leader, leader.queue.pending()))
        choices = policy.options(
            self._context.machine_types.values(), partition, self.closed(partition, now)
        )
        # The forecast writes on the rooms that it is given.
        timelines = leader.projections.timelines([replace(capacity) for capacity in fresh])
        # Of a gang the last task counts, however wide it is.
        widest = max((t.item.count for t in queue if t.item.job.spec.gang), default=0)
        most = max(leader.projections.most_forecast(timelines), widest)
        want = (
            policy.wanted(queue, timelines, choices, partition, operator.boot_factor, most)
            if queue
            else {}
        )
        model, keep = self._warm_pool.wanted(partition)
        have = self._warm_pool.available(leader, model, fresh) if model is not None else 0
        if model is not None and have < keep and leader.recovery.knows_machines():
            dear = policy.expensive_machine_types(
                model, self._context.machine_types.values(), operator.dear, partition
            )
            fit = [o for o in choices if o.machine_type.name not in dear]
            option = policy.cheapest(PendingTasks(model, ((0, 1),), True), fit, partition, keep)
            if option is not None and not any(
                machine_type == option.machine_type.name and not spot for machine_type, spot in want
            ):
                places = policy.empty_room("", option, partition).count(model.spec.resources)
                want[(option.machine_type.name, option.spot)] = -(-(keep - have) // places)
        return want, model, have - keep

    async def _round(
        self,
        leader: PartitionLeader,
        now: datetime,
        want: dict[tuple[str, bool], int],
        model: Job | None,
        surplus: int,
    ) -> None:
        partition, operator = leader.partition, self._context.operator
        boots = self._boots.setdefault(partition, {})
        for (machine_type, spot), count in want.items():
            await self._rent_all(leader, machine_type, spot, count)
        await self._returns.give_back(leader, now, model, surplus, self._still(leader))
        late = []
        for boot in list(boots.values()):
            machine_type = self._context.machine_types.get(boot.machine_type)
            limit = (
                operator.boot_patience * machine_type.startup
                if machine_type
                else timedelta(seconds=120)
            )
            if boot.stray:
                limit = min(limit, operator.find_owner)
            # What we hired in an earlier term may long be up, and report to us only now: an owner
            # that got its partition back once deleted healthy machines here.
            since = max(boot.since, leader.leadership.acquired_at)
            unheard = boot.id not in leader.machines and boot.id not in leader.by_machine()
            if (
                now - since > limit
                and unheard
                and not self._fleet.reachability.is_cut(partition, now)
            ):
                late.append(boot.id)
        if late:
            log.info(
                "machines-never-registered",
                partition=partition,
                machines=",".join(late[:5]),
                count=len(late),
            )
            await self._cloud.delete(late, still=self._still(leader))
            for name in late:
                boots.pop(name, None)
                leader.gone(name, "deleted")

    def _timed(self, leader: PartitionLeader, queue: list[PendingTasks]) -> list[policy.Timing]:
        out, wall, operator = [], clock.wall(), self._context.operator
        boot = max(
            (machine_type.startup for machine_type in self._context.machine_types.values()),
            default=clock.ZERO,
        ).total_seconds()
        for item in queue:
            spec = item.job.spec
            run = leader.projections.run_seconds(item.job)
            waited = (wall - item.job.submitted_at).total_seconds()
            # Estimates are often wrong: the time kept for the run is longer than the likely one.
            kept = 0.0 if spec.service else run * operator.caution
            avoid = leader.withheld_types.get(item.job.id, frozenset())
            # The last task decides; for the later deadline, which is the last chance, some more is
            # kept.
            sure = kept * 1.3 + 0.5 * boot
            first, *more = self._context.objectives.deadline_factors(spec)
            later = [forecast.slack(item, waited, sure, x) for x in more]
            first = forecast.slack(item, waited, kept, first)
            least = (
                policy.least_cost(item, self._context.machine_types.values(), item.count)
                if later
                else None
            )
            out.append(policy.Timing(item, run, first, spec.image_gb, avoid, tuple(later), least))
        return out

    def _within_limits(
        self, leader: PartitionLeader, left: list[PendingTasks]
    ) -> list[PendingTasks]:
        """Nothing is hired for tasks that their team's limit keeps waiting anyway."""

        def capacity(team: str) -> QuotaAmount | None:
            most = self._context.fair_share.quota_for(team, leader.partition)
            if most is None:
                return None
            used = self._context.view.usage.get(leader.partition, {}).get(team, (0.0, 0.0))
            return QuotaAmount(most[0] - used[0], most[1] - used[1])

        return within(QuotaAllowance(capacity), left)

    async def _rent_all(
        self, leader: PartitionLeader, machine_type: str, spot: bool, count: int
    ) -> None:
        """More than one request rents takes several, as long as the cloud has what is asked for.
        With one a round, and rounds that take longer the more machines there are, a part of more
        than a thousand machines was minutes late."""
        for _ in range(MAX_REQUESTS):
            asked = min(count, MAX_HIRED)
            got = await self._rent(leader, machine_type, spot, asked)
            count -= got
            if got < asked or count <= 0:
                return

    async def _rent(
        self, leader: PartitionLeader, machine_type: str, spot: bool, count: int
    ) -> int:
        """Gives how many machines the cloud had."""
        partition = leader.partition
        self._names += 1
        # Never used again: the term is ours alone, and the number grows within it.
        name = f"{partition}-{leader.leadership.term}-{self._names}"
        key = (partition, machine_type, spot)
        waits = Backoff(timedelta(milliseconds=300), timedelta(seconds=10), self._rng)
        for _ in range(6):
            try:
                got = await self._cloud.rent(
                    name, machine_type, partition, spot, count, self._still(leader)
                )
                break
            except NoCapacityError:
                self._refuse(key)
                return 0
            except NoAnswerError:
                # It may have been carried out; the same name tells which machines it got.
                await clock.pause(waits.next())
        else:
            raise NoAnswerError("hire")
        now = clock.now()
        for machine in got:
            self._boots.setdefault(partition, {})[machine] = BootingMachine(
                machine, machine_type, spot, now
            )
            if machine not in leader.machines:
                leader.rented.add(machine)
        log.info(
            "machines-created",
            partition=partition,
            machine_type=machine_type,
            spot=spot,
            requested=count,
            created=len(got),
            machines=",".join(got),
        )
        if len(got) < count:
            self._refuse(key)
        else:
            self.refused.pop(key, None)
        return len(got)

    def _still(self, leader: PartitionLeader) -> Still:
        """Machines are hired and given back for a partition only while it is ours: a new owner may
        have put work on what we found empty before we stood still."""
        election = self._context.election
        return lambda: (
            election.leadership(leader.partition) == leader.leadership
            and election.may_start(clock.now())
        )

    def _refuse(self, key: tuple[str, str, bool]) -> None:
        operator, now = self._context.operator, clock.now()
        old = self.refused.get(key)
        pause = min(operator.refusal_pause_max, old.pause * 2) if old else operator.refusal_pause
        self.refused[key] = CapacityRefusal(now + drawn(pause, self._rng), pause)
        log.info(
            "capacity-refused",
            partition=key[0],
            machine_type=key[1],
            spot=key[2],
            pause_s=pause.total_seconds(),
        )
