"""What the platform's service-level objectives require of single jobs."""

from datetime import timedelta

from roadbend import clock
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.records import JobSpec

# Bound on the job classes whose deadline factors are cached.
MAX_CLASSES = 256
# Where no objective says otherwise, a job's own due time is its deadline.
OWN_DEADLINE_ONLY = (1.0,)
# A boot may take this many times as long as the machine type says without making a service miss
# its objective.
STARTUP_MARGIN = 1.1


class Objectives:
    """The service-level objectives as they apply to jobs."""

    def __init__(self, settings: PlatformSettings, operator: OperatorSettings) -> None:
        self._settings, self._operator = settings, operator
        # Cached by job class, since the settings don't change.
        self._deadline_factors: dict[str, tuple[float, ...]] = {}

    def start_within(self, spec: JobSpec) -> timedelta | None:
        """Return how soon a service or gang should start; None if no objective says so.

        The objectives for its job class count, and those for guaranteed work.
        """
        if not (spec.service or spec.gang):
            return None
        limits = [
            objective.within
            for objective in self._settings.objectives
            if objective.within is not None
            and (
                (objective.kind == "wait" and objective.job_class == spec.job_class)
                or objective.kind == "guarantee"
            )
        ]
        return min(limits, default=None)

    def deadline_factors(self, spec: JobSpec) -> tuple[float, ...]:
        """Return the multiples of its due time that count as a job's deadlines, ascending."""
        factors = self._deadline_factors.get(spec.job_class)
        if factors is None:
            stated = {
                objective.times
                for objective in self._settings.objectives
                if objective.kind == "deadline" and objective.job_class == spec.job_class
            }
            factors = tuple(sorted(x for x in stated if x >= 1.0)) or OWN_DEADLINE_ONLY
            if len(self._deadline_factors) >= MAX_CLASSES:
                self._deadline_factors.clear()
            self._deadline_factors[spec.job_class] = factors
        return factors

    def max_wait_for_cheaper_type(self, spec: JobSpec, startup: timedelta) -> timedelta:
        """Return how long a service may be kept from machine types on which it is expensive.

        `startup` is the startup time of the slowest machine type.
        """
        within = self.start_within(spec)
        spare = (within - startup * STARTUP_MARGIN) / 2 if within is not None else clock.ZERO
        return max(self._operator.dear_wait, spare)
