"""A search for broken rules: many short runs of a small deployment.

The faults of a run are drawn from its seed, and `checkers.protocol_rules` checks it. A run that
breaks a rule is shrunk to the faults that are needed for that.

    python -m roadbend.checkers.search --seeds 0-999 --processes 4

It prints each run that breaks a rule, with its remaining faults, and a summary after every
`SUMMARY_INTERVAL` runs, so that the runs of an interrupted search count as well.
"""

import argparse
import logging
import multiprocessing
import sys
from collections.abc import Iterator
from dataclasses import replace
from functools import partial

from roadbend.checkers.search_faults import FAULTS
from roadbend.checkers.search_runs import (
    Run,
    draw,
    draw_with,
    play_alone,
    use_simulated_time_of_day,
)

# Number of runs between two summaries.
SUMMARY_INTERVAL = 20


def shrink(run: Run, rule: str) -> Run:
    """Return the run without the faults that are not needed to break the rule."""
    smaller = True
    while smaller:
        smaller = False
        for fault in run.faults:
            candidate = replace(run, faults=tuple(f for f in run.faults if f is not fault))
            if any(finding.startswith(rule) for finding in play_alone(candidate)):
                run, smaller = candidate, True
                break
    return run


def check_seed(
    seed: int, kinds: tuple[str, ...] = (), recovery: bool = False
) -> tuple[int, list[str], Run]:
    """Run a seed; shrink the run if it breaks a rule."""
    use_simulated_time_of_day()
    run = replace(draw_with(seed, kinds) if kinds else draw(seed), recovery=recovery)
    broken = play_alone(run)
    if broken:
        run = shrink(run, broken[0].partition(" ")[0])
    return seed, broken, run


def seeds(text: str) -> Iterator[int]:
    """Parse the seeds of `first-last` or of a single number."""
    first, _, last = text.partition("-")
    return iter(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the seeds of the command line; return 1 if one of them breaks a rule, else 0."""
    parser = argparse.ArgumentParser(description=__doc__, prog="roadbend.checkers.search")
    parser.add_argument("--seeds", default="0-99", help="first-last")
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--kinds", default="", help="kinds of faults to have more of, by commas")
    parser.add_argument("--recovery", action="store_true", help="with recovery switched on")
    parser.add_argument("--log", default="CRITICAL")
    options = parser.parse_args()
    logging.basicConfig(level=options.log.upper(), stream=sys.stderr)
    kinds = tuple(kind for kind in options.kinds.split(",") if kind)
    if unknown := [kind for kind in kinds if kind not in FAULTS]:
        parser.error(f"--kinds: {', '.join(unknown)}; there are {', '.join(FAULTS)}")
    run_count = broken_count = 0
    with multiprocessing.Pool(options.processes) as pool:
        for seed, broken, run in pool.imap_unordered(
            partial(check_seed, kinds=kinds, recovery=options.recovery), seeds(options.seeds)
        ):
            run_count += 1
            if broken:
                broken_count += 1
                print(f"seed {seed} ({run.site}): {broken[0]}", flush=True)
                for fault in run.faults:
                    print(f"    {fault}", flush=True)
            if run_count % SUMMARY_INTERVAL == 0:
                print(_summary(run_count, broken_count), flush=True)
    if run_count % SUMMARY_INTERVAL:
        print(_summary(run_count, broken_count), flush=True)
    return 1 if broken_count else 0


def _summary(run_count: int, broken_count: int) -> str:
    return f"{run_count} runs, {broken_count} of them with a rule broken"


if __name__ == "__main__":
    sys.exit(main())
