"""A controller's leadership of a partition, and the reasons for which it ends."""

import enum
from dataclasses import dataclass
from datetime import datetime


@dataclass(frozen=True)
class Leadership:
    """This controller's leadership of a partition under one term.

    `mod_revision` is the mod revision of the term record. Every write of the leader is conditional
    on it, so that late transactions of former leaders fail.
    """

    partition: str
    term: int
    mod_revision: int
    acquired_at: datetime


class LossReason(enum.StrEnum):
    """Why a controller stops leading a partition; the value is logged."""

    LEASE_ENDED = "lease ended"
    RECORD_MISSING = "key gone"
    LED_BY_ANOTHER = "held by another"
    FAILED_BACK = "handed back"
    UNREACHABLE_FOR_WORKERS = "deaf to its workers"
