"""Fencing: ensures that a machine no longer runs anything, by deletion or by lease expiry."""

from roadbend import clock
from roadbend.cloud.client import CloudBusyError, NoCapacityError
from roadbend.fleet.deletions import Deletions
from roadbend.fleet.leader import Controller, Leader
from roadbend.fleet.liveness_policy import LeaseTimes, is_lease_expired
from roadbend.fleet.terminations import TerminationEvidence
from roadbend.http.client import NoAnswerError
from roadbend.log import Log

log = Log("fleet")
# Characters of an error message that are logged.
MAX_LOGGED_ERROR_LENGTH = 60


class Fencing:
    """Deletes machines, and marks attempts as terminated whose worker's lease has expired."""

    def __init__(self, controller: Controller, deletions: Deletions) -> None:
        self._controller, self._deletions = controller, deletions

    async def fence(self, leader: Leader, machine_id: str) -> bool:
        """Delete a machine; return whether its attempts are certainly terminated."""
        machine = leader.machines.get(machine_id)
        if machine is not None:
            # From here on no orders are sent to it, so the deletion can't overtake one.
            machine.lifecycle.fencing = True
        try:
            await self._deletions.delete(machine_id)
        except CloudBusyError as error:
            # The deletion was not executed.
            log.info("machine-fence-refused", **_log_fields(leader, machine_id, error))
            if machine is not None:
                machine.lifecycle.fencing = False
            return False
        except (NoAnswerError, NoCapacityError) as error:
            log.info("machine-fence-failed", **_log_fields(leader, machine_id, error))
            if machine is not None:
                # The deletion may still be executed, so the machine is given no new tasks should it
                # send a heartbeat again.
                machine.lifecycle.draining, machine.lifecycle.fencing = "fence", False
            return False
        log.info("machine-fenced", partition=leader.partition, machine=machine_id)
        leader.mark_attempts_terminated(machine_id, TerminationEvidence.DELETED)
        return True

    def expire(self, leader: Leader, machine_id: str) -> None:
        """Mark the attempts of a machine as terminated if its worker's lease has expired."""
        settings, operator = self._controller.settings, self._controller.operator
        times = LeaseTimes.of(leader.leadership, settings, operator)
        expired = is_lease_expired(leader.machines.get(machine_id), times, clock.now())
        if expired and leader.records.attempts_by_machine().get(machine_id):
            log.info("worker-lease-expired", partition=leader.partition, machine=machine_id)
            leader.mark_attempts_terminated(machine_id, TerminationEvidence.LEASE)


def _log_fields(leader: Leader, machine_id: str, error: Exception) -> dict[str, str]:
    """Return the log fields for a failed deletion."""
    return {
        "partition": leader.partition,
        "machine": machine_id,
        "error": str(error)[:MAX_LOGGED_ERROR_LENGTH],
    }
