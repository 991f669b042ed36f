"""Query machines for the attempts of a cancelled job, if their leader can't be queried."""

from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.controller.cancellation_check import CancellationCheck, Evidence
from roadbend.peers.frames import SETTLED_EXTENSION, supports
from roadbend.store.record_view import JobSlice, RecordView


class MachineEvidence:
    """Queries the machines themselves, once no leader sends starts of the job any more."""

    def __init__(self, view: RecordView, machines: AttemptsOnMachines) -> None:
        self._view, self._machines = view, machines

    async def collect(self, job: str, check: CancellationCheck) -> None:
        """Mark partitions settled whose machines hold or refuse all attempts of a job."""
        for partition in list(check.unsettled):
            job_slice = self._view.job_slices[partition].get(job)
            if job_slice is None or await self._machines_settle(partition, job_slice):
                check.mark_settled(partition, Evidence.MACHINES)

    async def _machines_settle(self, partition: str, job_slice: JobSlice) -> bool:
        attempts = dict(job_slice.attempts)
        term = self._followed_term(partition)
        if term is None:
            return await self._machines.are_all_held(job_slice.job, attempts)
        return await self._machines.settle_all(job_slice.job, attempts, term)

    def _followed_term(self, partition: str) -> int | None:
        """Return the partition's term if its leader can continue from a token that a peer raised.

        The machine would refuse the answers of any other leader, and its lease would expire.
        """
        term = self._view.terms.get(partition)
        leader = self._view.partition_leaders.get(partition)
        if term is None or leader is None or leader.term != term.number:
            return None
        return term.number if supports(leader.incarnation, SETTLED_EXTENSION) else None
