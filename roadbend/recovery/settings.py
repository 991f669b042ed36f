"""Operators' settings of recovery: `deploy/recovery.sexp`."""

# `number` and `seconds` return fields of a dataclass, as `field` does.
# ruff: noqa: RUF009

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from roadbend.settings import number, read_file, read_form, seconds


@dataclass(frozen=True)
class RecoverySettings:
    """Time limits and batch sizes of recovery. Durations are written in seconds."""

    gather_most: timedelta = seconds(
        8, 1, 120, "longest wait for the machines of a partition after it was acquired"
    )
    answer_most: timedelta = seconds(
        3, 0.5, 10, "how long an unrecorded attempt is held for an answer about its job"
    )
    late_write: timedelta = seconds(
        12, 0, 60, "how long an attempt of a job in no record is held for a late submission"
    )
    cold_within: timedelta = seconds(
        30, 5, 600, "controllers that have all run for less than this have restarted together"
    )
    hold_most: int = number(
        4096, 0, 100_000, "most unrecorded attempts of a partition that are held at once"
    )
    settle_least: int = number(8, 1, 1000, "adoptions in one transaction to begin with")
    settle_most: int = number(256, 1, 10_000, "most adoptions in one transaction")


def load(path: Path) -> RecoverySettings:
    """Read the settings from a file; raise `SettingsError` that names a bad key."""
    return read_form(read_file(path), "recovery", RecoverySettings)
