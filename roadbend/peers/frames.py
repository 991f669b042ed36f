"""Encode and decode frames and their payloads.

A frame: length of the rest (4 bytes), version (1), kind (1), call number (4), payload. A reply has
the number of its call, and the kind of its call with the top bit set. docs/peers.md describes the
payloads.
"""

import enum
import math
import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

from roadbend.errors import PermanentError

VERSION = 2
HEADER = struct.Struct("!IBBI")
LENGTH_BYTES = 4
# The header bytes that the length field counts in addition to the payload.
COUNTED_HEADER_BYTES = HEADER.size - LENGTH_BYTES
MAX_PAYLOAD = 256 * 1024
MAX_TEXT = 0xFFFF
REPLY_BIT = 0x80

# Suffix of the incarnation, which every heartbeat contains, of controllers that support frames for
# gangs.
GANGS_EXTENSION = "+gangs"
# The suffix of controllers that also answer which cancelled jobs have starts in doubt.
STARTS_EXTENSION = "+starts" + GANGS_EXTENSION
# The suffix of controllers that also report which starts are settled, and can continue from a
# machine's fencing token that a peer has raised.
SETTLED_EXTENSION = "+settled" + STARTS_EXTENSION


def supports(incarnation: str, extension: str) -> bool:
    """Return whether the controller with this incarnation supports an extension of version 2."""
    return incarnation.endswith(extension)


class FrameKind(enum.IntEnum):
    """The kind of a frame."""

    HELLO = 1
    HEARTBEAT = 2
    REQUEST = 3
    ASSIGN = 4
    REVOKE = 5
    INFORM = 6
    # Like REQUEST and INFORM, for a gang. Sent only to peers with the gangs extension: others close
    # a connection on which they receive a frame of unknown kind.
    GANG_REQUEST = 7
    GANG_INFORM = 8
    # Queries which cancelled jobs have starts in doubt. Sent only to peers with the starts
    # extension.
    STARTS_IN_DOUBT = 9
    # Requests a report of settled starts. Sent only to peers with the settled extension.
    SETTLED_STARTS = 10


class FrameError(PermanentError):
    """A malformed or unexpected frame; the connection is closed."""


class Frame(NamedTuple):
    """A received frame; its kind may be unknown, and has the top bit set in a reply."""

    kind: int
    number: int
    payload: bytes


def pack(kind: int, number: int, payload: bytes) -> bytes:
    """Encode a frame; raise `FrameError` if the payload is too long."""
    if len(payload) > MAX_PAYLOAD:
        raise FrameError("too long")
    return HEADER.pack(len(payload) + COUNTED_HEADER_BYTES, VERSION, kind, number) + payload


def require_finite(value: float) -> float:
    """Return a finite number that is not negative; raise `FrameError` for any other."""
    if not math.isfinite(value) or value < 0:
        raise FrameError("number")
    return value


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[Frame]:
        """Append received bytes, and yield the frames that are complete.

        Raises `FrameError` at the first malformed frame.
        """
        buffer = self._buffer
        buffer += data
        while len(buffer) >= HEADER.size:
            length, version, kind, number = HEADER.unpack_from(buffer)
            if version != VERSION:
                raise FrameError(f"version {version}")
            if not COUNTED_HEADER_BYTES <= length <= MAX_PAYLOAD + COUNTED_HEADER_BYTES:
                raise FrameError(f"length {length}")
            end = length + LENGTH_BYTES
            if len(buffer) < end:
                return
            payload = bytes(buffer[HEADER.size : end])
            del buffer[:end]
            yield Frame(kind, number, payload)


class PayloadWriter:
    """Encodes a frame's payload, value by value."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    def put(self, layout: str, *values: float) -> "PayloadWriter":
        """Append numbers in a big-endian `struct` layout."""
        self._chunks.append(struct.pack("!" + layout, *values))
        return self

    def text(self, value: str) -> "PayloadWriter":
        """Append a text: its length in two bytes, then its UTF-8 bytes."""
        data = value.encode()
        if len(data) > MAX_TEXT:
            raise FrameError("text too long")
        self.put("H", len(data))
        self._chunks.append(data)
        return self

    def optional_text(self, value: str | None) -> "PayloadWriter":
        """Append a flag for whether there is a text, then the text if there is one."""
        self.put("?", value is not None)
        return self if value is None else self.text(value)

    def texts(self, values: tuple[str, ...]) -> "PayloadWriter":
        """Append texts: their count in two bytes, then each of them."""
        self.put("H", len(values))
        for value in values:
            self.text(value)
        return self

    def payload(self) -> bytes:
        """Return the encoded payload."""
        return b"".join(self._chunks)


class PayloadReader:
    """Decodes a frame's payload, value by value; raises `FrameError` if it is malformed."""

    def __init__(self, payload: bytes) -> None:
        self._payload = payload
        self._position = 0

    def read(self, layout: str) -> tuple[Any, ...]:
        """Read numbers in a big-endian `struct` layout."""
        layout = "!" + layout
        try:
            values = struct.unpack_from(layout, self._payload, self._position)
        except struct.error as error:
            raise FrameError(str(error)) from None
        self._position += struct.calcsize(layout)
        return values

    def read_one(self, layout: str) -> Any:
        """Read one number; see `read`."""
        return self.read(layout)[0]

    def text(self) -> str:
        """Read a text that `PayloadWriter.text` wrote."""
        length = self.read_one("H")
        end = self._position + length
        if end > len(self._payload):
            raise FrameError("short text")
        try:
            value = self._payload[self._position : end].decode()
        except UnicodeDecodeError:
            raise FrameError("text") from None
        self._position = end
        return value

    def optional_text(self) -> str | None:
        """Read a text, or None, that `PayloadWriter.optional_text` wrote."""
        return self.text() if self.read_one("?") else None

    def texts(self) -> tuple[str, ...]:
        """Read texts that `PayloadWriter.texts` wrote."""
        return tuple(self.text() for _ in range(self.read_one("H")))

    def expect_end(self) -> None:
        """Raise `FrameError` unless the whole payload has been read."""
        if self._position != len(self._payload):
            raise FrameError("bytes left over")
