"""Tests every settings key: its default, its range, and the messages for other values."""

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import DATA as DATA_DIRECTORY
from tests.compatibility.recorded import ROOT, exact, load

DATA = load("settings")
FORMS = sorted(DATA["operator"])
KEYS = [(form, key) for form in FORMS for key in DATA["operator"][form]["keys"]]
REFUSALS = [
    (form, text, refusal)
    for form in FORMS
    for text, refusal in DATA["operator"][form]["refusals"].items()
]
PLATFORM = (DATA_DIRECTORY / "platform.toml").read_text()
MINIMAL_PLATFORM = (DATA_DIRECTORY / "platform-least.toml").read_text()


@pytest.mark.parametrize("form", FORMS)
def test_no_key_is_new_or_gone_and_defaults_are_as_before(form):
    """A new key needs recorded data of its own."""
    recorded_keys = DATA["operator"][form]["keys"]
    defaults = {key: key_data["default"] for key, key_data in recorded_keys.items()}
    assert exact(adapter.operator_defaults(form)) == exact(defaults)


@pytest.mark.parametrize("form", ["roadbend", "recovery"])
def test_a_file_without_keys_means_the_defaults(form, tmp_path):
    """Tracing is not included: it requires a destination for spans."""
    read = adapter.read_operator_settings(form, f"({form})", tmp_path)
    assert exact(read) == exact(adapter.operator_defaults(form))


@pytest.mark.parametrize("form, key", KEYS)
def test_a_key_takes_the_ends_of_its_range(form, key, tmp_path):
    """A text key accepts any text up to its maximum length."""
    for text, value in DATA["operator"][form]["keys"][key]["taken"].items():
        read = adapter.read_operator_settings(form, text, tmp_path)
        assert exact(read[key]) == exact(value)


@pytest.mark.parametrize("form, text, refusal", REFUSALS)
def test_what_is_out_of_range_unknown_or_of_another_kind_is_refused(form, text, refusal, tmp_path):
    """The message names the key."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_operator_settings(form, text, tmp_path)
    assert str(refused.value) == refusal and adapter.is_settings_error(refused.value)


@pytest.mark.parametrize("form", FORMS)
def test_the_files_that_are_shipped_say_the_same(form, tmp_path):
    """Covers the operators' settings files in `deploy`."""
    text = (ROOT / "deploy" / f"{form}.sexp").read_text()
    read = adapter.read_operator_settings(form, text, tmp_path)
    assert exact(read) == exact(DATA["operator"][form]["shipped"])


def test_the_file_that_says_how_to_build_and_run_is_unchanged():
    """The platform relies on its exact contents.

    A commit that changes the version in production also changes the recorded copy.
    """
    shipped = (ROOT / "deploy" / "service.toml").read_bytes()
    assert shipped == (DATA_DIRECTORY / "service.toml").read_bytes()


def test_the_platforms_file_is_read_with_its_meaning():
    """All known keys are read; others are ignored."""
    assert exact(adapter.read_platform_settings(PLATFORM)) == exact(DATA["platform"]["full"])


def test_keys_that_the_platform_may_leave_out_have_their_defaults():
    """Older versions of the platform don't write these keys."""
    read = adapter.read_platform_settings(MINIMAL_PLATFORM)
    assert exact(read) == exact(DATA["platform"]["least"])


@pytest.mark.parametrize("line, refusal", sorted(DATA["platform"]["missing"].items()))
def test_a_key_that_must_be_there_is_named(line, refusal):
    """Each case leaves out one line of the minimal file."""
    text = MINIMAL_PLATFORM.replace(f"{line}\n", "", 1)
    assert text != MINIMAL_PLATFORM
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_platform_settings(text)
    assert str(refused.value) == refusal and adapter.is_settings_error(refused.value)


@pytest.mark.parametrize("old, new, refusal", DATA["platform"]["bad"])
def test_a_bad_value_of_the_platform_is_refused_by_its_key(old, new, refusal):
    """Each case changes one line of the full file."""
    text = PLATFORM.replace(old, new, 1)
    assert text != PLATFORM
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_platform_settings(text)
    assert str(refused.value) == refusal and adapter.is_settings_error(refused.value)


@pytest.mark.parametrize("old, new, key, value", DATA["platform"]["changed"])
def test_an_odd_value_of_the_platform_keeps_its_meaning(old, new, key, value):
    """Each case changes one line of the full file."""
    text = PLATFORM.replace(old, new, 1)
    assert text != PLATFORM
    assert exact(adapter.read_platform_settings(text)[key]) == exact(value)
