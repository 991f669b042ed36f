"""The shards of job slices: the records of a partition's attempts at a job's tasks."""

import os.path
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records.resources import Resources

SliceShardValue = dict[str, Any]

# An attempt's number is the term in which it was started, followed by this many bits for its
# sequence number within the term.
SEQUENCE_BITS = 32
SEQUENCE_MASK = (1 << SEQUENCE_BITS) - 1


class Attempt(NamedTuple):
    """One start of a task, and the machine it is on."""

    number: int
    machine: str


@dataclass(frozen=True)
class SliceShard:
    """A shard of a job slice: the part of the slice that is in one record.

    An attempt stays in `attempts` from before its start command is sent until it is known to be
    terminated; during that time it counts towards the team's usage.
    """

    job: str
    partition: str
    team: str
    resources: Resources
    done: Ranges = ranges.EMPTY
    attempts: dict[int, Attempt] = field(default_factory=dict)
    mod_revision: int = 0
    shard: int = 0

    @property
    def key(self) -> str:
        """The record's key."""
        return keys.slice_key(self.partition, self.job, self.shard)

    def to_value(self) -> SliceShardValue:
        """Return the value for the state store."""
        return {
            "t": self.team,
            "n": self.resources.to_value(),
            "d": [list(pair) for pair in self.done],
            "r": _write_attempts(self.attempts),
        }

    @staticmethod
    def from_value(
        partition: str, job: str, shard: int, value: SliceShardValue, mod_revision: int
    ) -> "SliceShard":
        """Parse the value in the state store."""
        return SliceShard(
            job=job,
            partition=partition,
            team=value["t"],
            resources=Resources.from_value(value["n"]),
            done=ranges.normalize(value["d"]),
            attempts=_read_attempts(value["r"]),
            mod_revision=mod_revision,
            shard=shard,
        )


def _write_attempts(attempts: dict[int, Attempt]) -> list[list[Any]]:
    """Serialize attempts by term, with the common prefix of their machines' names written once.

    Each row is a term, that prefix, and a flat list with three items for each attempt: the task
    index, the sequence number within the term, and the rest of the machine's name.
    """
    by_term: dict[int, list[tuple[int, int, str]]] = {}
    for task_index, (number, machine) in attempts.items():
        started = by_term.setdefault(number >> SEQUENCE_BITS, [])
        started.append((task_index, number & SEQUENCE_MASK, machine))
    rows: list[list[Any]] = []
    for term, started in by_term.items():
        # The prefix is by character on purpose: the names are not paths.
        prefix = os.path.commonprefix([machine for _, _, machine in started])  # noqa: RUF071
        prefix_length = len(prefix)
        flat: list[int | str] = []
        for task_index, sequence, machine in started:
            flat += (task_index, sequence, machine[prefix_length:])
        rows.append([term, prefix, flat])
    return rows


def _read_attempts(value: Any) -> dict[int, Attempt]:
    """Parse attempts by term, or in the form of version 0.1: number and machine by task index."""
    if isinstance(value, dict):
        return {int(task_index): Attempt(row[0], row[1]) for task_index, row in value.items()}
    attempts: dict[int, Attempt] = {}
    for term, prefix, flat in value:
        term_bits = term << SEQUENCE_BITS
        for offset in range(0, len(flat), 3):
            attempts[flat[offset]] = Attempt(
                term_bits | flat[offset + 1], prefix + flat[offset + 2]
            )
    return attempts
