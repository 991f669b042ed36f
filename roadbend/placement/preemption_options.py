"""The machines on which room can be made by stopping lesser work, for all that waits in a step."""

from collections.abc import Iterator
from typing import NamedTuple

from roadbend.placement import preemption_policy
from roadbend.placement.bin_packing import TaskShape
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.preemption_policy import PreemptionOption, Victim
from roadbend.placement.queue_order import PendingTasks


class _Kind(NamedTuple):
    """All that decides where room can be made for a task."""

    shape: TaskShape
    image: str
    priority: int
    team: str
    guaranteed: bool
    excluded_types: frozenset[str]
    machines_without_image: frozenset[str]


class PreemptionOptions:
    """Where room can be made in one step; work that is alike looks at the machines once."""

    def __init__(
        self,
        exclusions: PlacementExclusions,
        capacities: list[FreeCapacity],
        running: dict[str, list[Victim]],
    ) -> None:
        self._exclusions, self._capacities, self._running = exclusions, capacities, running
        self._known: dict[_Kind, list[PreemptionOption]] = {}
        # The lowest priority on each machine, and the teams that are beyond their guarantees there.
        self._lowest = {name: min(row.priority for row in rows) for name, rows in running.items()}
        self._beyond = {
            name: {victim.team for victim in victims if victim.over_guarantee}
            for name, victims in running.items()
        }
        # Machines that are taken already.
        self.taken: set[str] = set()

    def of(self, item: PendingTasks) -> Iterator[PreemptionOption]:
        """Return the machines on which room for the item can still be made, the best first."""
        spec = item.job.spec
        kept_from = self._exclusions.excluded_types(item.job.id)
        machines_without_image = self._exclusions.machines_without_image(item.job.id)
        kind = _Kind(
            shape=TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot),
            image=spec.image,
            priority=spec.priority,
            team=spec.team,
            guaranteed=item.guaranteed,
            excluded_types=kept_from,
            machines_without_image=machines_without_image,
        )
        found = self._known.get(kind)
        if found is None:
            open_to = [
                capacity
                for capacity in self._capacities
                if self._may_clear(item, capacity.id)
                and capacity.machine_type not in kept_from
                and capacity.id not in machines_without_image
            ]
            found = self._known[kind] = preemption_policy.preemption_options(
                item, open_to, self._running
            )
        return (row for row in found if row[0].id not in self.taken)

    def _may_clear(self, item: PendingTasks, machine: str) -> bool:
        """Whether anything on a machine may be stopped for an item.

        `preemption_policy.may_preempt` for all that runs there at once.
        """
        spec = item.job.spec
        if self._lowest[machine] < spec.priority:
            return True
        return item.guaranteed and any(team != spec.team for team in self._beyond[machine])
