"""Records in the state service: written as before, and read with the same meaning in every form
that a version ever wrote."""

import json

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import case_name, exact, load

DATA = load("records")


@pytest.mark.parametrize("case", DATA["keys"], ids=case_name)
def test_a_record_has_its_key(case):
    """Names are quoted where they are part of a key."""
    assert adapter.KEYS[case["kind"]](*case["arguments"]) == case["key"]


def test_the_catalog_has_its_key_and_live_records_begin_alike():
    """Every controller follows what begins so, and the ends of jobs are outside."""
    assert adapter.CATALOG_KEY == DATA["catalog_key"]
    assert adapter.FOLLOWED_PREFIX == DATA["followed_prefix"]


@pytest.mark.parametrize("name", sorted(DATA["words"]))
def test_words_that_are_stored_or_told_are_as_before(name):
    """Phases and kinds of differences are in records; statuses are in records and answers."""
    assert exact(adapter.WORDS[name]) == exact(DATA["words"][name])


@pytest.mark.parametrize("case", DATA["written"], ids=case_name)
def test_a_record_is_written_as_before(case):
    """The value as exact JSON: the order of its keys, and whole numbers or fractions."""
    key, value = adapter.WRITERS[case["record"]](case["contents"])
    assert (key, json.dumps(value)) == (case["key"], case["json"])


@pytest.mark.parametrize("case", DATA["read"], ids=case_name)
def test_records_are_read_with_their_meaning(case):
    """Also forms that only earlier versions wrote; what can't be read is left out."""
    rows = [(key, json.loads(value)) for key, value in case["records"]]
    assert exact(adapter.read_records(rows)) == exact(case["known"])


@pytest.mark.parametrize("case", DATA["ranges"], ids=case_name)
def test_ranges_are_written_as_text_and_read_in_both_forms(case):
    """Of task numbers, half-open."""
    assert adapter.write_ranges(case["ranges"]) == case["text"]
    assert adapter.read_ranges(case["text"]) == case["ranges"]
    assert adapter.read_ranges(case["ranges"]) == case["ranges"]


@pytest.mark.parametrize("case", DATA["catalogs"], ids=case_name)
def test_a_catalog_is_read_with_its_meaning(case):
    """The cloud's answer and the record have the same form."""
    assert exact(adapter.read_catalog(case["catalog"])) == exact(case["machine_types"])


@pytest.mark.parametrize("case", DATA["refused_catalogs"], ids=case_name)
def test_a_bad_catalog_is_refused(case):
    """It counts as no answer."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_catalog(case["catalog"])
    assert str(refused.value) == case["text"]
