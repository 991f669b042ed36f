"""The cloud's fake: a catalog, capacity, and machines that boot and whose workers then run."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import trio

from roadbend.http.server import Request, Response, decode

# The most machines that one answer lists.
MOST_PER_PAGE = 500


@dataclass
class Rented:
    """A machine of the fake cloud, and the scopes that end it or its present incarnation."""

    id: str
    machine_type: str
    zone: str
    spot: bool
    since: float
    status: str = "booting"
    worker: Any = None
    scope: trio.CancelScope | None = None
    incarnation: trio.CancelScope | None = None


class FakeCloud:
    """The cloud in memory: its catalog, creation and deletion of machines, and their list."""

    def __init__(
        self,
        nursery: trio.Nursery,
        machine_types: list[dict],
        capacity: int,
        make: Callable[..., Any],
    ):
        """Make an empty cloud.

        `capacity`: how many machines there are of each type, zone and kind. `make(machine id, type,
        zone, spot)` gives a worker with a `run` method and an `address`.
        """
        self._nursery, self._machine_types, self._capacity, self._make = (
            nursery,
            machine_types,
            capacity,
            make,
        )
        self.machines: dict[str, Rented] = {}
        self._hires: dict[str, list[str]] = {}
        self._count = 0
        self.down = False
        self.refuse_deletion = False
        # Zones in which there is no machine to be had.
        self.unavailable_zones: set[str] = set()
        self.creation_ids: list[str] = []
        self.requests = 0
        # How long a boot takes, whatever the type says; None: as the type says.
        self.boot_seconds: float | None = None

    def _boot_s(self, machine_type: str) -> float:
        if self.boot_seconds is not None:
            return self.boot_seconds
        return next(row["startupS"] for row in self._machine_types if row["name"] == machine_type)

    async def _boot(self, machine: Rented) -> None:
        with trio.CancelScope() as machine.scope:
            await trio.sleep(self._boot_s(machine.machine_type))
            machine.status = "running"
            while True:
                machine.worker = self._make(
                    machine.id, machine.machine_type, machine.zone, machine.spot
                )
                with trio.CancelScope() as machine.incarnation:
                    await machine.worker.run()

    def reboot(self, name: str) -> None:
        """Stop a machine; it is back at once, holding nothing, and its counts begin anew."""
        self.machines[name].incarnation.cancel()

    def kill(self, name: str) -> None:
        """Let a machine die with all that is on it."""
        machine = self.machines[name]
        machine.status = "failed"
        machine.scope.cancel()

    async def handle(self, request: Request, host: str = "") -> Response:
        """Answer a request."""
        self.requests += 1
        await trio.sleep(0.05)
        if self.down:
            return Response(503, {"error": "trouble"})
        if request.path == "/catalog":
            return Response(200, {"rigs": self._machine_types})
        if request.path == "/machines" and request.method == "POST":
            return self._rent(decode(request.body))
        if request.path == "/machines/delete":
            return self._delete(decode(request.body)["hitches"])
        if request.path == "/machines":
            query = {k: v[0] for k, v in parse_qs(request.query).items()}
            return self._list(query.get("after", ""))
        return Response(404, {"error": "no such path"})

    def _delete(self, names: list[str]) -> Response:
        if self.refuse_deletion:
            return Response(503, {"error": "trouble"})
        for name in names:
            machine = self.machines.pop(name, None)
            if machine is not None and machine.scope is not None:
                machine.scope.cancel()
        return Response(200, {})

    def _list(self, after: str) -> Response:
        """List machines in the order of their names, a page at a time."""
        rows = [m for name, m in sorted(self.machines.items()) if name > after]
        now = trio.current_time()
        listed = [
            {
                "id": m.id,
                "address": m.worker.address if m.worker else "",
                "rig": m.machine_type,
                "yard": m.zone,
                "loaners": m.spot,
                "status": m.status,
                "ageS": now - m.since,
            }
            for m in rows[:MOST_PER_PAGE]
        ]
        return Response(200, {"hitches": listed, "more": len(rows) > MOST_PER_PAGE})

    def _rent(self, body: dict) -> Response:
        name = body["hire"]
        if name in self._hires:
            return Response(200, {"hitches": self._hires[name]})
        alike = sum(
            1
            for m in self.machines.values()
            if (m.machine_type, m.zone, m.spot) == (body["rig"], body["yard"], body["loaners"])
            and m.status != "failed"
        )
        free = 0 if body["yard"] in self.unavailable_zones else self._capacity - alike
        if free <= 0:
            return Response(503, {"error": "no capacity"})
        got = []
        for _ in range(min(free, body["howMany"])):
            machine = Rented(
                f"m-{self._count:06d}",
                body["rig"],
                body["yard"],
                body["loaners"],
                trio.current_time(),
            )
            self._count += 1
            self.machines[machine.id] = machine
            self._nursery.start_soon(self._boot, machine)
            got.append(machine.id)
        self._hires[name] = got
        self.creation_ids.append(name)
        return Response(200, {"hitches": got})
