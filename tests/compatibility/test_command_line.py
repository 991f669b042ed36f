"""The command line: options, exit statuses and what is printed; and the log's amount."""

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.compatibility import adapter
from tests.compatibility.recorded import DATA as FOLDER
from tests.compatibility.recorded import ROOT, case_name, load

DATA = load("command_line")
OPTION = re.compile(r"(?<![\w-])--[a-z]+")


@pytest.fixture
def folder(tmp_path):
    """A folder with files of settings."""
    for name, text in DATA["files"].items():
        (tmp_path / name).write_text(text)
    (tmp_path / "platform.toml").write_text((FOLDER / "platform.toml").read_text())
    return tmp_path


def run(arguments: list[str], folder: Path) -> tuple[int, str, str]:
    """Runs Python: exit status, output and errors."""
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(ROOT)}
    ended = subprocess.run(
        [sys.executable, *arguments],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return ended.returncode, ended.stdout, ended.stderr


def check_run(case: dict, status: int, output: str, errors: str) -> None:
    """Of a refused command line the last line counts, which says what is wrong."""
    assert (status, output) == (case["status"], case["output"])
    if "last_error_line" in case:
        assert errors.splitlines()[-1] == case["last_error_line"]
    else:
        assert errors == case["errors"]


@pytest.mark.parametrize("case", DATA["runs"], ids=case_name)
def test_a_run_ends_with_its_status_and_its_words(case, folder, monkeypatch):
    """All that needs no outside."""
    monkeypatch.chdir(folder)
    check_run(case, *adapter.run_command(case["arguments"]))


@pytest.mark.parametrize("case", [c for c in DATA["runs"] if c["as_script"]], ids=case_name)
def test_the_script_ends_with_the_same_status_and_words(case, folder):
    """As the platform starts it."""
    check_run(case, *run([str(ROOT / "run.py"), *case["arguments"]], folder))


@pytest.mark.parametrize("case", DATA["helps"], ids=case_name)
def test_help_names_the_same_options(case):
    """No option is new or gone."""
    status, output, errors = adapter.run_command(case["arguments"])
    assert (status, errors) == (0, "")
    assert output.startswith(case["begins"])
    assert sorted(set(OPTION.findall(output))) == case["options"]


@pytest.mark.parametrize(
    "start", [[str(ROOT / "run.py")], ["-m", adapter.PACKAGE]], ids=["script", "module"]
)
def test_the_version_is_that_of_the_project(start, tmp_path):
    """The script and the module are the same program."""
    version = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["version"]
    assert run([*start, "--version"], tmp_path) == (0, f"roadbend {version}\n", "")


@pytest.mark.parametrize("case", DATA["log_levels"], ids=case_name)
def test_the_log_shows_as_much_as_its_level_says(case):
    """LOG_LEVEL in any case and with spaces around; nonsense means errors only."""
    assert adapter.logged_lines(case["level"]) == case["lines"]
