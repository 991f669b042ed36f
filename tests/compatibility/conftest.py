"""Fixtures shared by the compatibility tests."""

import pytest

from tests.compatibility import adapter


@pytest.fixture(scope="module")
def mock_time_of_day():
    """Make the time of day follow trio's mock clock."""
    with pytest.MonkeyPatch.context() as patch:
        adapter.follow_mock_clock(patch)
        yield
