"""Encode and decode frames and their payloads.

A frame: length (4 bytes, of what follows), version (1), kind (1), call number (4), payload. A reply
carries its call's number and its kind with the top bit set. docs/peers.md describes the payloads.
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
# What the length counts beside the payload.
COUNTED_HEADER_BYTES = HEADER.size - LENGTH_BYTES
MAX_PAYLOAD = 256 * 1024
MAX_TEXT = 0xFFFF
REPLY_BIT = 0x80

# The end of the incarnation, which every heartbeat brings, of controllers that understand frames
# about gangs.
GANGS_EXTENSION = "+gangs"
# The same of controllers that answer which cancelled jobs have starts in doubt, too.
STARTS_EXTENSION = "+starts" + GANGS_EXTENSION
# The same of controllers that report which starts are settled, and go on from a machine's token
# that a peer has raised.
SETTLED_EXTENSION = "+settled" + STARTS_EXTENSION


def supports(incarnation: str, extension: str) -> bool:
    """Tell from a controller's incarnation whether it understands an extension of version 2."""
    return incarnation.endswith(extension)


class FrameKind(enum.IntEnum):
    """What a frame is about."""

    HELLO = 1
    HEARTBEAT = 2
    REQUEST = 3
    ASSIGN = 4
    REVOKE = 5
    INFORM = 6
    # As REQUEST and INFORM, for a gang. They go only to peers with the extension for gangs: others
    # drop a connection on which a kind comes that they don't know.
    GANG_REQUEST = 7
    GANG_INFORM = 8
    # Asks which cancelled jobs have starts in doubt. It goes only to peers with the extension for
    # starts.
    STARTS_IN_DOUBT = 9
    # Asks for a report of settled starts. It goes only to peers with the extension for that.
    SETTLED_STARTS = 10


class FrameError(PermanentError):
    """Not a frame of this protocol; the connection is dropped."""


class Frame(NamedTuple):
    """A frame as it came; its kind may be unknown, and has the top bit set in a reply."""

    kind: int
    number: int
    payload: bytes


def pack(kind: int, number: int, payload: bytes) -> bytes:
    """Encode a frame; raise `FrameError` if the payload is too long."""
    if len(payload) > MAX_PAYLOAD:
        raise FrameError("too long")
    return HEADER.pack(len(payload) + COUNTED_HEADER_BYTES, VERSION, kind, number) + payload


def finite(value: float) -> float:
    """Return a finite number that is not negative; raise `FrameError` for any other."""
    if not math.isfinite(value) or value < 0:
        raise FrameError("number")
    return value


class FrameDecoder:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> Iterator[Frame]:
        """Take in bytes, and yield the frames that are whole now.

        Raises `FrameError` at the first one that is malformed.
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
        self._parts: list[bytes] = []

    def put(self, layout: str, *values: float) -> "PayloadWriter":
        """Append numbers in a layout of the module `struct`, big-endian."""
        self._parts.append(struct.pack("!" + layout, *values))
        return self

    def text(self, value: str) -> "PayloadWriter":
        """Append text: its length in two bytes, and UTF-8."""
        data = value.encode()
        if len(data) > MAX_TEXT:
            raise FrameError("text too long")
        self.put("H", len(data))
        self._parts.append(data)
        return self

    def optional_text(self, value: str | None) -> "PayloadWriter":
        """Append whether there is a text, and the text if there is one."""
        self.put("?", value is not None)
        return self if value is None else self.text(value)

    def texts(self, values: tuple[str, ...]) -> "PayloadWriter":
        """Append texts: their count in two bytes, and each."""
        self.put("H", len(values))
        for value in values:
            self.text(value)
        return self

    def payload(self) -> bytes:
        """Return all that was appended."""
        return b"".join(self._parts)


class PayloadReader:
    """Decodes a frame's payload, value by value; raises `FrameError` where it is malformed."""

    def __init__(self, payload: bytes) -> None:
        self._payload = payload
        self._position = 0

    def read(self, layout: str) -> tuple[Any, ...]:
        """Read numbers in a layout of the module `struct`, big-endian."""
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
        """Read text."""
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
        """Read what `PayloadWriter.optional_text` wrote."""
        return self.text() if self.read_one("?") else None

    def texts(self) -> tuple[str, ...]:
        """Read texts."""
        return tuple(self.text() for _ in range(self.read_one("H")))

    def expect_end(self) -> None:
        """Raise `FrameError` unless all has been read."""
        if self._position != len(self._payload):
            raise FrameError("bytes left over")
