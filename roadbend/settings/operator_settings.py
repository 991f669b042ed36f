"""Operators' own settings: the form `(roadbend (key value) ...)` of `deploy/roadbend.sexp`."""

# `number` and `seconds` return fields of a dataclass, as `field` does.
# ruff: noqa: RUF009

from dataclasses import dataclass
from datetime import timedelta

from roadbend.settings.forms import number, read_form, seconds


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
        1.0, 0.1, 60, "how often jobs that no partition holds are offered again"
    )
    reoffer_every: timedelta = seconds(3.0, 0.5, 600, "period of offering long waiters again")
    cool_down: timedelta = seconds(
        5.0, 0, 600, "a job is not offered again before it has waited here for this long"
    )
    own_lease: timedelta = seconds(
        8.0, 1, 60, "lease on leading partitions; a dead controller's partitions wait this long"
    )
    takeover_grace: timedelta = seconds(
        1.5, 0, 60, "wait before acquiring a partition whose own controller may return"
    )
    takeover_silence: timedelta = seconds(
        6.0, 2, 60, "silence of a leader after which its partition may go over before its lease"
    )
    takeover_share: float = number(
        0.5, 0.25, 1.0, "share of a silent leader's machines above which its partition goes over"
    )
    hand_back_after: timedelta = seconds(
        5.0, 0, 600, "a returned controller gets its partition back after this time"
    )
    sync_every: timedelta = seconds(0.3, 0.02, 5, "how often the records are read when nobody asks")
    sync_gap: timedelta = seconds(0.12, 0.0, 5, "least time between two reads of the records")
    silent_reports: float = number(
        1.7, 1.3, 50, "times the heartbeat interval after which a silent machine is looked into"
    )
    find_owner: timedelta = seconds(
        14.0, 2, 120, "time a new leader gives machines to send heartbeats before suspecting them"
    )
    fence_share: float = number(
        0.5, 0.05, 1.0, "share of the machines silent at once that makes us doubt our own net"
    )
    dear: float = number(
        1.3,
        1.0,
        100,
        "times the cheapest price a task above which a partition does not bid to scale out",
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
        0.25, 0.05, 1.0, "share of the machines silent at once that points to the network"
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
        300, 10, 86400, "span over which arrivals are counted for the warm pool"
    )
    spare_most: int = number(
        512, 0, 10000, "most places that a leader keeps warm for services that must start at once"
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
    """Read operators' settings, such as `(roadbend (omega 1.0) (bid-wait 0.25))`.

    Raises `SettingsError`.
    """
    return read_form(text, "roadbend", OperatorSettings)
