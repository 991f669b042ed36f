"""Answer the calls on a connection from another controller."""

from collections.abc import Callable, Container, Mapping

import trio

from roadbend.peers import frames
from roadbend.peers.frames import REPLY_BIT, Frame, FrameDecoder, FrameError, FrameKind

RECEIVE_BYTES = 65536
# Timeouts in seconds: for the first frame, for each later one, and for sending replies.
HELLO_TIMEOUT = 5
IDLE_TIMEOUT = 30
REPLY_TIMEOUT = 5

# Receives the sender's name and a payload, and returns the reply's payload; None: no reply.
Handler = Callable[[str, bytes], bytes | None]


class IncomingConnection:
    """A connection that another controller has opened."""

    def __init__(
        self, stream: trio.abc.Stream, peers: Container[str], handlers: Mapping[int, Handler]
    ) -> None:
        # The controller named in the first frame; None until that is received.
        self.sender: str | None = None
        self._stream = stream
        self._peers = peers
        self._handlers = handlers
        self._decoder = FrameDecoder()

    async def run(self) -> None:
        """Answer calls until the peer closes the connection.

        Raises `FrameError` for a malformed or unknown frame, `trio.TooSlowError` for silence, and
        what the stream raises.
        """
        while True:
            with trio.fail_after(IDLE_TIMEOUT if self.sender else HELLO_TIMEOUT):
                data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                return
            replies = self._answer(data)
            if replies:
                with trio.fail_after(REPLY_TIMEOUT):
                    await self._stream.send_all(replies)

    def _answer(self, data: bytes | bytearray) -> bytes:
        replies = b""
        for frame in self._decoder.feed(data):
            if self.sender is None:
                self._identify_sender(frame)
            else:
                replies += self._call_handler(self.sender, frame)
        return replies

    def _identify_sender(self, frame: Frame) -> None:
        self.sender = frame.payload.decode("utf-8", "replace")
        if frame.kind != FrameKind.HELLO or self.sender not in self._peers:
            raise FrameError("first frame is not a hello from a known peer")

    def _call_handler(self, sender: str, frame: Frame) -> bytes:
        handler = self._handlers.get(frame.kind)
        if handler is None:
            raise FrameError(f"unknown frame kind {frame.kind}")
        reply = handler(sender, frame.payload)
        if reply is None:
            return b""
        return frames.pack(frame.kind | REPLY_BIT, frame.number, reply)
