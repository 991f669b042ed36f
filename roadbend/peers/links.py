"""Links to the other controllers: one connection each way, calls with replies, a pulse every
second."""

import math
import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Protocol

import trio

from roadbend import clock
from roadbend.errors import RoadbendError
from roadbend.http.net import Net
from roadbend.log import Log
from roadbend.peers import frames
from roadbend.peers.frames import FrameError, Splitter
from roadbend.peers.heartbeat import PeerHeartbeat, PeerState
from roadbend.retry import Backoff
from roadbend.settings import Peer

log = Log("peers")
HEARTBEAT_INTERVAL = timedelta(seconds=1)
HEARTBEAT_TIMEOUT = timedelta(seconds=1.5)
MAX_INCOMING = 32
MAX_WAITING = 256

# A handler gets the sender's name and the payload, and gives the reply's payload (None: no reply).
Handler = Callable[[str, bytes], bytes | None]


class HeartbeatExchange(Protocol):
    """Builds the heartbeats that peers get, and takes in their answers."""

    def build(self) -> PeerHeartbeat:
        """Build a heartbeat of what is known now."""

    def on_reply(self, link: "Link", heartbeat: PeerHeartbeat, asked: datetime) -> None:
        """Take in a peer's answer to a heartbeat that was sent at `asked`."""


class NoReplyError(RoadbendError):
    """A peer did not answer a call in time."""


class Link:
    """The connection to one other controller, and what is known of it."""

    def __init__(self, net: Net, peer: Peer, me: str, rng: random.Random):
        self.peer = peer
        self._rng = rng
        self.known = PeerState()
        self._net = net
        self._me = me
        self._stream: trio.abc.Stream | None = None
        self._sending = trio.Lock()
        self._number = 0
        self._waiting: dict[int, trio.MemorySendChannel] = {}

    def alive(self, now: datetime) -> bool:
        return self.known.alive(now)

    async def call(self, kind: int, payload: bytes, within: timedelta) -> bytes:
        if self._stream is None or len(self._waiting) >= MAX_WAITING:
            raise NoReplyError(self.peer.name)
        self._number = (self._number + 1) & 0xFFFFFFFF
        number = self._number
        send, receive = trio.open_memory_channel(1)
        self._waiting[number] = send
        try:
            with trio.fail_after(within.total_seconds()):
                await self._send(frames.pack(kind, number, payload))
                return await receive.receive()
        except (
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.EndOfChannel,
        ):
            raise NoReplyError(self.peer.name) from None
        finally:
            self._waiting.pop(number, None)

    async def cast(self, kind: int, payload: bytes) -> None:
        """Says something that needs no answer."""
        try:
            with trio.fail_after(0.5):
                await self._send(frames.pack(kind, 0, payload))
        except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
            raise NoReplyError(self.peer.name) from None

    async def _send(self, data: bytes) -> None:
        async with self._sending:
            stream = self._stream
            if stream is None:
                raise trio.BrokenResourceError
            clean = False
            try:
                await stream.send_all(data)
                clean = True
            finally:
                # A frame that was cut short would spoil all that follow.
                if not clean and self._stream is stream:
                    self._stream = None
                    await trio.aclose_forcefully(stream)

    async def run(self, exchange: HeartbeatExchange) -> None:
        waits = Backoff(timedelta(milliseconds=200), timedelta(seconds=1), self._rng)
        while True:
            try:
                with trio.fail_after(2):
                    stream = await self._net.connect(self.peer.address)
                try:
                    await stream.send_all(frames.pack(frames.HELLO, 0, self._me.encode()))
                    self._stream = stream
                    waits.reset()
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._read, stream, nursery.cancel_scope)
                        nursery.start_soon(self._beat, exchange, nursery.cancel_scope)
                finally:
                    self._stream = None
                    await trio.aclose_forcefully(stream)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except Exception:
                log.crash("peer-link-failed", peer=self.peer.name)
            for send in list(self._waiting.values()):
                send.close()
            await clock.pause(waits.next())

    async def exchange_heartbeats(self, exchange: HeartbeatExchange) -> bool:
        """Exchanges pulses once; says whether the peer has taken ours."""
        asked = clock.now()
        try:
            reply = await self.call(frames.PING, exchange.build().pack(), HEARTBEAT_TIMEOUT)
            exchange.on_reply(self, PeerHeartbeat.unpack(reply), asked)
            return True
        except (NoReplyError, FrameError):
            return False

    async def _beat(self, exchange, scope) -> None:
        missed = 0
        while True:
            if await self.exchange_heartbeats(exchange):
                missed = 0
            else:
                missed += 1
                if missed >= 2:
                    log.debug("peer-link-silent", peer=self.peer.name)
                    scope.cancel()
            await clock.pause(HEARTBEAT_INTERVAL)

    async def _read(self, stream, scope) -> None:
        splitter = Splitter()
        try:
            while True:
                data = await stream.receive_some(65536)
                if not data:
                    break
                for kind, number, payload in splitter.feed(data):
                    waiting = self._waiting.get(number)
                    if waiting is not None and kind & frames.REPLY:
                        try:
                            waiting.send_nowait(payload)
                        except (trio.WouldBlock, trio.BrokenResourceError):
                            pass
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except FrameError as error:
            log.error("frame-malformed", peer=self.peer.name, error=str(error))
        scope.cancel()


class Peers:
    """The links to all other controllers, and the calls that come from them."""

    def __init__(
        self, net: Net, me: str, peers: tuple[Peer, ...], rng: random.Random | None = None
    ):
        rng = rng or random.Random()
        self.links = {peer.name: Link(net, peer, me, rng) for peer in peers}
        self.handlers: dict[int, Handler] = {}
        self._incoming = 0

    def alive(self, now: datetime) -> list[str]:
        return [name for name, link in self.links.items() if link.alive(now)]

    async def serve(self, stream: trio.abc.Stream) -> None:
        if self._incoming >= MAX_INCOMING:
            await trio.aclose_forcefully(stream)
            return
        self._incoming += 1
        sender = None
        splitter = Splitter()
        try:
            while True:
                with trio.fail_after(30 if sender else 5):
                    data = await stream.receive_some(65536)
                if not data:
                    return
                out = b""
                for kind, number, payload in splitter.feed(data):
                    if sender is None:
                        sender = payload.decode("utf-8", "replace")
                        if kind != frames.HELLO or sender not in self.links:
                            raise FrameError("no hello")
                        continue
                    handler = self.handlers.get(kind)
                    if handler is None:
                        raise FrameError(f"kind {kind}")
                    reply = handler(sender, payload)
                    if reply is not None:
                        out += frames.pack(kind | frames.REPLY, number, reply)
                if out:
                    with trio.fail_after(5):
                        await stream.send_all(out)
        except FrameError as error:
            log.error("frame-malformed", peer=sender, error=str(error))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        except Exception:
            log.crash("peer-connection-failed", peer=sender)
        finally:
            self._incoming -= 1
            await trio.aclose_forcefully(stream)


def finite(value: float) -> float:
    if not math.isfinite(value) or value < 0:
        raise FrameError("number")
    return value
