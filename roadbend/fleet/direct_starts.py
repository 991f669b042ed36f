"""Bookkeeping of direct starts: which are still wanted, and what became of those that were sent."""

from datetime import datetime

from roadbend.fleet.leader import Leader
from roadbend.fleet.machines import DirectStart, Machine
from roadbend.fleet.messages import WorkerHeartbeat
from roadbend.fleet.terminations import TaskKey
from roadbend.store.records import Attempt

Starts = list[tuple[TaskKey, Attempt]]


def still_wanted(leader: Leader, name: str, starts: Starts, now: datetime) -> Starts:
    """Return the starts whose attempts are still recorded on the machine and are to run."""
    recorded = leader.records.attempts_by_machine().get(name, {})
    return [
        (key, attempt)
        for key, attempt in starts
        if key in recorded
        and recorded[key][1] == attempt
        and key not in leader.stops
        and key not in leader.terminations
        and leader.records.live_job(key[0])
        and leader.unheld.may_send(name, key, attempt.number, now)
    ]


def note_starts(leader: Leader, machine: Machine, starts: Starts, now: datetime) -> int:
    """Note starts before they go out; return the epoch for which they hold."""
    epoch = machine.contact.position.epoch
    for key, attempt in starts:
        start = machine.token.direct_starts[key] = DirectStart(attempt.number, epoch)
        leader.starts_in_doubt.record_direct_start(machine, key, start)
    machine.last_evaluation.invalidate()
    machine.contact.lease_started_at = now
    return epoch


def forget_starts(machine: Machine, starts: Starts) -> None:
    """Forget starts that were not carried out, nor will be."""
    noted = machine.token.direct_starts
    for key, attempt in starts:
        if key in noted and noted[key].attempt == attempt.number:
            noted[key].refused = True
            del noted[key]


def acknowledge_starts(machine: Machine, starts: Starts, answer: WorkerHeartbeat) -> None:
    """Note that the machine's answer is from after the starts were carried out."""
    for key, attempt in starts:
        start = machine.token.direct_starts.get(key)
        if start is not None and start.attempt == attempt.number:
            start.acknowledged_position = answer.position
