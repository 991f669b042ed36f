"""The keys of the records in the state service.

r/job/<id>            a live job: spec, which partition holds which tasks, which tasks are over
r/slice/<partition>/<id>/<n>   a partition's attempts at some of a job's tasks, and what each of
them takes; tasks go into shards by number, so that the widest array fits small values r/gang/<id>
says that a live job is a gang: versions before gangs rewrite its own record without that
r/team/<team>         what each partition may use at most for a team; the sum never passes its limit
r/term/<partition>         the partition's term, never removed; its revision guards every write of
an owner r/own/<partition>          who owns the partition, on the owner's lease r/node/<name>
a live controller, on its lease r/catalog             the machine types as last seen, for a
controller that starts in a cloud outage r/recovery/<partition>     how far the recovery of a
partition is, under one term; older versions ignore it r/unrecorded/<id>     a job that machines run
and no record names: not accepted anew while this is there; older versions ignore it fin/<id>
the end of a job, kept for ever and outside the partition that everyone follows"""

from functools import lru_cache
from urllib.parse import quote

# All records of what is live begin so.
LIVE = "r/"
CATALOG_KEY = "r/catalog"


@lru_cache(maxsize=4096)
def quoted(name: str) -> str:
    """A name as part of a key; names of teams, partitions and controllers come again and again."""
    return quote(name, safe="")


def job_key(job: str) -> str:
    """A live job."""
    return f"r/job/{job}"


def slice_key(partition: str, job: str, shard: int) -> str:
    """A shard of what a partition runs of a job."""
    key = f"r/slice/{quoted(partition)}/{job}"
    # Records of version 0.1 had no shards; they are read, and emptied where they lie.
    return key if shard < 0 else f"{key}/{shard}"


def team_key(team: str) -> str:
    """What each partition may use of a team's limit."""
    return f"r/team/{quoted(team)}"


def gang_key(job: str) -> str:
    """Says that a live job is a gang."""
    return f"r/gang/{job}"


def term_key(partition: str) -> str:
    """A partition's term, which never ends."""
    return f"r/term/{quoted(partition)}"


def leader_key(partition: str) -> str:
    """Who owns a partition."""
    return f"r/own/{quoted(partition)}"


def controller_key(name: str) -> str:
    """A live controller."""
    return f"r/node/{quoted(name)}"


def recovery_key(partition: str) -> str:
    """How far the recovery of a partition is."""
    return f"r/recovery/{quoted(partition)}"


def unrecorded_key(job: str) -> str:
    """Says that machines run a job that no record names."""
    return f"r/unrecorded/{job}"


def job_end_key(job: str) -> str:
    """The end of a job."""
    return f"fin/{job}"
