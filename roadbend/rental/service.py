"""Hiring for a part's queue, returning what is empty, deleting what never came up, adopting
strays."""

import random
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.service import Fleet
from roadbend.http.client import NoAnswerError
from roadbend.http.server import MalformedError
from roadbend.log import Log
from roadbend.placement import forecast
from roadbend.placement import policy as placing
from roadbend.placement.runtime import PartRuntime
from roadbend.placement.shared import Shared
from roadbend.placement.team_limits import within
from roadbend.rental import policy
from roadbend.rental.cloud import (
    MAX_HIRED,
    Cloud,
    CloudBusyError,
    Listed,
    NoCapacityError,
    Still,
    read_machine_types,
)
from roadbend.rental.returns import Returns
from roadbend.rental.warm_room import WarmRoom
from roadbend.retry import Backoff, drawn
from roadbend.store import keys
from roadbend.store.client import ConflictError, LeaseEndedError, UnavailableError, commit, put
from roadbend.store.records import Job

log = Log("rental")
ROUND = timedelta(milliseconds=900)
# Requests to rent machines of one type and kind in a round; after these the queue is looked at
# anew.
MAX_REQUESTS = 8
# How often a controller without a part looks whether it has one, before it reads the list.
LIST_SOON = timedelta(milliseconds=300)


@dataclass
class Boot:
    """A machine that we hired and that has not reported yet."""

    id: str
    machine_type: str
    spot: bool
    since: datetime
    # First seen in the list, as running: it may as well be gone, or report elsewhere. No room yet.
    stray: bool = False


@dataclass
class Refusal:
    """Until when a type, zone and kind is not asked for again."""

    until: datetime
    pause: timedelta


