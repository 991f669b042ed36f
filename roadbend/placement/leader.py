"""An owner's work on its partition, for one term: queue, placement, records, silent machines.

The truth about attempts is in the slice records as the view shows them. What is kept here besides
is what can be lost: what machines last showed, the ends not yet recorded, stops that were
decided."""

import threading
from collections import deque
from collections.abc import Callable, Container
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet.machines import Machine, StopOrder
from roadbend.fleet.terminations import TaskKey, Termination, Terminations
from roadbend.log import Log
from roadbend.partitions.leadership import Leadership
from roadbend.placement import ends, gangs, quotas, starts
from roadbend.placement.context import ControllerContext
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, FreeCapacity
from roadbend.placement.heartbeats import HeartbeatHandler
from roadbend.placement.pending_queue import PendingQueue
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.queue_projection import QueueProjections
from roadbend.placement.recovery_hooks import PartitionRecovery
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys, records
from roadbend.store.client import ConflictError, TooLargeError, UnavailableError, commit, put
from roadbend.store.record_view import JobSlice, MachineAttempts
from roadbend.store.records import Attempt, Job, Resources

log = Log("placement")
# A transaction gathers what comes within this time.
STEP_GAP = timedelta(milliseconds=90)
# For how many times as long as a step took to work out the next one waits at the least, and how
# long that may be: where steps take long, reports are to be answered between them.
STEP_REST = 2
STEP_REST_MOST = timedelta(seconds=1)


