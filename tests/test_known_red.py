"""Checks that an entry of KNOWN-RED.txt that names no test fails the build.

A misspelt entry once went unnoticed.
"""

import subprocess
import sys
from pathlib import Path

SCRIPT = Path(__file__).parents[1] / ".ci" / "known_red.py"
TEST = "tests/scenarios/test_a.py::test_b[7]"


def run(tmp_path: Path, entries: str) -> subprocess.CompletedProcess[str]:
    known, collected = tmp_path / "KNOWN-RED.txt", tmp_path / "collected"
    known.write_text(entries)
    collected.write_text(f"{TEST}\ntests/test_c.py::test_d\n\n2 tests collected in 0.1s\n")
    command = [sys.executable, str(SCRIPT), str(known), str(collected)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_an_entry_is_printed_and_its_test_passed_over(tmp_path):
    done = run(tmp_path, f"{TEST}, seed 7, ran_cancelled, issue 36\n")
    assert (done.returncode, done.stdout) == (0, f"--deselect={TEST}\n")
    assert f"not run: {TEST}, seed 7, ran_cancelled, issue 36" in done.stderr


def test_an_entry_that_names_no_test_fails(tmp_path):
    for misspelt in (TEST.replace("[7]", "[8]"), TEST.replace("[7]", ""), "docs/questions.md 17"):
        done = run(tmp_path, f"{TEST}, known\n{misspelt}, known\n")
        assert done.returncode == 1 and misspelt in done.stderr
        assert done.stdout == ""


def test_an_empty_list_passes_nothing_over(tmp_path):
    done = run(tmp_path, "\n")
    assert (done.returncode, done.stdout, done.stderr) == (0, "", "")
