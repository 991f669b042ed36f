"""Settings written as an S-expression, `(name (key value) ...)`.

Every key is a field of a dataclass, with its default and its range. For an unknown key, a duplicate
key or a value out of range the error names the key.
"""

from __future__ import annotations

import math
from dataclasses import Field, field, fields
from datetime import timedelta
from typing import TYPE_CHECKING, Any, TypeVar

import sexpdata

from roadbend.settings.errors import SettingsError

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

# The maximum length of a text value.
MAX_TEXT_LENGTH = 200
# Longer durations are clamped to this before the check of their range: `timedelta` would overflow.
MAX_SECONDS = 1e9
# The number of items in a row: a key and a value.
ROW_LENGTH = 2
_Form = TypeVar("_Form", bound="DataclassInstance")
_Number = TypeVar("_Number", int, float)


def seconds(default: float, low: float, high: float, text: str) -> timedelta:
    """Define a duration field by its default, its range (all in seconds), and a description."""
    return field(
        default=timedelta(seconds=default),
        metadata={"low": timedelta(seconds=low), "high": timedelta(seconds=high), "text": text},
    )


def number(default: _Number, low: float, high: float, text: str) -> _Number:
    """Define a number field by its default, its range, and a description.

    If the default is an integer, the value must be one as well.
    """
    return field(default=default, metadata={"low": low, "high": high, "text": text})


def read_form(text: str, name: str, kind: type[_Form]) -> _Form:
    """Parse settings of the dataclass `kind`, written as `(name (key value) ...)`.

    Keys are the names of its fields, with hyphens. A field's metadata has its range (`low`,
    `high`), except for text. Raises `SettingsError`.
    """
    specs = {spec.name.replace("_", "-"): spec for spec in fields(kind)}
    values: dict[str, Any] = {}
    for row in _parse(text, name):
        key, value = _split_row(row)
        spec = specs.get(key)
        if spec is None:
            raise SettingsError(f"unknown key: {key}")
        if spec.name in values:
            raise SettingsError(f"key given twice: {key}")
        values[spec.name] = _read_value(key, value, spec)
    return kind(**values)


def _parse(text: str, name: str) -> list[Any]:
    """Return the rows of a form, not validated."""
    try:
        tree = sexpdata.loads(text)
    except Exception as error:  # sexpdata raises several unrelated types
        raise SettingsError(f"not an S-expression: {type(error).__name__}") from None
    if not isinstance(tree, list) or not tree or tree[0] != sexpdata.Symbol(name):
        raise SettingsError(f"operators' settings must have the form ({name} (key value) ...)")
    return tree[1:]


def _split_row(row: Any) -> tuple[str, Any]:
    """Return a row's key, and its value, which is not validated."""
    is_row = isinstance(row, list) and len(row) == ROW_LENGTH
    if not is_row or not isinstance(row[0], sexpdata.Symbol):
        raise SettingsError(f"expected (key value), found: {sexpdata.dumps(row)}")
    return row[0].value(), row[1]


def _read_value(key: str, value: Any, spec: Field[Any]) -> Any:
    if isinstance(spec.default, str):
        return _read_text(key, value)
    amount = _read_amount(key, value, spec.default)
    low, high = spec.metadata["low"], spec.metadata["high"]
    if not low <= amount <= high:
        raise SettingsError(f"bad value for {key}: must be from {_show(low)} to {_show(high)}")
    return amount


def _read_text(key: str, value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise SettingsError(f"bad value for {key}: expected text in quotes")
    return value


def _read_amount(key: str, value: Any, default: object) -> float | timedelta:
    """Return a value in the type of its default: a duration, an integer or a float."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or (isinstance(value, float) and math.isnan(value)):
        raise SettingsError(f"bad value for {key}: expected a number")
    if isinstance(default, timedelta):
        return timedelta(seconds=min(float(value), MAX_SECONDS))
    if not isinstance(default, int):
        return float(value)
    if not isinstance(value, int):
        raise SettingsError(f"bad value for {key}: expected a whole number")
    return value


def _show(value: float | timedelta) -> str:
    return f"{value.total_seconds():g}" if isinstance(value, timedelta) else f"{value:g}"
