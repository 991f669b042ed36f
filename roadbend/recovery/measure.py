"""Benchmarks compressed bitmaps and quantile sketches against sets and lists.

    python -m roadbend.recovery.measure --machines 200,1500,4000

Needs the libraries of `requirements-recovery.txt`. The times depend on the machine it runs on.
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

TASKS_PER_MACHINE = 25
# The share of attempts that differ, and how often each operation is timed.
DIFFERING_SHARE, ROUNDS = 0.01, 7
# Ranks at which the error of the sketch is measured.
RANKS = (0.5, 0.95, 0.99)


# Job, task index, attempt and machine.
AttemptRow = tuple[str, int, int, str]


@dataclass(frozen=True)
class Cost:
    """The cost of one operation of a comparison."""

    operation: str
    milliseconds: float
    kilobytes: float


def attempts(machines: int, rng: random.Random) -> tuple[list[AttemptRow], list[AttemptRow]]:
    """Return recorded and reported attempts; some recorded ones are missing from the reported."""
    recorded = [
        (f"run-{number // 500:06d}", number % 500, number, f"m-{number // TASKS_PER_MACHINE:06d}")
        for number in range(machines * TASKS_PER_MACHINE)
    ]
    reported = [row for row in recorded if rng.random() >= DIFFERING_SHARE]
    return recorded, reported


def median_time_ms(work: Callable[[], Any]) -> float:
    """Return the median CPU time of several rounds, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        work()
        times.append((time.process_time() - began) * 1000)
    return statistics.median(times)


def build_traced(make: Callable[[], Any]) -> tuple[Any, float]:
    """Build a value; return it and how many kilobytes of memory it retains."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    value = make()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return value, size / 1024


def compare_sets(machines: int, rng: random.Random) -> list[Cost]:
    """Benchmark sets, sorted lists and bitmaps on the same attempts."""
    from pyroaring import BitMap  # noqa: PLC0415 -- an optional dependency

    recorded, reported = attempts(machines, rng)
    index = DenseIndex()
    recorded_ids, reported_ids = index.ids_of(recorded), index.ids_of(reported)
    (recorded_set, reported_set), set_size = build_traced(lambda: (set(recorded), set(reported)))
    (recorded_list, reported_list), list_size = build_traced(
        lambda: (sorted(recorded), sorted(reported))
    )
    recorded_bitmap, reported_bitmap = BitMap(recorded_ids), BitMap(reported_ids)
    # `tracemalloc` does not see memory that the library allocates, so its serialized size counts.
    bitmap_size = (len(recorded_bitmap.serialize()) + len(reported_bitmap.serialize())) / 1024
    _, index_size = build_traced(lambda: DenseIndex().ids_of(recorded))
    return [
        Cost("set: build both", median_time_ms(lambda: (set(recorded), set(reported))), set_size),
        Cost("set: difference", median_time_ms(lambda: recorded_set - reported_set), 0.0),
        Cost(
            "sorted lists: build both",
            median_time_ms(lambda: (sorted(recorded), sorted(reported))),
            list_size,
        ),
        Cost(
            "sorted lists: difference",
            median_time_ms(lambda: _missing(recorded_list, reported_list)),
            0.0,
        ),
        Cost(
            "bitmap: dense index",
            median_time_ms(lambda: _index_both(recorded, reported)),
            index_size,
        ),
        Cost(
            "bitmap: build both",
            median_time_ms(lambda: (BitMap(recorded_ids), BitMap(reported_ids))),
            bitmap_size,
        ),
        Cost("bitmap: difference", median_time_ms(lambda: recorded_bitmap - reported_bitmap), 0.0),
    ]


def _index_both(recorded: list[AttemptRow], reported: list[AttemptRow]) -> None:
    index = DenseIndex()
    index.ids_of(recorded)
    index.ids_of(reported)


def _missing(recorded: list[AttemptRow], reported: list[AttemptRow]) -> list[AttemptRow]:
    missing, position = [], 0
    for row in recorded:
        while position < len(reported) and reported[position] < row:
            position += 1
        if position == len(reported) or reported[position] != row:
            missing.append(row)
    return missing


def compare_quantiles(count: int, rng: random.Random) -> list[tuple[str, float, float, float]]:
    """Benchmark a sorted list and a sketch of the same values: time, bytes, largest rank error."""
    from datasketches import kll_floats_sketch  # noqa: PLC0415 -- an optional dependency

    values = [rng.lognormvariate(0, 1) for _ in range(count)]
    exact = sorted(values)

    def build_sketch() -> Any:
        sketch = kll_floats_sketch(200)
        for value in values:
            sketch.update(value)
        return sketch

    sketch = build_sketch()
    error = max(
        abs(sum(1 for value in exact if value <= sketch.get_quantile(rank)) / count - rank)
        for rank in RANKS
    )
    size = len(sketch.serialize())
    return [
        (f"sorted list of {count}", median_time_ms(lambda: sorted(values)), count * 8.0, 0.0),
        (f"KLL sketch of {count}", median_time_ms(build_sketch), float(size), error),
    ]


def main(argv: list[str] | None = None) -> int:
    """Print the results as a table."""
    parser = argparse.ArgumentParser(prog="roadbend.recovery.measure", description=__doc__)
    parser.add_argument("--machines", default="200,1500,4000")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    for text in options.machines.split(","):
        machines = int(text)
        print(f"{machines} machines, {machines * TASKS_PER_MACHINE} tasks")
        for cost in compare_sets(machines, random.Random(options.seed)):
            print(f"  {cost.operation:28} {cost.milliseconds:9.3f} ms {cost.kilobytes:9.1f} KB")
        rows = compare_quantiles(machines * TASKS_PER_MACHINE, random.Random(options.seed))
        for operation, milliseconds, size, error in rows:
            print(f"  {operation:28} {milliseconds:9.3f} ms {size:9.0f} B, rank error {error:.4f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
