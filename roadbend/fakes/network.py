"""A network in memory with injected faults. Each host uses it through its own `Port`."""

import contextlib
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from roadbend.fakes.stalls import HOST
from roadbend.http.net import Handler, Net

# A sender and a receiver.
Direction = tuple[str, str]
MemoryStream = trio.StapledStream[trio.testing.MemorySendStream, trio.testing.MemoryReceiveStream]
Accept = Callable[[trio.abc.Stream, str], Awaitable[None]]


class Network:
    """Connections between hosts in memory, with blocked pairs and hosts, and held packets."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._listeners: dict[str, tuple[str, Accept]] = {}
        self._streams: list[tuple[str, str, MemoryStream, MemoryStream]] = []
        self._blocked_pairs: set[frozenset[str]] = set()
        # Hosts that receive nothing, while what they send arrives.
        self.inbound_blocked: set[str] = set()
        # Hosts that can't open connections, while others can connect to them.
        self.outbound_blocked: set[str] = set()
        # Directions (sender, receiver) in which packets are held back, and the held packets. They
        # arrive in order once they are released, even if the sender has closed the connection.
        self._holding: set[Direction] = set()
        self._holding_requests: set[Direction] = set()
        self._held: list[tuple[Direction, trio.testing.MemorySendStream, Callable[[], None]]] = []

    def port(self, host: str) -> "Port":
        """Return the network as a host uses it."""
        return Port(self, host)

    def register(self, address: str, host: str, accept: Accept) -> None:
        """Let a host accept the connections to an address."""
        self._listeners[address] = (host, accept)

    def unregister(self, host: str) -> None:
        """Remove a host: its listeners end and its connections break."""
        self._listeners = {a: row for a, row in self._listeners.items() if row[0] != host}
        self._break(lambda a, b: host in (a, b))

    def block(self, a: str, b: str) -> None:
        """Block all traffic between two hosts, and break their connections."""
        self._blocked_pairs.add(frozenset((a, b)))
        self._break(lambda x, y: frozenset((x, y)) == frozenset((a, b)))

    def reset(self, a: str, b: str) -> None:
        """Break the connections between two hosts; new ones can be opened."""
        self._break(lambda x, y: frozenset((x, y)) == frozenset((a, b)))

    def unblock(self, a: str, b: str) -> None:
        """Permit traffic between two hosts again."""
        self._blocked_pairs.discard(frozenset((a, b)))

    def block_outbound(self, host: str) -> None:
        """Keep a host from opening connections, and break those that it opened."""
        self.outbound_blocked.add(host)
        self._break(lambda a, b: a == host)

    def hold(self, sender: str, receiver: str, requests: bool = False) -> None:
        """Hold back packets from one host to another.

        `requests`: only on connections that the sender opened; its answers still arrive.
        """
        (self._holding_requests if requests else self._holding).add((sender, receiver))

    def release(self, sender: str, receiver: str) -> None:
        """Deliver the held packets, and hold back no more."""
        self._holding.discard((sender, receiver))
        self._holding_requests.discard((sender, receiver))
        held, self._held = self._held, []
        for direction, stream, deliver in held:
            if direction == (sender, receiver):
                deliver()
            else:
                self._held.append((direction, stream, deliver))

    def _break(self, match: Callable[[str, str], bool]) -> None:
        kept = []
        for a, b, opener_stream, listener_stream in self._streams:
            if match(a, b):
                for end in (opener_stream, listener_stream):
                    end.send_stream.close()
                    end.receive_stream.close()
            else:
                kept.append((a, b, opener_stream, listener_stream))
        self._streams = kept

    async def connect(self, host: str, address: str) -> trio.abc.Stream:
        """Open a connection from a host; raise `ConnectionRefusedError` if nobody listens."""
        await trio.sleep(0.001)
        target = self._listeners.get(address)
        if target is None:
            raise ConnectionRefusedError(address)
        if (
            frozenset((host, target[0])) in self._blocked_pairs
            or target[0] in self.inbound_blocked
            or host in self.outbound_blocked
        ):
            # An attempt to connect that is blocked gets no answer, not even a refusal.
            await trio.sleep(3600)
            raise ConnectionRefusedError(address)
        opener_stream, listener_stream = trio.testing.memory_stream_pair()
        self._filter(opener_stream.send_stream, host, target[0], True)
        self._filter(listener_stream.send_stream, target[0], host, False)
        self._streams.append((host, target[0], opener_stream, listener_stream))
        self._nursery.start_soon(self._accept, target, listener_stream, host)
        return opener_stream

    def _filter(
        self, stream: trio.testing.MemorySendStream, sender: str, receiver: str, opened: bool
    ) -> None:
        """Drop what is sent to a host with blocked inbound traffic; hold back held directions.

        The connection itself stays open.
        """
        pump, close_stream, direction = stream.send_all_hook, stream.close_hook, (sender, receiver)
        assert pump is not None and close_stream is not None, "set by `memory_stream_pair`"

        def is_held() -> bool:
            held = direction in self._holding or (opened and direction in self._holding_requests)
            return held or any(row[1] is stream for row in self._held)

        async def send() -> None:
            if receiver in self.inbound_blocked:
                stream.get_data_nowait()
            elif is_held():
                self._hold_back(direction, stream, close_stream)
            else:
                await pump()

        def close() -> None:
            if is_held():
                self._hold_back(direction, stream, close_stream)
            else:
                close_stream()

        stream.send_all_hook, stream.close_hook = send, close

    def _hold_back(
        self,
        direction: Direction,
        stream: trio.testing.MemorySendStream,
        pump: Callable[[], object],
    ) -> None:
        if not any(row[1] is stream for row in self._held):

            def deliver() -> None:
                # First what was sent, then the end of the stream if it was closed meanwhile.
                try:
                    pump()
                    pump()
                except (trio.WouldBlock, trio.ClosedResourceError, trio.BrokenResourceError):
                    pass

            self._held.append((direction, stream, deliver))

    async def _accept(
        self, listener: tuple[str, Accept], stream: trio.abc.Stream, host: str
    ) -> None:
        name, accept = listener
        HOST.set(name)
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await accept(stream, host)


class Port(Net):
    """The network as one host uses it, in place of TCP."""

    def __init__(self, network: Network, host: str) -> None:
        self._network, self.host = network, host

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a connection; raise `ConnectionRefusedError` if nobody listens."""
        return await self._network.connect(self.host, address)

    async def listen(
        self,
        address: str,
        handler: Handler,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run `handler` for each connection to an address, until cancelled."""

        async def accept(stream: trio.abc.Stream, _host: str) -> None:
            await handler(stream)

        self._network.register(address, self.host, accept)
        task_status.started()
        await trio.sleep_forever()
