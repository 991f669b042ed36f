"""How each kind of difference is settled, and why that is safe.

Operators see this table in `recovery plan`; the code of the controllers implements it.
"""

from dataclasses import dataclass
from enum import StrEnum

from roadbend.recovery.differences import Comparison, Difference, Kind


class Step(StrEnum):
    """What is done about a difference."""

    ORDER_AGAIN = "order-again"
    RECORD_END = "record-end"
    STOP = "stop"
    HOLD_THEN_ADOPT_OR_STOP = "hold-then-adopt-or-stop"
    WAIT_FOR_PROOF = "wait-for-proof"
    USE_OR_RETURN = "use-or-return"
    RECORD_GONE = "record-gone"


@dataclass(frozen=True)
class Settlement:
    """A settlement: the step, how many orders the worker receives, and why the step is safe."""

    step: Step
    orders: int
    why: str


SETTLEMENTS: dict[Kind, Settlement] = {
    Kind.MISSING: Settlement(
        Step.ORDER_AGAIN,
        1,
        "the record was written before the order went out; the worker ignores an attempt it has",
    ),
    Kind.UNRECORDED: Settlement(
        Step.HOLD_THEN_ADOPT_OR_STOP,
        0,
        "left alone until the records were read anew and every machine of the part was heard; "
        "then recorded where it is, or stopped where no record can name it",
    ),
    Kind.SUPERSEDED: Settlement(
        Step.STOP, 2, "the records name another attempt, which alone may run"
    ),
    Kind.ENDED: Settlement(Step.RECORD_END, 1, "a current report proves the end"),
    Kind.CANCELLED: Settlement(
        Step.STOP, 2, "the job's end is recorded; its user may have been told"
    ),
    Kind.ON_TWO_MACHINES: Settlement(
        Step.HOLD_THEN_ADOPT_OR_STOP,
        0,
        "the highest attempt is kept, the others are stopped and proven gone first",
    ),
    Kind.MACHINE_SILENT: Settlement(
        Step.WAIT_FOR_PROOF,
        0,
        "nothing begins elsewhere before a deletion or the worker's lease proves the end",
    ),
    Kind.MACHINE_UNKNOWN: Settlement(
        Step.USE_OR_RETURN, 0, "used once it reports, returned if it never does"
    ),
    Kind.MACHINE_GONE: Settlement(
        Step.RECORD_GONE, 0, "deleted again, and counted as gone at the cloud's answer"
    ),
}


@dataclass(frozen=True)
class PlannedStep:
    """A difference with its settlement."""

    difference: Difference
    settlement: Settlement


def plan(comparison: Comparison, services: frozenset[str] = frozenset()) -> list[PlannedStep]:
    """Return the steps in the order of execution: services first, then by kind and machine."""
    steps = [PlannedStep(row, SETTLEMENTS[row.kind]) for row in comparison.differences]
    steps.sort(key=lambda step: not _belongs_to(step.difference, services))
    return steps


def _belongs_to(row: Difference, jobs: frozenset[str]) -> bool:
    return row.task is not None and row.task.job in jobs
