"""Tests the command line (options, exit statuses and output) and the log levels."""

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import DATA as DATA_DIRECTORY
from tests.compatibility.recorded import ROOT, case_name, load

DATA = load("command_line")
OPTION = re.compile(r"(?<![\w-])--[a-z]+")


@pytest.fixture
def directory(tmp_path):
    """Return a directory with settings files."""
    for name, text in DATA["files"].items():
        (tmp_path / name).write_text(text)
    (tmp_path / "platform.toml").write_text((DATA_DIRECTORY / "platform.toml").read_text())
    return tmp_path


def run(arguments: list[str], directory: Path) -> tuple[int, str, str]:
    """Run Python; return exit status, standard output and standard error."""
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(ROOT)}
    completed = subprocess.run(
        [sys.executable, *arguments],
        cwd=directory,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return completed.returncode, completed.stdout, completed.stderr


def check_run(case: dict, status: int, output: str, errors: str) -> None:
    """Check the status and output of a run.

    If the command line is rejected, only the last error line counts, which says what is wrong.
    """
    assert (status, output) == (case["status"], case["output"])
    if "last_error_line" in case:
        assert errors.splitlines()[-1] == case["last_error_line"]
    else:
        assert errors == case["errors"]


@pytest.mark.parametrize("case", DATA["runs"], ids=case_name)
def test_a_run_ends_with_its_status_and_its_words(case, directory, monkeypatch):
    """Covers the runs that need no other service."""
    monkeypatch.chdir(directory)
    check_run(case, *adapter.run_command(case["arguments"]))


@pytest.mark.parametrize("case", [c for c in DATA["runs"] if c["as_script"]], ids=case_name)
def test_the_script_ends_with_the_same_status_and_words(case, directory):
    """The platform starts the program by this script."""
    check_run(case, *run([str(ROOT / "run.py"), *case["arguments"]], directory))


@pytest.mark.parametrize("case", DATA["helps"], ids=case_name)
def test_help_names_the_same_options(case):
    """Guards against options that are added or removed."""
    status, output, errors = adapter.run_command(case["arguments"])
    assert (status, errors) == (0, "")
    assert output.startswith(case["begins"])
    assert sorted(set(OPTION.findall(output))) == case["options"]


@pytest.mark.parametrize(
    "start", [[str(ROOT / "run.py")], ["-m", adapter.PACKAGE]], ids=["script", "module"]
)
def test_the_version_is_that_of_the_project(start, tmp_path):
    """The script and the module print the same version."""
    version = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["version"]
    assert run([*start, "--version"], tmp_path) == (0, f"roadbend {version}\n", "")


@pytest.mark.parametrize("case", DATA["log_levels"], ids=case_name)
def test_the_log_shows_as_much_as_its_level_says(case):
    """LOG_LEVEL ignores case and surrounding spaces; an unknown value means errors only."""
    assert adapter.logged_lines(case["level"]) == case["lines"]
