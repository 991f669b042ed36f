"""Reads the list of tests that fail for a known fault, and says which of them are not to be run.

    python .ci/known_red.py KNOWN-RED.txt COLLECTED

`COLLECTED` holds the ids of all tests, a line each, as `pytest --collect-only -q` prints them. Each
entry is printed to standard error, and its option for pytest to standard output. An entry that
names no existing test ends the program with exit status 1: a test that was renamed, or mended and
removed, must not be passed over unnoticed.
"""

import sys
from pathlib import Path
from typing import NamedTuple


class KnownRed(NamedTuple):
    """An entry of the list: a test's id, and what is known of its failure."""

    test: str
    remark: str


def read_entries(text: str) -> list[KnownRed]:
    """Read the entries, a line each: the id of a test, a comma, and what is known."""
    lines = (line.strip() for line in text.splitlines())
    return [KnownRed(*line.partition(", ")[::2]) for line in lines if line]


def find_unknown(entries: list[KnownRed], collected: set[str]) -> list[KnownRed]:
    """Return the entries that name no test that was collected."""
    return [entry for entry in entries if entry.test not in collected]


def main(list_file: str, collected_file: str) -> int:
    """Print the entries and the options; return the exit status."""
    path = Path(list_file)
    entries = read_entries(path.read_text()) if path.exists() else []
    unknown = find_unknown(entries, set(Path(collected_file).read_text().splitlines()))
    for entry in unknown:
        print(f"KNOWN RED names no existing test: {entry.test}", file=sys.stderr)
    if unknown:
        return 1
    for entry in entries:
        print(f"KNOWN RED, not run: {entry.test}, {entry.remark}", file=sys.stderr)
        print(f"--deselect={entry.test}")
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
