"""Owning partitions.

A partition belongs to the controller that holds its leased key. Taking one over raises the term in
the same transaction; the term is the workers' token and its record's stamp guards every write of an
owner, so a former owner's late transactions fail whatever it believes."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.partitions import policy
from roadbend.peers.links import Peers
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store import keys
from roadbend.store.client import (
    ConflictError,
    LeaseEndedError,
    RefusedError,
    StateStoreClient,
    UnavailableError,
    commit,
    delete,
    put,
)
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

log = Log("partitions")
# An owner starts tasks only on records that it read this lately; so whoever records a cancellation
# knows from when on nobody can start its tasks any more without knowing of it.
START_FRESH = timedelta(seconds=2)
# How long the loop waits for a read at most. In an outage it must not stand there: it renews the
# lease of all our partitions, and hands over what isn't ours to keep.
READ_WITHIN = timedelta(seconds=2)


@dataclass(frozen=True)
class Leadership:
    """Our ownership of a partition under one term."""

    partition: str
    term: int
    mod_revision: int
    acquired_at: datetime


class LeaderElection:
    """Which partitions this controller owns, and for how long it may act on that."""

    def __init__(
        self,
        settings: PlatformSettings,
        operator: OperatorSettings,
        incarnation: str,
        state: StateStoreClient,
        view: RecordView,
        reader: RecordReader,
        peers: Peers,
    ):
        self.lock = threading.RLock()
        self._settings, self._operator, self._incarnation = settings, operator, incarnation
        self._state, self._view, self._reader, self._peers = state, view, reader, peers
        self._zones = {settings.name: settings.zone, **{p.name: p.zone for p in settings.peers}}
        self._lease_id: int | None = None
        self._valid: datetime | None = None
        self._renewed: datetime | None = None
        self._absent: dict[str, datetime] = {}
        self._alive_since: dict[str, datetime] = {}
        self._declining_until: dict[str, datetime] = {}
        # Terms that machines have seen and the records have lost, by partition.
        self._lost_terms: dict[str, int] = {}
        self.leaderships: dict[str, Leadership] = {}
        self.changed: list[Callable[[str], None]] = []

    # What others ask.

    def partitions(self) -> list[str]:
        zones = set(self._settings.zones) | set(self._zones.values())
        catalog = self._view.catalog
        if isinstance(catalog, list):
            zones.update(z for machine_type in catalog for z in machine_type.get("yards", ()))
        return sorted(zones)

    def leadership(self, partition: str) -> Leadership | None:
        return self.leaderships.get(partition)

    def may_start(self, now: datetime) -> bool:
        """Our lease counts and the records were read lately: cancellations reach us soon."""
        contact = self._reader.contact
        return (
            self._valid is not None
            and now < self._valid
            and contact is not None
            and now - contact < START_FRESH
        )

    def may_renew(self, now: datetime) -> bool:
        s = self._settings
        until = policy.renew_until(
            self._reader.contact,
            [link.known for link in self._peers.links.values()],
            s.cancel_within,
            s.lease,
            self._operator.state_margin,
        )
        return until is not None and now < until

    def leader_of(self, partition: str) -> str | None:
        own = self._view.partition_leaders.get(partition)
        return own.controller if own else None

    # What happens to us.

    def depose(self, partition: str, term: int) -> None:
        """Somebody holds a higher term; whoever says so, we step down at once."""
        with self.lock:
            mine = self.leaderships.get(partition)
            if mine is None or mine.term >= term:
                return
            del self.leaderships[partition]
        log.info("leadership-deposed", partition=partition, term=mine.term, higher_term=term)
        self._tell(partition)

    def raise_above(self, partition: str, term: int) -> None:
        """Machines have seen a term that the records have lost: as long as ours is not above it
        they refuse our answers. The partition is taken again under a higher one."""
        self._lost_terms[partition] = max(term, self._lost_terms.get(partition, 0))

    def on_record(self, key: str) -> None:
        if key.startswith("r/term/"):
            for partition, term in list(self._view.terms.items()):
                self.depose(partition, term.number)

    def _drop_all(self, why: str) -> None:
        with self.lock:
            partitions = list(self.leaderships)
            self.leaderships.clear()
        for partition in partitions:
            log.info("leadership-lost", partition=partition, reason=why)
            self._tell(partition)

    def _tell(self, partition: str) -> None:
        for call in self.changed:
            call(partition)

    # The loop.

    async def run(self) -> None:
        while True:
            try:
                if self._view.loaded:
                    await self._keep_lease()
                    if self._lease_id is not None:
                        await self._consider()
            except (RefusedError, NoAnswerError, UnavailableError):
                pass
            except Exception:
                log.crash("election-failed")
            await clock.pause(timedelta(milliseconds=300))

    async def _keep_lease(self) -> None:
        ttl = self._operator.own_lease
        now = clock.now()
        if (
            self._lease_id is not None
            and self._renewed is not None
            and now - self._renewed < ttl / 3
        ):
            return
        try:
            if self._lease_id is None:
                lease_id = await self._state.lease(ttl)
                await self._announce(lease_id)
                self._lease_id = lease_id
            else:
                await self._state.renew(self._lease_id)
                mine = self._view.controllers.get(self._settings.name)
                if mine is None or mine.incarnation != self._incarnation:
                    # A late transaction of a former life, or of a lease that we gave up, took it
                    # away.
                    await self._announce(self._lease_id)
        except ConflictError:
            # Somebody of this name wrote it meanwhile, or our own unanswered try went through; that
            # may hang on a lease that nobody renews. It is written anew on what is there now, under
            # a lease that we renew.
            await self._read()
            return
        except LeaseEndedError:
            # Our keys are gone with it; what we owned may already be someone else's.
            self._lease_id = self._valid = self._renewed = None
            self._drop_all("lease ended")
            return
        # Counted from before the renewal was sent, shortened for drift.
        self._renewed = now
        self._valid = now + ttl * (1 - 2 * clock.DRIFT) - timedelta(milliseconds=200)

    async def _announce(self, lease_id: int) -> None:
        """Our name among the live ones. A former life may still have the same transaction on its
        way: with what was there as the condition, it can't come after ours."""
        key = keys.controller_key(self._settings.name)
        rows = [put(key, {"boot": self._incarnation}, lease_id)]
        conditions = {key: self._view.mod_revision(key)}
        self._view.applied(
            rows,
            await commit(
                self._state, conditions, rows, within=self._operator.own_lease / 2, urgent=True
            ),
        )

    async def _read(self) -> bool:
        """Waits for a read that begins now; says whether it came in time."""
        with trio.move_on_after(READ_WITHIN.total_seconds()):
            await self._reader.read_barrier()
            return True
        return False

    def _live(self, now: datetime) -> set[str]:
        live = set(self._view.controllers) | {self._settings.name}
        for name in live:
            self._alive_since.setdefault(name, now)
        for name in set(self._alive_since) - live:
            del self._alive_since[name]
        return live

    async def _consider(self) -> None:
        now = clock.now()
        if self._reader.contact is None or now - self._reader.contact > timedelta(seconds=2):
            return
        me = self._settings.name
        live = self._live(now)
        for partition in self.partitions():
            own = self._view.partition_leaders.get(partition)
            mine = self.leaderships.get(partition)
            if own is None:
                since = self._absent.setdefault(partition, now)
                if mine is not None:
                    self._forget(partition, "key gone")
                if now < self._declining_until.get(partition, now) and len(live) > 1:
                    continue
                first = policy.preferred(
                    partition, self._zones, live - self._declining(partition, now)
                )
                grace = clock.ZERO if first == me else self._operator.takeover_grace * 2
                local = self._zones.get(me) == partition
                if not local and not any(self._zones.get(n) == partition for n in live):
                    # Its own controller is not up: at the start it is likely on its way.
                    grace += self._operator.takeover_grace
                if now - since >= grace:
                    await self._take(partition, 0, now)
                continue
            self._absent.pop(partition, None)
            if own.controller == me and own.incarnation != self._incarnation:
                # Ours from before a restart: back at once, under a new term.
                await self._take(partition, own.mod_revision, now)
            elif own.controller == me and mine is None:
                await self._release(partition)
            elif (
                mine is not None
                and own.controller == me
                and self._lost_terms.get(partition, 0) >= mine.term
            ):
                log.info(
                    "term-raised",
                    partition=partition,
                    term=mine.term,
                    seen_term=self._lost_terms[partition],
                )
                await self._take(partition, own.mod_revision, now)
            elif mine is not None and own.controller != me:
                self._forget(partition, "held by another")
            elif mine is not None:
                await self._maybe_hand_over(partition, mine, live, now)

    def _declining(self, partition: str, now: datetime) -> set[str]:
        me = self._settings.name
        return {me} if now < self._declining_until.get(partition, now) else set()

    def _forget(self, partition: str, why: str) -> None:
        with self.lock:
            gone = self.leaderships.pop(partition, None)
        if gone is not None:
            log.info("leadership-lost", partition=partition, reason=why)
            self._tell(partition)

    async def _take(self, partition: str, own_mod_revision: int, now: datetime) -> None:
        old = self._view.terms.get(partition)
        number = max(old.number if old else 0, self._lost_terms.get(partition, 0)) + 1
        me = self._settings.name
        rows = [
            put(keys.term_key(partition), {"n": number, "node": me}),
            put(
                keys.leader_key(partition),
                {"node": me, "boot": self._incarnation, "term": number},
                self._lease_id,
            ),
        ]
        conditions = {
            keys.term_key(partition): old.mod_revision if old else 0,
            keys.leader_key(partition): own_mod_revision,
        }
        try:
            revision = await commit(
                self._state, conditions, rows, within=self._operator.own_lease / 2, urgent=True
            )
        except ConflictError:
            # Somebody was faster, or an unanswered try of our own went through: the records tell.
            if not await self._read():
                return
            own, term = self._view.partition_leaders.get(partition), self._view.terms.get(partition)
            if not (
                own
                and term
                and own.incarnation == self._incarnation
                and own.controller == me
                and own.term == term.number
            ):
                return
            revision, number = term.mod_revision, term.number
        except LeaseEndedError:
            self._lease_id = None
            self._drop_all("lease ended")
            return
        self._view.applied(rows, revision)
        # Whatever was written before our term must be in the view before we act on it. Where it
        # can't be had, the partition is not ours: the key that we wrote is given up as soon as the
        # records are back.
        if not await self._read():
            return
        term = self._view.terms.get(partition)
        if term is None or term.number != number or term.controller != me:
            return
        # If its own controller is alive and still left it to us, it is not handed back at once.
        for name, zone in self._zones.items():
            if zone == partition and name != me and name in self._view.controllers:
                self._declining_until[f"{partition}>{name}"] = now + timedelta(seconds=25)
        with self.lock:
            self.leaderships[partition] = Leadership(
                partition, number, term.mod_revision, clock.now()
            )
        log.info("leadership-acquired", partition=partition, term=number)
        self._tell(partition)

    async def _release(self, partition: str) -> None:
        own = self._view.partition_leaders.get(partition)
        if own is None:
            return
        rows = [delete(keys.leader_key(partition))]
        try:
            revision = await commit(
                self._state,
                {keys.leader_key(partition): own.mod_revision},
                rows,
                within=timedelta(seconds=2),
                urgent=True,
            )
            self._view.applied(rows, revision)
        except ConflictError:
            await self._read()

    async def _maybe_hand_over(
        self, partition: str, mine: Leadership, live: set[str], now: datetime
    ) -> None:
        me = self._settings.name
        first = policy.preferred(partition, self._zones, live)
        if first == me or first is None or now - mine.acquired_at < self._operator.hand_back_after:
            return
        if self._zones.get(first) != partition or self._zones.get(me) == partition:
            return
        link = self._peers.links.get(first)
        if (
            link is None
            or not link.alive(now)
            or now - self._alive_since[first] < self._operator.hand_back_after
        ):
            return
        heartbeat = link.known.heartbeat
        if (
            heartbeat is None
            or heartbeat.contact_age is None
            or heartbeat.contact_age > timedelta(seconds=2)
        ):
            return
        if now < self._declining_until.get(f"{partition}>{first}", now):
            return
        log.info("failback-started", partition=partition, to_controller=first)
        self._declining_until[partition] = now + self._operator.takeover_grace * 4
        self._declining_until[f"{partition}>{first}"] = now + timedelta(seconds=30)
        self._forget(partition, "handed back")
        await self._release(partition)

    async def hand_over_deaf(self, partition: str) -> None:
        """Our partition's workers reach others but not us."""
        now = clock.now()
        self._declining_until[partition] = now + timedelta(seconds=20)
        self._forget(partition, "deaf to its workers")
        await self._release(partition)
