"""A client with a bounded pool of connections to one address."""

from datetime import timedelta
from typing import Any

import cbor2
import h11
import trio

from roadbend.errors import UnknownOutcomeError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError, decode

# No answer of any service we talk to is near this size; more is nonsense.
ANSWER_LIMIT = 32 * 1024 * 1024


class NoAnswerError(UnknownOutcomeError):
    """No usable answer came; the request may have been carried out, or may be still."""


class Client:
    """Requests to one address, over a few connections that are kept."""

    def __init__(self, net: Net, address: str, most: int = 8, keep: int = 4):
        self.address = address
        self._net = net
        self._slots = trio.CapacityLimiter(most)
        self._keep = keep
        self._idle: list[tuple[Any, h11.Connection]] = []

    async def request(
        self, method: str, target: str, body: Any = None, *, within: timedelta
    ) -> tuple[int, Any]:
        try:
            with trio.fail_after(within.total_seconds()):
                async with self._slots:
                    return await self._once(method, target, body)
        except (
            OSError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            raise NoAnswerError(f"{type(error).__name__}") from None
        except (h11.ProtocolError, MalformedError) as error:
            raise NoAnswerError(f"nonsense: {error}") from None

    async def close(self) -> None:
        while self._idle:
            stream, _ = self._idle.pop()
            await trio.aclose_forcefully(stream)

    async def _once(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        reused = bool(self._idle)
        if reused:
            stream, conn = self._idle.pop()
        else:
            stream, conn = await self._net.connect(self.address), h11.Connection(h11.CLIENT)
        reusable = False
        try:
            await stream.send_all(self._request_bytes(conn, method, target, body))
            status, data = await self._read_answer(stream, conn)
            answer = decode(data) if data else None
            if (
                conn.our_state is h11.DONE
                and conn.their_state is h11.DONE
                and len(self._idle) < self._keep
            ):
                conn.start_next_cycle()
                reusable = True
            return status, answer
        finally:
            if reused and not reusable:
                # A kept connection that failed says that its like are gone too (the other side
                # restarted).
                while self._idle:
                    await trio.aclose_forcefully(self._idle.pop()[0])
            if reusable:
                self._idle.append((stream, conn))
            else:
                await trio.aclose_forcefully(stream)

    def _request_bytes(self, conn: h11.Connection, method: str, target: str, body: Any) -> bytes:
        payload = b"" if body is None else cbor2.dumps(body)
        headers = [("host", self.address), ("content-length", str(len(payload)))]
        if payload:
            headers.append(("content-type", "application/cbor"))
        out = conn.send(h11.Request(method=method, target=target, headers=headers))
        if payload:
            out += conn.send(h11.Data(data=payload))
        return out + conn.send(h11.EndOfMessage())

    @staticmethod
    async def _read_answer(
        stream: trio.abc.Stream, conn: h11.Connection
    ) -> tuple[int | None, bytes]:
        """Status and body of the answer."""
        status, data = None, bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                data += event.data
                if len(data) > ANSWER_LIMIT:
                    raise MalformedError("answer too large")
            elif isinstance(event, h11.EndOfMessage):
                return status, bytes(data)
            elif isinstance(event, h11.ConnectionClosed):
                raise MalformedError("connection closed")
