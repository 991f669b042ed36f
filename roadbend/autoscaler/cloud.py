"""The cloud's client. Nonsense counts as no answer."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from roadbend import clock
from roadbend.errors import RoadbendError
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.server import MalformedError
from roadbend.store.records import Resources
from roadbend.store.request_budget import SharedTokenBucket
from roadbend.wire_values import number, text

# Most names that one deletion takes, and most machines that one request hires.
MAX_NAMES = 100
MAX_HIRED = 50
# What goes first when calls are short; machines that must be gone don't wait at all.
HIRE, RETURN, CATALOG, LIST = range(4)


@dataclass(frozen=True)
class MachineType:
    """A machine type of the catalog."""

    name: str
    capacity: Resources
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    startup: timedelta
    zones: tuple[str, ...]

    def to_value(self) -> dict:
        return {
            "name": self.name,
            "vcpus": self.capacity.cpus,
            "gpus": self.capacity.gpus,
            "memoryGb": self.capacity.memory,
            "cacheGb": self.cache_gb,
            "pullGbPerS": self.fetch_gb_per_s,
            "price": self.price,
            "lowPrice": self.spot_price,
            "startupS": self.startup.total_seconds(),
            "yards": list(self.zones),
        }


def read_machine_types(rows: Any) -> dict[str, MachineType]:
    if not isinstance(rows, list):
        raise MalformedError("catalog: expected a list")
    machine_types = {}
    for row in rows:
        if not isinstance(row, dict) or not isinstance(row.get("yards"), list):
            raise MalformedError("catalog: expected maps with yards")
        machine_type = MachineType(
            text(row.get("name"), "name"),
            Resources(
                number(row.get("vcpus"), "vcpus"),
                number(row.get("gpus"), "gpus"),
                number(row.get("memoryGb"), "memoryGb"),
            ),
            number(row.get("cacheGb"), "cacheGb"),
            max(1e-6, number(row.get("pullGbPerS"), "pullGbPerS")),
            number(row.get("price"), "price"),
            number(row.get("lowPrice"), "lowPrice"),
            timedelta(seconds=min(86400.0, number(row.get("startupS"), "startupS"))),
            tuple(text(zone, "yards") for zone in row["yards"]),
        )
        machine_types[machine_type.name] = machine_type
    return machine_types


@dataclass(frozen=True)
class Listed:
    """A machine in the cloud's list."""

    id: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    status: str
    age: timedelta


class NoCapacityError(RoadbendError):
    """No such machine is to be had now."""


class CloudBusyError(RoadbendError):
    """Over the limit, the cloud is out, or the reason has passed: not executed."""


# Whether there is still reason for a call, asked right before it goes out: it may have waited for
# its turn, and the process may have stood still meanwhile while another controller took the
# partition over.
Still = Callable[[], bool]


class Cloud:
    """The cloud's interface, within its limit of calls."""

    def __init__(self, client: Client, rps: float, sharers: int):
        self._client = client
        self.sharers, self.rps = max(1, sharers), rps
        # Everyone has an equal share; what others say they don't use may be borrowed.
        self._bucket = SharedTokenBucket(rps * 0.9, self.sharers, 1.5)
        self._waiting = [0, 0, 0, 0]

    @property
    def used(self) -> float:
        return self._bucket.used

    def share(self, others: list[float]) -> None:
        self._bucket.measure()
        self._bucket.borrow(others)

    async def _turn(self, rank: int) -> None:
        self._waiting[rank] += 1
        try:
            while True:
                wait = self._bucket.wait(1)
                if wait <= clock.ZERO and not any(self._waiting[:rank]):
                    return
                await clock.pause(wait + timedelta(milliseconds=1 + 20 * rank))
        finally:
            self._waiting[rank] -= 1

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        rank: int = LIST,
        urgent: bool = False,
        still: Still | None = None,
    ) -> Any:
        if not urgent:
            await self._turn(rank)
        if still is not None and not still():
            raise CloudBusyError("no longer")
        self._bucket.spend(1)
        status, answer = await self._client.request(
            method, target, body, within=timedelta(seconds=5)
        )
        if status == 503 and isinstance(answer, dict) and answer.get("error") == "no capacity":
            raise NoCapacityError
        if status == 429:
            self._bucket.empty()
        if status in (429, 503):
            raise CloudBusyError(str(status))
        if status != 200:
            raise NoAnswerError(f"status {status}")
        return answer

    async def catalog(self) -> dict[str, MachineType]:
        answer = await self._call("GET", "/catalog", rank=CATALOG)
        try:
            machine_types = read_machine_types(
                answer.get("rigs") if isinstance(answer, dict) else None
            )
        except MalformedError as error:
            raise NoAnswerError(f"nonsense: {error}") from None
        if not machine_types:
            raise NoAnswerError("nonsense: empty catalog")
        return machine_types

    async def rent(
        self,
        name: str,
        machine_type: str,
        zone: str,
        spot: bool,
        count: int,
        still: Still | None = None,
    ) -> list[str]:
        body = {"hire": name, "rig": machine_type, "yard": zone, "loaners": spot, "howMany": count}
        answer = await self._call("POST", "/machines", body, rank=HIRE, still=still)
        rows = answer.get("hitches") if isinstance(answer, dict) else None
        if not isinstance(rows, list) or not all(isinstance(row, str) for row in rows):
            raise NoAnswerError("nonsense: hire")
        return rows

    async def delete(
        self, names: list[str], urgent: bool = False, still: Still | None = None
    ) -> None:
        """Returns when all of them are gone; where it raises, none is proven gone."""
        for at in range(0, len(names), MAX_NAMES):
            body = {"hitches": names[at : at + MAX_NAMES]}
            await self._call(
                "POST", "/machines/delete", body, rank=RETURN, urgent=urgent, still=still
            )

    def list_pause(self, machines: int) -> timedelta:
        """How often the list is read, of several pages at every controller: for a quarter of the
        calls."""
        pages = 1 + machines // 500
        return timedelta(seconds=max(4.0, pages * self.sharers / (0.25 * self.rps)))

    async def machines(self) -> list[Listed]:
        rows, after = [], ""
        while True:
            target = "/machines?most=500" + (f"&after={after}" if after else "")
            answer = await self._call("GET", target)
            page = answer.get("hitches") if isinstance(answer, dict) else None
            if not isinstance(page, list):
                raise NoAnswerError("nonsense: machines")
            try:
                for row in page:
                    rows.append(
                        Listed(
                            text(row["id"], "id"),
                            str(row.get("address") or ""),
                            text(row["rig"], "rig"),
                            text(row["yard"], "yard"),
                            row.get("loaners") is True,
                            text(row["status"], "status"),
                            timedelta(seconds=number(row["ageS"], "ageS")),
                        )
                    )
            except (MalformedError, KeyError, TypeError, AttributeError) as error:
                raise NoAnswerError(f"nonsense: {error}") from None
            if not answer.get("more") or not page:
                return rows
            after = rows[-1].id
