"""What it means to lead a partition, and why leading it ends."""

import enum
from dataclasses import dataclass
from datetime import datetime


@dataclass(frozen=True)
class Leadership:
    """This controller's leadership of a partition under one term.

    `mod_revision` is the revision of the term's record. It is a condition of every write of the
    leader, so that late transactions of former leaders fail.
    """

    partition: str
    term: int
    mod_revision: int
    acquired_at: datetime


class LossReason(enum.StrEnum):
    """Why a controller stops leading a partition, as the log names it."""

    LEASE_ENDED = "lease ended"
    RECORD_GONE = "key gone"
    LED_BY_ANOTHER = "held by another"
    FAILED_BACK = "handed back"
    UNREACHABLE_FOR_WORKERS = "deaf to its workers"
