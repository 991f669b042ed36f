"""Accepted connections, over real local sockets and with trio's real clock."""

import socket

import pytest
import trio

from roadbend.http.accepted_stream import accept
from roadbend.http.net import Net


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_what_is_sent_arrives_whole_however_slowly_the_other_side_reads():
    sent, address = bytes(range(256)) * 40_000, free_address()

    async def echo(stream: trio.abc.Stream) -> None:
        got = bytearray()
        while len(got) < len(sent):
            got += await stream.receive_some(65536)
        await stream.send_all(got)
        assert await stream.receive_some() == b""
        await stream.aclose()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(Net().listen, address, echo)
            for _ in range(3):
                client = await Net().connect(address)
                await client.send_all(sent)
                await trio.sleep(0.05)
                got = bytearray()
                while len(got) < len(sent):
                    got += await client.receive_some(100_000)
                assert got == sent
                await client.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_connection_that_was_closed_or_broken_says_so():
    async def main() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            clients = [socket.create_connection(listener.getsockname()) for _ in range(2)]
            closed, broken = accept(listener), accept(listener)
        async with trio.open_nursery() as nursery:

            async def wait() -> None:
                with pytest.raises(trio.ClosedResourceError):
                    await closed.receive_some()

            nursery.start_soon(wait)
            await trio.testing.wait_all_tasks_blocked()
            await closed.aclose()
        with pytest.raises(trio.ClosedResourceError):
            await closed.send_all(b"a")
        # SO_LINGER with a zero timeout: a reset instead of an orderly close.
        clients[1].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        clients[1].close()
        with pytest.raises(trio.BrokenResourceError):
            await broken.receive_some()
        with pytest.raises(trio.BrokenResourceError):
            await broken.send_all(b"a")
        await broken.aclose()
        clients[0].close()

    trio.run(main)
