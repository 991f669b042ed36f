"""Exponential backoff: its bounds and its jitter."""

import random
from datetime import timedelta

from roadbend.retry import Backoff

S = timedelta(seconds=1)


def test_waits_grow_to_a_bound_and_two_who_failed_together_part():
    first, second = (Backoff(S, 8 * S, random.Random(seed)) for seed in (1, 2))
    waits = [(first.next_wait(), second.next_wait()) for _ in range(8)]
    for at, pair in enumerate(waits):
        most = min(2**at, 8)
        assert all(S * most / 2 <= wait <= S * most for wait in pair)
    assert len({wait for pair in waits for wait in pair}) == 16
    first.reset()
    assert first.next_wait() <= S
