"""Tests of the paper's definitions and algorithms, and of where the design extends them."""

import random
from collections import Counter
from datetime import timedelta

from roadbend import clock
from roadbend.bidding import casa, messages
from roadbend.bidding.casa import Bid
from roadbend.bidding.promises import Promises
from roadbend.fakes.submission import job
from roadbend.intake.messages import read_submission
from roadbend.store import ranges
from roadbend.store.records import Job

S = timedelta(seconds=1)


def bid(partition, seconds, now=0, capacity=10, queue=0.0, shadow=0.0):
    return Bid(
        partition=partition,
        controller=f"node-{partition}",
        job_time=seconds * S,
        queue_time=queue * S,
        shadow_time=shadow * S,
        startable_now=now,
        capacity=capacity,
    )


def make_job(**changes) -> Job:
    name, spec = read_submission(job(1, **changes))
    return Job(name, spec, clock.wall())


def test_the_draw_goes_by_inverse_response_time():
    rng, bids = random.Random(1), [bid("a", 10), bid("b", 20, queue=10), bid("c", 50, shadow=10)]
    count = Counter(casa.draw(bids, 1.0, rng).partition for _ in range(6000))
    # Weights 1/10, 1/30, 1/60.
    assert abs(count["a"] / 6000 - 6 / 9) < 0.02 and abs(count["b"] / 6000 - 2 / 9) < 0.02
    assert casa.response_time(bids[2], 0.0) == 50 * S and casa.response_time(bids[2], 0.5) == 55 * S
    assert casa.draw([], 1.0, rng) is None


def test_a_partition_that_can_start_now_wins_over_a_faster_promise():
    for seed in range(50):
        shares = casa.allocate(
            make_job(legs=1), [bid("a", 1), bid("b", 500, now=1)], 1.0, random.Random(seed)
        )
        assert shares == {"b": ((0, 1),)}


def test_arrays_go_out_in_slices_that_fit_the_free_room():
    shares = casa.allocate(
        make_job(legs=6), [bid("a", 10, now=2), bid("b", 10, now=3)], 1.0, random.Random(3)
    )
    assert sum(ranges.size(r) for r in shares.values()) == 6
    assert ranges.size(shares["a"]) >= 2 and ranges.size(shares["b"]) >= 3


def test_no_zone_ever_gets_more_than_half_of_a_job_that_is_to_be_apart():
    for seed in range(50):
        for tasks in (1, 2, 3, 9):
            bids = [bid("a", 1, now=9), bid("b", 100), bid("c", 100)]
            shares = casa.allocate(make_job(legs=tasks, apart=True), bids, 1.0, random.Random(seed))
            assert all(ranges.size(r) <= (tasks + 1) // 2 for r in shares.values())
    # With bids from one zone only, the other half stays unassigned.
    shares = casa.allocate(
        make_job(legs=9, apart=True), [bid("a", 1, now=9)], 1.0, random.Random(1)
    )
    assert ranges.size(shares["a"]) == 5


def test_a_job_that_is_to_be_together_goes_whole_or_not_at_all():
    rng = random.Random(2)
    assert (
        casa.allocate(make_job(legs=4, together=True), [bid("a", 1, now=3, capacity=3)], 1.0, rng)
        == {}
    )
    shares = casa.allocate(
        make_job(legs=4, together=True),
        [bid("a", 1, now=3, capacity=3), bid("b", 9, capacity=4)],
        1.0,
        rng,
    )
    assert shares == {"b": ((0, 4),)}


def test_promises_count_by_requests_sent_and_expire_by_themselves():
    promises, now = Promises(timedelta(seconds=2), max_promises=3), clock.ORIGIN
    promises.add("x", 90.0, 3, now)
    promises.add("y", 60.0, 3, now)
    assert promises.load(now) == 50.0
    promises.revoke("y")
    assert promises.load(now) == 30.0
    assert promises.load(now + 3 * S) == 0.0
    for n in range(9):
        promises.add(str(n), 3.0, 3, now)
    assert promises.load(now) == 3.0


def test_both_tests_of_rescheduling():
    assert casa.accepts_reschedule(5 * S, 6 * S, 1 * S, 2 * S, 1.0)
    assert not casa.accepts_reschedule(6 * S, 6 * S, 1 * S, 2 * S, 1.0)
    assert not casa.accepts_reschedule(5 * S, 6 * S, 2 * S, 2 * S, 1.0)
    assert not casa.accepts_reschedule(5 * S, 6 * S, 1 * S, 2 * S, 2.0)


def test_average_queuing_takes_waiters_first_then_the_executed():
    assert casa.average_queuing([2 * S, 4 * S], [90 * S]) == 3 * S
    assert casa.average_queuing([], [90 * S]) == 90 * S
    assert casa.average_queuing([], []) == 0 * S
    assert casa.relative_delay(6 * S, 3 * S) == 2.0 and casa.relative_delay(6 * S, 0 * S) == 0.0


def test_frames_of_the_bidding_come_back_as_they_went():
    _, spec = read_submission(job(1, rigs=["g2", "ümlaut"], yard="east", due=None))
    for request in (
        messages.BidRequest(job="run-1", requests=3, tasks=7, spec=spec),
        messages.BidRequest(
            job="run-1",
            requests=3,
            tasks=7,
            spec=spec,
            from_partition="east",
            requester_response=5 * S,
            requester_average=2 * S,
            waited=9 * S,
        ),
    ):
        assert messages.BidRequest.unpack(request.pack()) == request
    bids = [bid("a", 1.5, now=2), bid("b", 0)]
    assert messages.unpack_bids(messages.pack_bids(bids)) == bids
    assignment = messages.Assignment("run-1", b"xyz", 9)
    assert messages.Assignment.unpack(assignment.pack()) == assignment
    revocation = messages.Revocation("run-1")
    assert messages.Revocation.unpack(revocation.pack()) == revocation
