"""Making sure that a machine runs nothing any more: by its deletion, or by its worker's lease."""

from roadbend import clock
from roadbend.cloud.client import CloudBusyError, NoCapacityError
from roadbend.fleet.deletions import Deletions
from roadbend.fleet.leader import Controller, Leader
from roadbend.fleet.liveness_policy import LeaseTimes, is_lease_expired
from roadbend.fleet.terminations import TerminationEvidence
from roadbend.http.client import NoAnswerError
from roadbend.log import Log

log = Log("fleet")
# Most characters of an error that are logged.
LOGGED_ERROR = 60


class Fencing:
    """Deletes machines, and gives attempts up whose worker's lease has expired."""

    def __init__(self, controller: Controller, deletions: Deletions) -> None:
        self._controller, self._deletions = controller, deletions

    async def fence(self, leader: Leader, name: str) -> bool:
        """Delete a machine; say whether its attempts are certainly terminated."""
        machine = leader.machines.get(name)
        if machine is not None:
            # From here on no order goes to it, so the deletion can't overtake one.
            machine.lifecycle.fencing = True
        try:
            await self._deletions.delete(name)
        except CloudBusyError as error:
            # Not carried out.
            log.info("machine-fence-refused", **_failure(leader, name, error))
            if machine is not None:
                machine.lifecycle.fencing = False
            return False
        except (NoAnswerError, NoCapacityError) as error:
            log.info("machine-fence-failed", **_failure(leader, name, error))
            if machine is not None:
                # The deletion may still be carried out: should the machine send a heartbeat again,
                # it gets nothing new.
                machine.lifecycle.draining, machine.lifecycle.fencing = "fence", False
            return False
        log.info("machine-fenced", partition=leader.partition, machine=name)
        leader.mark_attempts_terminated(name, TerminationEvidence.DELETED)
        return True

    def expire(self, leader: Leader, name: str) -> None:
        """Give the attempts of a machine up if its worker's lease has expired."""
        settings, operator = self._controller.settings, self._controller.operator
        terms = LeaseTimes.of(leader.leadership, settings, operator)
        expired = is_lease_expired(leader.machines.get(name), terms, clock.now())
        if expired and leader.records.attempts_by_machine().get(name):
            log.info("worker-lease-expired", partition=leader.partition, machine=name)
            leader.mark_attempts_terminated(name, TerminationEvidence.LEASE)


def _failure(leader: Leader, name: str, error: Exception) -> dict[str, str]:
    """Return what is logged of a deletion that failed."""
    return {"partition": leader.partition, "machine": name, "error": str(error)[:LOGGED_ERROR]}
