"""Whether a rehearsal passed, and why not."""

from dataclasses import dataclass

from roadbend.rehearsal.measurement import Measured
from roadbend.rehearsal.scenario import Limits


@dataclass(frozen=True)
class Finding:
    """One thing that was checked."""

    check: str
    passed: bool
    detail: str


@dataclass(frozen=True)
class Verdict:
    """All findings of one rehearsal."""

    findings: tuple[Finding, ...]

    @property
    def passed(self) -> bool:
        """Whether nothing that was checked failed."""
        return all(finding.passed for finding in self.findings)


def judge(measured: Measured, broken: list[str], open_jobs: list[str], limits: Limits) -> Verdict:
    """Judge a rehearsal by its figures.

    `broken` holds the rules that were broken, as the checker of the fakes saw it; `open_jobs` the
    accepted jobs that neither run whole nor have their final answer at the end.
    """
    extra = measured.orders - measured.needed
    # One repeated order of a handful is no storm.
    few = extra <= 1 and measured.needed > 0
    settled = measured.settled_after
    within = limits.settled_within.total_seconds()
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
                few or measured.excess <= limits.order_excess,
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
                f"settled within {within:g} s",
                settled is not None and settled <= within,
                "not settled" if settled is None else f"{settled:.1f} s",
            ),
        )
    )
