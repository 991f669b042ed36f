"""Where preemption can free capacity, for all pending tasks of one scheduling step."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from roadbend.placement import preemption_policy
from roadbend.placement.bin_packing import TaskShape
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.preemption_policy import PreemptionOption, Victim
from roadbend.placement.queue_order import PendingTasks


class _RequestKey(NamedTuple):
    """All properties of a task that determine its preemption options."""

    shape: TaskShape
    image: str
    priority: int
    team: str
    guaranteed: bool
    excluded_types: frozenset[str]
    machines_without_image: frozenset[str]


class PreemptionOptions:
    """The preemption options of one step, computed once for items with the same `_RequestKey`."""

    def __init__(
        self,
        exclusions: PlacementExclusions,
        capacities: list[FreeCapacity],
        victims_by_machine: dict[str, list[Victim]],
        exceeds_guarantee: Callable[[PendingTasks], bool],
    ) -> None:
        self._exclusions, self._capacities, self._victims_by_machine = (
            exclusions,
            capacities,
            victims_by_machine,
        )
        self._exceeds_guarantee = exceeds_guarantee
        self._options_by_request: dict[_RequestKey, list[PreemptionOption]] = {}
        # The lowest priority among each machine's victims, and the teams over their guarantees
        # there.
        self._min_priorities = {
            machine: min(victim.priority for victim in victims)
            for machine, victims in victims_by_machine.items()
        }
        self._teams_over_guarantee = {
            machine: {victim.team for victim in victims if victim.over_guarantee}
            for machine, victims in victims_by_machine.items()
        }
        # Machines on which tasks were preempted in this step already.
        self.used_machines: set[str] = set()

    def for_item(self, item: PendingTasks) -> Iterator[PreemptionOption]:
        """Return the remaining options for an item, best first."""
        spec = item.job.spec
        excluded_types = self._exclusions.excluded_types(item.job.id)
        machines_without_image = self._exclusions.machines_without_image(item.job.id)
        request_key = _RequestKey(
            shape=TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot),
            image=spec.image,
            priority=spec.priority,
            team=spec.team,
            guaranteed=item.guaranteed,
            excluded_types=excluded_types,
            machines_without_image=machines_without_image,
        )
        options = self._options_by_request.get(request_key)
        if options is None:
            exceeds_guarantee = self._exceeds_guarantee(item)
            candidates = [
                capacity
                for capacity in self._capacities
                if self._may_preempt_any(item, capacity.id, exceeds_guarantee)
                and capacity.machine_type not in excluded_types
                and capacity.id not in machines_without_image
            ]
            options = self._options_by_request[request_key] = preemption_policy.preemption_options(
                item, candidates, self._victims_by_machine, exceeds_guarantee
            )
        return (option for option in options if option[0].id not in self.used_machines)

    def _may_preempt_any(self, item: PendingTasks, machine: str, exceeds_guarantee: bool) -> bool:
        """Return whether any task on a machine may be stopped for an item.

        The same rule as `preemption_policy.may_preempt`, for all victims of the machine at once.
        """
        spec = item.job.spec
        if self._min_priorities[machine] < spec.priority:
            return not exceeds_guarantee or any(
                preemption_policy.may_preempt(item, victim, exceeds_guarantee)
                for victim in self._victims_by_machine[machine]
            )
        return item.guaranteed and any(
            team != spec.team for team in self._teams_over_guarantee[machine]
        )
