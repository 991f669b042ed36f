"""The records: all durable state, its contents and how it is serialized.

`roadbend.store.keys` has the keys of the records.
"""

from roadbend.store.records.job import PRIORITY, Job, JobSpec, job_end_value
from roadbend.store.records.leadership import (
    INCARNATION_BITS,
    INCARNATION_MASK,
    ControllerRecord,
    LeaderRecord,
    TermRecord,
)
from roadbend.store.records.quota import NO_USAGE, QuotaRecord, Usage
from roadbend.store.records.recovery import (
    RecoveryProgress,
    read_recovery_progress,
    read_unrecorded_job,
    unrecorded_job_value,
)
from roadbend.store.records.resources import Resources
from roadbend.store.records.size import shard_width, value_size_bound
from roadbend.store.records.slice_shard import Attempt, SliceShard

__all__ = [
    "INCARNATION_BITS",
    "INCARNATION_MASK",
    "NO_USAGE",
    "PRIORITY",
    "Attempt",
    "ControllerRecord",
    "Job",
    "JobSpec",
    "LeaderRecord",
    "QuotaRecord",
    "RecoveryProgress",
    "Resources",
    "SliceShard",
    "TermRecord",
    "Usage",
    "job_end_value",
    "read_recovery_progress",
    "read_unrecorded_job",
    "shard_width",
    "unrecorded_job_value",
    "value_size_bound",
]
