"""Malformed input from workers, peers, the cloud and the state store is rejected or ignored.

It must not end a process.
"""

import random

import pytest
import trio

from roadbend.fakes.gangs import TEAMS
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import world
from roadbend.http.server import Response
from roadbend.peers import frames

MALFORMED_VALUES = [
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
        statuses = set()
        for n in range(400):
            body = {**worker.heartbeat(), "hitch": f"m-{700_000 + n}"}
            row = {"leg": "run-000001/0", "try": 1, "status": "running"}
            body["legs"] = (
                [{**row, rng.choice(list(row)): rng.choice(MALFORMED_VALUES)}]
                if n % 3
                else body["legs"]
            )
            body[rng.choice(list(body))] = rng.choice(MALFORMED_VALUES)
            statuses.add(
                (
                    await w.call(
                        0,
                        "POST",
                        "/hello",
                        rng.choice((body, body, body, rng.choice(MALFORMED_VALUES))),
                    )
                )[0]
            )
        assert statuses <= {200, 400, 503} and 400 in statuses
        await trio.sleep(30)
        assert w.board.running("run-000001") and len(w.board.starts) == 1


STATES = ("gathering", "running", "flushing", "ended", "dreaming")
REASONS = ("peers", "alone", "stopped", "weather", None)


async def test_gang_states_of_arrays_and_attempts_that_nobody_began_change_nothing():
    """Guards against impossible contents of a machine's heartbeats that change the state.

    They report states that its tasks can't have, unknown reasons, and attempts that were never
    started, for tasks of a job array, a service, a gang and of no job.
    """
    rng = random.Random(6)
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, shape="daemon", dueS=None, legs=2), None) == 201
        assert await w.submit(0, job(2, legs=3, loaners=False), 90.0) == 201
        assert await w.submit(0, gang(3, 4), 90.0) == 201
        names = [f"run-{n:06d}" for n in (1, 2, 3)]
        assert await w.until(lambda: all(w.board.running(name) for name in names), 60)
        await trio.sleep(5)
        for _ in range(300):
            worker = rng.choice(w.workers())
            body = worker.heartbeat()
            kind = rng.randrange(3)
            if kind == 0 or not body["legs"]:
                name = rng.choice((*names, "run-000009"))
                task = f"{name}/{rng.randrange(4)}"
                row = {"leg": task, "try": rng.randrange(1, 1 << 40), "status": "running"}
                body["legs"] = [*body["legs"], row]
            elif kind == 1:
                body["legs"][0]["status"] = rng.choice(STATES[:3] + STATES[4:])
            row = rng.choice(body["legs"])
            if row["status"] != "ended":
                row["cause"] = rng.choice(REASONS)
            assert (await w.call(0, "POST", "/hello", body))[0] in (200, 503)
            await trio.sleep(0.05)
        assert all(w.board.running(name) for name in names[:2])
        await w.cancel_job(names[0])
        await w.finish()


@pytest.mark.parametrize("service_name", ["state", "cloud"])
async def test_odd_answers_of_services_end_nothing(service_name):
    rng = random.Random(service_name)
    async with world() as w:
        service = getattr(w, service_name)
        original_handle = service.handle

        async def handle_with_malformed_answers(request, host=""):
            answer = await original_handle(request, host)
            if rng.random() < 0.3:
                body = rng.choice([x for x in MALFORMED_VALUES if not isinstance(x, bytes)])
                if isinstance(answer.body, dict) and answer.body and rng.random() < 0.7:
                    body = {**answer.body, rng.choice(list(answer.body)): body}
                return Response(rng.choice((200, 200, 200, 404, 500, 302)), body)
            return answer

        service.handle = handle_with_malformed_answers
        for n in range(1, 6):
            await w.call(n % 3, "POST", "/v1/jobs", job(n, legs=2, dueS=30.0))
            w.board.lengths[f"run-{n:06d}"] = 5.0
            await trio.sleep(4)
        service.handle = original_handle
        assert await w.until_ready() and len(w.controllers) == 3
        assert await w.submit(0, job(20), 5.0) == 201
        assert await w.until(lambda: is_done(w), 120)


async def is_done(w):
    return await w.status(1, "run-000020") == "done"


async def test_odd_frames_drop_a_connection_and_nothing_else():
    rng = random.Random(7)
    async with world() as w:
        for _ in range(60):
            stream = await w.network.port("node-1").connect("node-0:81")
            await stream.send_all(frames.pack(frames.FrameKind.HELLO, 0, b"node-1"))
            kind = rng.choice(
                (
                    frames.FrameKind.HEARTBEAT,
                    frames.FrameKind.REQUEST,
                    frames.FrameKind.ASSIGN,
                    frames.FrameKind.INFORM,
                    frames.FrameKind.GANG_REQUEST,
                    99,
                )
            )
            await stream.send_all(frames.pack(kind, 1, rng.randbytes(rng.randrange(200))))
            await trio.sleep(0.1)
            await stream.aclose()
        assert await w.until_ready()
        assert await w.submit(2, job(1), 5.0) == 201
        await w.finish()
