"""Actions of scenarios: on jobs, on controllers, and faults of everything else."""

from roadbend.rehearsal.actions.controllers import (
    CutWorkers,
    ReturnController,
    ReturnControllers,
    StopController,
    StopControllers,
)
from roadbend.rehearsal.actions.faults import (
    CloudOutage,
    CutMachines,
    EndMachines,
    HangMachines,
    LoseNewestWrites,
    RebootMachines,
    RememberRecords,
    SlowState,
    StateOutage,
)
from roadbend.rehearsal.actions.jobs import Cancel, StartWork, SubmitArrays, SubmitGangs, Wait

__all__ = [
    "Cancel",
    "CloudOutage",
    "CutMachines",
    "CutWorkers",
    "EndMachines",
    "HangMachines",
    "LoseNewestWrites",
    "RebootMachines",
    "RememberRecords",
    "ReturnController",
    "ReturnControllers",
    "SlowState",
    "StartWork",
    "StateOutage",
    "StopController",
    "StopControllers",
    "SubmitArrays",
    "SubmitGangs",
    "Wait",
]
