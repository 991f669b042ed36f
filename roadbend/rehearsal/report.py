"""Report of a rehearsal, as text for the operator on call and as JSON."""

import json
from dataclasses import asdict, dataclass

from roadbend.rehearsal.events import Event
from roadbend.rehearsal.measurement import Measurement
from roadbend.rehearsal.verdict import Verdict


@dataclass(frozen=True)
class Report:
    """The outcome of one rehearsal."""

    scenario: str
    summary: str
    seed: int
    workers: int
    recovery: bool
    events: tuple[Event, ...]
    measured: Measurement
    verdict: Verdict
    # Whether times are from a simulated clock.
    simulated: bool = True

    def text(self) -> str:
        """Return the report as text for readers who do not know the code."""
        measured = self.measured
        lines = [
            f"Rehearsal {self.scenario}, seed {self.seed}, {self.workers} workers, "
            f"recovery {'on' if self.recovery else 'off'} "
            f"(all times {'simulated' if self.simulated else 'real'})",
            self.summary,
            "",
            "What happened",
            *(f"  {event.at:7.1f} s  {event.text}" for event in self.events),
            "",
            "What was found",
            *(
                f"  {'pass' if finding.passed else 'FAIL'}  {finding.check}: {finding.detail}"
                for finding in self.verdict.findings
            ),
            "",
            "Figures",
            f"  machines {measured.machines}, attempts that matched {measured.matching}, "
            f"differences {sum(measured.differences.values())}",
            f"  unrecorded attempts kept {measured.unrecorded_kept}, "
            f"stopped {measured.unrecorded_stopped}",
            f"  orders repeated: {_format_counts(measured.repeated)}",
            f"  state service: {measured.state_requests} requests, "
            f"{measured.state_changes} changes; cloud: {measured.cloud_requests} requests, "
            f"{measured.rented} of them to rent",
            "",
            f"Verdict: {'PASS' if self.verdict.passed else 'FAIL'}",
        ]
        return "\n".join(lines)

    def as_json(self) -> str:
        """Return the report as JSON."""
        return json.dumps({**asdict(self), "passed": self.verdict.passed}, indent=2, sort_keys=True)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())
