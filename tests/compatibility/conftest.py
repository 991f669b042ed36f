"""What the tests of this folder share."""

import pytest

from tests.compatibility import adapter


@pytest.fixture(scope="module")
def mock_time_of_day():
    """The time of day goes with trio's mock clock."""
    with pytest.MonkeyPatch.context() as patch:
        adapter.go_with_the_mock_clock(patch)
        yield
