"""Client for the cloud's interface, within the limit on requests.

A response that violates the protocol counts as no response.
"""

from collections.abc import Callable
from datetime import timedelta
from enum import IntEnum
from typing import Any, TypeVar

from roadbend import clock
from roadbend.cloud.messages import (
    LIST_PAGE_SIZE,
    CreationRequest,
    ListedMachine,
    MachineType,
    deletion_value,
    read_catalog,
    read_created,
    read_list_page,
)
from roadbend.errors import RetryableError
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.server import MalformedError
from roadbend.store.request_budget import SharedTokenBucket

# Machines per request.
MAX_DELETIONS = 100
MAX_CREATIONS = 50
REQUEST_TIMEOUT = timedelta(seconds=5)
# The share of the cloud's limit that all controllers use together, and the length of a burst: the
# tokens of this many seconds may be spent at once.
USED_SHARE_OF_LIMIT = 0.9
BURST_SECONDS = 1.5
# The share of the requests that reading the list may take, and the shortest interval between reads.
LIST_SHARE = 0.25
MIN_LIST_INTERVAL_SECONDS = 4.0
# The shortest wait between two attempts of a request to proceed, and the extra wait per step of
# lower priority.
TURN_WAIT = timedelta(milliseconds=1)
TURN_WAIT_PER_PRIORITY = timedelta(milliseconds=20)

HTTP_OK, HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE = 200, 429, 503

Message = TypeVar("Message")


class RequestPriority(IntEnum):
    """The order of requests that wait for the limit, most important first.

    Urgent deletions, which fence machines, don't wait at all.
    """

    CREATE = 0
    DELETE = 1
    CATALOG = 2
    LIST = 3


class NoCapacityError(RetryableError):
    """The cloud currently has no capacity for the machine kind in the zone."""


class CloudBusyError(RetryableError):
    """Not executed: over the limit, cloud unavailable, or the precondition no longer held."""


# Called right before a request is sent; returns whether the request is still justified. It may have
# waited for the limit, or the process may have paused, while another controller acquired the
# partition.
Precondition = Callable[[], bool]


class Cloud:
    """The cloud's interface, within this controller's share of the limit on requests."""

    def __init__(self, client: Client, rps: float, sharers: int) -> None:
        """Divide `rps` requests per second among `sharers` controllers."""
        self._client = client
        self._sharers, self._rps = max(1, sharers), rps
        # All controllers have equal shares, and may borrow what others report as unused.
        self._bucket = SharedTokenBucket(rps * USED_SHARE_OF_LIMIT, self._sharers, BURST_SECONDS)
        self._waiting = [0] * len(RequestPriority)

    @property
    def used(self) -> float:
        """Requests per second that this controller uses."""
        return self._bucket.used

    def borrow(self, others: list[float]) -> None:
        """Borrow the unused parts of other controllers' shares, given the rate that each uses."""
        self._bucket.measure()
        self._bucket.borrow(others)

    async def read_catalog(self) -> dict[str, MachineType]:
        """Return the machine types by name, at the current prices.

        Raises NoAnswerError and CloudBusyError.
        """
        answer = await self._request("GET", "/catalog", priority=RequestPriority.CATALOG)
        return _read(read_catalog, answer)

    async def create_machines(
        self, request: CreationRequest, precondition: Precondition | None = None
    ) -> list[str]:
        """Create at most the requested number of machines; return their ids.

        Raises NoCapacityError if none can be created, CloudBusyError if the request was not
        executed, and NoAnswerError if it may have been: repeating it returns the machines that it
        created.
        """
        answer = await self._request(
            "POST",
            "/machines",
            request.to_value(),
            priority=RequestPriority.CREATE,
            precondition=precondition,
        )
        return _read(read_created, answer)

    async def delete_machines(
        self, ids: list[str], urgent: bool = False, precondition: Precondition | None = None
    ) -> None:
        """Delete machines; return when all of them are deleted.

        If it raises NoAnswerError or CloudBusyError, none of them is certainly deleted.
        """
        for first in range(0, len(ids), MAX_DELETIONS):
            await self._request(
                "POST",
                "/machines/delete",
                deletion_value(ids[first : first + MAX_DELETIONS]),
                priority=RequestPriority.DELETE,
                urgent=urgent,
                precondition=precondition,
            )

    async def list_machines(self) -> list[ListedMachine]:
        """Return all machines that the cloud lists. Raises NoAnswerError and CloudBusyError."""
        machines: list[ListedMachine] = []
        target = f"/machines?most={LIST_PAGE_SIZE}"
        while True:
            after = f"&after={machines[-1].id}" if machines else ""
            page = _read(read_list_page, await self._request("GET", target + after))
            machines += page.machines
            if not page.has_more or not page.machines:
                return machines

    def list_interval(self, machines: int) -> timedelta:
        """Return the interval at which the list of so many machines is read.

        All controllers read all pages; together they use the list's share of the requests.
        """
        pages = 1 + machines // LIST_PAGE_SIZE
        interval = pages * self._sharers / (LIST_SHARE * self._rps)
        return timedelta(seconds=max(MIN_LIST_INTERVAL_SECONDS, interval))

    async def _request(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        priority: RequestPriority = RequestPriority.LIST,
        urgent: bool = False,
        precondition: Precondition | None = None,
    ) -> Any:
        if not urgent:
            await self._wait_for_turn(priority)
        if precondition is not None and not precondition():
            raise CloudBusyError("precondition no longer holds")
        self._bucket.spend(1)
        status, answer = await self._client.request(method, target, body, within=REQUEST_TIMEOUT)
        if status == HTTP_OK:
            return answer
        if (
            status == HTTP_UNAVAILABLE
            and isinstance(answer, dict)
            and answer.get("error") == "no capacity"
        ):
            raise NoCapacityError
        if status == HTTP_TOO_MANY_REQUESTS:
            self._bucket.empty()
        if status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE):
            raise CloudBusyError(str(status))
        raise NoAnswerError(f"status {status}")

    async def _wait_for_turn(self, priority: RequestPriority) -> None:
        """Wait until the limit permits a request and none of higher priority is waiting."""
        self._waiting[priority] += 1
        try:
            while True:
                wait = self._bucket.wait(1)
                if wait <= clock.ZERO and not any(self._waiting[:priority]):
                    return
                await clock.pause(wait + TURN_WAIT + TURN_WAIT_PER_PRIORITY * priority)
        finally:
            self._waiting[priority] -= 1


def _read(reader: Callable[[Any], Message], answer: Any) -> Message:
    try:
        return reader(answer)
    except MalformedError as error:
        raise NoAnswerError(f"malformed response: {error}") from None
