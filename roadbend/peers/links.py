"""Links to the other controllers: calls with replies, and a heartbeat every second.

Each controller opens a connection to every other one. It sends its calls on that connection, and
receives their replies on it.
"""

import contextlib
import random
from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import Protocol

import trio

from roadbend import clock
from roadbend.errors import UnknownOutcomeError
from roadbend.http.net import Net
from roadbend.log import Log
from roadbend.peers import frames
from roadbend.peers.frames import REPLY_BIT, FrameDecoder, FrameError, FrameKind
from roadbend.peers.heartbeat import PeerHeartbeat, PeerState
from roadbend.peers.incoming import RECEIVE_BYTES, Handler, IncomingConnection
from roadbend.retry import Backoff
from roadbend.settings import Peer

log = Log("peers")

HEARTBEAT_INTERVAL = timedelta(seconds=1)
HEARTBEAT_TIMEOUT = timedelta(seconds=1.5)
# After this many consecutive heartbeats without a reply, the connection is reopened.
MAX_MISSED_HEARTBEATS = 2
# Seconds.
CONNECT_TIMEOUT = 2
NOTIFY_TIMEOUT = 0.5
MIN_RECONNECT_DELAY = timedelta(milliseconds=200)
MAX_RECONNECT_DELAY = timedelta(seconds=1)
# Incoming connections from other controllers; further ones are closed at once.
MAX_INCOMING = 32
# Calls per peer that wait for a reply; further ones fail at once with `NoReplyError`.
MAX_WAITING = 256
MAX_CALL_NUMBER = 0xFFFFFFFF


class NoReplyError(UnknownOutcomeError):
    """A peer did not answer a call in time."""


class HeartbeatExchange(Protocol):
    """Builds the heartbeats sent to peers, and processes their replies."""

    def build(self) -> PeerHeartbeat:
        """Build a heartbeat from the current state."""

    def on_reply(self, link: "Link", heartbeat: PeerHeartbeat, requested_at: datetime) -> None:
        """Process a peer's reply to a heartbeat that was sent at `requested_at`."""


