"""Frames between controllers: written byte for byte as before, and read with the same meaning."""

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import case_name, exact, load

DATA = load("frames")


@pytest.mark.parametrize("name", sorted(DATA["kinds"]))
def test_a_kind_of_frame_has_its_number(name):
    """Others drop a connection on which a kind comes that they don't know."""
    assert adapter.FRAME_KINDS[name] == DATA["kinds"][name]


def test_no_kind_of_frame_is_new_or_gone():
    """A new kind needs recorded data of its own."""
    assert sorted(adapter.FRAME_KINDS) == sorted(DATA["kinds"])
    assert (adapter.REPLY_BIT, adapter.LONGEST_PAYLOAD) == (
        DATA["reply_bit"],
        DATA["longest_payload"],
    )


@pytest.mark.parametrize("case", DATA["frames"], ids=case_name)
def test_a_frame_is_written_and_cut_out_of_a_stream(case):
    """Length, version, kind, call number and payload."""
    payload, data = bytes.fromhex(case["payload_hex"]), bytes.fromhex(case["hex"])
    assert adapter.encode_frame(case["kind"], case["number"], payload) == data
    assert adapter.split_frames(data) == [(case["kind"], case["number"], payload)]
    assert adapter.split_frames(data[:-1]) == []


def test_the_longest_payload_is_sent_and_one_byte_more_is_not():
    """The longest frame is also taken."""
    longest = bytes(DATA["longest_payload"])
    assert adapter.split_frames(adapter.encode_frame(2, 1, longest)) == [(2, 1, longest)]
    with pytest.raises(adapter.RefusedError, match="^too long$"):
        adapter.encode_frame(2, 1, longest + b"x")


@pytest.mark.parametrize("case", DATA["refused_frames"], ids=case_name)
def test_a_bad_frame_is_refused(case):
    """Its connection is dropped, and the log has this text."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.split_frames(bytes.fromhex(case["hex"]))
    assert str(refused.value) == case["text"]


@pytest.mark.parametrize("case", DATA["payloads"], ids=case_name)
def test_a_payload_is_written_byte_for_byte(case):
    """Also where a value is cut to what its field holds."""
    assert adapter.ENCODERS[case["payload"]](case["contents"]).hex() == case["hex"]


@pytest.mark.parametrize("case", DATA["payloads"], ids=case_name)
def test_a_payload_is_read_with_its_meaning(case):
    """`reads_as` where that differs from what was written."""
    meaning = adapter.DECODERS[case["payload"]](bytes.fromhex(case["hex"]))
    assert exact(meaning) == exact(case.get("reads_as", case["contents"]))


@pytest.mark.parametrize("case", DATA["refused_contents"], ids=case_name)
def test_contents_that_no_payload_holds_are_refused(case):
    """Nothing is sent."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.ENCODERS[case["payload"]](case["contents"])
    assert str(refused.value) == case["text"]


@pytest.mark.parametrize("case", DATA["refused_payloads"], ids=case_name)
def test_a_payload_that_says_nothing_sensible_is_refused(case):
    """Where `text` is null, the text is Python's and only the refusal counts."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.DECODERS[case["payload"]](bytes.fromhex(case["hex"]))
    assert case["text"] in (None, str(refused.value))


@pytest.mark.parametrize("boot, understands", sorted(DATA["boots_that_understand_gangs"].items()))
def test_frames_of_gangs_go_to_those_whose_boot_id_says_that_they_know_them(boot, understands):
    """A controller from before gangs would drop the connection."""
    assert adapter.understands_gangs(boot) == understands
