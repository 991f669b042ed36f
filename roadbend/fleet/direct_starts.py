"""Bookkeeping of direct starts: which are still to be sent, and the outcome of those sent."""

from datetime import datetime

from roadbend.fleet.leader import Leader
from roadbend.fleet.machines import DirectStart, Machine
from roadbend.fleet.messages import WorkerHeartbeat
from roadbend.fleet.terminations import TaskKey
from roadbend.store.records import Attempt

Starts = list[tuple[TaskKey, Attempt]]


def still_wanted(leader: Leader, machine_id: str, starts: Starts, now: datetime) -> Starts:
    """Return the starts whose attempts are still recorded on the machine and should run."""
    recorded = leader.records.attempts_by_machine().get(machine_id, {})
    return [
        (key, attempt)
        for key, attempt in starts
        if key in recorded
        and recorded[key][1] == attempt
        and key not in leader.stops
        and key not in leader.terminations
        and leader.records.live_job(key[0])
        and leader.unheld.may_send(machine_id, key, attempt.number, now)
    ]


def record_starts(leader: Leader, machine: Machine, starts: Starts, now: datetime) -> int:
    """Record starts before they are sent; return the epoch for which they are valid."""
    epoch = machine.contact.position.epoch
    for key, attempt in starts:
        start = machine.token.direct_starts[key] = DirectStart(attempt.number, epoch)
        leader.starts_in_doubt.record_direct_start(machine, key, start)
        machine.token.replayable_starts.add(key, attempt.number)
    machine.last_evaluation.invalidate()
    machine.contact.lease_started_at = now
    return epoch


def remove_starts(machine: Machine, starts: Starts) -> None:
    """Remove starts that the machine refused, so that it will never execute them."""
    recorded = machine.token.direct_starts
    for key, attempt in starts:
        if key in recorded and recorded[key].attempt == attempt.number:
            recorded[key].refused = True
            del recorded[key]


def acknowledge_starts(machine: Machine, starts: Starts, answer: WorkerHeartbeat) -> None:
    """Record that the machine sent a response after it had executed the starts."""
    for key, attempt in starts:
        start = machine.token.direct_starts.get(key)
        if start is not None and start.attempt == attempt.number:
            start.acknowledged_position = answer.position
