"""Ranges: 100,000 tasks cost nothing until they are cut up."""

import random

from roadbend.store import ranges


def test_ranges_agree_with_plain_sets():
    rng = random.Random(7)
    for _ in range(200):
        a = {rng.randrange(40) for _ in range(rng.randrange(25))}
        b = {rng.randrange(40) for _ in range(rng.randrange(25))}
        ra, rb = ranges.of(a), ranges.of(b)
        assert set(ranges.iter_indexes(ranges.union(ra, rb))) == a | b
        assert set(ranges.iter_indexes(ranges.minus(ra, rb))) == a - b
        assert ranges.size(ra) == len(a)
        n = rng.randrange(30)
        assert list(ranges.iter_indexes(ranges.first(ra, n))) == sorted(a)[:n]
        assert all(ranges.contains(ra, x) == (x in a) for x in range(40))


def test_a_huge_array_is_one_range():
    whole = ((0, 100_000),)
    assert ranges.minus(whole, ((5, 6),)) == ((0, 5), (6, 100_000))
    assert ranges.size(ranges.first(whole, 99_999)) == 99_999
