"""Verdict of a rehearsal: whether it passed, and the findings behind that."""

from dataclasses import dataclass

from roadbend.rehearsal.measurement import Measurement
from roadbend.rehearsal.scenario import Limits


@dataclass(frozen=True)
class Finding:
    """The result of one check."""

    check: str
    passed: bool
    detail: str


@dataclass(frozen=True)
class Verdict:
    """All findings of one rehearsal."""

    findings: tuple[Finding, ...]

    @property
    def passed(self) -> bool:
        """Whether every check passed."""
        return all(finding.passed for finding in self.findings)


def judge(
    measured: Measurement, broken: list[str], open_jobs: list[str], limits: Limits
) -> Verdict:
    """Return the verdict for the measurement of a rehearsal.

    `broken` holds the protocol rules that were broken. `open_jobs` holds the accepted jobs that, at
    the end, neither run with all their tasks nor have a final state.
    """
    surplus = measured.orders - measured.needed
    # A single surplus order is tolerated even where it exceeds the share of a few needed ones.
    tolerated = surplus <= 1 and measured.needed > 0
    settled_after = measured.settled_after
    max_settling = limits.settled_within.total_seconds()
    return Verdict(
        (
            Finding("no rule broken", not broken, "; ".join(broken[:3]) or "none"),
            Finding(
                "every job runs or has its final answer",
                not open_jobs,
                ", ".join(open_jobs[:5]) or "all",
            ),
            Finding(
                f"orders within {limits.order_excess:.0%} of the differences",
                tolerated or measured.excess <= limits.order_excess,
                f"{measured.orders} received, {measured.needed} needed",
            ),
            Finding(
                "no running task stopped or started again needlessly",
                len(measured.needless_stops) + len(measured.needless_restarts)
                <= limits.needless_restarts,
                f"{len(measured.needless_stops)} stopped, "
                f"{len(measured.needless_restarts)} started again",
            ),
            Finding(
                f"settled within {max_settling:g} s",
                settled_after is not None and settled_after <= max_settling,
                "not settled" if settled_after is None else f"{settled_after:.1f} s",
            ),
        )
    )
