"""Loads the recorded data and prepares it for comparison."""

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).resolve().parent / "data"
ROOT = Path(__file__).resolve().parent.parent.parent


def load(name: str) -> Any:
    """Return the contents of one file of recorded data."""
    return json.loads((DATA / f"{name}.json").read_text())


def exact(value: Any) -> str:
    """Return a value as text for comparison: unlike `==`, it tells 1, 1.0 and true apart."""
    return json.dumps(value, sort_keys=True, ensure_ascii=False)


def case_name(case: dict[str, Any]) -> str:
    """Return the id of a recorded case in test output."""
    return case["name"]
