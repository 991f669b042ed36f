"""The requester's side: ask everyone, draw, record the owner, tell those concerned."""

import random
from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta

import cbor2
import trio

from roadbend import clock
from roadbend.bidding import casa, messages
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import BidRequest
from roadbend.bidding.promises import Promises
from roadbend.bidding.responder import Responder
from roadbend.log import Log
from roadbend.partitions.policy import rendezvous
from roadbend.peers import frames
from roadbend.peers.frames import FrameError
from roadbend.peers.links import Link, NoReplyError, Peers
from roadbend.placement import apart_gangs, gangs
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.retry import drawn
from roadbend.store import keys, ranges, records
from roadbend.store.client import ConflictError, LeaseEndedError, UnavailableError, commit, put
from roadbend.store.records import Job

log = Log("bidding")
MAX_QUEUED = 2048
MAX_REOFFERED = 12
MAX_REFUSED = 3
# For how long it is remembered that nobody took a job.
FORGET_REFUSALS = timedelta(seconds=60)
# A job that has waited for so long goes to any partition that could start it now.
LONG_WAIT = timedelta(seconds=30)
# Shards of one job from which tasks move at once; each is a condition of the transaction.
MAX_SHARDS = 16


class Requester:
    """Asks all partitions for bids, records who got what, and offers again what waits too long."""

    def __init__(
        self,
        context: ControllerContext,
        peers: Peers,
        leaders: dict[str, PartitionLeader],
        closed: Callable[[str, datetime], set[tuple[str, bool]]],
        rng: random.Random,
    ):
        self._context, self._peers, self._leaders, self._closed, self._rng = (
            context,
            peers,
            leaders,
            closed,
            rng,
        )
        self._shadows: dict[str, Promises] = {}
        self._send, self._receive = trio.open_memory_channel(MAX_QUEUED)
        self._busy: set[str] = set()
        # When nobody took a job that was offered again.
        self._refused_at: dict[str, datetime] = {}
        peers.handlers[frames.FrameKind.REQUEST] = self._on_request
        peers.handlers[frames.FrameKind.ASSIGN] = self._on_assign
        peers.handlers[frames.FrameKind.REVOKE] = self._on_revoke
        peers.handlers[frames.FrameKind.INFORM] = self._on_inform
        peers.handlers[frames.FrameKind.GANG_REQUEST] = self._on_gang_request
        peers.handlers[frames.FrameKind.GANG_INFORM] = self._on_gang_inform

    # Bidding.

    def _bidder(self, partition: str) -> Responder:
        shadow = self._shadows.setdefault(partition, Promises(self._context.operator.promise_life))
        leader = self._leaders[partition]
        return Responder(
            leader,
            self._context.settings.name,
            lambda: self._closed(partition, clock.now()),
            shadow,
        )

    def bids(self, ask: BidRequest) -> list[Bid]:
        now = clock.now()
        out = []
        for partition, leader in list(self._leaders.items()):
            if self._context.election.leadership(
                partition
            ) != leader.leadership or not self._context.election.may_start(now):
                continue
            if partition == ask.from_partition:
                continue
            bid = self._bidder(partition).bid(ask, now)
            if bid is not None:
                out.append(bid)
        return out

    def _on_request(self, sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.bids(BidRequest.unpack(payload)))

    def _on_inform(self, sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.better(BidRequest.unpack(payload)))

    def _on_gang_request(self, sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.bids(BidRequest.unpack(payload).as_gang()))

    def _on_gang_inform(self, sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.better(BidRequest.unpack(payload).as_gang()))

    def better(self, ask: BidRequest) -> list[Bid]:
        """Bids for a job that waits elsewhere: only under both tests of algorithm 5."""
        operator, now, out = self._context.operator, clock.now(), []
        for bid in self.bids(ask):
            average = self._bidder(bid.partition).average_queuing(now)
            estimate = casa.response_time(bid, operator.omega)
            # A partition that can start it now takes what has waited for long, whatever waits here
            # for other machines: by the averages alone a job can wait for ever beside room that
            # fits it.
            if ask.requester_response is not None and (
                casa.accepts_reschedule(
                    estimate, ask.requester_response, average, ask.requester_average, operator.varpi
                )
                or bid.startable_now > 0
                and ask.waited >= LONG_WAIT
            ):
                out.append(bid)
            else:
                self._shadows[bid.partition].revoke(ask.job)
        return out

    def _on_assign(self, sender: str, payload: bytes) -> bytes:
        """The record decides; the message brings it sooner."""
        assignment = messages.Assignment.unpack(payload)
        job, value, mod_revision = assignment.job, assignment.value, assignment.mod_revision
        for shadow in self._shadows.values():
            shadow.revoke(job)
        view = self._context.view
        if value and mod_revision > view.revision:
            try:
                view.put(keys.job_key(job), cbor2.loads(value), mod_revision)
            except Exception as error:  # cbor2 raises many kinds on hostile input
                raise FrameError("assign") from error
        for leader in self._leaders.values():
            leader.steps.request()
        return b""

    def _on_revoke(self, sender: str, payload: bytes) -> None:
        job = messages.Revocation.unpack(payload).job
        for shadow in self._shadows.values():
            shadow.revoke(job)

    # Requesting.

    def submit(self, job: str) -> None:
        """Queues a job for bidding; when the queue is full the periodic look finds it."""
        if job in self._busy:
            return
        try:
            self._send.send_nowait(job)
            self._busy.add(job)
        except trio.WouldBlock:
            pass

    async def run_worker(self) -> None:
        async for job in self._receive:
            try:
                await self._distribute(job)
            except (UnavailableError, LeaseEndedError):
                pass
            except Exception:
                log.crash("bidding-failed", job=job)
            finally:
                self._busy.discard(job)

    async def run_rebid(self) -> None:
        """Any live controller offers a recorded job that nobody holds; the hash says who tries
        first."""
        operator = self._context.operator
        waiting: dict[str, tuple[datetime, datetime]] = {}
        while True:
            await clock.pause(operator.rebid_every)
            now = clock.now()
            names = [self._context.settings.name, *self._peers.alive(now)]
            free = [job.id for job in self._context.view.jobs.values() if job.unassigned]
            waiting = {name: waiting.get(name, (now, now)) for name in free}
            for name, (since, due) in waiting.items():
                if now < due:
                    continue
                mine = rendezvous(name, names) == self._context.settings.name
                if mine or now - since > operator.rebid_every * 4:
                    # The longer it has found nobody, the less often it asks: a burst must not be
                    # all bids.
                    waiting[name] = (
                        since,
                        now + drawn(min((now - since) * 0.4, operator.rebid_every * 4), self._rng),
                    )
                    self.submit(name)

    async def _ask(
        self, link: Link, kind: frames.FrameKind, payload: bytes, out: list[Bid]
    ) -> None:
        try:
            out += messages.unpack_bids(
                await link.call(kind, payload, self._context.operator.bid_wait)
            )
        except NoReplyError:
            pass
        except FrameError as error:
            log.error("bid-malformed", peer=link.peer.name, error=str(error))

    async def gather(self, ask: BidRequest) -> list[Bid]:
        again = ask.requester_response is not None
        bids = self.better(ask) if again else self.bids(ask)
        kind, payload = frames.FrameKind.INFORM if again else frames.FrameKind.REQUEST, ask.pack()
        if ask.spec.gang:
            kind = frames.FrameKind.GANG_INFORM if again else frames.FrameKind.GANG_REQUEST
        async with trio.open_nursery() as nursery:
            for link in self._peers.links.values():
                if not ask.spec.gang or link.known.supports(frames.GANGS_EXTENSION):
                    nursery.start_soon(self._ask, link, kind, payload, bids)
        # One bid a partition: while ownership moves, two may answer for it.
        return list({bid.partition: bid for bid in bids}.values())

    @staticmethod
    def _left(job: Job) -> timedelta | None:
        return None if job.deadline is None else job.deadline - clock.wall()

    async def _distribute(self, name: str) -> None:
        view = self._context.view
        for _ in range(3):
            job = view.jobs.get(name)
            if job is None or not job.unassigned or name in self._context.cancellations.jobs:
                return
            if self._context.recovery.holds_back(name):
                return
            waited = max(clock.ZERO, clock.wall() - job.submitted_at)
            ask = BidRequest(
                job=name,
                requests=len(self._peers.links) + 1,
                tasks=ranges.size(job.unassigned),
                spec=job.spec,
                waited=waited,
            )
            bids = await self.gather(ask)
            job = view.jobs.get(name)
            if job is None:
                return
            shares = casa.allocate(
                job, bids, self._context.operator.omega, self._rng, time_left=self._left(job)
            )
            if not shares:
                log.debug("no-bids-received", job=name, bids=len(bids))
                return
            fresh = job
            for partition, piece in shares.items():
                fresh = fresh.with_partition(
                    partition, ranges.union(fresh.allocation.get(partition, ()), piece)
                )
            if fresh.weight > self._context.settings.value_bytes * 0.8:
                # Too many ranges for one value: what is held ends first.
                return
            if await self.move(job, fresh, bids, set(shares), {}):
                return

    # Offering again (sections 4.4 and 4.5).

    async def run_reoffer(self) -> None:
        while True:
            await clock.pause(self._context.operator.reoffer_every)
            for leader in list(self._leaders.values()):
                try:
                    await self._reoffer(leader)
                except (UnavailableError, LeaseEndedError):
                    pass
                except Exception:
                    log.crash("rescheduling-failed", partition=leader.partition)

    async def _reoffer(self, leader: PartitionLeader) -> None:
        operator, now, partition = self._context.operator, clock.now(), leader.partition
        if not self._context.election.may_start(now) or partition not in self._leaders:
            return
        bidder = self._bidder(partition)
        await self._release_gangs(leader, now)
        average = bidder.average_queuing(now)
        waits: dict[str, timedelta] = {}
        for item in leader.queue.pending():
            since = leader.aging.queued_since(item.job.id)
            # A job that has just come cools down first, whatever the average; so it can't go to and
            # fro.
            if since is not None and now - since >= operator.cool_down:
                waits[item.job.id] = now - since
        due = [
            name
            for name, wait in waits.items()
            if casa.relative_delay(wait, average) >= operator.mu
        ]
        # What nobody took last time goes behind the rest: those that wait longest may fit nowhere,
        # and what waits behind them may.
        self._refused_at = {
            n: at for n, at in self._refused_at.items() if now - at < FORGET_REFUSALS
        }
        due.sort(key=lambda name: (self._refused_at.get(name, clock.ORIGIN), -waits[name]))
        refused = 0
        for name in due[:MAX_REOFFERED]:
            job = self._context.view.jobs.get(name)
            if (
                job is None
                or job.spec.zone is not None
                or self._leaders.get(partition) is not leader
            ):
                continue
            if apart_gangs.is_apart(job):
                # Its shares are given back together.
                continue
            # Where nobody takes what waits longest, all is full: the rest is not asked about now.
            if await self._offer_again(leader, bidder, job, average):
                refused = 0
                continue
            refused += 1
            self._refused_at[name] = clock.now()
            if refused >= MAX_REFUSED:
                break

    async def _release_gangs(self, leader: PartitionLeader, now: datetime) -> None:
        """Gives back gangs of which several partitions hold tasks, so that they are bid for anew:
        those that are to be apart when they have waited for long, for one of the shares may find no
        room where it is; others at once, since one partition must hold them whole."""
        for name in list(self._context.view.assigned_jobs.get(leader.partition, ())):
            job = self._context.view.jobs[name]
            if not job.spec.gang or name in self._context.cancellations.jobs:
                continue
            waits_long = leader.aging.waited(name, now) >= LONG_WAIT
            due = apart_gangs.is_apart(job) and (
                waits_long or leader.gang_attempts.is_to_release(name)
            )
            if not due and not gangs.is_scattered(job):
                continue
            conditions = apart_gangs.may_release(leader, job)
            if conditions is None or len(conditions) > 4 * self._context.settings.txn_ops - 1:
                continue
            if await self.move(job, replace(job, allocation={}), [], set(), conditions):
                log.info(
                    "gang-released", partition=leader.partition, job=name, tasks=job.spec.task_count
                )
                leader.aging.forget(name)
                leader.gang_attempts.note_released(name)
                self.submit(name)

    async def _offer_again(
        self, leader: PartitionLeader, bidder: Responder, job: Job, average: timedelta
    ) -> bool:
        """Says whether anybody bid."""
        operator, partition = self._context.operator, leader.partition
        unplaced = leader.queue.unplaced(job)
        whole = job.spec.together or job.spec.gang
        if not unplaced or (whole and unplaced != job.allocation.get(partition)):
            return True
        waited = max(clock.ZERO, clock.wall() - job.submitted_at)
        theirs = bidder.estimate_response_time(job)
        ask = BidRequest(
            job=job.id,
            requests=len(self._peers.links) + 1,
            tasks=ranges.size(unplaced),
            spec=job.spec,
            from_partition=partition,
            requester_response=theirs,
            requester_average=average,
            waited=waited,
        )
        bids = await self.gather(ask)
        if not bids:
            return False
        # Only tasks not yet placed move. An in-flight start of ours would change the slice's stamp,
        # and the move is made on that stamp too: a task can't both start here and go.
        job = self._context.view.jobs.get(job.id)
        if job is None or self._leaders.get(partition) is not leader:
            return True
        view, width = self._context.view, records.shard_width(self._context.settings.value_bytes)
        # As many shards as conditions leave room for; the rest is offered next time.
        unplaced = leader.queue.unplaced(job)
        # Those that would begin here sooner than the best bidder could have them stay.
        soonest = (
            min(casa.response_time(bid, operator.omega) for bid in bids)
            - job.spec.expected_duration
        )
        stay = sum(1 for start in bidder.start_times(job) if start <= soonest.total_seconds())
        if job.spec.gang:
            # It begins with its last task, and goes as a whole.
            stay = stay if stay == ranges.size(unplaced) else 0
        unplaced = ranges.minus(unplaced, ranges.first(unplaced, stay))
        # Each is a condition of the transaction, beside the job's and the term's.
        most = 4 * self._context.settings.txn_ops - 2
        if not job.spec.gang:
            most = min(most, MAX_SHARDS)
        shards = sorted(
            {n // width for low, high in unplaced for n in (*range(low, high, width), high - 1)}
        )[:most]
        unplaced = tuple(
            (max(a, n * width), min(b, (n + 1) * width))
            for n in shards
            for a, b in unplaced
            if a < (n + 1) * width and b > n * width
        )
        unplaced = ranges.normal(unplaced)
        also = {keys.term_key(partition): leader.leadership.mod_revision}
        for n in shards:
            key = keys.slice_key(partition, job.id, n)
            also[key] = view.mod_revision(key)
        if not unplaced or job.spec.gang and ranges.size(unplaced) < job.spec.task_count:
            return True
        without = job.with_partition(
            partition, ranges.minus(job.allocation.get(partition, ()), unplaced)
        )
        shares = casa.allocate(without, bids, operator.omega, self._rng, time_left=self._left(job))
        shares.pop(partition, None)
        if not shares:
            return True
        gone = ranges.normal(pair for rs in shares.values() for pair in rs)
        fresh = job.with_partition(partition, ranges.minus(job.allocation.get(partition, ()), gone))
        for other, piece in shares.items():
            fresh = fresh.with_partition(
                other, ranges.union(fresh.allocation.get(other, ()), piece)
            )
        if fresh.weight > self._context.settings.value_bytes * 0.8:
            return True
        if await self.move(job, fresh, bids, set(shares), also):
            log.info(
                "tasks-rescheduled",
                job=job.id,
                tasks=ranges.size(gone),
                from_partition=partition,
                to_partitions=",".join(sorted(shares)),
            )
        return True

    async def move(
        self, job: Job, fresh: Job, bids: list[Bid], chosen: set[str], also: dict[str, int]
    ) -> bool:
        """Records who holds what; that is the assignment. `also`: further stamps that must hold."""
        view, key = self._context.view, keys.job_key(job.id)
        value = fresh.to_small_value(int(self._context.settings.value_bytes * 0.95))
        rows = [put(key, value)]
        conditions = {key: job.mod_revision, **also}
        try:
            revision = await commit(
                self._context.state, conditions, rows, within=timedelta(seconds=3)
            )
        except ConflictError:
            with trio.move_on_after(1):
                await self._context.reader.read_barrier()
            return False
        view.applied(rows, revision)
        self._context.observer.job_assigned(fresh, sorted(chosen))
        log.debug(
            "job-allocated",
            job=job.id,
            to=",".join(f"{p}:{ranges.size(fresh.allocation.get(p, ()))}" for p in sorted(chosen)),
            bids=" ".join(self._describe(bid) for bid in bids),
        )
        tell = {bid.controller for bid in bids if bid.partition in chosen}
        body = messages.Assignment(job.id, cbor2.dumps(value), revision).pack()
        revoke = messages.Revocation(job.id).pack()
        for shadow in self._shadows.values():
            shadow.revoke(job.id)
        async with trio.open_nursery() as nursery:
            for link in self._peers.links.values():
                if link.peer.name in tell:
                    nursery.start_soon(self._say, link, frames.FrameKind.ASSIGN, body)
                else:
                    nursery.start_soon(self._say, link, frames.FrameKind.REVOKE, revoke)
        for leader in self._leaders.values():
            leader.steps.request()
        return True

    def _describe(self, bid: Bid) -> str:
        """A bid as the log shows it: partition, response time, tasks to start now, tasks in all."""
        seconds = casa.response_time(bid, self._context.operator.omega).total_seconds()
        return f"{bid.partition}:{seconds:.1f}/{bid.startable_now}/{bid.capacity}"

    async def _say(self, link: Link, kind: frames.FrameKind, payload: bytes) -> None:
        # An assign is answered (the paper's receipt); a revoke is not, and may get lost.
        try:
            if kind == frames.FrameKind.ASSIGN:
                await link.call(kind, payload, self._context.operator.bid_wait)
            else:
                await link.notify(kind, payload)
        except NoReplyError:
            pass
