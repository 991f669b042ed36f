"""`roadbend recovery status|differences|plan`: read-only commands for operators.

Exit status: 0 success, 1 the state store or the cloud could not be read, 2 bad arguments or
settings.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import trio

from roadbend import clock
from roadbend.http.net import Net
from roadbend.recovery.differences import Difference
from roadbend.recovery.settlement import PlannedStep, plan
from roadbend.recovery.survey import PartitionStatus, PartitionSurvey, SurveyError, Surveyor
from roadbend.settings import PlatformSettings, SettingsError, read_file, read_platform

CommandFunction = Callable[[Surveyor, argparse.Namespace], Awaitable[None]]
# The bounds of `--every`, and how many lines are printed for a partition.
MIN_INTERVAL_S, MAX_INTERVAL_S, MAX_LINES = 1.0, 3600.0, 200


def parser() -> argparse.ArgumentParser:
    """Return the argument parser of `roadbend recovery`."""
    out = argparse.ArgumentParser(
        prog="roadbend recovery",
        description="Shows how stored records and machines differ, and how that is settled.",
    )
    commands = out.add_subparsers(dest="command", required=True)
    for name, text in (
        ("status", "the progress of each partition's recovery, as recorded by its leader"),
        ("differences", "the current differences between the records and the machines"),
        ("plan", "how each difference would be settled, and why (a dry run)"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--config", type=Path, required=True, help="the platform's settings")
        command.add_argument("--json", action="store_true")
        if name == "differences":
            command.add_argument(
                "--every", type=float, metavar="SECONDS", help="repeat at this interval"
            )
            command.add_argument(
                "--looks", type=int, default=0, help="end after so many repetitions"
            )
    return out


def main(argv: list[str]) -> int:
    """Run one command, and return the exit status."""
    arguments = parser().parse_args(argv)
    every = getattr(arguments, "every", None)
    if every is not None and not MIN_INTERVAL_S <= every <= MAX_INTERVAL_S:
        parser().error(f"argument --every: must be from {MIN_INTERVAL_S:g} to {MAX_INTERVAL_S:g}")
    try:
        settings = read_platform(read_file(arguments.config))
    except SettingsError as error:
        print(f"roadbend: {error}", file=sys.stderr)
        return 2
    return trio.run(run, settings, Net(), arguments)


async def run(settings: PlatformSettings, net: Net, arguments: argparse.Namespace) -> int:
    """Run a command against the state store and the cloud that the settings name."""
    functions: dict[str, CommandFunction] = {
        "status": _show_status,
        "differences": _watch_differences
        if getattr(arguments, "every", None)
        else _show_differences,
        "plan": _show_plan,
    }
    try:
        await functions[arguments.command](Surveyor(settings, net), arguments)
    except SurveyError as error:
        print(f"roadbend: {error}", file=sys.stderr)
        return 1
    return 0


async def _show_status(surveyor: Surveyor, arguments: argparse.Namespace) -> None:
    rows = await surveyor.status()
    if arguments.json:
        print(json.dumps([_status_as_dict(row) for row in rows], indent=2))
        return
    for row in rows:
        print(_status_line(row))


def _status_as_dict(row: PartitionStatus) -> dict[str, Any]:
    """Return a partition's status with the keys that operators' scripts read.

    The partition is `part` there.
    """
    fields = asdict(row)
    return {"part": fields.pop("partition"), "owner": fields.pop("owner"), **fields}


def _status_line(row: PartitionStatus) -> str:
    lost = ", the state service lost writes" if row.lost_writes else ""
    found = ", ".join(f"{count} {kind}" for kind, count in row.differences.items()) or "none"
    return (
        f"{row.partition}: {row.phase} after {row.seconds:.1f} s, term {row.term}, "
        f"owner {row.owner or 'none'}, heard {row.heard} of {row.expected} machines, "
        f"differences found: {found}{lost}"
    )


async def _show_differences(surveyor: Surveyor, arguments: argparse.Namespace) -> None:
    partitions = await surveyor.survey()
    if arguments.json:
        rows = {
            partition.partition: [_as_dict(row) for row in partition.comparison.differences]
            for partition in partitions
        }
        print(json.dumps(rows, indent=2))
        return
    for partition in partitions:
        print(_summary(partition))
        for row in partition.comparison.differences[:MAX_LINES]:
            print(f"  {describe(row)}")
        if len(partition.comparison.differences) > MAX_LINES:
            print(
                f"  and {len(partition.comparison.differences) - MAX_LINES} more (--json has all)"
            )


def _summary(survey: PartitionSurvey) -> str:
    counts = survey.comparison.counts()
    found = ", ".join(f"{count} {kind}" for kind, count in counts.items()) or "no differences"
    matching = survey.comparison.matching
    return f"{survey.partition}: {survey.machines} machines, {matching} matching, {found}"


def describe(row: Difference) -> str:
    """Return a difference as a line of text."""
    if row.task is None:
        return f"{row.kind}: machine {row.machine}"
    return f"{row.kind}: task {row.task} attempt {row.attempt} on {row.machine}"


def _as_dict(row: Difference) -> dict[str, str | int | None]:
    task = None if row.task is None else str(row.task)
    return {"kind": row.kind, "machine": row.machine, "task": task, "attempt": row.attempt}


async def _show_plan(surveyor: Surveyor, arguments: argparse.Namespace) -> None:
    steps = {
        partition.partition: plan(partition.comparison, partition.services)
        for partition in await surveyor.survey()
    }
    if arguments.json:
        print(
            json.dumps(
                {
                    partition: [_planned_as_dict(row) for row in rows]
                    for partition, rows in steps.items()
                }
            )
        )
        return
    for partition, rows in steps.items():
        orders = sum(row.settlement.orders for row in rows)
        print(f"{partition}: {len(rows)} steps, {orders} orders")
        for row in rows[:MAX_LINES]:
            step = row.settlement
            print(f"  {step.step}  {describe(row.difference)}  ({step.why})")


def _planned_as_dict(row: PlannedStep) -> dict[str, str | int | None]:
    return {**_as_dict(row.difference), "step": row.settlement.step, "why": row.settlement.why}


async def _watch_differences(surveyor: Surveyor, arguments: argparse.Namespace) -> None:
    # Only this command needs the libraries for bitmaps and sketches; they are optional.
    from roadbend.recovery.watch import Watch  # noqa: PLC0415 -- an optional dependency

    watch, polls = Watch(), 0
    while True:
        partitions = await surveyor.survey()
        found = [row for partition in partitions for row in partition.comparison.differences]
        result = watch.update(found, clock.now())
        median, p99 = watch.age_quantile(0.5), watch.age_quantile(0.99)
        if arguments.json:
            staying = [_as_dict(row) for row in result.persistent]
            print(
                json.dumps(
                    {
                        "open": result.open,
                        "new": len(result.new),
                        "settled": result.settled,
                        "staying": staying,
                        "age_median": median,
                        "age_p99": p99,
                    }
                )
            )
        else:
            ages = "" if median is None else f", settled at {median:.0f} s (99%: {p99:.0f} s)"
            print(f"open {result.open}, new {len(result.new)}, settled {result.settled}{ages}")
            for row in result.persistent[:MAX_LINES]:
                print(f"  stays  {describe(row)}")
        sys.stdout.flush()
        polls += 1
        if arguments.looks and polls >= arguments.looks:
            return
        await trio.sleep(arguments.every)
