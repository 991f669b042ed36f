"""A part's machines as their owner knows them, and what a report means.

Proof that a task is gone comes only from a report that carries this owner's token and is newer than
all before it: such a report was sent after the response to the last one was resolved, so no order
of ours, nor of a former owner, is still on its way to the worker. An older token proves presence
only."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roadbend.fleet import messages
from roadbend.fleet.messages import Report, TaskReport
from roadbend.store import ranges
from roadbend.store.records import Job
from roadbend.store.view import Rows

# A task: its job and its index.
Key = tuple[str, int]
# How much longer than its grace a task may save.
SAVE_MARGIN = timedelta(seconds=1)


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
    # When we last answered 200: its lease can't count from later than this.
    answered: datetime | None = None
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
class Fact:
    """The end of an attempt, to be recorded."""

    attempt: int
    machine: str
    done: bool
    cause: str


@dataclass
class Stop:
    """A task that we want stopped, and why."""

    attempt: int
    grace: timedelta
    why: str
    since: datetime
    machine: str


def read(
    machine: Machine,
    report: Report,
    token: int,
    recorded: Rows,
    jobs: dict[str, Job],
    part: str,
    stops: dict[Key, Stop],
    facts: dict[Key, Fact],
    may_start: bool,
    now: datetime,
) -> list[dict]:
    """Takes a report in and gives the orders for its response. Adds to `facts` what it proves."""
    current = report.token == token
    machine.ours = machine.ours or current
    machine.order = report.order
    machine.address = report.address
    if report.notice is not None:
        machine.recall_at = now + timedelta(seconds=report.notice)
    orders: list[dict] = []
    seen: dict[Key, Seen] = {}
    machine.foreign = 0
    for task in report.tasks:
        key = (task.job, task.task_index)
        entry = recorded.get(key)
        if entry is None or entry[1].number != task.attempt:
            orders.append(_order_for_unrecorded(machine, task))
            continue
        seen[key] = _see(machine, task, now)
        if task.state == "ended":
            if machine.settled(key, task.attempt, report, current):
                _note_end(machine, task, current, facts)
            continue
        stop = stops.get(key)
        if stop is not None and stop.attempt == task.attempt:
            orders.append(_kill(task, stop, now - seen[key].since))
    for key, (work, attempt) in recorded.items():
        if key in seen:
            continue
        job = jobs.get(key[0])
        held = job is not None and ranges.has(job.alloc.get(part, ()), key[1])
        wanted = (
            held and key not in stops and machine.draining is None and machine.recall_at is None
        )
        if wanted and may_start:
            # Write-ahead has been done. Repeating an order is harmless: the worker ignores what it
            # holds, and this attempt has not been forgotten while it is in the records.
            orders.append(messages.run(work.job, key[1], attempt.number))
        elif current and not wanted and machine.settled(key, attempt.number, report, current):
            facts.setdefault(key, Fact(attempt.number, machine.id, False, "absent"))
    machine.tasks = seen
    machine.direct = {
        key: row
        for key, row in machine.direct.items()
        if key in recorded and recorded[key][1].number == row.attempt
    }
    return orders


def _order_for_unrecorded(machine: Machine, task: TaskReport) -> dict:
    """A task that is not in the records (any more): its end has been recorded, or it never should
    have been."""
    if task.state == "ended":
        return messages.forget(task.job, task.task_index, task.attempt)
    machine.foreign += 1
    return messages.kill(task.job, task.task_index, task.attempt, 0)


def _see(machine: Machine, task: TaskReport, now: datetime) -> Seen:
    """A task as shown now, with since when it has been so."""
    before = machine.tasks.get((task.job, task.task_index))
    known = before if before and before.attempt == task.attempt else None
    running_since = known.running_since if known else None
    if task.state in ("running", "flushing") and running_since is None:
        running_since = now
    since = known.since if known is not None and known.state == task.state else now
    return Seen(task.attempt, task.state, since, running_since)


def _note_end(machine: Machine, task: TaskReport, current: bool, facts: dict[Key, Fact]) -> None:
    """`done` stays true however old the report; any other end needs the proof of a current one."""
    key = (task.job, task.task_index)
    if task.cause == "done":
        facts[key] = Fact(task.attempt, machine.id, True, "done")
    elif current:
        facts.setdefault(key, Fact(task.attempt, machine.id, False, task.cause or "ended"))


def _kill(task: TaskReport, stop: Stop, shown_for: timedelta) -> dict:
    """A task that saves for longer than it was given is ended by a kill without grace."""
    stuck = task.state == "flushing" and shown_for > stop.grace + SAVE_MARGIN
    grace = 0.0 if stuck else stop.grace.total_seconds()
    return messages.kill(task.job, task.task_index, task.attempt, grace)
