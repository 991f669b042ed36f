"""Reading the recorded data."""

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).resolve().parent / "data"
ROOT = Path(__file__).resolve().parent.parent.parent


def load(name: str) -> Any:
    """One file of recorded data."""
    return json.loads((DATA / f"{name}.json").read_text())


def exact(value: Any) -> str:
    """A value as text to compare: unlike Python, it tells 1 from 1.0 and from true."""
    return json.dumps(value, sort_keys=True, ensure_ascii=False)


def case_name(case: dict[str, Any]) -> str:
    """What a recorded case is called in the tests' output."""
    return case["name"]
