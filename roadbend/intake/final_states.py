"""Final states of jobs: kept in the state store permanently, and here in a bounded cache."""

from collections import OrderedDict

from roadbend.http.client import NoAnswerError
from roadbend.intake.messages import FINAL_STATUSES, JobState, JobStatus
from roadbend.store import keys
from roadbend.store.client import StateStoreClient

MAX_FINAL_STATES = 20_000


class FinalStateCache:
    """A bounded cache of final states, which never change; the oldest entry is dropped first."""

    def __init__(self, capacity: int = MAX_FINAL_STATES) -> None:
        self._capacity = capacity
        self._states: OrderedDict[str, JobState] = OrderedDict()

    def get(self, job_id: str) -> JobState | None:
        """Return a job's final state, or None if the cache lacks it."""
        return self._states.get(job_id)

    def put(self, job_id: str, state: JobState) -> None:
        """Add a job's final state."""
        self._states[job_id] = state
        while len(self._states) > self._capacity:
            self._states.popitem(last=False)


async def fetch_final_state(state_store: StateStoreClient, job_id: str) -> JobState | None:
    """Read a job's final state from its record; return None if there is no such record.

    Raises `NoAnswerError` if the record is malformed, and the errors of the state store client.
    """
    record = await state_store.get(keys.job_end_key(job_id))
    if record is None:
        return None
    value, _ = record
    if not isinstance(value, dict) or value.get("s") not in FINAL_STATUSES:
        raise NoAnswerError("malformed record of a job's end")
    return JobState(JobStatus(value["s"]), int(value.get("n", 0)))
