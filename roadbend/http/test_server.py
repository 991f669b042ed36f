"""Connections: who is kept when there are more than sockets."""

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
        """The status; None where the connection is gone."""
        conn = h11.Connection(h11.CLIENT)
        try:
            await self.stream.send_all(conn.send(h11.Request(method="POST", target=path, headers=[("host", "a")])))
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
        server = Server(answer, most=8, favoured=lambda request: request.path == "/hello", stale=10.0)
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
        server = Server(answer, most=6, favoured=lambda request: request.path == "/hello", stale=10.0)
        lost = [Caller(nursery, server) for _ in range(6)]
        assert [await w.ask("/hello") for w in lost] == [200] * 6
        # All are workers that were heard a moment ago: nobody makes room, and the new one is told so at once.
        assert await Caller(nursery, server).ask("/hello") is None
        await trio.sleep(6)
        assert await lost[0].ask("/hello") == 200
        await trio.sleep(6)
        back = [Caller(nursery, server) for _ in range(5)]
        assert [await w.ask("/hello") for w in back] == [200] * 5
        assert await lost[0].ask("/hello") == 200 and await lost[1].ask("/hello") is None
        nursery.cancel_scope.cancel()


async def test_a_connection_that_says_nothing_is_closed_and_one_whose_answer_is_being_made_is_not():
    async def slow(request: Request) -> Response:
        await trio.sleep(IDLE_S * 2)
        return Response(200)

    async with trio.open_nursery() as nursery:
        server = Server(slow, most=4)
        nursery.start_soon(server.sweep)
        silent, asking = Caller(nursery, server), Caller(nursery, server)
        with trio.fail_after(IDLE_S * 3):
            assert await asking.ask("/v1/jobs") == 200
            assert await silent.ask("/v1/jobs") is None
        nursery.cancel_scope.cancel()
