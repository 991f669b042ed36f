"""Bodies of submissions, as users send them."""

from typing import Any


def job(number: int, **changes: Any) -> dict[str, Any]:
    """Return the body of a submission; `changes` use the field names of the wire."""
    body = {
        "id": f"run-{number:06d}",
        "lane": "plans",
        "crew": "red",
        "shape": "batch",
        "rank": "normal",
        "legs": 1,
        "vcpus": 8.0,
        "gpus": 1.0,
        "memoryGb": 40.0,
        "bundle": "img-1",
        "imageGb": 1.0,
        "rigs": None,
        "yard": None,
        "together": False,
        "apart": False,
        "loaners": True,
        "expectedS": 20.0,
        "milestoneS": 0.0,
        "stowS": 0.0,
        "dueS": 300.0,
    }
    return {**body, **changes}


def gang(number: int, tasks: int = 4, **changes: Any) -> dict[str, Any]:
    """Return the body of a gang that saves checkpoints; see `job`."""
    body = dict(
        shape="group",
        legs=tasks,
        vcpus=2.0,
        gpus=0.0,
        memoryGb=9.6,
        together=True,
        dueS=None,
        milestoneS=20.0,
        stowS=2.0,
        expectedS=30.0,
        loaners=False,
    )
    return job(number, **{**body, **changes})