class Link:
    """The connection to another controller, and the last known state of that controller."""

    def __init__(self, net: Net, peer: Peer, controller: str, rng: random.Random) -> None:
        self.peer = peer
        self.peer_state = PeerState()
        self._net = net
        self._controller = controller
        self._rng = rng
        self._stream: trio.abc.Stream | None = None
        self._sending = trio.Lock()
        self._last_number = 0
        # The calls that wait for a reply, by call number.
        self._waiting: dict[int, trio.MemorySendChannel[bytes]] = {}

    def alive(self, now: datetime) -> bool:
        """Return whether the peer answered a heartbeat recently."""
        return self.peer_state.alive(now)

    async def call(self, kind: FrameKind, payload: bytes, within: timedelta) -> bytes:
        """Send a call and return its reply's payload; raise `NoReplyError` if none is received."""
        if self._stream is None or len(self._waiting) >= MAX_WAITING:
            raise NoReplyError(self.peer.name)
        self._last_number = (self._last_number + 1) & MAX_CALL_NUMBER
        number = self._last_number
        send, receive = trio.open_memory_channel[bytes](1)
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

    async def notify(self, kind: FrameKind, payload: bytes) -> None:
        """Send a call that needs no reply; raise `NoReplyError` if it can't be sent."""
        try:
            with trio.fail_after(NOTIFY_TIMEOUT):
                await self._send(frames.pack(kind, 0, payload))
        except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
            raise NoReplyError(self.peer.name) from None

    async def _send(self, data: bytes) -> None:
        async with self._sending:
            stream = self._stream
            if stream is None:
                raise trio.BrokenResourceError
            is_sent = False
            try:
                await stream.send_all(data)
                is_sent = True
            finally:
                # After a partially sent frame the peer could not decode those that follow.
                if not is_sent and self._stream is stream:
                    self._stream = None
                    await trio.aclose_forcefully(stream)

    async def run(self, exchange: HeartbeatExchange) -> None:
        """Keep a connection open and exchange heartbeats on it, until cancelled."""
        backoff = Backoff(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY, self._rng)
        while True:
            try:
                await self._run_connection(exchange, backoff)
            except (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except Exception:
                # After any failure the link must reconnect.
                log.crash("peer-link-failed", peer=self.peer.name)
            for send in list(self._waiting.values()):
                send.close()
            await clock.pause(backoff.next_wait())

    async def _run_connection(self, exchange: HeartbeatExchange, backoff: Backoff) -> None:
        with trio.fail_after(CONNECT_TIMEOUT):
            stream = await self._net.connect(self.peer.address)
        try:
            await stream.send_all(frames.pack(FrameKind.HELLO, 0, self._controller.encode()))
            self._stream = stream
            backoff.reset()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_replies, stream, nursery.cancel_scope)
                nursery.start_soon(self._send_heartbeats, exchange, nursery.cancel_scope)
        finally:
            self._stream = None
            await trio.aclose_forcefully(stream)

    async def exchange_heartbeats(self, exchange: HeartbeatExchange) -> bool:
        """Exchange heartbeats once; return whether the peer has received ours."""
        requested_at = clock.now()
        try:
            reply = await self.call(FrameKind.HEARTBEAT, exchange.build().pack(), HEARTBEAT_TIMEOUT)
            exchange.on_reply(self, PeerHeartbeat.unpack(reply), requested_at)
        except (NoReplyError, FrameError):
            return False
        return True

    async def _send_heartbeats(self, exchange: HeartbeatExchange, scope: trio.CancelScope) -> None:
        """Exchange heartbeats every second, until too many in a row are not answered."""
        missed = 0
        while True:
            if await self.exchange_heartbeats(exchange):
                missed = 0
            else:
                missed += 1
                if missed >= MAX_MISSED_HEARTBEATS:
                    log.debug("peer-link-silent", peer=self.peer.name)
                    scope.cancel()
            await clock.pause(HEARTBEAT_INTERVAL)

    async def _read_replies(self, stream: trio.abc.Stream, scope: trio.CancelScope) -> None:
        """Pass replies to the calls that wait for them, until the connection ends."""
        decoder = FrameDecoder()
        try:
            while data := await stream.receive_some(RECEIVE_BYTES):
                for kind, number, payload in decoder.feed(data):
                    waiting = self._waiting.get(number)
                    if waiting is not None and kind & REPLY_BIT:
                        # The call may have timed out, or have its reply already.
                        with contextlib.suppress(trio.WouldBlock, trio.BrokenResourceError):
                            waiting.send_nowait(payload)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except FrameError as error:
            log.error("frame-malformed", peer=self.peer.name, error=str(error))
        scope.cancel()


class Peers:
    """The links to all other controllers, and the handlers of calls from them."""

    def __init__(
        self,
        net: Net,
        controller: str,
        peers: tuple[Peer, ...],
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random()
        self.links = {peer.name: Link(net, peer, controller, rng) for peer in peers}
        # The handlers of calls, by frame kind.
        self.handlers: dict[int, Handler] = {}
        self._incoming = 0

    def alive(self, now: datetime) -> list[str]:
        """Return the controllers that answered a heartbeat recently."""
        return [name for name, link in self.links.items() if link.alive(now)]

    def reporting_machines(self, partition: str, now: datetime) -> Iterator[tuple[str, ...]]:
        """Yield, for each live peer, the machines that send it heartbeats as a non-leader."""
        for link in self.links.values():
            if link.alive(now) and link.peer_state.heartbeat is not None:
                yield link.peer_state.heartbeat.reporting_machines.get(partition, ())

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the calls on an incoming connection until it ends."""
        if self._incoming >= MAX_INCOMING:
            await trio.aclose_forcefully(stream)
            return
        self._incoming += 1
        connection = IncomingConnection(stream, self.links, self.handlers)
        try:
            await connection.run()
        except FrameError as error:
            log.error("frame-malformed", peer=connection.sender, error=str(error))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        except Exception:
            # A failing handler must not stop the controller; the peer reconnects.
            log.crash("peer-connection-failed", peer=connection.sender)
        finally:
            self._incoming -= 1
            await trio.aclose_forcefully(stream)
