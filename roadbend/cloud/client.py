"""The cloud's client, within its limit of requests.

An answer that is not what the protocol promises counts as no answer.
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

# Most machines that one request deletes, and that one creates.
MAX_DELETIONS = 100
MAX_CREATIONS = 50
REQUEST_TIMEOUT = timedelta(seconds=5)
# The share of the cloud's limit that all controllers use together, and the seconds' worth of their
# shares that may come in a burst.
USED_SHARE_OF_LIMIT = 0.9
BURST_SECONDS = 1.5
# The share of the requests that reading the list may take, and how often it is read at the most.
LIST_SHARE = 0.25
MIN_LIST_INTERVAL_SECONDS = 4.0
# How long a request waits for its turn at the least, and how much longer for each step of priority.
TURN_WAIT = timedelta(milliseconds=1)
TURN_WAIT_PER_PRIORITY = timedelta(milliseconds=20)

HTTP_OK, HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE = 200, 429, 503

Message = TypeVar("Message")


class RequestPriority(IntEnum):
    """What goes first when requests are short.

    Urgent deletions, of machines that must be gone, don't wait at all.
    """

    CREATE = 0
    DELETE = 1
    CATALOG = 2
    LIST = 3


class NoCapacityError(RetryableError):
    """The cloud has no machine of the kind in the zone now."""


class CloudBusyError(RetryableError):
    """Not executed: over the limit, the cloud is out, or the precondition no longer held."""


# Asked right before a request goes out, whether there is still reason for it: it may have waited
# for its turn, and the process may have paused meanwhile while another controller acquired the
# partition.
Precondition = Callable[[], bool]


class Cloud:
    """The cloud's interface, within this controller's share of the limit of requests."""

    def __init__(self, client: Client, rps: float, sharers: int) -> None:
        """Share `rps` requests per second among `sharers` controllers."""
        self._client = client
        self._sharers, self._rps = max(1, sharers), rps
        # Everyone has an equal share; what others say they don't use may be borrowed.
        self._bucket = SharedTokenBucket(rps * USED_SHARE_OF_LIMIT, self._sharers, BURST_SECONDS)
        self._waiting = [0] * len(RequestPriority)

    @property
    def used(self) -> float:
        """Requests per second that this controller uses."""
        return self._bucket.used

    def share(self, others: list[float]) -> None:
        """Borrow what other controllers, given what each of them uses, leave of their shares."""
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
        """Create up to as many machines as asked for; return their ids.

        Raises NoCapacityError if there are none, CloudBusyError if the request was not executed,
        and NoAnswerError if it may have been: repeating it tells which machines it created.
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
        """Delete machines; return when all of them are gone.

        Where it raises NoAnswerError or CloudBusyError, none is proven gone.
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
        """Return how often the list of so many machines is read.

        Each controller reads several pages: they take their share of the requests together.
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
            raise CloudBusyError("no longer")
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
        """Wait until the limit permits a request and no other of higher priority waits."""
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
        raise NoAnswerError(f"nonsense: {error}") from None
