"""Runs a rehearsal: `python -m roadbend.rehearsal cold-restart --seed N`.

Exit status: 0 passed, 1 failed, 2 bad arguments."""

import argparse
import sys
from functools import partial

from roadbend.recovery.service import install
from roadbend.recovery.settings import RecoverySettings
from roadbend.rehearsal import cold_restart
from roadbend.rehearsal.runner import play
from roadbend.rehearsal.scenario import FEWEST_WORKERS, MOST_WORKERS

SCENARIOS = {cold_restart.NAME: cold_restart.scenario}


def parser() -> argparse.ArgumentParser:
    """The arguments of a rehearsal."""
    out = argparse.ArgumentParser(
        prog="roadbend.rehearsal", description="Plays a failure in memory and judges the outcome."
    )
    out.add_argument("scenario", choices=sorted(SCENARIOS))
    out.add_argument("--seed", type=int, default=0)
    out.add_argument("--workers", type=int, default=200)
    out.add_argument("--cases", help="hard cases by commas, in place of those that the seed draws")
    out.add_argument("--without-recovery", action="store_true", help="to compare")
    out.add_argument("--json", action="store_true")
    return out


def main(argv: list[str] | None = None) -> int:
    """Plays one scenario and prints its report."""
    arguments = parser().parse_args(argv)
    if not FEWEST_WORKERS <= arguments.workers <= MOST_WORKERS:
        parser().error(f"--workers: must be from {FEWEST_WORKERS} to {MOST_WORKERS}")
    cases = None
    if arguments.cases is not None:
        cases = tuple(name for name in arguments.cases.split(",") if name)
        unknown = [name for name in cases if name not in cold_restart.HARD_CASES]
        if unknown:
            parser().error(f"--cases: {', '.join(unknown)}")
    make = SCENARIOS[arguments.scenario]
    report = play(
        make(arguments.seed, arguments.workers, not arguments.without_recovery, cases),
        partial(install, settings=RecoverySettings()),
    )
    print(report.as_json() if arguments.json else report.text())
    return 0 if report.verdict.passed else 1


if __name__ == "__main__":
    sys.exit(main())
