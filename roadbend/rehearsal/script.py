"""Scenarios written by operators: one S-expression a line.

    (scenario "two ends in a row")
    (seed 7)
    (workers 60)
    (start-work)
    (wait 5)
    (stop-controllers)
    (wait 3)
    (return-controllers)
    (wait 40)

An action has the name of its class and takes its values in order; durations are in seconds."""

import inspect
from dataclasses import MISSING, Field, fields
from datetime import timedelta
from pathlib import Path
from typing import Any

import sexpdata

from roadbend.errors import PermanentError
from roadbend.rehearsal import actions
from roadbend.rehearsal.scenario import FEWEST_WORKERS, MOST_WORKERS, Action, Scenario

HEADINGS = {"scenario": str, "seed": int, "workers": int}
# The longest script, in lines, and the longest duration in it.
MOST_LINES, LONGEST = 500, timedelta(hours=2)


class ScriptError(PermanentError):
    """A script can't be played; the message names the line."""


def _kebab(name: str) -> str:
    return "".join(f"-{c.lower()}" if c.isupper() else c for c in name).lstrip("-")


ACTIONS: dict[str, type] = {
    _kebab(name): kind
    for name, kind in inspect.getmembers(actions, inspect.isclass)
    if kind.__module__ == actions.__name__
}


def read(path: Path) -> Scenario:
    """The scenario in a file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"can't read {path.name}: {type(error).__name__}") from None
    return parse(text)


def parse(text: str) -> Scenario:
    """The scenario in a text."""
    lines = text.splitlines()
    if len(lines) > MOST_LINES:
        raise ScriptError(f"line {MOST_LINES + 1}: a script has at most {MOST_LINES} lines")
    headings: dict[str, Any] = {}
    found: list[Action] = []
    for number, line in enumerate(lines, 1):
        content = line.partition(";")[0].strip()
        if not content:
            continue
        name, values = _form(number, content)
        if name in HEADINGS:
            _take_heading(number, name, values, headings)
        else:
            found.append(_action(number, name, values))
    return _scenario(headings, found)


def _form(number: int, content: str) -> tuple[str, list]:
    try:
        tree = sexpdata.loads(content)
    except Exception as error:  # sexpdata raises several unrelated kinds
        raise ScriptError(f"line {number}: not an S-expression: {type(error).__name__}") from None
    if not isinstance(tree, list) or not tree or not isinstance(tree[0], sexpdata.Symbol):
        raise ScriptError(f"line {number}: expected (name value ...)")
    return tree[0].value(), tree[1:]


def _take_heading(number: int, name: str, values: list, headings: dict[str, Any]) -> None:
    if name in headings:
        raise ScriptError(f"line {number}: given twice: {name}")
    if len(values) != 1 or type(values[0]) is not HEADINGS[name]:
        raise ScriptError(f"line {number}: {name} takes one {HEADINGS[name].__name__}")
    if name == "workers" and not FEWEST_WORKERS <= values[0] <= MOST_WORKERS:
        raise ScriptError(f"line {number}: workers must be from {FEWEST_WORKERS} to {MOST_WORKERS}")
    headings[name] = values[0]


def _action(number: int, name: str, values: list) -> Action:
    kind = ACTIONS.get(name)
    if kind is None:
        raise ScriptError(f"line {number}: unknown action: {name}")
    specs = fields(kind)
    if len(values) > len(specs):
        raise ScriptError(f"line {number}: {name} takes at most {len(specs)} values")
    least = sum(1 for spec in specs if spec.default is MISSING)
    if len(values) < least:
        raise ScriptError(f"line {number}: {name} takes at least {least} values")
    taken = zip(specs, values, strict=False)
    return kind(**{spec.name: _value(number, spec, value) for spec, value in taken})


def _value(number: int, spec: Field, value: Any) -> Any:
    where = f"line {number}: {spec.name.replace('_', '-')}"
    if spec.type == "bool":
        if value not in (0, 1):
            raise ScriptError(f"{where} must be 0 or 1")
        return bool(value)
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise ScriptError(f"{where} must be a number")
    if spec.type == "timedelta":
        if not 0 <= value <= LONGEST.total_seconds():
            raise ScriptError(f"{where} must be from 0 to {LONGEST.total_seconds():g}")
        return timedelta(seconds=value)
    if not isinstance(value, int) or not 0 <= value <= MOST_WORKERS:
        raise ScriptError(f"{where} must be a whole number from 0 to {MOST_WORKERS}")
    return value


def _scenario(headings: dict[str, Any], found: list[Action]) -> Scenario:
    kinds = [type(action) for action in found]
    if actions.StartWork not in kinds or actions.ReturnControllers not in kinds:
        raise ScriptError("a script needs (start-work) and (return-controllers)")
    return Scenario(
        headings.get("scenario", "script"),
        "An operator's own scenario.",
        headings.get("seed", 0),
        headings.get("workers", 60),
        tuple(found),
    )
