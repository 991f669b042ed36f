"""Checks that the bounds named in docs/settings.md are constants of the code."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
BOUND = re.compile(r"\b(?:MAX_[A-Z_]+|[A-Z]+_LIMIT|SPARE_SOCKETS)\b")
MIN_BOUNDS = 25


def test_every_bound_on_the_settings_page_is_a_constant_of_the_code():
    named = set(BOUND.findall((ROOT / "docs" / "settings.md").read_text()))
    assert len(named) >= MIN_BOUNDS
    code = "\n".join(path.read_text() for path in (ROOT / "roadbend").rglob("*.py"))
    assigned = set(re.findall(r"^([A-Z_]+) *(?::[^=]+)?=", code, re.MULTILINE))
    assert sorted(named - assigned) == []
