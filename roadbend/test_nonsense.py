"""Nonsense from workers, peers, the cloud and the state service is refused or ignored, and ends no
process."""

import random

import pytest
import trio

from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.http.server import Response
from roadbend.peers import frames

ODD = [
    None,
    -1,
    1e300,
    float("nan"),
    True,
    "",
    "x" * 400,
    [],
    {},
    [[]],
    {"a": 1},
    1 << 70,
    b"\xff",
    "run-000001/x",
]


async def test_odd_reports_are_answered_and_change_nothing():
    rng = random.Random(5)
    async with world(count=1) as w:
        assert await w.submit(0, job(1, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        worker = w.workers()[0]
        codes = set()
        for n in range(400):
            body = {**worker.report(), "hitch": f"m-{700_000 + n}"}
            row = {"leg": "run-000001/0", "try": 1, "status": "running"}
            body["legs"] = (
                [{**row, rng.choice(list(row)): rng.choice(ODD)}] if n % 3 else body["legs"]
            )
            body[rng.choice(list(body))] = rng.choice(ODD)
            codes.add(
                (
                    await w.call(
                        0, "POST", "/hello", rng.choice((body, body, body, rng.choice(ODD)))
                    )
                )[0]
            )
        assert codes <= {200, 400, 503} and 400 in codes
        await trio.sleep(30)
        assert w.board.running("run-000001") and len(w.board.starts) == 1


@pytest.mark.parametrize("who", ["state", "cloud"])
async def test_odd_answers_of_services_end_nothing(who):
    rng = random.Random(who)
    async with world() as w:
        service = getattr(w, who)
        real = service.handle

        async def odd(request, host=""):
            answer = await real(request, host)
            if rng.random() < 0.3:
                body = rng.choice([x for x in ODD if not isinstance(x, bytes)])
                if isinstance(answer.body, dict) and answer.body and rng.random() < 0.7:
                    body = {**answer.body, rng.choice(list(answer.body)): body}
                return Response(rng.choice((200, 200, 200, 404, 500, 302)), body)
            return answer

        service.handle = odd
        for n in range(1, 6):
            await w.call(n % 3, "POST", "/v1/jobs", job(n, legs=2, dueS=30.0))
            w.board.lengths[f"run-{n:06d}"] = 5.0
            await trio.sleep(4)
        service.handle = real
        assert await w.settled() and len(w.nodes) == 3
        assert await w.submit(0, job(20), 5.0) == 201
        assert await w.until(lambda: is_done(w), 120)


async def is_done(w):
    return await w.status(1, "run-000020") == "done"


async def test_odd_frames_drop_a_connection_and_nothing_else():
    rng = random.Random(7)
    async with world() as w:
        for _ in range(60):
            stream = await w.network.port("node-1").connect("node-0:81")
            await stream.send_all(frames.pack(frames.HELLO, 0, b"node-1"))
            kind = rng.choice(
                (frames.PING, frames.REQUEST, frames.ASSIGN, frames.INFORM, frames.GANG_REQUEST, 99)
            )
            await stream.send_all(frames.pack(kind, 1, rng.randbytes(rng.randrange(200))))
            await trio.sleep(0.1)
            await stream.aclose()
        assert await w.settled()
        assert await w.submit(2, job(1), 5.0) == 201
        await w.over()
