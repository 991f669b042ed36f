"""Command line that runs rehearsals.

    python -m roadbend.rehearsal cold-restart --seed N
    python -m roadbend.rehearsal search cold-restart --seeds 0-99 --processes 4
    python -m roadbend.rehearsal script FILE
    python -m roadbend.rehearsal real-cold-restart --workers 200

Exit status: 0 passed, 1 failed, 2 bad arguments or script.
"""

from __future__ import annotations

import argparse
import os
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from roadbend.controller import Controller
from roadbend.recovery.service import install
from roadbend.recovery.settings import RecoverySettings
from roadbend.rehearsal import cold_restart, real_processes
from roadbend.rehearsal.report import Report
from roadbend.rehearsal.runner import play
from roadbend.rehearsal.scenario import MAX_WORKERS, MIN_WORKERS, Scenario
from roadbend.rehearsal.script import ScriptError, read

if TYPE_CHECKING:
    from roadbend.rehearsal.search import Outcome

SCENARIOS = {cold_restart.NAME: cold_restart.scenario}
RECOVERY = RecoverySettings()


def equip(controller: Controller) -> None:
    """Install recovery in a controller, as every controller of the current version has it."""
    install(controller, RECOVERY)


def _workers(text: str) -> int:
    count = int(text)
    if not MIN_WORKERS <= count <= MAX_WORKERS:
        raise argparse.ArgumentTypeError(f"must be from {MIN_WORKERS} to {MAX_WORKERS}")
    return count


def _cases(text: str) -> tuple[str, ...]:
    names = tuple(name for name in text.split(",") if name)
    unknown = [name for name in names if name not in cold_restart.HARD_CASES]
    if unknown:
        raise argparse.ArgumentTypeError(f"unknown: {', '.join(unknown)}")
    return names


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    argument_parser = argparse.ArgumentParser(
        prog="roadbend.rehearsal", description="Plays a failure in memory and judges the outcome."
    )
    commands = argument_parser.add_subparsers(dest="command", required=True)
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--workers", type=_workers, default=200)
    common.add_argument(
        "--cases", type=_cases, help="hard cases by commas, in place of those that a seed draws"
    )
    common.add_argument("--without-recovery", action="store_true", help="to compare")
    for name in sorted(SCENARIOS):
        command = commands.add_parser(name, parents=[common], help="one rehearsal")
        command.add_argument("--seed", type=int, default=0)
        command.add_argument("--json", action="store_true")
    command = commands.add_parser("search", parents=[common], help="many rehearsals")
    command.add_argument("scenario", choices=sorted(SCENARIOS))
    command.add_argument("--seeds", type=_seeds, default=range(20), help="first-last")
    command.add_argument("--processes", type=int, default=2)
    command = commands.add_parser("real-cold-restart", help="real processes on loopback")
    command.add_argument("--workers", type=_workers, default=200)
    command.add_argument("--seed", type=int, default=0)
    command.add_argument("--without-recovery", action="store_true", help="to compare")
    command.add_argument("--log", type=Path, default=Path(os.devnull), help="of the controllers")
    command.add_argument("--json", action="store_true")
    command = commands.add_parser("script", help="a scenario of your own")
    command.add_argument("file", type=Path)
    command.add_argument("--json", action="store_true")
    return argument_parser


def main(argv: list[str] | None = None) -> int:
    """Run one command and return the exit status."""
    arguments = parser().parse_args(argv)
    if arguments.command == "search":
        return _search(arguments)
    if arguments.command == "real-cold-restart":
        return _play_real_processes(arguments)
    try:
        scenario = _scenario(arguments)
    except ScriptError as error:
        print(f"roadbend.rehearsal: {error}", file=sys.stderr)
        return 2
    return _show(play(scenario, equip), arguments.json)


def _scenario(arguments: argparse.Namespace) -> Scenario:
    if arguments.command == "script":
        return read(arguments.file)
    make_scenario = SCENARIOS[arguments.command]
    return make_scenario(
        arguments.seed, arguments.workers, not arguments.without_recovery, arguments.cases
    )


def _play_real_processes(arguments: argparse.Namespace) -> int:
    recovery = not arguments.without_recovery
    report = real_processes.play(arguments.workers, arguments.seed, recovery, arguments.log)
    return _show(report, arguments.json)


def _show(report: Report, as_json: bool) -> int:
    print(report.as_json() if as_json else report.text())
    return 0 if report.verdict.passed else 1


def _play_seed(arguments: argparse.Namespace, seed: int) -> Outcome:
    # Only a search needs the library for sketches.
    from roadbend.rehearsal.search import outcome_of  # noqa: PLC0415 -- an optional dependency

    make_scenario = SCENARIOS[arguments.scenario]
    recovery = not arguments.without_recovery
    return outcome_of(
        play(make_scenario(seed, arguments.workers, recovery, arguments.cases), equip)
    )


def _search(arguments: argparse.Namespace) -> int:
    # Only a search needs the library for sketches.
    from roadbend.rehearsal.search import Totals, play_all  # noqa: PLC0415 -- an optional dependency

    totals = Totals()
    play_one = partial(_play_seed, arguments)
    for outcome in play_all(play_one, arguments.seeds, arguments.processes):
        totals.add(outcome)
        if not outcome.passed:
            print(f"seed {outcome.seed}: {outcome.summary}")
            for failure in outcome.failures:
                print(f"    {failure}")
            sys.stdout.flush()
    print(totals.text())
    return 1 if totals.failed else 0


if __name__ == "__main__":
    sys.exit(main())
