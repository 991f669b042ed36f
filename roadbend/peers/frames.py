"""A frame: length (4 bytes, of what follows), version (1), kind (1), call number (4), payload.

A reply carries its call's number and the kind with the top bit set. docs/peers.md has the
payloads."""

import struct
from collections.abc import Iterable

from roadbend.errors import RoadbendError

VERSION = 2
HEAD = struct.Struct("!IBBI")
MOST = 256 * 1024
REPLY = 0x80

HELLO, PING, REQUEST, ASSIGN, REVOKE, INFORM = 1, 2, 3, 4, 5, 6
# As REQUEST and INFORM, for a gang: spoken only to peers whose boot id, which every pulse brings,
# ends with GANGS. Others drop a connection on which a kind comes that they don't know.
GANG_REQUEST, GANG_INFORM = 7, 8
GANGS = "+gangs"


class FrameError(RoadbendError):
    """Not a frame of ours; the connection is dropped."""


def pack(kind: int, number: int, payload: bytes) -> bytes:
    if len(payload) > MOST:
        raise FrameError("too long")
    return HEAD.pack(len(payload) + 6, VERSION, kind, number) + payload


class Splitter:
    """Cuts a stream of bytes into frames."""

    def __init__(self):
        self._data = bytearray()

    def feed(self, data: bytes) -> Iterable[tuple[int, int, bytes]]:
        self._data += data
        while len(self._data) >= HEAD.size:
            length, version, kind, number = HEAD.unpack_from(self._data)
            if version != VERSION:
                raise FrameError(f"version {version}")
            if not 6 <= length <= MOST + 6:
                raise FrameError(f"length {length}")
            if len(self._data) < length + 4:
                return
            payload = bytes(self._data[HEAD.size : length + 4])
            del self._data[: length + 4]
            yield kind, number, payload


class Writer:
    """Builds a frame's payload."""

    def __init__(self):
        self._parts: list[bytes] = []

    def put(self, form: str, *values) -> "Writer":
        self._parts.append(struct.pack("!" + form, *values))
        return self

    def text(self, value: str) -> "Writer":
        data = value.encode()
        if len(data) > 0xFFFF:
            raise FrameError("text too long")
        return self.put("H", len(data))._raw(data)

    def maybe(self, value: str | None) -> "Writer":
        self.put("?", value is not None)
        return self if value is None else self.text(value)

    def _raw(self, data: bytes) -> "Writer":
        self._parts.append(data)
        return self

    def bytes(self) -> bytes:
        return b"".join(self._parts)


class Scanner:
    """Reads a frame's payload."""

    def __init__(self, data: bytes):
        self._data, self._at = data, 0

    def get(self, form: str) -> tuple:
        form = "!" + form
        try:
            values = struct.unpack_from(form, self._data, self._at)
        except struct.error as error:
            raise FrameError(str(error)) from None
        self._at += struct.calcsize(form)
        return values

    def one(self, form: str):
        return self.get(form)[0]

    def text(self) -> str:
        length = self.one("H")
        end = self._at + length
        if end > len(self._data):
            raise FrameError("short text")
        try:
            value = self._data[self._at : end].decode()
        except UnicodeDecodeError:
            raise FrameError("text") from None
        self._at = end
        return value

    def maybe(self) -> str | None:
        return self.text() if self.one("?") else None

    def end(self) -> None:
        if self._at != len(self._data):
            raise FrameError("bytes left over")
