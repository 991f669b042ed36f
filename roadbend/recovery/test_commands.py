"""`roadbend recovery …` against a deployment in memory, and its arguments."""

import json
from argparse import Namespace

import pytest
import trio

from roadbend import cli
from roadbend.fakes.platform import settings_for
from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.recovery import commands
from roadbend.recovery.service import install
from roadbend.recovery.settings import RecoverySettings


async def run_command(w, capsys, command, **options):
    """Return the exit status of a command, and what it prints."""
    arguments = Namespace(command=command, json=True, **options)
    capsys.readouterr()
    status = await commands.run(settings_for(0, 3), w.network.port("operator"), arguments)
    out = capsys.readouterr()
    return status, out


async def test_the_commands_tell_what_differs_while_no_controller_is_up(capsys):
    async with world(equip=lambda controller: install(controller, RecoverySettings())) as w:
        assert await w.submit(0, job(1, legs=2, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) == 2, 60)
        await trio.sleep(3)
        status, out = await run_command(w, capsys, "differences")
        assert status == 0 and not any(json.loads(out.out).values())
        for at in range(3):
            w.crash(at)
        (key,) = w.state.values_with_prefix("r/slice/")
        (worker,) = {x for x in w.workers() if x.tasks}
        (first, *_) = worker.tasks.values()
        orders = len(w.board.received)
        # A record without its task, and a task without its record.
        del worker.tasks[(first.name, first.attempt)]
        w.board.record_removal(first.name, worker.machine)
        first.scope.cancel()
        status, out = await run_command(w, capsys, "plan")
        found = [row for rows in json.loads(out.out).values() for row in rows]
        assert [(row["kind"], row["step"]) for row in found] == [("missing", "order-again")]
        del w.state.keys[key]
        status, out = await run_command(w, capsys, "differences")
        found = [row["kind"] for rows in json.loads(out.out).values() for row in rows]
        assert found == ["unrecorded"]
        status, out = await run_command(w, capsys, "differences", every=1.0, looks=3)
        polls = [json.loads(line) for line in out.out.splitlines()]
        assert [row["open"] for row in polls] == [1, 1, 1] and len(polls[-1]["staying"]) == 1
        # The commands have changed nothing.
        assert len(w.board.received) == orders
        w.start(0)
        assert await w.until(lambda: "r/recovery/east" in w.state.keys, 30)
        status, out = await run_command(w, capsys, "status")
        rows = {row["part"]: row for row in json.loads(out.out)}
        assert rows["east"]["phase"] in ("gathering", "settling", "settled")
        # The shard's record is lost, and the machine that runs its other task shows that.
        assert rows["east"]["lost_writes"] is True


async def test_as_text_each_part_and_difference_is_a_line(capsys):
    async with world() as w:
        assert await w.submit(0, job(1, legs=1, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) == 1, 60)
        for key in w.state.values_with_prefix("r/slice/"):
            w.state.keys[key][0]["r"] = []
        for command, word in (
            ("status", "nothing recorded"),
            ("differences", "unrecorded: task run-000001/0"),
            ("plan", "hold-then-adopt-or-stop"),
        ):
            arguments = Namespace(command=command, json=False)
            await commands.run(settings_for(0, 3), w.network.port("operator"), arguments)
            assert word in capsys.readouterr().out


@pytest.mark.parametrize("host, word", [("state", "state service"), ("cloud", "cloud")])
async def test_what_cannot_be_read_is_named_and_is_status_1(capsys, host, word):
    async with world() as w:
        w.network.block("operator", host)
        arguments = Namespace(command="differences", json=False)
        port = w.network.port("operator")
        assert await commands.run(settings_for(0, 3), port, arguments) == 1
        assert word in capsys.readouterr().err


@pytest.mark.parametrize(
    "argv, word",
    [
        (["recovery"], "command"),
        (["recovery", "restart", "--config", "x"], "restart"),
        (["recovery", "plan"], "--config"),
        (["recovery", "plan", "--config", "x", "--fast"], "--fast"),
        (["recovery", "differences", "--config", "x", "--every", "0"], "--every"),
        (["--config", "missing.toml", "--recovery", "missing.sexp"], "missing.toml"),
    ],
)
def test_bad_arguments_are_refused_by_name_with_status_2(capsys, argv, word):
    try:
        status = cli.main(argv)
    except SystemExit as end:
        status = end.code
    assert status == 2 and word in capsys.readouterr().err
