"""Seeds with which the random search over cold restarts failed."""

import pytest

from roadbend.rehearsal.__main__ import main


@pytest.mark.parametrize("seed", [248])
def test_a_task_gets_one_stop(seed, capsys):
    """A task was stopped twice: directly, and by a heartbeat response 0.06 s later; still open."""
    argv = ["cold-restart", "--seed", str(seed), "--workers", "60"]
    assert main(argv) == 0, capsys.readouterr().out
