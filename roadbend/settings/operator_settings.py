"""The operators' settings: the form `(roadbend (key value) ...)` of `deploy/roadbend.sexp`."""

# `number` and `seconds` return dataclass fields, as `field` does.
# ruff: noqa: RUF009

from dataclasses import dataclass
from datetime import timedelta

from roadbend.settings.forms import number, read_form, seconds


@dataclass(frozen=True)
class OperatorSettings:
    """The operators' settings. Durations are written in seconds."""

    omega: float = number(1.0, 0.0, 1.0, "weight of promised (shadow) load in a bid; the paper's ω")
    mu: float = number(
        1.0, 0.0, 100.0, "relative queuing delay from which a job is rescheduled; the paper's μ"
    )
    varpi: float = number(
        1.0,
        0.0,
        100.0,
        "weight of a bidder's average queuing time when rescheduling; the paper's ϖ",
    )
    bid_wait: timedelta = seconds(0.25, 0.01, 5, "how long a requester waits for bids")
    promise_life: timedelta = seconds(
        2.0, 0.1, 60, "time after which a promise expires unless it is revoked"
    )
    rebid_every: timedelta = seconds(
        1.0, 0.1, 60, "interval of requesting bids again for jobs that no partition holds"
    )
    reoffer_every: timedelta = seconds(
        3.0, 0.5, 600, "interval of rescheduling jobs that have waited for long"
    )
    cool_down: timedelta = seconds(
        5.0, 0, 600, "time for which a job waits in a partition before it may be rescheduled"
    )
    own_lease: timedelta = seconds(
        8.0,
        1,
        60,
        "lease of a controller on its leaderships; failover from a crashed one waits for its end",
    )
    takeover_grace: timedelta = seconds(
        1.5, 0, 60, "wait before acquiring a partition whose home controller may return"
    )
    takeover_silence: timedelta = seconds(
        6.0, 2, 60, "silence of a leader after which failover is possible before its lease expires"
    )
    takeover_share: float = number(
        0.5,
        0.25,
        1.0,
        "share of a silent leader's machines that must be unserved for such a failover",
    )
    hand_back_after: timedelta = seconds(
        5.0, 0, 600, "time after a controller's return until its partition fails back to it"
    )
    sync_every: timedelta = seconds(
        0.3, 0.02, 5, "interval of reading the records while no caller waits for a read"
    )
    sync_gap: timedelta = seconds(0.12, 0.0, 5, "minimum time between two reads of the records")
    silent_reports: float = number(
        1.7, 1.3, 50, "multiple of the heartbeat interval after which a silent machine is checked"
    )
    find_owner: timedelta = seconds(
        14.0, 2, 120, "time a new leader gives machines to send heartbeats before suspecting them"
    )
    fence_share: float = number(
        0.5, 0.05, 1.0, "share of machines silent at once that points to a fault of our own network"
    )
    dear: float = number(
        1.3,
        1.0,
        100,
        "multiple of the lowest price per task above which a partition does not bid to scale out",
    )
    dear_wait: timedelta = seconds(
        3.0, 0, 600, "waiting time after which partitions bid for a job at any price"
    )
    caution: float = number(
        1.0, 1.0, 10, "multiple of the predicted run time that is reserved before a deadline"
    )
    boot_factor: float = number(
        1.1, 0.5, 10, "multiple of the nominal boot time that a new machine is expected to take"
    )
    common_share: float = number(
        0.25, 0.05, 1.0, "share of the machines silent at once that points to a network fault"
    )
    idle_return: timedelta = seconds(
        8.0, 0, 3600, "idle time after which an empty machine is deleted"
    )
    boot_patience: float = number(
        2.5, 1.1, 20, "multiple of the nominal boot time after which a machine counts as failed"
    )
    refusal_pause: timedelta = seconds(
        6.0, 0.5, 600, "pause after the cloud refused machines of a type, zone and kind"
    )
    refusal_pause_max: timedelta = seconds(
        30.0, 0.5, 3600, "maximum of this pause, which doubles with each refusal"
    )
    spare_window: timedelta = seconds(
        300, 10, 86400, "period over which arrivals are counted for the warm pool"
    )
    spare_most: int = number(
        512,
        0,
        10000,
        "maximum number of tasks for which a leader keeps a warm pool for urgent services",
    )
    begin_within: timedelta = seconds(
        90,
        5,
        86400,
        "time without a started task after which a job is starved and goes before its peers",
    )
    error_limit: int = number(
        3,
        1,
        100,
        "failures of different jobs after which a machine is quarantined, or replaced if empty",
    )
    state_margin: timedelta = seconds(
        2.0, 0.2, 30, "safety margin in time limits that depend on leases"
    )
    users_at_once: int = number(
        64, 4, 1024, "maximum of the adaptive limit on concurrent user requests"
    )


def read_operator(text: str) -> OperatorSettings:
    """Read operators' settings, such as `(roadbend (omega 1.0) (bid-wait 0.25))`.

    Raises `SettingsError`.
    """
    return read_form(text, "roadbend", OperatorSettings)
