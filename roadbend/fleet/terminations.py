"""Attempts that are known to be terminated while their records still name them.

Two things must never happen to such an attempt: it is not ordered to start again, since the next
attempt may begin elsewhere as soon as the end is recorded; and its end is not recorded once a later
heartbeat shows it alive. Everyone who orders a start asks here first.
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
    """What proves that an attempt is terminated, where its machine gave no cause of its end.

    docs/meetings.md, "When an attempt counts as gone", says when each of them holds.
    """

    # A current heartbeat showed it ended, and no cause.
    ENDED = "ended"
    # A current heartbeat lacked it.
    ABSENT = "absent"
    # The cloud confirmed the deletion of its machine.
    DELETED = "deleted"
    # The lease of its worker expired.
    LEASE = "lease"


@dataclass(frozen=True)
class Termination:
    """Evidence that an attempt is not running on its machine any more.

    `cause` is the cause of the end that the machine reported, or what else proves it. A worker may
    report causes that are not known; they stay plain text.
    """

    attempt: int
    machine: str
    done: bool
    cause: TerminationEvidence | EndCause | str


class Terminations:
    """The terminations that one leader knows of and that are not in the records yet, by task."""

    def __init__(self) -> None:
        self._ends: dict[TaskKey, Termination] = {}
        # Grows with every termination that is noted or withdrawn.
        self.changes = 0
        # What a transaction records that is on its way, or of which nobody knows whether it was
        # carried out: it may be in the records already.
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
        """Note a termination; the first one of a task stands, unless the task turns out done."""
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
        """Note which terminations go out to be recorded.

        From now on they can't be withdrawn, for the next attempt may begin elsewhere before we know
        that they were recorded.
        """
        self._in_transaction = frozenset(keys)

    def end_transaction(self) -> None:
        """Note that the record view shows what became of the transaction."""
        self._in_transaction = frozenset()

    def withdraw(self, key: tuple[str, int], shown_by: str) -> None:
        """Withdraw a termination, because a later heartbeat shows the attempt alive.

        What is done stays done, and what may be recorded already stays terminated. The heartbeat
        may also be one that was held back, of an epoch that is over by now.
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
        """Drop what the records do not name any more."""
        self._ends = {key: end for key, end in self._ends.items() if is_recorded(key, end)}
