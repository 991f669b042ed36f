"""The keys of the records in the state store.

| key                          | record                                                            |
| ---------------------------- | ----------------------------------------------------------------- |
| `r/job/ID`                   | a live job: its specification, which partition holds which tasks, |
|                              | and which tasks are done                                          |
| `r/gang/ID`                  | marks a live job as a gang; a key of its own, since versions      |
|                              | without gangs drop the mark when they rewrite the job's record    |
| `r/slice/PARTITION/ID/SHARD` | a shard of a job slice: a partition's attempts at some of a job's |
|                              | tasks, and what a task takes; tasks are put into shards by index, |
|                              | so that even the widest job array fits into small values          |
| `r/team/TEAM`                | what each partition has reserved of a team's quota; the sum never |
|                              | exceeds the quota                                                 |
| `r/term/PARTITION`           | the partition's term, never deleted; its mod revision guards      |
|                              | every write of a leader                                           |
| `r/own/PARTITION`            | the partition's leader, attached to the leader's lease            |
| `r/node/NAME`                | a live controller, attached to its lease                          |
| `r/catalog`                  | the machine types as last seen, for a controller that starts      |
|                              | during an outage of the cloud                                     |
| `r/recovery/PARTITION`       | the progress of the partition's recovery, under one term; older   |
|                              | versions ignore it                                                |
| `r/unrecorded/ID`            | a job that machines run but that has no record: a submission with |
|                              | its id is refused while this exists; older versions ignore it     |
| `fin/ID`                     | the final state of a job, kept for ever; not live, so the record  |
|                              | view does not follow it                                           |

Names of partitions, teams and controllers are percent-encoded; job ids need no encoding.
"""

from enum import StrEnum
from functools import lru_cache
from urllib.parse import quote, unquote

# The prefix of all live records.
LIVE = "r/"


class RecordKind(StrEnum):
    """The kinds of live records, as they are written in keys."""

    JOB = "job"
    GANG = "gang"
    SLICE = "slice"
    QUOTA = "team"
    TERM = "term"
    LEADER = "own"
    CONTROLLER = "node"
    RECOVERY = "recovery"
    UNRECORDED = "unrecorded"
    CATALOG = "catalog"


CATALOG_KEY = "r/catalog"
# The shard number of records of version 0.1, which kept a whole job slice in one record.
NO_SHARD = -1


@lru_cache(maxsize=4096)
def quoted(name: str) -> str:
    """Percent-encode a name for use in a key.

    The names of teams, partitions and controllers recur often, so the results are cached.
    """
    return quote(name, safe="")


def job_key(job: str) -> str:
    """Return the key of a live job."""
    return f"r/job/{job}"


def slice_key(partition: str, job: str, shard: int) -> str:
    """Return the key of a shard of a job slice.

    Records of version 0.1 had no shards; they are read, and emptied under their old key.
    """
    key = f"r/slice/{quoted(partition)}/{job}"
    return key if shard < 0 else f"{key}/{shard}"


def team_key(team: str) -> str:
    """Return the key of a team's quota record."""
    return f"r/team/{quoted(team)}"


def gang_key(job: str) -> str:
    """Return the key that marks a live job as a gang."""
    return f"r/gang/{job}"


def term_key(partition: str) -> str:
    """Return the key of a partition's term, which is never deleted."""
    return f"r/term/{quoted(partition)}"


def leader_key(partition: str) -> str:
    """Return the key that names a partition's leader."""
    return f"r/own/{quoted(partition)}"


def controller_key(name: str) -> str:
    """Return the key of a live controller."""
    return f"r/node/{quoted(name)}"


def recovery_key(partition: str) -> str:
    """Return the key of the progress of a partition's recovery."""
    return f"r/recovery/{quoted(partition)}"


def unrecorded_key(job: str) -> str:
    """Return the key that marks a job as run by machines without having a record."""
    return f"r/unrecorded/{job}"


def job_end_key(job: str) -> str:
    """Return the key of a job's final state."""
    return f"fin/{job}"


def split_key(key: str) -> tuple[str, str]:
    """Return a live key's kind, which may be one that only newer versions know, and its name."""
    kind, _, name = key.removeprefix(LIVE).partition("/")
    return kind, name


def split_slice_name(name: str) -> tuple[str, str, int]:
    """Return partition, job and shard of a slice key's name; raise ValueError for a bad shard."""
    partition, _, rest = name.partition("/")
    job, slash, shard = rest.partition("/")
    return unquote(partition), job, int(shard) if slash else NO_SHARD
