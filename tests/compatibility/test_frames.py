"""Tests that frames between controllers are written byte for byte and read as in the recording."""

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import case_name, exact, load

DATA = load("frames")


@pytest.mark.parametrize("name", sorted(DATA["kinds"]))
def test_a_kind_of_frame_has_its_number(name):
    """Controllers drop a connection that carries a frame of unknown kind."""
    assert adapter.FRAME_KINDS[name] == DATA["kinds"][name]


def test_no_kind_of_frame_is_new_or_gone():
    """A new kind needs recorded data of its own."""
    assert sorted(adapter.FRAME_KINDS) == sorted(DATA["kinds"])
    assert (adapter.REPLY_BIT, adapter.MAX_PAYLOAD_SIZE) == (
        DATA["reply_bit"],
        DATA["longest_payload"],
    )


@pytest.mark.parametrize("case", DATA["frames"], ids=case_name)
def test_a_frame_is_written_and_cut_out_of_a_stream(case):
    """A frame holds length, version, kind, call number and payload."""
    payload, data = bytes.fromhex(case["payload_hex"]), bytes.fromhex(case["hex"])
    assert adapter.encode_frame(case["kind"], case["number"], payload) == data
    assert adapter.split_frames(data) == [(case["kind"], case["number"], payload)]
    assert adapter.split_frames(data[:-1]) == []


def test_the_longest_payload_is_sent_and_one_byte_more_is_not():
    """The longest frame is also accepted on receipt."""
    longest = bytes(DATA["longest_payload"])
    assert adapter.split_frames(adapter.encode_frame(2, 1, longest)) == [(2, 1, longest)]
    with pytest.raises(adapter.RefusedError, match="^too long$"):
        adapter.encode_frame(2, 1, longest + b"x")


@pytest.mark.parametrize("case", DATA["refused_frames"], ids=case_name)
def test_a_bad_frame_is_refused(case):
    """The connection is dropped, and this text is logged."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.split_frames(bytes.fromhex(case["hex"]))
    assert str(refused.value) == case["text"]


@pytest.mark.parametrize("case", DATA["payloads"], ids=case_name)
def test_a_payload_is_written_byte_for_byte(case):
    """Includes values that are truncated to the size of their field."""
    assert adapter.ENCODERS[case["payload"]](case["contents"]).hex() == case["hex"]


@pytest.mark.parametrize("case", DATA["payloads"], ids=case_name)
def test_a_payload_is_read_with_its_meaning(case):
    """`reads_as` is recorded where the decoded value differs from the encoded one."""
    meaning = adapter.DECODERS[case["payload"]](bytes.fromhex(case["hex"]))
    assert exact(meaning) == exact(case.get("reads_as", case["contents"]))


@pytest.mark.parametrize("case", DATA["refused_contents"], ids=case_name)
def test_contents_that_no_payload_holds_are_refused(case):
    """Contents that can't be encoded raise an error before anything is sent."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.ENCODERS[case["payload"]](case["contents"])
    assert str(refused.value) == case["text"]


@pytest.mark.parametrize("case", DATA["refused_payloads"], ids=case_name)
def test_a_payload_that_says_nothing_sensible_is_refused(case):
    """If `text` is null, the message is Python's own and only the rejection is checked."""
    with pytest.raises(adapter.RefusedError) as refused:
        adapter.DECODERS[case["payload"]](bytes.fromhex(case["hex"]))
    assert case["text"] in (None, str(refused.value))


@pytest.mark.parametrize("boot, understands", sorted(DATA["boots_that_understand_gangs"].items()))
def test_frames_of_gangs_go_to_those_whose_boot_id_says_that_they_know_them(boot, understands):
    """A controller of a version without gangs would drop the connection."""
    assert adapter.understands_gangs(boot) == understands
