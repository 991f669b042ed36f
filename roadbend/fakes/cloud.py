"""Fake of the cloud: a catalog, limited capacity, and machines that boot and run workers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import trio

from roadbend.http.server import Request, Response, decode

# How many machines one answer lists at most.
MAX_PAGE_SIZE = 500


@dataclass
class CloudMachine:
    """A machine of the fake cloud, and the scopes that cancel it or its current incarnation."""

    id: str
    machine_type: str
    zone: str
    spot: bool
    created_at: float
    status: str = "booting"
    worker: Any = None
    scope: trio.CancelScope | None = None
    incarnation: trio.CancelScope | None = None


class FakeCloud:
    """The cloud in memory: its catalog, and the creation, deletion and list of machines."""

    def __init__(
        self,
        nursery: trio.Nursery,
        machine_types: list[dict[str, Any]],
        capacity: int,
        make_worker: Callable[..., Any],
    ) -> None:
        """Create an empty cloud.

        `capacity`: how many machines there can be of each type and zone, on demand and spot each.
        `make_worker(machine id, type, zone, spot)` returns a worker with a `run` method and an
        `address`.
        """
        self._nursery, self._machine_types, self._capacity, self._make_worker = (
            nursery,
            machine_types,
            capacity,
            make_worker,
        )
        self.machines: dict[str, CloudMachine] = {}
        self._created_by_request: dict[str, list[str]] = {}
        self._count = 0
        self.down = False
        self.refuse_deletion = False
        # Zones in which no machine can be created.
        self.unavailable_zones: set[str] = set()
        # Ids of all creation requests that were carried out.
        self.creation_ids: list[str] = []
        self.requests = 0
        # How long a boot takes, in seconds; None: as the catalog says.
        self.boot_seconds: float | None = None

    def _boot_s(self, machine_type: str) -> float:
        if self.boot_seconds is not None:
            return self.boot_seconds
        rows = (row for row in self._machine_types if row["name"] == machine_type)
        return float(next(rows)["startupS"])

    async def _boot(self, machine: CloudMachine) -> None:
        with trio.CancelScope() as machine.scope:
            await trio.sleep(self._boot_s(machine.machine_type))
            machine.status = "running"
            while True:
                machine.worker = self._make_worker(
                    machine.id, machine.machine_type, machine.zone, machine.spot
                )
                with trio.CancelScope() as machine.incarnation:
                    await machine.worker.run()

    def reboot(self, name: str) -> None:
        """Restart a machine at once; it loses its tasks, and its counters start again."""
        incarnation = self.machines[name].incarnation
        assert incarnation is not None, "a machine restarts only while it runs"
        incarnation.cancel()

    def kill(self, name: str) -> None:
        """End a machine and all tasks on it; it is listed as failed."""
        machine = self.machines[name]
        machine.status = "failed"
        assert machine.scope is not None, "a machine boots as soon as it is created"
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
            return self._create(decode(request.body))
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
        """Return a page of machines, sorted by id."""
        remaining = [m for name, m in sorted(self.machines.items()) if name > after]
        now = trio.current_time()
        listed = [
            {
                "id": m.id,
                "address": m.worker.address if m.worker else "",
                "rig": m.machine_type,
                "yard": m.zone,
                "loaners": m.spot,
                "status": m.status,
                "ageS": now - m.created_at,
            }
            for m in remaining[:MAX_PAGE_SIZE]
        ]
        return Response(200, {"hitches": listed, "more": len(remaining) > MAX_PAGE_SIZE})

    def _create(self, body: dict[str, Any]) -> Response:
        creation_id = body["hire"]
        if creation_id in self._created_by_request:
            return Response(200, {"hitches": self._created_by_request[creation_id]})
        existing = sum(
            1
            for m in self.machines.values()
            if (m.machine_type, m.zone, m.spot) == (body["rig"], body["yard"], body["loaners"])
            and m.status != "failed"
        )
        free = 0 if body["yard"] in self.unavailable_zones else self._capacity - existing
        if free <= 0:
            return Response(503, {"error": "no capacity"})
        created = []
        for _ in range(min(free, body["howMany"])):
            machine = CloudMachine(
                f"m-{self._count:06d}",
                body["rig"],
                body["yard"],
                body["loaners"],
                trio.current_time(),
            )
            self._count += 1
            self.machines[machine.id] = machine
            self._nursery.start_soon(self._boot, machine)
            created.append(machine.id)
        self._created_by_request[creation_id] = created
        self.creation_ids.append(creation_id)
        return Response(200, {"hitches": created})
