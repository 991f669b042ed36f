"""Tests that records in the state store are written and read as in the recording.

They are read in every form that any version wrote.
"""

import json

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import case_name, exact, load

DATA = load("records")


@pytest.mark.parametrize("case", DATA["keys"], ids=case_name)
def test_a_record_has_its_key(case):
    """Names are percent-encoded in keys."""
    assert adapter.KEYS[case["kind"]](*case["arguments"]) == case["key"]


def test_the_catalog_has_its_key_and_live_records_begin_alike():
    """Controllers watch all keys with this prefix; records of ended jobs lie outside it."""
    assert adapter.CATALOG_KEY == DATA["catalog_key"]
    assert adapter.LIVE_PREFIX == DATA["followed_prefix"]


@pytest.mark.parametrize("name", sorted(DATA["words"]))
def test_words_that_are_stored_or_told_are_as_before(name):
    """Phases and kinds of differences are stored; statuses are stored and returned to users."""
    assert exact(adapter.STORED_WORDS[name]) == exact(DATA["words"][name])


@pytest.mark.parametrize("case", DATA["written"], ids=case_name)
def test_a_record_is_written_as_before(case):
    """The value is compared as exact JSON: order of keys, and integers or floats."""
    key, value = adapter.WRITERS[case["record"]](case["contents"])
    assert (key, json.dumps(value)) == (case["key"], case["json"])


@pytest.mark.parametrize("case", DATA["read"], ids=case_name)
def test_records_are_read_with_their_meaning(case):
    """Covers forms that only earlier versions wrote; records that can't be parsed are left out."""
    rows = [(key, json.loads(value)) for key, value in case["records"]]
    assert exact(adapter.read_records(rows)) == exact(case["known"])


@pytest.mark.parametrize("case", DATA["ranges"], ids=case_name)
def test_ranges_are_written_as_text_and_read_in_both_forms(case):
    """The ranges are half-open ranges of task indexes."""
    assert adapter.write_ranges(case["ranges"]) == case["text"]
    assert adapter.read_ranges(case["text"]) == case["ranges"]
    assert adapter.read_ranges(case["ranges"]) == case["ranges"]


@pytest.mark.parametrize("case", DATA["catalogs"], ids=case_name)
def test_a_catalog_is_read_with_its_meaning(case):
    """The cloud's response and the record have the same form."""
    assert exact(adapter.read_catalog(case["catalog"])) == exact(case["machine_types"])


@pytest.mark.parametrize("case", DATA["refused_catalogs"], ids=case_name)
def test_a_bad_catalog_is_refused(case):
    """A bad catalog is treated as a missing response."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_catalog(case["catalog"])
    assert str(refused.value) == case["text"]
