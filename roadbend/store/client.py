"""The state store's client, and `commit`, which retries a transaction up to a definite answer."""

import random
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Any

from roadbend import clock
from roadbend.http.client import Client, NoAnswerError
from roadbend.retry import Backoff
from roadbend.store import messages
from roadbend.store.errors import (
    ConflictError,
    LeaseEndedError,
    Operation,
    RefusedError,
    TooLargeError,
    UnavailableError,
)
from roadbend.store.messages import (
    Answer,
    Change,
    ChangeLog,
    CompareAndSwap,
    Delete,
    Listing,
    Put,
    StoredRecord,
    VersionedValue,
)
from roadbend.store.request_budget import RequestBudget

__all__ = [
    "Change",
    "ConflictError",
    "LeaseEndedError",
    "RefusedError",
    "StateStoreClient",
    "TooLargeError",
    "UnavailableError",
    "commit",
    "delete",
    "put",
]

REQUEST_TIMEOUT = timedelta(seconds=1.5)
# Characters of an answer that an error message includes.
SHOWN_CHARACTERS = 120
# Backoff between tries of one transaction.
FIRST_WAIT, LONGEST_WAIT = timedelta(milliseconds=40), timedelta(milliseconds=500)


class StateStoreClient:
    """A client of the state store.

    Every request may raise RefusedError, which means that it was not carried out, and
    NoAnswerError, which means that the outcome is unknown. Requests that are not urgent wait until
    the request budget permits them.
    """

    def __init__(
        self,
        client: Client,
        budget: RequestBudget,
        within: timedelta = REQUEST_TIMEOUT,
        rng: random.Random | None = None,
    ) -> None:
        """Create a client; `within` is the timeout of a request."""
        self.rng = rng or random.Random()
        self._client = client
        self._budget = budget
        self._within = within

    async def wait_until_ready(self) -> None:
        """Wait until the budget permits a change without delay."""
        await self._budget.wait_until_ready()

    async def get(self, key: str) -> VersionedValue | None:
        """Read one key; None if there is no such key.

        The request is urgent: a user who queries a job that has ended waits for it.
        """
        answer = await self._request(
            Operation.GET, "GET", messages.key_target(key), keys=(key,), urgent=True
        )
        return messages.read_value(answer)

    async def read_all(self, prefix: str) -> Listing:
        """List all keys with a prefix.

        The revision is that of the first page, so that following the change log from there misses
        no change.
        """
        records: list[StoredRecord] = []
        after, revision = "", None
        while True:
            target = messages.list_target(prefix, after)
            answer = await self._request(Operation.LIST, "GET", target, keys=(prefix,))
            page, more = messages.read_page(answer)
            if revision is None:
                revision = messages.read_revision(answer)
            records += page
            if not more:
                return Listing(records, revision)
            after = records[-1].key

    async def follow(self, prefix: str, after: int) -> ChangeLog | None:
        """Read the changes after a revision; None if the change log has been compacted past it."""
        target = messages.follow_target(prefix, after)
        answer = await self._request(Operation.FOLLOW, "GET", target, keys=(prefix,), urgent=True)
        return messages.read_change_log(answer)

    async def compare_and_swap(
        self, conditions: Mapping[str, int], changes: Sequence[Change], *, urgent: bool = False
    ) -> int:
        """Apply changes if all conditions (mod revisions by key) hold; return the revision.

        Raises ConflictError, LeaseEndedError or TooLargeError if certainly nothing was changed.
        """
        transaction = CompareAndSwap.of(conditions, changes)
        answer = await self._request(
            Operation.COMPARE_AND_SWAP,
            "POST",
            messages.COMPARE_AND_SWAP_TARGET,
            transaction.to_map(),
            keys=transaction.keys,
            writes=len(changes),
            urgent=urgent,
        )
        return _read_revision_or_raise(answer)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease, which expires unless it is renewed within `ttl`; return its id."""
        answer = await self._request(
            Operation.GRANT_LEASE,
            "POST",
            messages.LEASES_TARGET,
            messages.lease_request(ttl),
            urgent=True,
        )
        return messages.read_lease(answer)

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raises LeaseEndedError if it has expired."""
        answer = await self._request(
            Operation.RENEW_LEASE, "POST", messages.renew_target(lease_id), {}, urgent=True
        )
        if answer.status == messages.NOT_FOUND:
            raise LeaseEndedError("the lease to renew has expired", Operation.RENEW_LEASE)
        if answer.status != messages.OK:
            raise answer.malformed(str(answer.status))

    async def _request(
        self,
        operation: Operation,
        method: str,
        target: str,
        body: Any = None,
        *,
        keys: tuple[str, ...] = (),
        writes: int = 0,
        urgent: bool = False,
    ) -> Answer:
        """Send a request as soon as the budget permits it."""
        await self._budget.take(writes, urgent=urgent)
        status, answer = await self._client.request(method, target, body, within=self._within)
        if status == messages.TOO_MANY_REQUESTS:
            self._budget.throttle(writing=writes > 0)
        if status in (messages.TOO_MANY_REQUESTS, messages.UNAVAILABLE):
            raise RefusedError(str(status), operation, keys)
        return Answer(operation, keys, status, answer)


def _read_revision_or_raise(answer: Answer) -> int:
    """Return the revision at which a transaction was applied; raise an error if it was not."""
    if answer.status == messages.OK and isinstance(answer.body, dict):
        return messages.read_revision(answer)
    if answer.status == messages.CONFLICT and isinstance(answer.body, dict):
        raise ConflictError(messages.read_failed_keys(answer))
    if messages.is_lease_missing(answer):
        raise LeaseEndedError("a lease of the transaction expired", answer.operation, answer.keys)
    if answer.status == messages.BAD_REQUEST:
        # Our requests are well formed, so the only cause left is size: a value, or the whole
        # transaction, exceeds the state store's present limit.
        raise TooLargeError(str(answer.body)[:SHOWN_CHARACTERS], answer.operation, answer.keys)
    raise answer.malformed(f"{answer.status} {answer.body!r}"[:SHOWN_CHARACTERS])


def put(key: str, value: Any, lease_id: int | None = None) -> Change:
    """Return the change that writes a key; with a lease, the key is deleted when that expires."""
    return Put(key, value, lease_id)


def delete(key: str) -> Change:
    """Return the change that deletes a key."""
    return Delete(key)


async def commit(
    state: StateStoreClient,
    conditions: Mapping[str, int],
    changes: Sequence[Change],
    *,
    within: timedelta,
    urgent: bool = False,
) -> int:
    """Retry one transaction until the answer is definite; return the revision.

    The conditions make retries safe: once the transaction has been applied they no longer hold.
    A ConflictError after a try without an answer may therefore be caused by our own success; a
    caller that gets one must read the records again before it goes on.

    Raises ConflictError, LeaseEndedError or TooLargeError if the transaction was definitely not
    applied, and UnavailableError if there is no definite answer in time.
    """
    deadline = clock.now() + within
    waits = Backoff(FIRST_WAIT, LONGEST_WAIT, state.rng)
    while True:
        try:
            return await state.compare_and_swap(conditions, changes, urgent=urgent)
        except (RefusedError, NoAnswerError) as error:
            wait = waits.next_wait()
            if clock.now() + wait >= deadline:
                keys = tuple(change.key for change in changes)
                raise UnavailableError(str(error), Operation.COMPARE_AND_SWAP, keys) from None
        await clock.pause(wait)
