"""The recent failures of a partition, by job and by machine."""

from datetime import timedelta

from roadbend import clock
from roadbend.placement.failure_history import MAX_FAILURES, RETENTION, FailureHistory

S = timedelta(seconds=1)
NOW = clock.ORIGIN + timedelta(hours=1)


def test_failures_are_counted_by_job_not_by_task():
    history = FailureHistory()
    history.record("run-1", "m-1", 2 * S, NOW)
    history.record("run-1", "m-1", 1 * S, NOW + S)
    history.record("run-2", "m-1", 0 * S, NOW + S)
    history.record("run-1", "m-2", 0 * S, NOW + S)
    assert set(history.jobs_failed_on("m-1")) == {"run-1", "run-2"}
    assert history.failed_at("run-1", "m-1") == NOW + S
    assert history.of_job("run-1").machines == {"m-1", "m-2"}
    assert history.of_job("run-1").longest_run == 2 * S
    assert history.machines_with(2) == ["m-1"]


def test_failures_before_an_instant_are_dropped():
    history = FailureHistory()
    history.record("run-1", "m-1", S, NOW)
    history.record("run-2", "m-1", S, NOW + 2 * S)
    history.record("run-1", "m-2", S, NOW)
    history.drop_before("m-1", NOW + S)
    assert set(history.jobs_failed_on("m-1")) == {"run-2"}
    assert history.of_job("run-1").machines == {"m-2"}


def test_a_repeated_failure_is_kept_from_the_latest_on():
    history = FailureHistory()
    history.record("run-1", "m-1", S, NOW)
    history.record("run-2", "m-1", S, NOW + S)
    history.record("run-1", "m-1", S, NOW + 2 * S)
    history.drop_expired(NOW + RETENTION + S)
    assert set(history.jobs_failed_on("m-1")) == {"run-1"}
    history.drop_expired(NOW + RETENTION + 2 * S)
    assert not history and not history.jobs and history.machines_with(0) == []


def test_thousands_of_failing_jobs_on_thousands_of_machines_are_bounded():
    """Guards against memory that grows with each mistaken job, for a day on 4,000 machines."""
    history, day = FailureHistory(), timedelta(days=1)
    count = 3 * MAX_FAILURES
    for number in range(count):
        at = NOW + day * number / count
        history.record(f"run-{number % 5000}", f"m-{number % 3989}", S, at)
        history.drop_expired(at)
        assert len(history) <= RETENTION / (day / count) + 1
    for number in range(count):
        history.record(f"run-{number}", f"m-{number % 4000}", S, NOW + 2 * day)
    assert len(history) == MAX_FAILURES == len(history.jobs)
    assert len(history.machines_with(1)) == 4000
    history.drop_expired(NOW + 3 * day)
    assert not history and not history.jobs and history.machines_with(0) == []
