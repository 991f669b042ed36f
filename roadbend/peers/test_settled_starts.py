"""Reports of settled starts, as controllers of different versions exchange them."""

import pytest

from roadbend.peers.frames import FrameError
from roadbend.peers.settled_starts import SettledStarts, SettledStartsReport, SettledStartsRequest

REQUEST = SettledStartsRequest("b1", 258, ("run-1",))
REPORT = SettledStartsReport(
    "b2", 1 << 40, (SettledStarts("east", 7, 412, ("run-2",)), SettledStarts("west", 8, 413, ()))
)


def test_a_report_and_its_request_have_these_bytes():
    assert REQUEST.pack().hex() == "0002623100000000000001020001000572756e2d31"
    assert REPORT.pack().hex() == (
        "00026232"
        "0000010000000000"
        "0002"
        "000465617374"
        "0000000000000007"
        "000000000000019c"
        "0001000572756e2d32"
        "000477657374"
        "0000000000000008"
        "000000000000019d"
        "0000"
    )


@pytest.mark.parametrize("message", [REQUEST, REPORT], ids=["request", "report"])
def test_a_truncated_or_longer_one_is_malformed(message):
    """Guards against a truncated list of jobs being read as `nothing is in doubt`."""
    payload = message.pack()
    assert type(message).unpack(payload) == message
    for end in range(len(payload)):
        with pytest.raises(FrameError):
            type(message).unpack(payload[:end])
    with pytest.raises(FrameError):
        type(message).unpack(payload + b"x")
