"""Scenarios written by operators, with one S-expression per line.

    (scenario "two ends in a row")
    (seed 7)
    (workers 60)
    (start-work)
    (wait 5)
    (stop-controllers)
    (wait 3)
    (return-controllers)
    (wait 40)

The name of an action is that of its class in kebab case. Its values are those of the class's
fields, in order; durations are in seconds.
"""

import math
from dataclasses import MISSING, Field, dataclass, field, fields
from datetime import timedelta
from pathlib import Path
from typing import Any

import sexpdata

from roadbend.errors import PermanentError
from roadbend.rehearsal import actions
from roadbend.rehearsal.scenario import MAX_WORKERS, MIN_WORKERS, Action, Scenario

# Settings that a script has at most once, with the types of their values.
HEADINGS = {"scenario": str, "seed": int, "workers": int}
MAX_LINES = 500
MAX_DURATION = timedelta(hours=2)


class ScriptError(PermanentError):
    """A script is invalid; the message names the line."""


def _kebab(name: str) -> str:
    return "".join(f"-{c.lower()}" if c.isupper() else c for c in name).lstrip("-")


ACTIONS: dict[str, type[Any]] = {_kebab(name): getattr(actions, name) for name in actions.__all__}


@dataclass
class _Headings:
    scenario: str = "script"
    seed: int = 0
    workers: int = 60
    # Names of the settings that the script has.
    names: set[str] = field(default_factory=set)


def read(path: Path) -> Scenario:
    """Return the scenario in a file; raise `ScriptError` if it is unreadable or invalid."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"can't read {path.name}: {type(error).__name__}") from None
    return parse(text)


def parse(text: str) -> Scenario:
    """Return the scenario in a text; raise `ScriptError` if it is invalid."""
    lines = text.splitlines()
    if len(lines) > MAX_LINES:
        raise ScriptError(f"line {MAX_LINES + 1}: a script has at most {MAX_LINES} lines")
    headings = _Headings()
    parsed_actions: list[Action] = []
    for number, line in enumerate(lines, 1):
        content = line.partition(";")[0].strip()
        if not content:
            continue
        name, values = _parse_form(number, content)
        if name in HEADINGS:
            _set_heading(number, name, values, headings)
        else:
            parsed_actions.append(_parse_action(number, name, values))
    return _build_scenario(headings, parsed_actions)


def _parse_form(number: int, content: str) -> tuple[str, list[Any]]:
    try:
        tree = sexpdata.loads(content)
    except Exception as error:  # sexpdata raises several unrelated exception types
        raise ScriptError(f"line {number}: not an S-expression: {type(error).__name__}") from None
    if not isinstance(tree, list) or not tree or not isinstance(tree[0], sexpdata.Symbol):
        raise ScriptError(f"line {number}: expected (name value ...)")
    return tree[0].value(), tree[1:]


def _set_heading(number: int, name: str, values: list[Any], headings: _Headings) -> None:
    if name in headings.names:
        raise ScriptError(f"line {number}: given twice: {name}")
    if len(values) != 1 or type(values[0]) is not HEADINGS[name]:
        raise ScriptError(f"line {number}: {name} takes one {HEADINGS[name].__name__}")
    (value,) = values
    if name == "workers" and not MIN_WORKERS <= value <= MAX_WORKERS:
        raise ScriptError(f"line {number}: workers must be from {MIN_WORKERS} to {MAX_WORKERS}")
    headings.names.add(name)
    setattr(headings, name, value)


def _parse_action(number: int, name: str, values: list[Any]) -> Action:
    action_type = ACTIONS.get(name)
    if action_type is None:
        raise ScriptError(f"line {number}: unknown action: {name}")
    specs = fields(action_type)
    if len(values) > len(specs):
        raise ScriptError(f"line {number}: {name} takes at most {len(specs)} values")
    min_values = sum(1 for spec in specs if spec.default is MISSING)
    if len(values) < min_values:
        raise ScriptError(f"line {number}: {name} takes at least {min_values} values")
    pairs = zip(specs, values, strict=False)
    action: Action = action_type(
        **{spec.name: _parse_value(number, spec, value) for spec, value in pairs}
    )
    return action


def _parse_value(number: int, spec: Field[Any], value: Any) -> bool | int | timedelta:
    where = f"line {number}: {spec.name.replace('_', '-')}"
    if spec.type == "bool":
        if value not in (0, 1):
            raise ScriptError(f"{where} must be 0 or 1")
        return bool(value)
    if isinstance(value, bool) or not isinstance(value, int | float) or _is_nan(value):
        raise ScriptError(f"{where} must be a number")
    if spec.type == "timedelta":
        if not 0 <= value <= MAX_DURATION.total_seconds():
            raise ScriptError(f"{where} must be from 0 to {MAX_DURATION.total_seconds():g}")
        return timedelta(seconds=value)
    if not isinstance(value, int) or not 0 <= value <= MAX_WORKERS:
        raise ScriptError(f"{where} must be a whole number from 0 to {MAX_WORKERS}")
    return value


def _is_nan(value: float) -> bool:
    # Integers may be too large for `math.isnan`.
    return isinstance(value, float) and math.isnan(value)


def _build_scenario(headings: _Headings, parsed_actions: list[Action]) -> Scenario:
    action_types = [type(action) for action in parsed_actions]
    if actions.StartWork not in action_types or actions.ReturnControllers not in action_types:
        raise ScriptError("a script needs (start-work) and (return-controllers)")
    return Scenario(
        headings.scenario,
        "An operator's own scenario.",
        headings.seed,
        headings.workers,
        tuple(parsed_actions),
    )
