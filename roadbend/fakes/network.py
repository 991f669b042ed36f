"""A network in memory, with cuts. Each host sees it through its own Port."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing

from roadbend.fakes.stalls import HOST

Accept = Callable[[trio.abc.Stream, str], Awaitable[None]]


class Network:
    """Connections between hosts in memory, with cuts, deaf and mute hosts, held packets."""

    def __init__(self, nursery: trio.Nursery):
        self._nursery = nursery
        self._listeners: dict[str, tuple[str, Accept]] = {}
        self._streams: list[tuple[str, str, trio.abc.Stream, trio.abc.Stream]] = []
        self._reachability: set[frozenset[str]] = set()
        # Hosts that nothing reaches, while what they send arrives.
        self.inbound_blocked: set[str] = set()
        # Hosts that can't open connections, while they can be reached.
        self.outbound_blocked: set[str] = set()
        # Ways on which packets are held back, and what is held: it arrives in order once they are
        # let go, even where the sender has given up and closed meanwhile.
        self._holding: set[tuple[str, str]] = set()
        self._holding_requests: set[tuple[str, str]] = set()
        self._held: list[
            tuple[tuple[str, str], trio.testing.MemorySendStream, Callable[[], None]]
        ] = []

    def port(self, host: str) -> "Port":
        return Port(self, host)

    def register(self, address: str, host: str, accept: Accept) -> None:
        self._listeners[address] = (host, accept)

    def unregister(self, host: str) -> None:
        """The host is gone: its listeners vanish and its connections break."""
        self._listeners = {a: row for a, row in self._listeners.items() if row[0] != host}
        self._break(lambda a, b: host in (a, b))

    def block(self, a: str, b: str) -> None:
        self._reachability.add(frozenset((a, b)))
        self._break(lambda x, y: frozenset((x, y)) == frozenset((a, b)))

    def reset(self, a: str, b: str) -> None:
        """Connections between two hosts break; new ones can be made."""
        self._break(lambda x, y: frozenset((x, y)) == frozenset((a, b)))

    def unblock(self, a: str, b: str) -> None:
        self._reachability.discard(frozenset((a, b)))

    def block_outbound(self, host: str) -> None:
        """The host opens no connections any more, and those that it opened break."""
        self.outbound_blocked.add(host)
        self._break(lambda a, b: a == host)

    def hold(self, sender: str, receiver: str, requests: bool = False) -> None:
        """`requests`: only on connections that the sender opened; its answers go through."""
        (self._holding_requests if requests else self._holding).add((sender, receiver))

    def release(self, sender: str, receiver: str) -> None:
        self._holding.discard((sender, receiver))
        self._holding_requests.discard((sender, receiver))
        rows, self._held = self._held, []
        for way, stream, pump in rows:
            if way == (sender, receiver):
                pump()
            else:
                self._held.append((way, stream, pump))

    def _break(self, match: Callable[[str, str], bool]) -> None:
        keep = []
        for a, b, one, other in self._streams:
            if match(a, b):
                for end in (one, other):
                    end.send_stream.close()
                    end.receive_stream.close()
            else:
                keep.append((a, b, one, other))
        self._streams = keep

    async def connect(self, host: str, address: str) -> trio.abc.Stream:
        await trio.sleep(0.001)
        target = self._listeners.get(address)
        if target is None:
            raise ConnectionRefusedError(address)
        if (
            frozenset((host, target[0])) in self._reachability
            or target[0] in self.inbound_blocked
            or host in self.outbound_blocked
        ):
            # Behind a cut nothing answers.
            await trio.sleep(3600)
            raise ConnectionRefusedError(address)
        one, other = trio.testing.memory_stream_pair()
        self._filter(one.send_stream, host, target[0], True)
        self._filter(other.send_stream, target[0], host, False)
        self._streams.append((host, target[0], one, other))
        self._nursery.start_soon(self._accept, target, other, host)
        return one

    def _filter(
        self, stream: trio.testing.MemorySendStream, sender: str, receiver: str, opened: bool
    ) -> None:
        """Lets nothing through to a deaf host, and holds back what is to be held back; the
        connection stays as it is.
        """
        pump, finish, way = stream.send_all_hook, stream.close_hook, (sender, receiver)

        def waits() -> bool:
            held = way in self._holding or opened and way in self._holding_requests
            return held or any(row[1] is stream for row in self._held)

        async def hook() -> None:
            if receiver in self.inbound_blocked:
                stream.get_data_nowait()
            elif waits():
                self._hold_back(way, stream, finish)
            else:
                await pump()

        def close() -> None:
            if waits():
                self._hold_back(way, stream, finish)
            else:
                finish()

        stream.send_all_hook, stream.close_hook = hook, close

    def _hold_back(self, way, stream, pump) -> None:
        if not any(row[1] is stream for row in self._held):

            def deliver() -> None:
                # What was sent, then the end if it was closed meanwhile.
                try:
                    pump()
                    pump()
                except (trio.WouldBlock, trio.ClosedResourceError, trio.BrokenResourceError):
                    pass

            self._held.append((way, stream, deliver))

    async def _accept(
        self, listener: tuple[str, Accept], stream: trio.abc.Stream, host: str
    ) -> None:
        name, accept = listener
        HOST.set(name)
        try:
            await accept(stream, host)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


class Port:
    """What a program on one host sees: the same face as roadbend.http.net.Net."""

    def __init__(self, network: Network, host: str):
        self._network, self.host = network, host

    async def connect(self, address: str) -> trio.abc.Stream:
        return await self._network.connect(self.host, address)

    async def listen(self, address: str, handler, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        async def accept(stream, _host):
            await handler(stream)

        self._network.register(address, self.host, accept)
        task_status.started()
        await trio.sleep_forever()
