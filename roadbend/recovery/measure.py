"""Measures compressed bitmaps and quantile sketches against sets and lists.

    python -m roadbend.recovery.measure --machines 200,1500,4000

Needs the libraries of `requirements-recovery.txt`. Times are of this machine.
"""

import argparse
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from roadbend.recovery.index import DenseIndex

TASKS_A_MACHINE = 25
# The share of attempts that differ, and how often each way is timed.
DIFFERING, ROUNDS = 0.01, 7
RANKS = (0.5, 0.95, 0.99)


# Job, task index, attempt and machine.
AttemptRow = tuple[str, int, int, str]


@dataclass(frozen=True)
class Cost:
    """What one way of comparing takes."""

    way: str
    milliseconds: float
    kilobytes: float


def attempts(machines: int, rng: random.Random) -> tuple[list[AttemptRow], list[AttemptRow]]:
    """Return recorded and reported attempts, of which a few differ."""
    recorded = [
        (f"run-{number // 500:06d}", number % 500, number, f"m-{number // TASKS_A_MACHINE:06d}")
        for number in range(machines * TASKS_A_MACHINE)
    ]
    reported = [row for row in recorded if rng.random() >= DIFFERING]
    return recorded, reported


def timed(work: Callable[[], Any]) -> float:
    """Return milliseconds of processor time, the median of several rounds."""
    rows = []
    for _ in range(ROUNDS):
        began = time.process_time()
        work()
        rows.append((time.process_time() - began) * 1000)
    return statistics.median(rows)


def kept(make: Callable[[], Any]) -> tuple[Any, float]:
    """Return what something is, and how many kilobytes it keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    value = make()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return value, size / 1024


def compare_sets(machines: int, rng: random.Random) -> list[Cost]:
    """Measure sets, sorted lists and bitmaps on the same attempts."""
    from pyroaring import BitMap  # noqa: PLC0415 -- an optional dependency

    recorded, reported = attempts(machines, rng)
    index = DenseIndex()
    first, second = index.numbers(recorded), index.numbers(reported)
    (one, two), set_size = kept(lambda: (set(recorded), set(reported)))
    (low, high), list_size = kept(lambda: (sorted(recorded), sorted(reported)))
    left, right = BitMap(first), BitMap(second)
    # The library's memory is its own, which Python's tracing does not see.
    bitmap_size = (len(left.serialize()) + len(right.serialize())) / 1024
    _, index_size = kept(lambda: DenseIndex().numbers(recorded))
    return [
        Cost("set: build both", timed(lambda: (set(recorded), set(reported))), set_size),
        Cost("set: difference", timed(lambda: one - two), 0.0),
        Cost(
            "sorted lists: build both",
            timed(lambda: (sorted(recorded), sorted(reported))),
            list_size,
        ),
        Cost("sorted lists: difference", timed(lambda: _missing(low, high)), 0.0),
        Cost("bitmap: dense index", timed(lambda: _index_both(recorded, reported)), index_size),
        Cost("bitmap: build both", timed(lambda: (BitMap(first), BitMap(second))), bitmap_size),
        Cost("bitmap: difference", timed(lambda: left - right), 0.0),
    ]


def _index_both(recorded: list[AttemptRow], reported: list[AttemptRow]) -> None:
    index = DenseIndex()
    index.numbers(recorded)
    index.numbers(reported)


def _missing(recorded: list[AttemptRow], reported: list[AttemptRow]) -> list[AttemptRow]:
    missing, at = [], 0
    for row in recorded:
        while at < len(reported) and reported[at] < row:
            at += 1
        if at == len(reported) or reported[at] != row:
            missing.append(row)
    return missing


def compare_quantiles(count: int, rng: random.Random) -> list[tuple[str, float, float, float]]:
    """Measure a sorted list and a sketch of the same values: time, bytes, largest rank error."""
    from datasketches import kll_floats_sketch  # noqa: PLC0415 -- an optional dependency

    values = [rng.lognormvariate(0, 1) for _ in range(count)]
    exact = sorted(values)

    def fill() -> Any:
        sketch = kll_floats_sketch(200)
        for value in values:
            sketch.update(value)
        return sketch

    sketch = fill()
    error = max(
        abs(sum(1 for value in exact if value <= sketch.get_quantile(rank)) / count - rank)
        for rank in RANKS
    )
    size = len(sketch.serialize())
    return [
        (f"sorted list of {count}", timed(lambda: sorted(values)), count * 8.0, 0.0),
        (f"KLL sketch of {count}", timed(fill), float(size), error),
    ]


def main(argv: list[str] | None = None) -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="roadbend.recovery.measure", description=__doc__)
    parser.add_argument("--machines", default="200,1500,4000")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    for text in options.machines.split(","):
        machines = int(text)
        print(f"{machines} machines, {machines * TASKS_A_MACHINE} tasks")
        for cost in compare_sets(machines, random.Random(options.seed)):
            print(f"  {cost.way:28} {cost.milliseconds:9.3f} ms {cost.kilobytes:9.1f} KB")
        rows = compare_quantiles(machines * TASKS_A_MACHINE, random.Random(options.seed))
        for way, milliseconds, size, error in rows:
            print(f"  {way:28} {milliseconds:9.3f} ms {size:9.0f} B, rank error {error:.4f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
