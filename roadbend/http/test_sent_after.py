"""The earliest time at which a request may have been sent (`Request.sent_after_s`)."""

import h11
import pytest
import trio
import trio.testing

from roadbend.http.server import Request, Response, Server

# How long the client waits before its first request and between requests, in seconds.
FIRST_S, BETWEEN_S = 20.0, 30.0


def request_bytes(body: bytes) -> bytes:
    conn = h11.Connection(h11.CLIENT)
    headers = [("host", "a"), ("content-length", str(len(body)))]
    head = conn.send(h11.Request(method="POST", target="/hello", headers=headers))
    return head + conn.send(h11.Data(data=body)) + conn.send(h11.EndOfMessage())


@pytest.mark.parametrize("in_pieces", [False, True])
async def test_a_request_is_no_older_than_its_connection_or_the_response_before(in_pieces):
    """Guards against a heartbeat that the network delayed and that counts as recent."""
    requests: list[Request] = []

    async def answer(request: Request) -> Response:
        requests.append(request)
        return Response(200)

    async with trio.open_nursery() as nursery:
        stream, server_stream = trio.testing.memory_stream_pair()
        accepted_at = trio.current_time()
        nursery.start_soon(Server(answer, max_connections=4).serve, server_stream)
        answered_at = []
        for pause in (FIRST_S, BETWEEN_S, BETWEEN_S):
            await trio.sleep(pause)
            data = request_bytes(b"abc")
            if in_pieces:
                await stream.send_all(data[:10])
                await trio.sleep(1)
                data = data[10:]
            await stream.send_all(data)
            await stream.receive_some(4096)
            answered_at.append(trio.current_time())
        nursery.cancel_scope.cancel()
    assert [request.sent_after_s for request in requests] == [accepted_at, *answered_at[:2]]
