"""Seeds on which the search of cold restarts failed."""

import pytest

from roadbend.rehearsal.__main__ import main


@pytest.mark.parametrize("seed", [248])
def test_a_task_gets_one_stop(seed, capsys):
    """Guards against a stop by a direct command and by a heartbeat's answer, 0.06 s apart; open."""
    argv = ["cold-restart", "--seed", str(seed), "--workers", "60"]
    assert main(argv) == 0, capsys.readouterr().out
