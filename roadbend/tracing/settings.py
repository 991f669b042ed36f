"""Operators' settings of tracing: `deploy/tracing.sexp`."""

# `number` and `seconds` return fields of a dataclass, as `field` does.
# ruff: noqa: RUF009

from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from roadbend.settings import SettingsError, number, read_file, read_form, seconds


def _string(default: str, text: str) -> str:
    # Returns a dataclass field; its type is declared as that of the field's value.
    declared: str = field(default=default, metadata={"text": text})
    return declared


@dataclass(frozen=True)
class TracingSettings:
    """Destinations of spans, sampling and limits. Durations are written in seconds."""

    collector: str = _string("", "URL of a collector that takes OTLP over HTTP; empty: none")
    file: str = _string("", "file to which spans are written as OTLP JSON lines; empty: none")
    share: float = number(1.0, 0.0, 1.0, "share of jobs that are traced, by their ids")
    queue_most: int = number(
        4096, 16, 100_000, "most spans that wait for export; further ones are dropped"
    )
    batch_most: int = number(512, 1, 10_000, "most spans in one export")
    export_every: timedelta = seconds(5, 0.1, 300, "longest wait before queued spans are exported")
    export_within: timedelta = seconds(10, 0.5, 120, "time limit of one export")
    file_most: int = number(
        64, 1, 10_000, "largest size of the file in megabytes; then no more spans are written"
    )
    attempts_most: int = number(
        20_000, 100, 1_000_000, "most running attempts whose start times are kept for their spans"
    )


def load(path: Path) -> TracingSettings:
    """Return the settings in a file.

    Raises `SettingsError`, which names the key, if one is missing, unknown or out of range.
    """
    settings = read_form(read_file(path), "tracing", TracingSettings)
    if not settings.collector and not settings.file:
        raise SettingsError("missing key: collector or file")
    if settings.collector and not settings.collector.startswith(("http://", "https://")):
        raise SettingsError("bad value for collector: expected an http or https URL")
    return settings
