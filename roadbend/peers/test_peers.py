"""Frames and heartbeats between controllers."""

from datetime import timedelta

import pytest
import trio
import trio.testing

from roadbend import clock
from roadbend.peers import frames
from roadbend.peers.frames import FrameDecoder, FrameError
from roadbend.peers.heartbeat import PeerHeartbeat, PeerState, RequestRates
from roadbend.peers.links import Peers
from roadbend.peers.starts_in_doubt import (
    PartitionStartsInDoubt,
    StartsInDoubtReply,
    StartsInDoubtRequest,
)
from roadbend.settings import Peer

S = timedelta(seconds=1)


def test_frames_survive_any_cutting():
    data = b"".join(frames.pack(kind, kind * 7, bytes(kind)) for kind in range(1, 6))
    for step in (1, 3, 7, len(data)):
        decoder, out = FrameDecoder(), []
        for at in range(0, len(data), step):
            out += list(decoder.feed(data[at : at + step]))
        assert out == [(kind, kind * 7, bytes(kind)) for kind in range(1, 6)]


@pytest.mark.parametrize(
    "data", [b"\xff" * 16, b"\0\0\0\x01\x01\x01\0\0\0\0", b"\0\0\0\x06\x01\x01\0\0\0\0"]
)
def test_malformed_frames_are_refused(data):
    with pytest.raises(FrameError):
        list(FrameDecoder().feed(data))


async def test_a_stranger_or_garbage_loses_its_connection():
    peers = Peers(None, "a", (Peer("b", "z", "b:1"),))
    for data in (
        b"GET / HTTP/1.1\r\n\r\n",
        frames.pack(frames.FrameKind.HELLO, 0, b"nobody"),
        frames.pack(frames.FrameKind.HEARTBEAT, 1, b""),
    ):
        mine, theirs = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peers.serve, theirs)
            await mine.send_all(data)
            with pytest.raises(trio.BrokenResourceError):
                while await mine.receive_some(100):
                    pass
                raise trio.BrokenResourceError


def test_a_heartbeat_comes_back_as_it_went():
    heartbeat = PeerHeartbeat(
        "b1",
        9 * S,
        None,
        RequestRates(1.5, 0.25, 0.5),
        {"east": 7},
        {"west": ("m-1", "m-2")},
        60 * S,
        ("run-1", "run-2"),
    )
    assert PeerHeartbeat.unpack(heartbeat.pack()) == heartbeat


def known(heartbeat, asked, last_read_at, waited=0 * S):
    state = PeerState()
    state.update(heartbeat, asked, asked + waited, last_read_at)
    return state


def test_a_peers_list_of_cancellations_covers_only_an_unbroken_life():
    t = clock.ORIGIN + 1000 * S
    alive = PeerHeartbeat("b1", 500 * S, 20 * S, RequestRates(0, 0, 0), cancellations_span=100 * S)
    assert known(alive, t, t - 20 * S).cancellations_known_until(t - 20 * S) == t
    # It restarted after our last read: what its former process confirmed is unknown.
    newborn = PeerHeartbeat("b2", 5 * S, None, RequestRates(0, 0, 0), cancellations_span=100 * S)
    assert known(newborn, t, t - 20 * S).cancellations_known_until(t - 20 * S) == t - 20 * S
    # Its list does not reach back far enough.
    short = PeerHeartbeat("b1", 500 * S, 20 * S, RequestRates(0, 0, 0), cancellations_span=10 * S)
    assert known(short, t, t - 20 * S).cancellations_known_until(t - 20 * S) == t - 20 * S
    # It may have measured the span back from when its reply was received, not from when the request
    # was sent: it restarted just after our last read, and its reply took 1.4 s.
    slow = PeerHeartbeat("b2", 1.2 * S, None, RequestRates(0, 0, 0), cancellations_span=100 * S)
    assert known(slow, t, t - 1 * S, 1.4 * S).cancellations_known_until(t - 1 * S) == t - 1 * S
    assert (
        known(slow, t, t - 1.3 * S, 1.4 * S).cancellations_known_until(t - 1.3 * S) == t - 1.3 * S
    )
    # Its clock may run fast, and its list may lack what it confirmed at the very start of the span.
    edge = PeerHeartbeat("b1", 500 * S, 20 * S, RequestRates(0, 0, 0), cancellations_span=20 * S)
    assert known(edge, t, t - 20 * S).cancellations_known_until(t - 20 * S) == t - 20 * S
    # Without any read of our own nothing is known.
    assert known(alive, t, None).cancellations_known_until(None) is None


REQUEST = StartsInDoubtRequest(("run-1", "run-2"))
REPLY = StartsInDoubtReply(
    (PartitionStartsInDoubt("east", 1 << 40, ("run-2",)), PartitionStartsInDoubt("north", 7, ())),
    {"east": 1 << 40, "west": 2},
)


def test_a_question_for_starts_in_doubt_has_these_bytes():
    """Controllers of different versions exchange these frames."""
    assert REQUEST.pack().hex() == "0002000572756e2d31000572756e2d32"
    assert REPLY.pack().hex() == (
        "0002000465617374000001000000000000010005" + b"run-2".hex() + "00056e6f727468"
        "00000000000000070000"
        "00020004656173740000010000000000000477657374" + "0000000000000002"
    )


@pytest.mark.parametrize("message", [REQUEST, REPLY], ids=["request", "reply"])
def test_a_question_for_starts_in_doubt_comes_back_as_it_went(message):
    payload = message.pack()
    assert type(message).unpack(payload) == message
    for malformed in (payload[:-1], payload + b"x", b""):
        with pytest.raises(FrameError):
            type(message).unpack(malformed)


@pytest.mark.parametrize(
    "incarnation, knows", [("b1+starts+gangs", True), ("b1+gangs", False), ("b1", False)]
)
def test_only_controllers_that_know_the_question_are_asked(incarnation, knows):
    state = PeerState(PeerHeartbeat(incarnation, S, None, RequestRates(0, 0, 0)))
    assert state.supports(frames.STARTS_EXTENSION) == knows
