"""Attempts that are known to be terminated but are still in the records.

Such an attempt must not be started again, since the next attempt may begin elsewhere as soon as the
termination is recorded; and its termination must not be recorded once a later heartbeat shows the
attempt alive. All code that sends starts checks here first.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from roadbend.fleet.messages import EndCause
from roadbend.log import Log

log = Log("fleet")


class TaskKey(NamedTuple):
    """A task: its job and its index."""

    job: str
    task_index: int


class TerminationEvidence(StrEnum):
    """Evidence that an attempt is terminated, where its machine reported no cause.

    docs/meetings.md, "When an attempt counts as gone", says when each of them holds.
    """

    # A heartbeat with the leader's token showed it as ended, without a cause.
    ENDED = "ended"
    # It was absent from a heartbeat with the leader's token.
    ABSENT = "absent"
    # The cloud confirmed the deletion of its machine.
    DELETED = "deleted"
    # The lease of its worker expired.
    LEASE = "lease"


@dataclass(frozen=True)
class Termination:
    """The termination of an attempt: it no longer runs on its machine.

    `cause` is the cause that the machine reported, or else the evidence. Unknown causes that a
    worker reports stay strings.
    """

    attempt: int
    machine: str
    done: bool
    cause: TerminationEvidence | EndCause | str


class Terminations:
    """A leader's known terminations that are not yet recorded, by task."""

    def __init__(self) -> None:
        self._ends: dict[TaskKey, Termination] = {}
        # Number of terminations added or withdrawn so far.
        self.changes = 0
        # Terminations in a transaction that is in progress or in doubt: they may be in the records
        # already.
        self._in_transaction: frozenset[tuple[str, int]] = frozenset()

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key in self._ends

    def __len__(self) -> int:
        return len(self._ends)

    def __getitem__(self, key: tuple[str, int]) -> Termination:
        return self._ends[TaskKey(*key)]

    def __iter__(self) -> Iterator[TaskKey]:
        return iter(list(self._ends))

    def items(self) -> list[tuple[TaskKey, Termination]]:
        """Return a copy of all tasks with their terminations."""
        return list(self._ends.items())

    def add(self, key: tuple[str, int], end: Termination) -> None:
        """Add a termination; the first one of a task is kept, unless a later one says `done`."""
        known = self._ends.get(TaskKey(*key))
        if known is not None and (known.done or not end.done):
            return
        self._ends[TaskKey(*key)] = end
        self.changes += 1
        log.info(
            "attempt-terminated",
            job=key[0],
            index=key[1],
            attempt=end.attempt,
            machine=end.machine,
            evidence=end.cause,
        )

    def begin_transaction(self, keys: Iterable[tuple[str, int]]) -> None:
        """Mark the terminations that a transaction is about to record.

        They can't be withdrawn from now on, because the next attempt may begin elsewhere before
        this leader knows the transaction's outcome.
        """
        self._in_transaction = frozenset(keys)

    def end_transaction(self) -> None:
        """Mark the transaction as finished: the record view shows its outcome."""
        self._in_transaction = frozenset()

    def withdraw(self, key: tuple[str, int], shown_by: str) -> None:
        """Withdraw a termination, because a later heartbeat shows the attempt alive.

        A task that is done stays done, and a termination that may be recorded already is kept. The
        heartbeat may also be a delayed one of an epoch that has ended.
        """
        end = self._ends.get(TaskKey(*key))
        if end is None or end.done:
            return
        kept = key in self._in_transaction
        if not kept:
            del self._ends[TaskKey(*key)]
            self.changes += 1
        log.warning(
            "termination-contradicted",
            job=key[0],
            index=key[1],
            attempt=end.attempt,
            machine=end.machine,
            shown_by=shown_by,
            evidence=end.cause,
            withdrawn=not kept,
        )

    def keep_only(self, is_recorded: Callable[[TaskKey, Termination], bool]) -> None:
        """Drop the terminations of attempts that the records no longer name."""
        self._ends = {key: end for key, end in self._ends.items() if is_recorded(key, end)}
