"""Bookkeeping of interrupted acquisitions."""

import pytest

from roadbend.partitions.acquisition import Acquisition, AcquisitionRequest
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.client import UnavailableError
from roadbend.store.errors import Operation
from roadbend.store.record_view import RecordView

PARTITION = "east"
UNAVAILABLE = UnavailableError("503", Operation.COMPARE_AND_SWAP, ())


class Records:
    """Fake election records whose writes and reads can be made to fail."""

    def __init__(self):
        self.view = RecordView()
        self.revision = 0
        self.write_error = None
        self.is_readable = True

    async def write(self, _conditions, changes, *, within):
        if self.write_error is not None:
            raise self.write_error
        self.revision += 1
        self.view.apply_transaction(changes, self.revision)

    async def read(self):
        return self.is_readable


async def acquire(records, acquisition):
    """Acquire the partition on condition of its current leader record; return the term."""
    recorded = records.view.partition_leaders.get(PARTITION)
    request = AcquisitionRequest(PARTITION, recorded.mod_revision if recorded else 0, 0, 1)
    return await acquisition.acquire(request)


def is_unconfirmed(records, acquisition):
    """Return whether the leader record was written by an interrupted acquisition."""
    recorded = records.view.partition_leaders[PARTITION]
    return acquisition.unconfirmed_terms.get(PARTITION) == recorded.term


@pytest.fixture
def records():
    return Records()


@pytest.fixture
def acquisition(records):
    return Acquisition("n1", "i1", OperatorSettings().own_lease / 2, records)


async def test_an_interrupted_acquisition_is_remembered_until_it_is_carried_through(
    records, acquisition
):
    """Guards against releasing a partition although no other controller may be able to lead it."""
    records.is_readable = False
    assert await acquire(records, acquisition) is None
    assert is_unconfirmed(records, acquisition)
    records.is_readable = True
    assert (await acquire(records, acquisition)).number == 2
    assert not is_unconfirmed(records, acquisition)


async def test_an_acquisition_that_is_interrupted_twice_is_given_up(records, acquisition):
    """Guards against a controller that keeps the leader record without ever leading."""
    records.is_readable = False
    for interrupted in (True, False):
        assert await acquire(records, acquisition) is None
        assert is_unconfirmed(records, acquisition) is interrupted


async def test_a_term_that_was_written_without_an_answer_is_remembered(records, acquisition):
    """Guards against releasing a partition whose acquisition was committed without an answer."""
    records.write_error = UNAVAILABLE
    with pytest.raises(UnavailableError):
        await acquire(records, acquisition)
    leader = {"node": "n1", "boot": "i1", "term": 1}
    records.view.put(keys.leader_key(PARTITION), leader, 1)
    assert is_unconfirmed(records, acquisition)
