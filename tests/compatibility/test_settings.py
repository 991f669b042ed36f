"""Settings: every key, its default and its range, and the texts that refuse the rest."""

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import DATA as FOLDER
from tests.compatibility.recorded import ROOT, exact, load

DATA = load("settings")
FORMS = sorted(DATA["operator"])
KEYS = [(form, key) for form in FORMS for key in DATA["operator"][form]["keys"]]
REFUSALS = [
    (form, text, refusal)
    for form in FORMS
    for text, refusal in DATA["operator"][form]["refusals"].items()
]
PLATFORM = (FOLDER / "platform.toml").read_text()
LEAST_PLATFORM = (FOLDER / "platform-least.toml").read_text()


@pytest.mark.parametrize("form", FORMS)
def test_no_key_is_new_or_gone_and_defaults_are_as_before(form):
    """A new key needs recorded data of its own."""
    recorded = DATA["operator"][form]["keys"]
    defaults = {key: row["default"] for key, row in recorded.items()}
    assert exact(adapter.operator_defaults(form)) == exact(defaults)


@pytest.mark.parametrize("form", ["roadbend", "recovery"])
def test_a_file_without_keys_means_the_defaults(form, tmp_path):
    """Tracing alone needs to be told where spans go."""
    read = adapter.read_operator_settings(form, f"({form})", tmp_path)
    assert exact(read) == exact(adapter.operator_defaults(form))


@pytest.mark.parametrize("form, key", KEYS)
def test_a_key_takes_the_ends_of_its_range(form, key, tmp_path):
    """Of text: any, up to the longest."""
    for text, value in DATA["operator"][form]["keys"][key]["taken"].items():
        read = adapter.read_operator_settings(form, text, tmp_path)
        assert exact(read[key]) == exact(value)


@pytest.mark.parametrize("form, text, refusal", REFUSALS)
def test_what_is_out_of_range_unknown_or_of_another_kind_is_refused(form, text, refusal, tmp_path):
    """With a text that names the key."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_operator_settings(form, text, tmp_path)
    assert str(refused.value) == refusal and adapter.is_settings_error(refused.value)


@pytest.mark.parametrize("form", FORMS)
def test_the_files_that_are_shipped_say_the_same(form, tmp_path):
    """Those of the operators."""
    text = (ROOT / "deploy" / f"{form}.sexp").read_text()
    read = adapter.read_operator_settings(form, text, tmp_path)
    assert exact(read) == exact(DATA["operator"][form]["shipped"])


def test_the_file_that_says_how_to_build_and_run_is_unchanged():
    """The platform runs it byte for byte. Whoever names another version in production changes the
    recorded copy in the same commit."""
    shipped = (ROOT / "deploy" / "service.toml").read_bytes()
    assert shipped == (FOLDER / "service.toml").read_bytes()


def test_the_platforms_file_is_read_with_its_meaning():
    """Every key that is known; others are ignored."""
    assert exact(adapter.read_platform_settings(PLATFORM)) == exact(DATA["platform"]["full"])


def test_keys_that_the_platform_may_leave_out_have_their_defaults():
    """As for versions of the platform that did not know them."""
    read = adapter.read_platform_settings(LEAST_PLATFORM)
    assert exact(read) == exact(DATA["platform"]["least"])


@pytest.mark.parametrize("line, refusal", sorted(DATA["platform"]["missing"].items()))
def test_a_key_that_must_be_there_is_named(line, refusal):
    """Without this line of the least file."""
    text = LEAST_PLATFORM.replace(f"{line}\n", "", 1)
    assert text != LEAST_PLATFORM
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_platform_settings(text)
    assert str(refused.value) == refusal and adapter.is_settings_error(refused.value)


@pytest.mark.parametrize("old, new, refusal", DATA["platform"]["bad"])
def test_a_bad_value_of_the_platform_is_refused_by_its_key(old, new, refusal):
    """With one line of the full file changed."""
    text = PLATFORM.replace(old, new, 1)
    assert text != PLATFORM
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.read_platform_settings(text)
    assert str(refused.value) == refusal and adapter.is_settings_error(refused.value)


@pytest.mark.parametrize("old, new, key, value", DATA["platform"]["changed"])
def test_an_odd_value_of_the_platform_keeps_its_meaning(old, new, key, value):
    """With one line of the full file changed."""
    text = PLATFORM.replace(old, new, 1)
    assert text != PLATFORM
    assert exact(adapter.read_platform_settings(text)[key]) == exact(value)
