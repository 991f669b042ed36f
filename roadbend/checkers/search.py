"""A search for broken rules: many short runs of a small deployment.

Each has faults drawn from its seed and is judged by `checkers.protocol_rules`. A run that breaks a
rule is made as small as it gets.

    python -m roadbend.checkers.search --seeds 0-999 --processes 4

It prints one line for each run that breaks a rule, with the faults that are left of it, and after
every `PIECE` runs how many there were: what ended counts, also of a search that is cut short.
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

# After so many runs a search says how many there were.
PIECE = 20


def shrink(run: Run, rule: str) -> Run:
    """Return the run without the faults that the broken rule does not need."""
    smaller = True
    while smaller:
        smaller = False
        for fault in run.faults:
            less = replace(run, faults=tuple(f for f in run.faults if f is not fault))
            if any(row.startswith(rule) for row in play_alone(less)):
                run, smaller = less, True
                break
    return run


def look(
    seed: int, kinds: tuple[str, ...] = (), recovery: bool = False
) -> tuple[int, list[str], Run]:
    """Play a seed's run, and make it small if it breaks a rule."""
    use_simulated_time_of_day()
    run = replace(draw_with(seed, kinds) if kinds else draw(seed), recovery=recovery)
    broken = play_alone(run)
    if broken:
        run = shrink(run, broken[0].partition(" ")[0])
    return seed, broken, run


def seeds(text: str) -> Iterator[int]:
    """Return the seeds from the first to the last, of `first-last` or of a single number."""
    first, _, last = text.partition("-")
    return iter(range(int(first), int(last or first) + 1))


def main() -> int:
    """Play the runs that the command line names; return 1 if one of them breaks a rule."""
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
    count = broken_count = 0
    with multiprocessing.Pool(options.processes) as pool:
        for seed, broken, run in pool.imap_unordered(
            partial(look, kinds=kinds, recovery=options.recovery), seeds(options.seeds)
        ):
            count += 1
            if broken:
                broken_count += 1
                print(f"seed {seed} ({run.site}): {broken[0]}", flush=True)
                for fault in run.faults:
                    print(f"    {fault}", flush=True)
            if count % PIECE == 0:
                print(_summary(count, broken_count), flush=True)
    if count % PIECE:
        print(_summary(count, broken_count), flush=True)
    return 1 if broken_count else 0


def _summary(count: int, broken_count: int) -> str:
    return f"{count} runs, {broken_count} of them with a rule broken"


if __name__ == "__main__":
    sys.exit(main())
