"""Messages between controllers and the cloud: typed, with strict reading and their wire form.

The only module of this package that knows the names that the cloud's interface uses
(PROTOCOL-roadbend.md, "Controller nodes -> cloud"). Everything else works with the types below.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from roadbend.http.server import MalformedError
from roadbend.store.records import Resources
from roadbend.wire_values import number, text

# A machine type's boot time of more than a day says nothing.
MAX_STARTUP_SECONDS = 86_400.0
# Fetch rates below this, in GB per second, would make every fetch take for ever.
MIN_FETCH_GB_PER_S = 1e-6
# Machines on one page of the list, the most that the cloud gives.
LIST_PAGE_SIZE = 500
# What the cloud calls the prices of spot machines; they change all the time.
_SPOT_PRICE_KEY = "lowPrice"


@dataclass(frozen=True)
class MachineType:
    """A machine type of the catalog. Prices are per hour, memory and cache are in GB."""

    name: str
    capacity: Resources
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    # How long a machine usually takes to boot.
    startup: timedelta
    zones: tuple[str, ...]

    def to_value(self) -> dict[str, Any]:
        """Return the machine type as the catalog states it."""
        return {
            "name": self.name,
            "vcpus": self.capacity.cpus,
            "gpus": self.capacity.gpus,
            "memoryGb": self.capacity.memory,
            "cacheGb": self.cache_gb,
            "pullGbPerS": self.fetch_gb_per_s,
            "price": self.price,
            _SPOT_PRICE_KEY: self.spot_price,
            "startupS": self.startup.total_seconds(),
            "yards": list(self.zones),
        }


class MachineKind(NamedTuple):
    """A machine type, as spot machines or not: each has capacity of its own in a zone."""

    machine_type: str
    spot: bool


class MachineStatus(StrEnum):
    """Status of a listed machine; the cloud may send others, which stay plain text."""

    BOOTING = "booting"
    RUNNING = "running"
    # Stopped on its own: no longer charged, and listed until it is deleted.
    FAILED = "failed"


_STATUSES: dict[str, MachineStatus] = {status.value: status for status in MachineStatus}


@dataclass(frozen=True)
class ListedMachine:
    """A machine in the cloud's list. `age` is since it was asked for, when the list was made."""

    id: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    status: MachineStatus | str
    age: timedelta


class ListPage(NamedTuple):
    """A page of the cloud's list, in the order in which the machines were created."""

    machines: list[ListedMachine]
    has_more: bool


@dataclass(frozen=True)
class CreationRequest:
    """A request for machines of one kind.

    The cloud answers a repeated `name` as it did the first time and creates nothing, so a name is
    never used for another request.
    """

    name: str
    kind: MachineKind
    zone: str
    count: int

    def to_value(self) -> dict[str, Any]:
        """Return the request's body."""
        return {
            "hire": self.name,
            "rig": self.kind.machine_type,
            "yard": self.zone,
            "loaners": self.kind.spot,
            "howMany": self.count,
        }


def deletion_value(machines: list[str]) -> dict[str, Any]:
    """Return the body of a request that deletes machines."""
    return {"hitches": machines}


def catalog_value(machine_types: Iterable[MachineType]) -> list[dict[str, Any]]:
    """Return a catalog in the form that `read_machine_types` reads."""
    return [machine_type.to_value() for machine_type in machine_types]


def is_same_but_for_spot_prices(one: list[dict[str, Any]], other: list[dict[str, Any]]) -> bool:
    """Return whether two catalogs differ in nothing but the prices of spot machines."""

    def lasting(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        return [{k: v for k, v in row.items() if k != _SPOT_PRICE_KEY} for row in rows]

    return lasting(one) == lasting(other)


def read_catalog(answer: Any) -> dict[str, MachineType]:
    """Read the cloud's answer to a question for its catalog; raise MalformedError."""
    machine_types = read_machine_types(answer.get("rigs") if isinstance(answer, dict) else None)
    if not machine_types:
        raise MalformedError("empty catalog")
    return machine_types


def read_machine_types(rows: Any) -> dict[str, MachineType]:
    """Read the machine types of a catalog, by name; raise MalformedError."""
    if not isinstance(rows, list):
        raise MalformedError("catalog: expected a list")
    machine_types = [_read_machine_type(row) for row in rows]
    return {machine_type.name: machine_type for machine_type in machine_types}


def _read_machine_type(row: Any) -> MachineType:
    if not isinstance(row, dict) or not isinstance(row.get("yards"), list):
        raise MalformedError("catalog: expected maps with yards")
    fetch_gb_per_s = number(row.get("pullGbPerS"), "pullGbPerS")
    startup_seconds = number(row.get("startupS"), "startupS")
    return MachineType(
        name=text(row.get("name"), "name"),
        capacity=Resources(
            number(row.get("vcpus"), "vcpus"),
            number(row.get("gpus"), "gpus"),
            number(row.get("memoryGb"), "memoryGb"),
        ),
        cache_gb=number(row.get("cacheGb"), "cacheGb"),
        fetch_gb_per_s=max(MIN_FETCH_GB_PER_S, fetch_gb_per_s),
        price=number(row.get("price"), "price"),
        spot_price=number(row.get(_SPOT_PRICE_KEY), _SPOT_PRICE_KEY),
        startup=timedelta(seconds=min(MAX_STARTUP_SECONDS, startup_seconds)),
        zones=tuple(text(zone, "yards") for zone in row["yards"]),
    )


def read_created(answer: Any) -> list[str]:
    """Read the ids of the machines that a request created; raise MalformedError."""
    ids = answer.get("hitches") if isinstance(answer, dict) else None
    if not isinstance(ids, list) or not all(isinstance(name, str) for name in ids):
        raise MalformedError("hire")
    return ids


def read_list_page(answer: Any) -> ListPage:
    """Read a page of the list of machines; raise MalformedError."""
    rows = answer.get("hitches") if isinstance(answer, dict) else None
    if not isinstance(rows, list):
        raise MalformedError("machines")
    return ListPage([_read_listed_machine(row) for row in rows], bool(answer.get("more")))


def _read_listed_machine(row: Any) -> ListedMachine:
    if not isinstance(row, dict):
        raise MalformedError("machines: expected maps")
    status = text(row.get("status"), "status")
    return ListedMachine(
        id=text(row.get("id"), "id"),
        address=str(row.get("address") or ""),
        machine_type=text(row.get("rig"), "rig"),
        zone=text(row.get("yard"), "yard"),
        spot=row.get("loaners") is True,
        status=_STATUSES.get(status, status),
        age=timedelta(seconds=number(row.get("ageS"), "ageS")),
    )
