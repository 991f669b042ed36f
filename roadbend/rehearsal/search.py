"""Runs one scenario for many seeds: which rehearsals fail, and how long settling takes."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from datasketches import kll_floats_sketch

from roadbend.rehearsal.report import Report

# Parameter k of the sketch of settling times; 200 gives a rank error of about 1.3%.
SKETCH_K = 200


@dataclass(frozen=True)
class Outcome:
    """The summary of one rehearsal."""

    seed: int
    passed: bool
    failures: tuple[str, ...]
    summary: str
    orders: int
    needed: int
    differences: int
    settled_after: float | None


def outcome_of(report: Report) -> Outcome:
    """Return the summary of a report."""
    return Outcome(
        seed=report.seed,
        passed=report.verdict.passed,
        failures=tuple(
            f"{finding.check}: {finding.detail}"
            for finding in report.verdict.findings
            if not finding.passed
        ),
        summary=report.summary,
        orders=report.measured.orders,
        needed=report.measured.needed,
        differences=sum(report.measured.differences.values()),
        settled_after=report.measured.settled_after,
    )


def play_all(play_one: Callable[[int], Outcome], seeds: range, processes: int) -> Iterator[Outcome]:
    """Run all seeds in several processes; yield outcomes as rehearsals end."""
    with multiprocessing.Pool(processes) as pool:
        yield from pool.imap_unordered(play_one, seeds)


class Totals:
    """Totals of all outcomes.

    Settling times are kept in a sketch, so that totals of several searches can be merged.
    """

    def __init__(self) -> None:
        self.runs = self.failed = self.orders = self.needed = self.differences = 0
        self.times = kll_floats_sketch(SKETCH_K)

    def add(self, outcome: Outcome) -> None:
        """Add an outcome."""
        self.runs += 1
        self.failed += not outcome.passed
        self.orders += outcome.orders
        self.needed += outcome.needed
        self.differences += outcome.differences
        if outcome.settled_after is not None:
            self.times.update(outcome.settled_after)

    def merge(self, other: Totals) -> None:
        """Add the totals of another search."""
        self.runs += other.runs
        self.failed += other.failed
        self.orders += other.orders
        self.needed += other.needed
        self.differences += other.differences
        self.times.merge(other.times)

    def text(self) -> str:
        """Return the totals as one line of text."""
        if self.times.is_empty():
            times = "none settled"
        else:
            median = self.times.get_quantile(0.5)
            p99 = self.times.get_quantile(0.99)
            times = f"settled after {median:.1f} s (99%: {p99:.1f} s)"
        return (
            f"{self.runs} rehearsals, {self.failed} failed; {self.differences} differences, "
            f"{self.orders} orders received, {self.needed} needed; {times}"
        )
