"""Settings: the platform's TOML (what we don't know is ignored) and the operators' S-expressions
(every key checked, an unknown key or a bad value refused by name)."""

import tomllib
from dataclasses import Field, dataclass, field, fields
from datetime import timedelta
from pathlib import Path
from typing import Any, TypeVar

import sexpdata

from roadbend.errors import RoadbendError

# The longest text that a setting may be.
MAX_TEXT = 200
_Form = TypeVar("_Form")


class SettingsError(RoadbendError):
    """A settings file can't be used; the message names the key."""


@dataclass(frozen=True)
class Peer:
    """Another controller."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True)
class Team:
    """A team's guarantee and limit; 0 means none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class ServiceLevelObjective:
    """An aim as the platform restates it; kinds that we don't know are ignored."""

    kind: str
    job_class: str | None
    share: float
    within: timedelta | None
    # Of a deadline: how many times the due time it is about.
    times: float = 1.0


@dataclass(frozen=True)
class PlatformSettings:
    """What the platform sets."""

    name: str
    zone: str
    listen: str
    back: str
    peers: tuple[Peer, ...]
    cloud: str
    state: str
    zones: tuple[str, ...]
    teams: dict[str, Team]
    clock_off: timedelta
    heartbeat_interval: timedelta
    lease: timedelta
    cancel_within: timedelta
    state_rps: float
    state_write_rps: float
    value_bytes: int
    txn_ops: int
    cloud_rps: float
    list_lag: timedelta
    sockets: int
    # How much of a core we have.
    cpu: float = 1.0
    # The changes a second that the state service will allow from some moment on, without notice.
    # Its other limits to come are in `value_bytes` and `txn_ops`: from the start we write within
    # the smaller of both.
    state_write_rps_next: float | None = None
    # How long a gang's tasks wait for each other, and how soon they notice that one is gone.
    gang_wait: timedelta = timedelta(seconds=30)
    gang_peer: timedelta = timedelta(seconds=5)
    objectives: tuple[ServiceLevelObjective, ...] = ()

    @property
    def controller_count(self) -> int:
        return len(self.peers) + 1

    @property
    def shard_width(self) -> int:
        """How many neighbouring tasks share a record. An attempt takes some 16 to 24 bytes in the
        form in which limits are measured; a shard of only running tasks must fit with room for a
        few ranges."""
        return max(8, min(512, int(self.value_bytes * 0.8 - 400) // 28))

    @property
    def widest_gang(self) -> int:
        """The widest gang whose attempts can all be recorded while its first task waits: with half
        of the changes that the state service permits, within half of the time that tasks wait."""
        changes = min(self.state_write_rps, self.state_write_rps_next or self.state_write_rps)
        seconds = self.gang_wait.total_seconds() / 2
        return max(self.txn_ops - 1, int(changes / 2 * seconds)) * self.shard_width

    @property
    def widest_apart_gang(self) -> int:
        """As `widest_gang`, for one whose shares several partitions hold: the record of every shard
        is a condition of each start, and a transaction takes four conditions a change."""
        return min(self.widest_gang, 3 * self.txn_ops * self.shard_width)


_MISSING = object()


def _get(table, path: str, kind, default=_MISSING):
    value = table
    for part in path.split("."):
        value = value.get(part, _MISSING) if isinstance(value, dict) else _MISSING
        if value is _MISSING:
            break
    if value is _MISSING:
        if default is _MISSING:
            raise SettingsError(f"missing key: {path}")
        return default
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise SettingsError(f"bad value for {path}: expected {kind.__name__}")
    return value


def _positive(table, path: str, default=_MISSING) -> float:
    value = _get(table, path, float, default)
    if not 0 < value < float("inf"):
        raise SettingsError(f"bad value for {path}: must be above zero")
    return value


def _address(text: str, path: str) -> str:
    host, colon, port = text.rpartition(":")
    # At most five decimal digits: other characters and longer numbers are more than `int` takes.
    is_number = port.isdecimal() and len(port.lstrip("0")) <= 5
    if not colon or not host or not is_number or not 0 < int(port) < 65536:
        raise SettingsError(f"bad value for {path}: expected host:port")
    return text


def read_platform(text: str) -> PlatformSettings:
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from None
    peers = []
    for row in _get(table, "others", list, []):
        peers.append(
            Peer(
                _get(row, "host_name", str),
                _get(row, "domain", str),
                _address(_get(row, "address", str), "others.address"),
            )
        )
    teams = {}
    for row in _get(table, "deployment.teams", list, []):
        team = Team(
            _get(row, "name", str),
            _get(row, "cpus", float, 0.0),
            _get(row, "cpus_max", float, 0.0),
            _get(row, "gpus", float, 0.0),
            _get(row, "gpus_max", float, 0.0),
        )
        teams[team.name] = team
    objectives = []
    for row in _get(table, "deployment.objectives", list, []):
        within = _get(row, "within_s", float, -1.0)
        job_class = _get(row, "class", str, "")
        kind, share = _get(row, "kind", str, ""), _get(row, "share", float, 0.0)
        times = _get(row, "times", float, 1.0)
        objectives.append(
            ServiceLevelObjective(
                kind,
                job_class or None,
                share,
                timedelta(seconds=within) if within > 0 else None,
                times,
            )
        )
    zones = _get(table, "deployment.zones", list, [])
    if not all(isinstance(zone, str) for zone in zones):
        raise SettingsError("bad value for deployment.zones: expected names")
    return PlatformSettings(
        name=_get(table, "host_name", str),
        zone=_get(table, "domain", str),
        listen=_address(_get(table, "client_listen", str), "client_listen"),
        back=_address(_get(table, "back", str), "back"),
        peers=tuple(peers),
        cloud=_address(_get(table, "outside.cloud", str), "outside.cloud"),
        state=_address(_get(table, "outside.state", str), "outside.state"),
        zones=tuple(zones),
        teams=teams,
        clock_off=timedelta(milliseconds=_get(table, "deployment.clock_off_ms", float, 100.0)),
        heartbeat_interval=timedelta(seconds=_positive(table, "deployment.workers.report_s")),
        lease=timedelta(seconds=_positive(table, "deployment.workers.lease_s")),
        cancel_within=timedelta(seconds=_positive(table, "deployment.workers.cancel_s")),
        state_rps=_positive(table, "deployment.state.rps"),
        state_write_rps=_positive(table, "deployment.state.write_rps"),
        value_bytes=int(_smaller(table, "value_kb") * 1024),
        txn_ops=int(_smaller(table, "txn_ops")),
        cloud_rps=_positive(table, "deployment.cloud.rps"),
        list_lag=timedelta(seconds=_positive(table, "deployment.cloud.list_lag_s", 5.0)),
        sockets=int(_positive(table, "deployment.machine_limits.sockets", 1000.0)),
        cpu=min(1.0, _positive(table, "deployment.machine_limits.cpu", 1.0)),
        objectives=tuple(objectives),
        state_write_rps_next=_smaller(table, "write_rps"),
        gang_wait=timedelta(seconds=_positive(table, "deployment.workers.gang_wait_s", 30.0)),
        gang_peer=timedelta(seconds=_positive(table, "deployment.workers.gang_peer_s", 5.0)),
    )


def _smaller(table, key: str) -> float:
    """The smaller of a limit of the state service and of the one that is to come."""
    now = _positive(table, f"deployment.state.{key}")
    return min(now, _positive(table, f"deployment.state.next.{key}", now))


def seconds(default: float, low: float, high: float, text: str):
    """A duration of the operators' settings, with its range and what it means."""
    return field(
        default=timedelta(seconds=default),
        metadata={"low": timedelta(seconds=low), "high": timedelta(seconds=high), "text": text},
    )


def number(default: float, low: float, high: float, text: str):
    """A number of the operators' settings, with its range and what it means."""
    return field(default=default, metadata={"low": low, "high": high, "text": text})


@dataclass(frozen=True)
class OperatorSettings:
    """Operators' own settings. Durations are written in seconds."""

    omega: float = number(1.0, 0.0, 1.0, "weight of promised (shadow) load in a bid; the paper's ω")
    mu: float = number(
        1.0, 0.0, 100.0, "relative queuing delay from which a job is offered again; the paper's μ"
    )
    varpi: float = number(
        1.0, 0.0, 100.0, "weight of a bidder's average queuing time when reoffering; the paper's ϖ"
    )
    bid_wait: timedelta = seconds(0.25, 0.01, 5, "how long a requester waits for bids")
    promise_life: timedelta = seconds(2.0, 0.1, 60, "when a promise that nobody revoked expires")
    rebid_every: timedelta = seconds(
        1.0, 0.1, 60, "how often jobs that no part holds are offered again"
    )
    reoffer_every: timedelta = seconds(3.0, 0.5, 600, "period of offering long waiters again")
    cool_down: timedelta = seconds(
        5.0, 0, 600, "a job is not offered again before it has waited here for this long"
    )
    own_lease: timedelta = seconds(
        8.0, 1, 60, "lease on owning parts; a dead controller's parts wait this long"
    )
    takeover_grace: timedelta = seconds(
        1.5, 0, 60, "wait before taking a part whose own controller seems alive"
    )
    hand_back_after: timedelta = seconds(
        5.0, 0, 600, "a returned controller gets its part back after this time"
    )
    sync_every: timedelta = seconds(0.3, 0.02, 5, "how often the records are read when nobody asks")
    sync_gap: timedelta = seconds(0.12, 0.0, 5, "least time between two reads of the records")
    silent_reports: float = number(
        1.7, 1.3, 50, "times the report interval after which a silent machine is looked into"
    )
    find_owner: timedelta = seconds(
        14.0, 2, 120, "time a new owner gives machines to report before doubting them"
    )
    fence_share: float = number(
        0.5, 0.05, 1.0, "part of the machines silent at once that makes us doubt our own net"
    )
    dear: float = number(
        1.3, 1.0, 100, "times the cheapest price a task above which a part does not bid to hire"
    )
    dear_wait: timedelta = seconds(
        3.0, 0, 600, "a job that has waited for this long is bid for at any price"
    )
    caution: float = number(
        1.0, 1.0, 10, "times the predicted run time that is kept free before a deadline"
    )
    boot_factor: float = number(
        1.1, 0.5, 10, "times the nominal boot time that a new machine is expected to take"
    )
    common_share: float = number(
        0.25, 0.05, 1.0, "part of the machines silent at once that points to the network"
    )
    idle_return: timedelta = seconds(8.0, 0, 3600, "an empty machine is returned after this time")
    boot_patience: float = number(
        2.5, 1.1, 20, "times the nominal boot time after which a machine counts as dead"
    )
    refusal_pause: timedelta = seconds(
        6.0, 0.5, 600, "pause after the cloud refused a type, zone and kind"
    )
    refusal_pause_max: timedelta = seconds(
        30.0, 0.5, 3600, "the longest such pause, reached by doubling"
    )
    spare_window: timedelta = seconds(
        300, 10, 86400, "span over which arrivals are counted for the warm room"
    )
    spare_most: int = number(
        512, 0, 10000, "most places that an owner keeps warm for services that must start at once"
    )
    begin_within: timedelta = seconds(
        90, 5, 86400, "a job that has begun nothing for this long goes before its peers"
    )
    error_limit: int = number(
        3, 1, 100, "failures of different jobs after which a machine is replaced"
    )
    state_margin: timedelta = seconds(2.0, 0.2, 30, "safety margin in the arguments about leases")
    users_at_once: int = number(
        64, 4, 1024, "most requests of users in progress; the adaptive limit's ceiling"
    )


def read_operator(text: str) -> OperatorSettings:
    """(roadbend (omega 1.0) (bid-wait 0.25) ...)"""
    return read_form(text, "roadbend", OperatorSettings)


def read_form(text: str, name: str, kind: type[_Form]) -> _Form:
    """Settings of one kind, written as (name (key value) ...). Every key is one of the fields of
    `kind`, whose metadata hold the range."""
    try:
        tree = sexpdata.loads(text)
    except Exception as error:  # sexpdata raises several unrelated kinds
        raise SettingsError(f"not an S-expression: {type(error).__name__}") from None
    if not isinstance(tree, list) or not tree or tree[0] != sexpdata.Symbol(name):
        raise SettingsError(f"operators' settings must have the form ({name} (key value) ...)")
    specs = {spec.name.replace("_", "-"): spec for spec in fields(kind)}
    values: dict[str, Any] = {}
    for row in tree[1:]:
        if not isinstance(row, list) or len(row) != 2 or not isinstance(row[0], sexpdata.Symbol):
            raise SettingsError(f"expected (key value), found: {sexpdata.dumps(row)}")
        key = row[0].value()
        spec = specs.get(key)
        if spec is None:
            raise SettingsError(f"unknown key: {key}")
        if spec.name in values:
            raise SettingsError(f"key given twice: {key}")
        values[spec.name] = _read_value(key, row[1], spec)
    return kind(**values)


def _read_value(key: str, value: Any, spec: Field) -> Any:
    if isinstance(spec.default, str):
        if not isinstance(value, str) or len(value) > MAX_TEXT:
            raise SettingsError(f"bad value for {key}: expected text in quotes")
        return value
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise SettingsError(f"bad value for {key}: expected a number")
    if isinstance(spec.default, timedelta):
        value = timedelta(seconds=min(float(value), 1e9))
    elif isinstance(spec.default, int):
        if not isinstance(value, int):
            raise SettingsError(f"bad value for {key}: expected a whole number")
    else:
        value = float(value)
    low, high = spec.metadata["low"], spec.metadata["high"]
    if not low <= value <= high:
        raise SettingsError(f"bad value for {key}: must be from {_show(low)} to {_show(high)}")
    return value


def _show(value) -> str:
    return f"{value.total_seconds():g}" if isinstance(value, timedelta) else f"{value:g}"


def load(platform: Path, operator: Path | None) -> tuple[PlatformSettings, OperatorSettings]:
    """Both files of a controller. A missing operators' file means the defaults."""
    settings = read_platform(read_file(platform))
    if operator is None or not operator.exists():
        return settings, OperatorSettings()
    return settings, read_operator(read_file(operator))


def read_file(path: Path) -> str:
    """A settings file's text."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path.name}: {type(error).__name__}") from None
