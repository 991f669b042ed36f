"""Ranges of task indexes: set operations, and a job array of 100,000 tasks as one range."""

import random

from roadbend.store import ranges


def test_ranges_agree_with_plain_sets():
    rng = random.Random(7)
    for _ in range(200):
        a = {rng.randrange(40) for _ in range(rng.randrange(25))}
        b = {rng.randrange(40) for _ in range(rng.randrange(25))}
        ranges_a, ranges_b = ranges.of(a), ranges.of(b)
        assert set(ranges.iter_indexes(ranges.union(ranges_a, ranges_b))) == a | b
        assert set(ranges.iter_indexes(ranges.minus(ranges_a, ranges_b))) == a - b
        assert ranges.size(ranges_a) == len(a)
        n = rng.randrange(30)
        assert list(ranges.iter_indexes(ranges.first(ranges_a, n))) == sorted(a)[:n]
        assert all(ranges.contains(ranges_a, x) == (x in a) for x in range(40))


def test_a_huge_array_is_one_range():
    whole = ((0, 100_000),)
    assert ranges.minus(whole, ((5, 6),)) == ((0, 5), (6, 100_000))
    assert ranges.size(ranges.first(whole, 99_999)) == 99_999
