"""Connections: who is kept when there are more than sockets."""

import contextlib
import itertools
import random

import h11
import trio
import trio.testing

from roadbend.http.server import IDLE_S, Request, Response, Server


async def answer(request: Request) -> Response:
    return Response(200, {"path": request.path})


class Caller:
    """One connection to a server."""

    def __init__(self, nursery: trio.Nursery, server: Server):
        self.stream, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(server.serve, theirs)

    async def ask(self, path: str) -> int | None:
        """Return the status; None where the connection is gone."""
        conn = h11.Connection(h11.CLIENT)
        try:
            await self.stream.send_all(
                conn.send(h11.Request(method="POST", target=path, headers=[("host", "a")]))
            )
            await self.stream.send_all(conn.send(h11.EndOfMessage()))
            data = await self.stream.receive_some(4096)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        if not data:
            return None
        conn.receive_data(data)
        event = conn.next_event()
        return event.status_code if isinstance(event, h11.Response) else None


async def test_a_storm_of_users_keeps_out_no_worker():
    """Users and workers share a port and its sockets; users once could take all of them."""
    async with trio.open_nursery() as nursery:
        server = Server(
            answer,
            max_connections=8,
            prioritized=lambda request: request.path == "/hello",
            stale_after_s=10.0,
        )
        workers = [Caller(nursery, server) for _ in range(5)]
        assert [await w.ask("/hello") for w in workers] == [200] * 5
        users = []
        for _ in range(40):
            users.append(Caller(nursery, server))
            assert await users[-1].ask("/v1/jobs") == 200
        # The users that had waited longest made room; every worker still has its connection.
        assert [await w.ask("/hello") for w in workers] == [200] * 5
        assert await users[0].ask("/v1/jobs") is None and await users[-1].ask("/v1/jobs") == 200
        late = Caller(nursery, server)
        assert await late.ask("/hello") == 200
        nursery.cancel_scope.cancel()


async def test_connections_left_half_open_by_a_cut_make_room_and_living_ones_do_not():
    async with trio.open_nursery() as nursery:
        server = Server(
            answer,
            max_connections=6,
            prioritized=lambda request: request.path == "/hello",
            stale_after_s=10.0,
        )
        lost = [Caller(nursery, server) for _ in range(6)]
        assert [await w.ask("/hello") for w in lost] == [200] * 6
        # All are workers that were heard a moment ago: nobody makes room, and the new one is told
        # so at once.
        assert await Caller(nursery, server).ask("/hello") is None
        await trio.sleep(6)
        assert await lost[0].ask("/hello") == 200
        await trio.sleep(6)
        back = [Caller(nursery, server) for _ in range(5)]
        assert [await w.ask("/hello") for w in back] == [200] * 5
        assert await lost[0].ask("/hello") == 200 and await lost[1].ask("/hello") is None
        nursery.cancel_scope.cancel()


async def test_more_workers_than_connections_take_turns():
    """Four thousand workers and two controllers with 1,800 sockets each.

    Whoever found no connection for the length of its lease would lose its tasks.
    """
    async with trio.open_nursery() as nursery:
        server = Server(
            answer,
            max_connections=12,
            prioritized=lambda request: request.path == "/hello",
            reserved=4,
        )
        workers = [Caller(nursery, server) for _ in range(30)]
        for _ in range(3):
            for n in range(len(workers)):
                status = await workers[n].ask("/hello")
                if status is None:
                    # Its connection was closed after the last answer; it opens another.
                    workers[n] = Caller(nursery, server)
                    status = await workers[n].ask("/hello")
                assert status == 200
            assert len(server._connections) <= 8
        nursery.cancel_scope.cancel()


async def test_a_connection_that_says_nothing_is_closed_and_one_whose_answer_is_being_made_is_not():
    async def slow(request: Request) -> Response:
        await trio.sleep(IDLE_S * 2)
        return Response(200)

    async with trio.open_nursery() as nursery:
        server = Server(slow, max_connections=4)
        nursery.start_soon(server.sweep)
        silent, asking = Caller(nursery, server), Caller(nursery, server)
        with trio.fail_after(IDLE_S * 3):
            assert await asking.ask("/v1/jobs") == 200
            assert await silent.ask("/v1/jobs") is None
        nursery.cancel_scope.cancel()


async def test_requests_that_come_whole_are_answered_as_those_that_come_in_pieces():
    """A head that h11 has parsed is not parsed again; that must not show, whatever comes how."""
    rng = random.Random(4)

    async def echo(request: Request) -> Response:
        more = (("retry-after", "1"),) if "late" in request.path else ()
        body = {"m": request.method, "p": request.path, "q": request.query, "n": len(request.body)}
        return Response(503 if more else 200, body, more, close="bye" in request.path)

    def request(method: str, path: str, body: bytes, *more: str) -> bytes:
        lines = [
            f"{method} {path} HTTP/1.1",
            "host: a",
            f"content-length: {len(body)}",
            *more,
            "",
            "",
        ]
        return "\r\n".join(lines).encode() + body

    kinds = [
        request("POST", "/hello", b"x" * 40),
        request("POST", "/hello", b"\r\n\r\n" * 9),
        request("GET", "/v1/jobs/run-1?a=b", b""),
        request("GET", "/late", b""),
        request("HEAD", "/up", b""),
        request("POST", "/hello", b"x" * 66_000),
        request("GET", "/bye", b""),
        request("GET", "/up", b"", "connection: close"),
        b"POST /hello HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n",
        b"GET /up HTTP/1.0\r\n\r\n",
        b"GET /up HTTP/1.1\nhost: a\n\n",
        b"nonsense\r\n\r\n",
    ]

    async def talk(server: Server, data: list[bytes], cut: bool) -> list[bytes]:
        answers = []
        async with trio.open_nursery() as nursery:
            mine, theirs = trio.testing.memory_stream_pair()
            nursery.start_soon(server.serve, theirs)
            try:
                for one in data:
                    # What is answered before it has come whole is no longer listened to.
                    at = (
                        [0, *sorted(rng.sample(range(1, len(one)), 2)), len(one)]
                        if cut
                        else [0, len(one)]
                    )
                    for low, high in itertools.pairwise(at):
                        with contextlib.suppress(trio.BrokenResourceError):
                            await mine.send_all(one[low:high])
                        await trio.sleep(0.01)
                    answers.append(bytes(await mine.receive_some(65536)))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                answers.append(b"gone")
            nursery.cancel_scope.cancel()
        return answers

    # Two at once are answered one after the other.
    both = await talk(Server(echo, max_connections=64), [kinds[0] + kinds[2]], False)
    assert both[0].startswith(b"HTTP/1.1 200")
    server = Server(echo, max_connections=64)
    for _ in range(150):
        data = [rng.choice(kinds) for _ in range(rng.randrange(1, 6))]
        assert await talk(server, data, False) == await talk(
            Server(echo, max_connections=64), data, True
        )
    assert 3 <= len(server._request_heads) <= 5
