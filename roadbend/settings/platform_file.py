"""Parsing the platform's settings file (TOML); unknown keys are ignored.

The keys are defined by the deploy page.
"""

import tomllib
from datetime import timedelta
from typing import Any, TypeVar

from roadbend.settings.errors import SettingsError
from roadbend.settings.platform_settings import (
    Peer,
    PlatformSettings,
    ServiceLevelObjective,
    Team,
)

MAX_PORT = 65535
BYTES_PER_KIB = 1024
WORKERS = "deployment.workers"
STATE_STORE = "deployment.state"
CLOUD = "deployment.cloud"
MACHINE_LIMITS = "deployment.machine_limits"
_Value = TypeVar("_Value")


def read_platform(text: str) -> PlatformSettings:
    """Parse the platform's settings; raise `SettingsError`, which names the first invalid key."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from None
    peers = _read_peers(table)
    teams = _read_teams(table)
    objectives = _read_objectives(table)
    zones = _read_zones(table)
    return PlatformSettings(
        name=_required(table, "host_name", str),
        zone=_required(table, "domain", str),
        listen=_address(table, "client_listen"),
        back=_address(table, "back"),
        peers=peers,
        cloud=_address(table, "outside.cloud"),
        state=_address(table, "outside.state"),
        zones=zones,
        teams=teams,
        clock_off=timedelta(milliseconds=_optional(table, "deployment.clock_off_ms", float, 100.0)),
        heartbeat_interval=_duration(table, f"{WORKERS}.report_s"),
        lease=_duration(table, f"{WORKERS}.lease_s"),
        cancel_within=_duration(table, f"{WORKERS}.cancel_s"),
        state_rps=_positive(table, f"{STATE_STORE}.rps"),
        state_write_rps=_positive(table, f"{STATE_STORE}.write_rps"),
        value_bytes=int(_smaller_limit(table, "value_kb") * BYTES_PER_KIB),
        txn_ops=int(_smaller_limit(table, "txn_ops")),
        cloud_rps=_positive(table, f"{CLOUD}.rps"),
        list_lag=_duration(table, f"{CLOUD}.list_lag_s", 5.0),
        sockets=int(_positive(table, f"{MACHINE_LIMITS}.sockets", 1000.0)),
        cpu=min(1.0, _positive(table, f"{MACHINE_LIMITS}.cpu", 1.0)),
        objectives=objectives,
        state_write_rps_next=_smaller_limit(table, "write_rps"),
        gang_wait=_duration(table, f"{WORKERS}.gang_wait_s", 30.0),
        gang_peer=_duration(table, f"{WORKERS}.gang_peer_s", 5.0),
    )


def _read_peers(table: object) -> tuple[Peer, ...]:
    return tuple(
        Peer(
            name=_required(row, "host_name", str),
            zone=_required(row, "domain", str),
            address=_checked_address(_required(row, "address", str), "others.address"),
        )
        for row in _rows(table, "others")
    )


def _read_teams(table: object) -> dict[str, Team]:
    teams = (
        Team(
            name=_required(row, "name", str),
            cpus=_optional(row, "cpus", float, 0.0),
            cpus_max=_optional(row, "cpus_max", float, 0.0),
            gpus=_optional(row, "gpus", float, 0.0),
            gpus_max=_optional(row, "gpus_max", float, 0.0),
        )
        for row in _rows(table, "deployment.teams")
    )
    return {team.name: team for team in teams}


def _read_objectives(table: object) -> tuple[ServiceLevelObjective, ...]:
    return tuple(_read_objective(row) for row in _rows(table, "deployment.objectives"))


def _read_objective(row: object) -> ServiceLevelObjective:
    within_s = _optional(row, "within_s", float, -1.0)
    job_class = _optional(row, "class", str, "")
    return ServiceLevelObjective(
        kind=_optional(row, "kind", str, ""),
        job_class=job_class or None,
        share=_optional(row, "share", float, 0.0),
        within=timedelta(seconds=within_s) if within_s > 0 else None,
        times=_optional(row, "times", float, 1.0),
    )


def _read_zones(table: object) -> tuple[str, ...]:
    zones = _rows(table, "deployment.zones")
    if not all(isinstance(zone, str) for zone in zones):
        raise SettingsError("bad value for deployment.zones: expected names")
    return tuple(zones)


def _rows(table: object, path: str) -> list[Any]:
    """Return a list, empty if the key is missing."""
    return _optional(table, path, list, [])


def _address(table: object, path: str) -> str:
    return _checked_address(_required(table, path, str), path)


def _checked_address(text: str, path: str) -> str:
    """Return an address after a check of its port; the host is not checked until it is used."""
    host, colon, port = text.rpartition(":")
    # `int` rejects some characters that count as digits, and strings of thousands of digits.
    is_number = port.isdecimal() and len(port.lstrip("0")) <= len(str(MAX_PORT))
    if not colon or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"bad value for {path}: expected host:port")
    return text


def _duration(table: object, path: str, default_s: float | None = None) -> timedelta:
    return timedelta(seconds=_positive(table, path, default_s))


def _smaller_limit(table: object, key: str) -> float:
    """Return the smaller of a present limit of the state store and of its announced next value."""
    now = _positive(table, f"{STATE_STORE}.{key}")
    return min(now, _positive(table, f"{STATE_STORE}.next.{key}", now))


def _positive(table: object, path: str, default: float | None = None) -> float:
    """Return a number above zero; if the key is missing, the default, if there is one."""
    if default is None:
        value = _required(table, path, float)
    else:
        value = _optional(table, path, float, default)
    if not 0 < value < float("inf"):
        raise SettingsError(f"bad value for {path}: must be above zero")
    return value


def _required(table: object, path: str, kind: type[_Value]) -> _Value:
    """Return the value of a key, given as a dotted path."""
    value = _find(table, path)
    if value is None:
        raise SettingsError(f"missing key: {path}")
    return _checked(value, path, kind)


def _optional(table: object, path: str, kind: type[_Value], default: _Value) -> _Value:
    """Return the value of a key, given as a dotted path, or the default if it is missing."""
    value = _find(table, path)
    return default if value is None else _checked(value, path, kind)


def _find(table: object, path: str) -> object | None:
    """Return the value of a key, not validated; None if it is missing (TOML has no null)."""
    value: object = table
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def _checked(value: object, path: str, kind: type[_Value]) -> _Value:
    """Return a value after a check of its type; integers are valid floats, booleans are not."""
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise SettingsError(f"bad value for {path}: expected {kind.__name__}")
    return value
