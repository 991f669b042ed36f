"""Messages between controllers and the cloud: types, strict parsing, and encoding for the wire.

The only module of this package that knows the field names of the cloud's interface
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

# Boot times of a machine type are capped at a day; a longer one carries no information.
MAX_STARTUP_SECONDS = 86_400.0
# Lower bound for fetch rates, in GB per second, below which a fetch would never finish.
MIN_FETCH_GB_PER_S = 1e-6
# Machines on one page of the list; the maximum that the cloud permits.
LIST_PAGE_SIZE = 500
# The cloud's field for the price of a spot machine, which changes all the time.
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
        """Return the machine type in the form of the cloud's catalog."""
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
    """A machine type, on demand or spot; each kind has its own available capacity in a zone."""

    machine_type: str
    spot: bool


class MachineStatus(StrEnum):
    """Status of a listed machine; unknown statuses that the cloud sends stay strings."""

    BOOTING = "booting"
    RUNNING = "running"
    # Stopped by itself: no longer charged, and listed until it is deleted.
    FAILED = "failed"


_STATUSES: dict[str, MachineStatus] = {status.value: status for status in MachineStatus}


@dataclass(frozen=True)
class ListedMachine:
    """A machine in the cloud's list. `age`: time since its request, when the list was made."""

    id: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    status: MachineStatus | str
    age: timedelta


class ListPage(NamedTuple):
    """A page of the cloud's list, sorted by the creation of the machines."""

    machines: list[ListedMachine]
    has_more: bool


@dataclass(frozen=True)
class CreationRequest:
    """A request for machines of one kind.

    `name` is an idempotency key: the cloud answers a repeated name as it did the first time and
    creates nothing. A name is therefore never used for another request.
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
    """Return the body of a request to delete machines."""
    return {"hitches": machines}


def catalog_value(machine_types: Iterable[MachineType]) -> list[dict[str, Any]]:
    """Return a catalog in the form that `read_machine_types` reads."""
    return [machine_type.to_value() for machine_type in machine_types]


def is_same_but_for_spot_prices(one: list[dict[str, Any]], other: list[dict[str, Any]]) -> bool:
    """Return whether two catalogs differ in nothing but the prices of spot machines."""

    def without_spot_prices(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
        return [{k: v for k, v in row.items() if k != _SPOT_PRICE_KEY} for row in rows]

    return without_spot_prices(one) == without_spot_prices(other)


def read_catalog(answer: Any) -> dict[str, MachineType]:
    """Parse the cloud's response to a request for its catalog; raise MalformedError."""
    machine_types = read_machine_types(answer.get("rigs") if isinstance(answer, dict) else None)
    if not machine_types:
        raise MalformedError("empty catalog")
    return machine_types


def read_machine_types(rows: Any) -> dict[str, MachineType]:
    """Parse the machine types of a catalog, by name; raise MalformedError."""
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
    """Parse the ids of the machines that a request created; raise MalformedError."""
    ids = answer.get("hitches") if isinstance(answer, dict) else None
    if not isinstance(ids, list) or not all(isinstance(name, str) for name in ids):
        raise MalformedError("hitches: expected a list of ids")
    return ids


def read_list_page(answer: Any) -> ListPage:
    """Parse a page of the list of machines; raise MalformedError."""
    rows = answer.get("hitches") if isinstance(answer, dict) else None
    if not isinstance(rows, list):
        raise MalformedError("hitches: expected a list")
    return ListPage([_read_listed_machine(row) for row in rows], bool(answer.get("more")))


def _read_listed_machine(row: Any) -> ListedMachine:
    if not isinstance(row, dict):
        raise MalformedError("hitches: expected maps")
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
