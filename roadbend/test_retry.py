"""Waits between attempts."""

import random
from datetime import timedelta

from roadbend.retry import Backoff

S = timedelta(seconds=1)


def test_waits_grow_to_a_bound_and_two_who_failed_together_part():
    one, other = (Backoff(S, 8 * S, random.Random(seed)) for seed in (1, 2))
    waits = [(one.next_wait(), other.next_wait()) for _ in range(8)]
    for at, pair in enumerate(waits):
        most = min(2**at, 8)
        assert all(S * most / 2 <= wait <= S * most for wait in pair)
    assert len({wait for pair in waits for wait in pair}) == 16
    one.reset()
    assert one.next_wait() <= S
