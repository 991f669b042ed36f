"""Connections: which are kept when clients outnumber the sockets."""

import contextlib
import itertools
import random

import h11
import trio
import trio.testing

from roadbend.http.server import IDLE_TIMEOUT_S, Request, Response, Server


async def answer(request: Request) -> Response:
    return Response(200, {"path": request.path})


class ClientConnection:
    """One connection to a server."""

    def __init__(self, nursery: trio.Nursery, server: Server):
        self.stream, server_stream = trio.testing.memory_stream_pair()
        nursery.start_soon(server.serve, server_stream)

    async def send(self, path: str) -> int | None:
        """Send a request and return the status; None if the connection is closed."""
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
    """Guards against users taking all sockets of the port that they share with workers."""
    async with trio.open_nursery() as nursery:
        server = Server(
            answer,
            max_connections=8,
            prioritized=lambda request: request.path == "/hello",
            stale_after_s=10.0,
        )
        workers = [ClientConnection(nursery, server) for _ in range(5)]
        assert [await w.send("/hello") for w in workers] == [200] * 5
        users = []
        for _ in range(40):
            users.append(ClientConnection(nursery, server))
            assert await users[-1].send("/v1/jobs") == 200
        # The longest idle connections of users were closed; every worker still has its connection.
        assert [await w.send("/hello") for w in workers] == [200] * 5
        assert await users[0].send("/v1/jobs") is None and await users[-1].send("/v1/jobs") == 200
        late = ClientConnection(nursery, server)
        assert await late.send("/hello") == 200
        nursery.cancel_scope.cancel()


async def test_connections_left_half_open_by_a_cut_make_room_and_living_ones_do_not():
    async with trio.open_nursery() as nursery:
        server = Server(
            answer,
            max_connections=6,
            prioritized=lambda request: request.path == "/hello",
            stale_after_s=10.0,
        )
        lost = [ClientConnection(nursery, server) for _ in range(6)]
        assert [await w.send("/hello") for w in lost] == [200] * 6
        # All are workers that have just sent a heartbeat: no connection is closed, and the new one
        # is refused at once.
        assert await ClientConnection(nursery, server).send("/hello") is None
        await trio.sleep(6)
        assert await lost[0].send("/hello") == 200
        await trio.sleep(6)
        back = [ClientConnection(nursery, server) for _ in range(5)]
        assert [await w.send("/hello") for w in back] == [200] * 5
        assert await lost[0].send("/hello") == 200 and await lost[1].send("/hello") is None
        nursery.cancel_scope.cancel()


async def test_more_workers_than_connections_take_turns():
    """Guards against workers that can't connect: 4,000 of them, 2 controllers, 1,800 sockets each.

    A worker that got no connection for the duration of its lease would lose its tasks.
    """
    async with trio.open_nursery() as nursery:
        server = Server(
            answer,
            max_connections=12,
            prioritized=lambda request: request.path == "/hello",
            reserved=4,
        )
        workers = [ClientConnection(nursery, server) for _ in range(30)]
        for _ in range(3):
            for n in range(len(workers)):
                status = await workers[n].send("/hello")
                if status is None:
                    # Its connection was closed after the last response; it opens another.
                    workers[n] = ClientConnection(nursery, server)
                    status = await workers[n].send("/hello")
                assert status == 200
            assert len(server._connections) <= 8
        nursery.cancel_scope.cancel()


async def test_a_connection_that_says_nothing_is_closed_and_one_whose_answer_is_being_made_is_not():
    async def slow(request: Request) -> Response:
        await trio.sleep(IDLE_TIMEOUT_S * 2)
        return Response(200)

    async with trio.open_nursery() as nursery:
        server = Server(slow, max_connections=4)
        nursery.start_soon(server.sweep)
        silent, asking = ClientConnection(nursery, server), ClientConnection(nursery, server)
        with trio.fail_after(IDLE_TIMEOUT_S * 3):
            assert await asking.send("/v1/jobs") == 200
            assert await silent.send("/v1/jobs") is None
        nursery.cancel_scope.cancel()


async def test_requests_that_come_whole_are_answered_as_those_that_come_in_pieces():
    """A cached head is not parsed again; the responses must not differ from those of h11."""
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

    requests = [
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

    async def talk(server: Server, data: list[bytes], in_pieces: bool) -> list[bytes]:
        answers = []
        async with trio.open_nursery() as nursery:
            client_stream, server_stream = trio.testing.memory_stream_pair()
            nursery.start_soon(server.serve, server_stream)
            try:
                for one in data:
                    # The server stops reading a request that it answers before the end.
                    bounds = (
                        [0, *sorted(rng.sample(range(1, len(one)), 2)), len(one)]
                        if in_pieces
                        else [0, len(one)]
                    )
                    for low, high in itertools.pairwise(bounds):
                        with contextlib.suppress(trio.BrokenResourceError):
                            await client_stream.send_all(one[low:high])
                        await trio.sleep(0.01)
                    answers.append(bytes(await client_stream.receive_some(65536)))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                answers.append(b"gone")
            nursery.cancel_scope.cancel()
        return answers

    # Two pipelined requests are answered one after the other.
    pipelined = await talk(Server(echo, max_connections=64), [requests[0] + requests[2]], False)
    assert pipelined[0].startswith(b"HTTP/1.1 200")
    server = Server(echo, max_connections=64)
    for _ in range(150):
        data = [rng.choice(requests) for _ in range(rng.randrange(1, 6))]
        assert await talk(server, data, False) == await talk(
            Server(echo, max_connections=64), data, True
        )
    assert 3 <= len(server._request_heads) <= 5