class PartitionLeader:
    """An owner's work on one partition for one term. Its lock guards all fields that are not lent
    to the objects it is made of."""

    def __init__(self, context: ControllerContext, leadership: Leadership):
        self.lock = threading.RLock()
        self.context, self.leadership, self.partition = context, leadership, leadership.partition
        self.machines: dict[str, Machine] = {}
        self.ended = Terminations()
        self.stops: dict[TaskKey, StopOrder] = {}
        # How long what was started had queued here, and since when what waits does.
        self.waits: deque[timedelta] = deque(maxlen=64)
        self.queued: dict[str, datetime] = {}
        self.wake_up = trio.Event()
        # Steps begun and ended, for reports that wait for one; the event is set at every end.
        self.step_ended = trio.Event()
        self.steps_begun = self.steps_ended = 0
        self._step_took = clock.ZERO
        # Pairs that just failed: a job's task is not put on the same machine again at once.
        self.avoid: dict[str, dict[str, datetime]] = {}
        self.backoff: dict[str, tuple[int, datetime]] = {}
        # Rooms that boot, filled in by rental, and machines hired in this term that have not
        # reported yet.
        self.booting: list[FreeCapacity] = []
        self.rented: set[str] = set()
        self.left: list[PendingTasks] = []
        self.sequence = 0
        self.width = records.shard_width(context.settings.value_bytes)
        self.queue = PendingQueue(self)
        self.projections = QueueProjections(self)
        self.heartbeats = HeartbeatHandler(self)
        # Machines on which room is being made, for which job, and until when it is kept.
        self.reservations: dict[str, tuple[str, datetime]] = {}
        # Machines on which room is kept for a gang, and until when; see `gang_room`.
        self.gang_reservations_by_machine: dict[str, tuple[str, datetime]] = {}
        # Since when jobs are kept from room that fits them for the sake of others.
        self.passed_over: dict[str, datetime] = {}
        # Until when no more room is kept for gangs, see `gang_room`.
        self.keeping_until = clock.ORIGIN
        # Types that waiting services are kept from for now.
        self.withheld_types: dict[str, frozenset[str]] = {}
        # Conditions of the last transaction, if nobody knows whether it was, or will be, carried
        # out.
        self.in_doubt: dict[str, int] = {}
        # Machines without its image that a service keeps off for a moment.
        self.without_image: dict[str, set[str]] = {}
        # Machines named in the transaction whose answer is out; they must not be returned
        # meanwhile.
        self.in_flight: set[str] = set()
        # Starts that were just recorded and must not wait for a report, and who tells their
        # machines.
        self.urgent: dict[str, list[tuple[TaskKey, Attempt]]] = {}
        self.order_now: (
            Callable[[PartitionLeader, str, list[tuple[TaskKey, Attempt]]], None] | None
        ) = None
        # Machines on which a gang that gathers has lost a task, by job: its attempt goes on
        # elsewhere.
        self.lost_on: dict[str, tuple[int, set[str]]] = {}
        # Gangs of which a partition is recorded and the rest still to be, with their attempt's
        # number.
        self.filling: dict[str, int] = {}
        # Gangs that are to be apart: the last attempt of which this partition started its share.
        self.joined: dict[str, int] = {}
        # Such gangs whose attempt is over: all shares are to be bid for anew.
        self.to_release: set[str] = set()
        # Fewer changes in a transaction than the settings say, once the service has found one too
        # large.
        self.most_rows: int | None = None
        self.reserved_at: dict[str, datetime] = {}
        # Asked before the records are acted on; answers otherwise where recovery is switched on.
        self.recovery = PartitionRecovery()

    # Looking at the records.

    def by_machine(self) -> dict[str, MachineAttempts]:
        return self.context.view.attempts_by_machine.get(self.partition, {})

    def job_slices(self) -> dict[str, JobSlice]:
        return self.context.view.job_slices.get(self.partition, {})

    def live(self, job: str) -> Job | None:
        return None if job in self.context.cancellations.jobs else self.context.view.jobs.get(job)

    def capacities(
        self, ended: Container[TaskKey] = (), least: Resources | None = None
    ) -> list[FreeCapacity]:
        """Machines that may be given work, with what the records leave free on them; `ended`:
        attempts that the transaction in the making takes out. `least`: only those that have so much
        room."""
        now, machine_types, machine_versions = (
            clock.now(),
            self.context.machine_types,
            self.context.view.machine_versions.get(self.partition, {}),
        )
        back: dict[str, list[Resources]] = {}
        for key in ended:
            job_slice = self.job_slices().get(key[0])
            attempt = job_slice.attempts.get(key[1]) if job_slice is not None else None
            if attempt is not None:
                back.setdefault(attempt.machine, []).append(job_slice.resources)
        silent, out = self.context.settings.heartbeat_interval * 2.2, []
        for machine in self.machines.values():
            machine_type = machine_types.get(machine.machine_type)
            if machine_type is None or not self.usable(machine, now, silent):
                continue
            whole, mark = machine_type.capacity, machine_versions.get(machine.id, 0)
            if machine.free is None or machine.free[0] != mark:
                machine.free = (mark, *self._left(machine.id, whole))
            _, cpus, gpus, memory = machine.free
            for resources in back.get(machine.id, ()):
                cpus, gpus, memory = (
                    cpus + resources.cpus,
                    gpus + resources.gpus,
                    memory + resources.memory,
                )
            if least is not None and (
                least.gpus > gpus + RESOURCE_TOLERANCE
                or least.cpus > cpus + RESOURCE_TOLERANCE
                or least.memory > memory + RESOURCE_TOLERANCE
            ):
                continue
            out.append(
                FreeCapacity(
                    machine.id,
                    machine.machine_type,
                    machine.zone,
                    machine.spot,
                    cpus,
                    gpus,
                    memory,
                    machine.images,
                    whole,
                    0.0,
                    machine_type.spot_price if machine.spot else machine_type.price,
                    machine_type.fetch_gb_per_s,
                )
            )
        return out

    def _left(self, machine: str, whole: Resources) -> tuple[float, float, float]:
        """What the records leave free of a machine."""
        cpus, gpus, memory = whole.cpus, whole.gpus, whole.memory
        for job_slice, _ in self.by_machine().get(machine, {}).values():
            resources = job_slice.resources
            cpus, gpus, memory = (
                cpus - resources.cpus,
                gpus - resources.gpus,
                memory - resources.memory,
            )
        return cpus, gpus, memory

    def usable(self, machine: Machine, now: datetime, silent: timedelta) -> bool:
        lifecycle, token = machine.lifecycle, machine.token
        return (
            lifecycle.draining is None
            and lifecycle.reclaim_at is None
            and not lifecycle.fencing
            and machine.unrecorded_tasks == 0
            # Until a machine has carried our token it may be a late copy of a report that we see;
            # one that we hired in this term and that reports for the first time is no such thing.
            and (token.confirmed or token.newly_created)
            and machine.contact.fresh(now, silent)
            and len(machine.failures) < self.context.operator.error_limit
        )

    # Reports.

    def stop(
        self, key: TaskKey, attempt: Attempt, grace: timedelta, why: str, now: datetime
    ) -> None:
        self.stops[key] = StopOrder(attempt.number, grace, why, now, attempt.machine)
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            machine.last_evaluation.invalidate()

    def _stop_useless(self, key: TaskKey, attempt: Attempt, now: datetime) -> None:
        stop = self.stops.get(key)
        if stop is None or stop.attempt != attempt.number or stop.grace > clock.ZERO:
            self.stop(key, attempt, clock.ZERO, "cancelled", now)

    def stop_dead(self, now: datetime) -> None:
        """Tasks whose job is over or cancelled are stopped without grace: their work is useless."""
        for name, job_slice in self.job_slices().items():
            if job_slice.attempts and self.live(name) is None:
                for task_index, attempt in job_slice.attempts.items():
                    self._stop_useless((name, task_index), attempt, now)

    # The loop.

    async def run(self) -> None:
        while self.context.election.leadership(self.partition) == self.leadership:
            with trio.move_on_after(0.5):
                await self.wake_up.wait()
            again = True
            while again and self.context.election.leadership(self.partition) == self.leadership:
                # Together with what comes in the next moment: fewer and fuller transactions.
                await clock.pause(max(STEP_GAP, min(STEP_REST_MOST, self._step_took * STEP_REST)))
                self.wake_up = trio.Event()
                self.steps_begun += 1
                try:
                    again = await self.step()
                except UnavailableError:
                    # Whether it was carried out shows in the records; every later write is
                    # conditional.
                    await clock.pause(timedelta(milliseconds=200))
                    again = False
                except Exception:
                    log.crash("scheduling-step-failed", partition=self.partition)
                    await clock.pause(timedelta(seconds=1))
                    again = False
                finally:
                    self.steps_ended = self.steps_begun
                    step_ended, self.step_ended = self.step_ended, trio.Event()
                    step_ended.set()

    async def step(self) -> bool:
        now = clock.now()
        if not self.context.election.may_start(now):
            return False
        if self.in_doubt and not await self._resolve_in_doubt():
            return False
        # The budget comes first: what waits for it then goes out in one transaction, not in many.
        await self.context.state.ready()
        now = clock.now()
        if not self.context.election.may_start(now):
            return False
        with self.lock:
            self.stop_dead(now)
            gangs.keep_whole(self, now)
            self._tidy(now)
            transaction = TransactionBuilder(
                self.context.view,
                self.partition,
                self.leadership,
                self.context.settings,
                self.most_rows,
            )
            more = ends.record_ends(self, transaction, now)
            more = self.recovery.adopt(transaction, now) or more
            more = starts.start(self, transaction, now) or more
            quotas.reserve(self, transaction, now)
            self._step_took = clock.now() - now
        if not transaction.changes:
            return False
        rows = list(transaction.changes.values())
        self.ended.begin_transaction(transaction.ended_attempts)
        self.in_flight = {
            a.machine for piece in transaction.slices.values() for a in piece.attempts.values()
        }
        try:
            revision = await commit(
                self.context.state, transaction.conditions, rows, within=timedelta(seconds=3)
            )
        except TooLargeError as error:
            # Certainly not carried out, and never would be: next time in smaller pieces.
            log.error(
                "transaction-oversized",
                partition=self.partition,
                changes=len(rows),
                error=str(error),
            )
            self.most_rows = max(2, len(rows) // 2)
            self.ended.end_transaction()
            raise
        except UnavailableError:
            self.in_doubt = dict(transaction.conditions)
            raise
        except ConflictError as conflict:
            log.debug("transaction-conflict", partition=self.partition, failed_keys=conflict.failed)
            # It may be our own success, of which the answer was lost: until the records have been
            # read, nobody knows.
            self.in_doubt = dict(transaction.conditions)
            return await self._resolve_in_doubt()
        else:
            self.context.view.applied(rows, revision)
            self.ended.end_transaction()
            for call in transaction.after:
                call()
            for job, status in transaction.jobs_over:
                self.context.observer.job_over(job, status)
            self._order_urgent()
        finally:
            self.in_flight = set()
        return more

    def _order_urgent(self) -> None:
        """What must start at once is ordered directly, as soon as it is recorded; the rest with the
        next report."""
        urgent, self.urgent = self.urgent, {}
        if self.order_now is not None:
            for machine, rows in urgent.items():
                self.order_now(self, machine, rows)

    async def _resolve_in_doubt(self) -> bool:
        """A transaction without an answer may be carried out late. Starts are bounded by what is
        set aside and not by the team's record, so a late one would come on top of what was started
        since. Before anything else is written, one of its conditions is made false for good, or the
        records show that it was carried out."""
        view, in_doubt = self.context.view, self.in_doubt
        with trio.move_on_after(2):
            await self.context.reader.read_barrier()
            if any(
                view.mod_revision(key) != mod_revision for key, mod_revision in in_doubt.items()
            ):
                self._forget_in_doubt()
                return True
            for key, mod_revision in in_doubt.items():
                value = (
                    view.value(key)
                    if mod_revision and key != keys.term_key(self.partition)
                    else None
                )
                if value is None:
                    continue
                conditions = {
                    key: mod_revision,
                    keys.term_key(self.partition): self.leadership.mod_revision,
                }
                rows = [put(key, value)]
                try:
                    revision = await commit(
                        self.context.state, conditions, rows, within=timedelta(seconds=1.5)
                    )
                except (ConflictError, UnavailableError):
                    return False
                view.applied(rows, revision)
                log.info("in-doubt-transaction-resolved", partition=self.partition, key=key)
                self._forget_in_doubt()
                return True
        return False

    def _forget_in_doubt(self) -> None:
        """The records show what became of the last transaction."""
        self.in_doubt = {}
        self.ended.end_transaction()

    def _is_recorded(self, key: TaskKey, row: Termination | StopOrder) -> bool:
        """Whether the records still name the attempt, on that machine: the tasks of a gang are
        replaced under one number."""
        return self.recorded_attempt(key) == Attempt(row.attempt, row.machine)

    def recorded_attempt(self, key: TaskKey) -> Attempt | None:
        """A task's attempt by the partition's records."""
        job_slice = self.job_slices().get(key[0])
        return job_slice.attempts.get(key[1]) if job_slice is not None else None

    def _tidy(self, now: datetime) -> None:
        self.ended.keep_only(self._is_recorded)
        self.stops = {k: stop for k, stop in self.stops.items() if self._is_recorded(k, stop)}
        for job in [j for j in self.joined if self.live(j) is None]:
            del self.joined[job]
        self.to_release = {job for job in self.to_release if self.live(job) is not None}
        for job in [j for j, attempt in self.filling.items() if gangs.filled(self, j, attempt)]:
            del self.filling[job]
        for job in [
            job for job, (attempt, _) in self.lost_on.items() if gangs.number(self, job) != attempt
        ]:
            del self.lost_on[job]
        for job, pairs in list(self.avoid.items()):
            for machine in [m for m, until in pairs.items() if until <= now]:
                del pairs[machine]
            if not pairs:
                del self.avoid[job]
        waiting = {item.job.id for item in self.left}
        for rows in (self.reservations, self.gang_reservations_by_machine):
            for machine in [m for m, (j, at) in rows.items() if at <= now or j not in waiting]:
                del rows[machine]
        for job in [
            j for j, (_, until) in self.backoff.items() if until + timedelta(minutes=5) < now
        ]:
            del self.backoff[job]

    # Gone for certain.

    def gone(self, machine: str, cause: str) -> None:
        """Proof from outside a report: the cloud's answer to a deletion, or a lease that ran
        out."""
        with self.lock:
            for key, (_, attempt) in self.by_machine().get(machine, {}).items():
                self.ended.note(key, Termination(attempt.number, machine, False, cause))
            if machine in self.machines:
                self.machines[machine].last_evaluation.invalidate()
            if cause == "deleted":
                self.machines.pop(machine, None)
                self.rented.discard(machine)
                self.context.deleted_machines.add(machine)
        self.wake_up.set()
