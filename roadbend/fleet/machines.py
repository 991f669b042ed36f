"""A part's machines as their owner knows them, and which of their reports are taken in."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roadbend.fleet.ended_attempts import Key
from roadbend.fleet.messages import Report


@dataclass
class Seen:
    """A task as the machine last showed it."""

    attempt: int
    state: str
    since: datetime
    running_since: datetime | None = None


@dataclass
class Direct:
    """An order to start that went straight to the machine. It may be carried out late, so that the
    absence or the end of its attempt proves nothing before it is known what became of it: answered,
    with the machine's count then; or fenced, by a token that the machine must show first, since
    with it the order is refused."""

    attempt: int
    session: int
    order: tuple[int, int] | None = None
    fenced: bool = False


@dataclass
class Machine:
    """A machine of a part, as its owner knows it."""

    id: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    order: tuple[int, int] = (0, -1)
    reported: datetime | None = None
    # Its lease counts from no later than this: when the last report came that is or may be
    # answered with 200, for a lease counts from when that report was sent; or when the last direct
    # order to start went out, for a machine that had just begun anew would carry it out.
    lease_from: datetime | None = None
    # When something last showed that an answer of ours reached it. A machine that reports without
    # hearing us looks healthy by `reported` alone.
    heard_us: datetime | None = None
    # It has carried our token: former owners' orders can't reach it any more.
    ours: bool = False
    # Hired in this term and not seen before: it takes work from its first report on.
    expected: bool = False
    # How often the machine was seen to begin anew; part of its token, so that lives are told apart.
    incarnation: int = 0
    # A report came that was not newer than the last: a late copy, or a machine that began anew.
    doubted: bool = False
    # The tasks as the last report had them, and the count of recorded changes then, if all was in
    # order.
    rows: list | None = None
    unchanged_mark: int | None = None
    # What the records leave free on it, and the mark of the records that this was worked out from.
    free: tuple[int, float, float, float] | None = None
    recall_at: datetime | None = None
    tasks: dict[Key, Seen] = field(default_factory=dict)
    draining: str | None = None
    fencing: bool = False
    images: dict[str, float] = field(default_factory=dict)
    failures: dict[str, datetime] = field(default_factory=dict)
    empty_since: datetime | None = None
    foreign: int = 0
    direct: dict[Key, Direct] = field(default_factory=dict)

    def fresh(self, now: datetime, silent_after: timedelta) -> bool:
        return self.heard_us is not None and now - self.heard_us < silent_after

    def admit(self, report: Report, token: int, now: datetime) -> bool:
        """Takes a report in if it is newer than all before it and may come from the life of the
        machine that we know. The one place where the machine's count moves on: what is read of this
        report later holds only as long as `is_latest`. Else the machine itself has to be asked."""
        if report.order <= self.order or self.ours and report.token < token:
            self.doubted = True
            return False
        self.take_in(report.order, now)
        return True

    def take_in(self, order: tuple[int, int], now: datetime) -> None:
        """The count of a newer report; it is, or may be, answered."""
        self.order = order
        self.lease_from = now

    def is_latest(self, report: Report) -> bool:
        """Whether nothing newer of the machine has been taken in than this report."""
        return self.order == report.order

    def note_report(self, now: datetime, report_every: timedelta) -> None:
        """A worker that got its answer comes back after a report's time; one that didn't waits 4 s
        and tries another controller first."""
        last, self.reported = self.reported, now
        if last is None or now - last < report_every * 1.25 + timedelta(seconds=0.7):
            self.heard_us = now

    def settled(self, key: Key, attempt: int, report: Report, current: bool) -> bool:
        """Whether what a report shows of an attempt is the last word, as far as direct orders
        go."""
        row = self.direct.get(key)
        if row is None or row.attempt != attempt or report.session > row.session:
            return True
        if row.fenced:
            return current
        return row.order is not None and report.order > row.order

    def fence(self) -> None:
        """Nobody knows what became of a direct order: from now on a higher token goes out, and
        nothing more is started here before the machine shows it."""
        self.incarnation += 1
        self.ours = self.expected = False
        self.rows = self.unchanged_mark = None
        for row in self.direct.values():
            row.fenced = True

    def begin_anew(self, order: tuple[int, int]) -> None:
        self.order, self.incarnation = order, self.incarnation + 1
        self.ours = self.expected = self.doubted = False
        for row in self.direct.values():
            row.fenced, row.session = True, 1 << 64
        self.tasks, self.images, self.foreign = {}, {}, 0
        self.rows = self.unchanged_mark = None

    def note_image(self, image: str, gb: float, cache_gb: float) -> None:
        """Most recently used images stay."""
        self.images.pop(image, None)
        self.images[image] = gb
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.pop(next(iter(self.images)))


@dataclass
class Stop:
    """A task that we want stopped, and why."""

    attempt: int
    grace: timedelta
    why: str
    since: datetime
    machine: str
    # When the answer to a report last carried the kill.
    told_at: datetime | None = None
