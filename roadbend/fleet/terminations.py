"""Attempts that are proven gone while their records still name them.

Two things must never happen to such an attempt: it is not ordered to start again, since the next
attempt may begin elsewhere as soon as the end is recorded; and its end is not recorded once a later
report shows it alive. Everyone who orders a start asks here first."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from roadbend.log import Log

log = Log("fleet")


class TaskKey(NamedTuple):
    """A task: its job and its index."""

    job: str
    task_index: int


@dataclass(frozen=True)
class Termination:
    """A proof that an attempt is gone from its machine. `cause` is what proves it: the end that the
    machine reported, `absent` from a current report, `deleted`, or `lease`."""

    attempt: int
    machine: str
    done: bool
    cause: str


class Terminations:
    """The proofs that one owner has and that are not in the records yet, a task at a time."""

    def __init__(self) -> None:
        self._ends: dict[TaskKey, Termination] = {}
        # Grows with every proof that is noted or withdrawn.
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
        return list(self._ends.items())

    def note(self, key: tuple[str, int], end: Termination) -> None:
        """The first proof stands, unless the task turns out to be done."""
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
        """These ends go out to be recorded: from now on they can't be withdrawn, for the next
        attempt may begin elsewhere before we know that they were recorded."""
        self._in_transaction = frozenset(keys)

    def end_transaction(self) -> None:
        """The view shows what became of the transaction."""
        self._in_transaction = frozenset()

    def withdraw(self, key: tuple[str, int], shown_by: str) -> None:
        """A later report shows the attempt alive: whatever proved its end proves nothing. What is
        done stays done, and what may be recorded already stays gone. The report may also be one
        that was held back, of a session that is over by now."""
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
        """Drops what the records do not name any more."""
        self._ends = {key: end for key, end in self._ends.items() if is_recorded(key, end)}
