"""Prints pytest options that deselect the tests listed as failing for a known fault.

    python .ci/known_red.py KNOWN-RED.txt COLLECTED

`COLLECTED` holds the ids of all tests, one per line, as `pytest --collect-only -q` prints them.
Each entry goes to standard error, and its pytest option to standard output. The program exits with
status 1 if an entry names no existing test, so that a stale entry for a test that was renamed, or
fixed and removed, is noticed.
"""

import sys
from pathlib import Path
from typing import NamedTuple


class KnownRed(NamedTuple):
    """An entry of the list: the id of a test, and what is known about its failure."""

    test: str
    remark: str


def read_entries(text: str) -> list[KnownRed]:
    """Parse the entries, one per line: a test id, a comma, and a remark."""
    lines = (line.strip() for line in text.splitlines())
    return [KnownRed(*line.partition(", ")[::2]) for line in lines if line]


def find_unknown(entries: list[KnownRed], collected: set[str]) -> list[KnownRed]:
    """Return the entries whose test was not collected."""
    return [entry for entry in entries if entry.test not in collected]


def main(list_file: str, collected_file: str) -> int:
    """Print the entries and the pytest options; return the exit status."""
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