class Rental:
    """Rents and returns the machines of all parts that this controller owns."""

    def __init__(
        self,
        shared: Shared,
        cloud: Cloud,
        fleet: Fleet,
        runtimes: dict[str, PartRuntime],
        rng: random.Random,
    ):
        self._rng = rng
        self._shared, self._cloud, self._fleet, self._runtimes = shared, cloud, fleet, runtimes
        self.refused: dict[tuple[str, str, bool], Refusal] = {}
        self._boots: dict[str, dict[str, Boot]] = {}
        self._names = 0
        self._first_listed: dict[str, datetime] = {}
        self._warm_room = WarmRoom(shared)
        self._returns = Returns(shared, cloud)

    # The catalog and the list, once a controller.

    def adopt_catalog(self) -> None:
        """What was last seen by anyone, for a start while the cloud is out."""
        if not self._shared.machine_types and self._shared.view.catalog is not None:
            try:
                self._shared.machine_types = read_machine_types(self._shared.view.catalog)
                log.info("catalog-adopted", machine_types=len(self._shared.machine_types))
            except MalformedError as error:
                log.error("bad-record", key=keys.CATALOG_KEY, error=error)

    async def catalog_loop(self) -> None:
        while True:
            self.adopt_catalog()
            try:
                machine_types = await self._cloud.catalog()
                self._shared.machine_types = machine_types
                await self._keep_catalog(machine_types)
                # Until it is in the records, a controller that starts in a cloud outage would not
                # know it.
                await clock.pause(
                    timedelta(seconds=20 if self._shared.view.catalog is not None else 1)
                )
            except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
                log.info("no-catalog", error=str(error)[:60])
                await clock.pause(timedelta(seconds=1 if not self._shared.machine_types else 4))

    async def _keep_catalog(self, machine_types) -> None:
        view = self._shared.view
        if not view.loaded:
            return
        value = [machine_type.to_value() for machine_type in machine_types.values()]

        def lasting(rows):
            return [{k: v for k, v in row.items() if k != "lowPrice"} for row in rows]

        if view.catalog is not None and lasting(view.catalog) == lasting(value):
            return
        rows = [put(keys.CATALOG_KEY, value)]
        when = {keys.CATALOG_KEY: view.catalog_mod_revision}
        try:
            view.applied(
                rows, await commit(self._shared.state, when, rows, within=timedelta(seconds=3))
            )
        except (ConflictError, LeaseEndedError, UnavailableError):
            pass

    async def list_loop(self) -> None:
        while True:
            if not self._runtimes:
                # Soon after a part was taken its machines are to be known.
                await clock.pause(LIST_SOON)
                continue
            try:
                rows = await self._cloud.machines()
                self._fleet.listing.take(rows)
                self._sort_listed(rows)
            except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
                log.debug("no-list", error=str(error)[:60])
            except Exception:
                log.crash("list-failed")
            await clock.pause(self._cloud.list_pause(len(self._fleet.listing.rows)))

    def _sort_listed(self, rows: list[Listed]) -> None:
        """Strays: machines of our parts that we don't know. They are used when they report, and
        returned when they never do."""
        now = clock.now()
        ids = {row.id for row in rows}
        self._first_listed = {k: at for k, at in self._first_listed.items() if k in ids}
        for row in rows:
            runtime = self._runtimes.get(row.zone)
            if runtime is None or row.id in runtime.machines:
                continue
            self._first_listed.setdefault(row.id, now)
            boots = self._boots.setdefault(row.zone, {})
            if row.id in self._shared.deleted:
                # The list lags: what we deleted still appears in it, and is no stray.
                continue
            if row.status in ("booting", "running") and row.id not in boots:
                boots[row.id] = Boot(
                    row.id, row.machine_type, row.spot, now - row.age, row.status == "running"
                )

    # A part's loop.

    async def run(self, runtime: PartRuntime) -> None:
        part, pause = runtime.part, ROUND
        while self._shared.ownership.tenure(part) == runtime.tenure:
            await clock.pause(pause)
            pause = ROUND
            try:
                now = clock.now()
                if self._shared.ownership.may_start(now) and self._shared.machine_types:
                    hires = self._plan(runtime, now)
                    # Where looking at everything takes long, it is done less often.
                    pause = max(ROUND, self._shared.rest(clock.now() - now))
                    await self._round(runtime, now, *hires)
            except (NoAnswerError, CloudBusyError) as error:
                log.debug("cloud-trouble", part=part, error=str(error)[:60])
                await clock.pause(timedelta(seconds=1))
            except Exception:
                log.crash("rental-failed", part=part)
                await clock.pause(timedelta(seconds=1))

    def closed(self, part: str, now: datetime) -> set[tuple[str, bool]]:
        if self._fleet.cuts.is_cut(part, now):
            # What is hired behind a cut comes up unheard.
            return {
                (machine_type, spot)
                for machine_type in self._shared.machine_types
                for spot in (True, False)
            }
        return {
            (machine_type, spot)
            for (p, machine_type, spot), row in self.refused.items()
            if p == part and row.until > now
        }

    def boot_rooms(self, runtime: PartRuntime, now: datetime) -> list[placing.Room]:
        out = []
        for boot in self._boots.get(runtime.part, {}).values():
            machine_type = self._shared.machine_types.get(boot.machine_type)
            if machine_type is None or boot.stray or boot.id in runtime.machines:
                continue
            if now - boot.since > machine_type.startup * 1.8:
                # It may still come, but others are hired in its place.
                continue
            price = machine_type.spot_price if boot.spot else machine_type.price
            room = policy.empty_room(
                boot.id, policy.Option(machine_type, boot.spot, price), runtime.part
            )
            room.ready_in = max(1.0, (machine_type.startup - (now - boot.since)).total_seconds())
            out.append(room)
        return out

    def _plan(
        self, runtime: PartRuntime, now: datetime
    ) -> tuple[dict[tuple[str, bool], int], Job | None, int]:
        """What to hire, the service to keep room for, and how many places there are beyond that."""
        part, operator = runtime.part, self._shared.operator
        boots = self._boots.setdefault(part, {})
        for name in [n for n in boots if n in runtime.machines]:
            del boots[name]
        fresh = self.boot_rooms(runtime, now)
        runtime.booting = fresh
        queue = self._timed(runtime, self._within_limits(runtime, runtime.queue.pending()))
        choices = policy.options(self._shared.machine_types.values(), part, self.closed(part, now))
        # The forecast writes on the rooms that it is given.
        lines = runtime.layouts.lines([replace(room) for room in fresh])
        # Of a gang the last task counts, however wide it is.
        widest = max((t.item.count for t in queue if t.item.job.spec.gang), default=0)
        most = max(runtime.layouts.most_forecast(lines), widest)
        want = (
            policy.wanted(queue, lines, choices, part, operator.boot_factor, most) if queue else {}
        )
        model, keep = self._warm_room.wanted(part)
        have = self._warm_room.available(runtime, model, fresh) if model is not None else 0
        if model is not None and have < keep and runtime.recovery.knows_machines():
            dear = policy.expensive_machine_types(
                model, self._shared.machine_types.values(), operator.dear, part
            )
            fit = [o for o in choices if o.machine_type.name not in dear]
            option = policy.cheapest(placing.Pending(model, ((0, 1),), True), fit, part, keep)
            if option is not None and not any(
                machine_type == option.machine_type.name and not spot for machine_type, spot in want
            ):
                places = policy.empty_room("", option, part).count(model.spec.need)
                want[(option.machine_type.name, option.spot)] = -(-(keep - have) // places)
        return want, model, have - keep

    async def _round(
        self,
        runtime: PartRuntime,
        now: datetime,
        want: dict[tuple[str, bool], int],
        model: Job | None,
        surplus: int,
    ) -> None:
        part, operator = runtime.part, self._shared.operator
        boots = self._boots.setdefault(part, {})
        for (machine_type, spot), count in want.items():
            await self._rent_all(runtime, machine_type, spot, count)
        await self._returns.give_back(runtime, now, model, surplus, self._still(runtime))
        late = []
        for boot in list(boots.values()):
            machine_type = self._shared.machine_types.get(boot.machine_type)
            limit = (
                operator.boot_patience * machine_type.startup
                if machine_type
                else timedelta(seconds=120)
            )
            if boot.stray:
                limit = min(limit, operator.find_owner)
            # What we hired in an earlier term may long be up, and report to us only now: an owner
            # that got its part back once deleted healthy machines here.
            since = max(boot.since, runtime.tenure.since)
            unheard = boot.id not in runtime.machines and boot.id not in runtime.by_machine()
            if now - since > limit and unheard and not self._fleet.cuts.is_cut(part, now):
                late.append(boot.id)
        if late:
            log.info("never-up", part=part, machines=",".join(late[:5]), count=len(late))
            await self._cloud.delete(late, still=self._still(runtime))
            for name in late:
                boots.pop(name, None)
                runtime.gone(name, "deleted")

    def _timed(self, runtime: PartRuntime, queue: list[placing.Pending]) -> list[policy.Timing]:
        out, wall, operator = [], clock.wall(), self._shared.operator
        boot = max(
            (machine_type.startup for machine_type in self._shared.machine_types.values()),
            default=clock.ZERO,
        ).total_seconds()
        for item in queue:
            spec = item.job.spec
            run = runtime.layouts.run_seconds(item.job)
            waited = (wall - item.job.at).total_seconds()
            # Estimates are often wrong: the time kept for the run is longer than the likely one.
            kept = 0.0 if spec.service else run * operator.caution
            avoid = runtime.withheld_types.get(item.job.id, frozenset())
            # The last task decides; for the later deadline, which is the last chance, some more is
            # kept.
            sure = kept * 1.3 + 0.5 * boot
            first, *more = self._shared.deadlines(spec)
            later = [forecast.slack(item, waited, sure, x) for x in more]
            first = forecast.slack(item, waited, kept, first)
            least = (
                policy.least_cost(item, self._shared.machine_types.values(), item.count)
                if later
                else None
            )
            out.append(policy.Timing(item, run, first, spec.image_gb, avoid, tuple(later), least))
        return out

    def _within_limits(
        self, runtime: PartRuntime, left: list[placing.Pending]
    ) -> list[placing.Pending]:
        """Nothing is hired for tasks that their team's limit keeps waiting anyway."""

        def room(team: str) -> tuple[float, float] | None:
            most = self._shared.most_for(team, runtime.part)
            if most is None:
                return None
            used = self._shared.view.used.get(runtime.part, {}).get(team, (0.0, 0.0))
            return most[0] - used[0], most[1] - used[1]

        return within(placing.Allowance(room), left)

    async def _rent_all(
        self, runtime: PartRuntime, machine_type: str, spot: bool, count: int
    ) -> None:
        """More than one request rents takes several, as long as the cloud has what is asked for.
        With one a round, and rounds that take longer the more machines there are, a part of more
        than a thousand machines was minutes late."""
        for _ in range(MAX_REQUESTS):
            asked = min(count, MAX_HIRED)
            got = await self._rent(runtime, machine_type, spot, asked)
            count -= got
            if got < asked or count <= 0:
                return

    async def _rent(self, runtime: PartRuntime, machine_type: str, spot: bool, count: int) -> int:
        """Gives how many machines the cloud had."""
        part = runtime.part
        self._names += 1
        # Never used again: the term is ours alone, and the number grows within it.
        name = f"{part}-{runtime.tenure.term}-{self._names}"
        key = (part, machine_type, spot)
        waits = Backoff(timedelta(milliseconds=300), timedelta(seconds=10), self._rng)
        for _ in range(6):
            try:
                got = await self._cloud.rent(
                    name, machine_type, part, spot, count, self._still(runtime)
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
            self._boots.setdefault(part, {})[machine] = Boot(machine, machine_type, spot, now)
            if machine not in runtime.machines:
                runtime.rented.add(machine)
        log.info(
            "hired",
            part=part,
            machine_type=machine_type,
            spot=spot,
            wanted=count,
            got=len(got),
            machines=",".join(got),
        )
        if len(got) < count:
            self._refuse(key)
        else:
            self.refused.pop(key, None)
        return len(got)

    def _still(self, runtime: PartRuntime) -> Still:
        """Machines are hired and given back for a part only while it is ours: a new owner may have
        put work on what we found empty before we stood still."""
        ownership = self._shared.ownership
        return lambda: (
            ownership.tenure(runtime.part) == runtime.tenure and ownership.may_start(clock.now())
        )

    def _refuse(self, key: tuple[str, str, bool]) -> None:
        operator, now = self._shared.operator, clock.now()
        old = self.refused.get(key)
        pause = min(operator.refusal_pause_max, old.pause * 2) if old else operator.refusal_pause
        self.refused[key] = Refusal(now + drawn(pause, self._rng), pause)
        log.info(
            "refused", part=key[0], machine_type=key[1], spot=key[2], pause=pause.total_seconds()
        )
