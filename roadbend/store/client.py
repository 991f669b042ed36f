"""The state service's client. Refused means certainly not carried out; NoAnswer means nobody
knows."""

import random
from datetime import timedelta
from typing import Any
from urllib.parse import quote

from roadbend import clock
from roadbend.errors import PermanentError, RetryableError, UnknownOutcomeError
from roadbend.http.client import Client, NoAnswerError
from roadbend.retry import Backoff
from roadbend.store.request_budget import RequestBudget


class RefusedError(RetryableError):
    """Not executed: an outage, or over the limits."""


class LeaseEndedError(PermanentError):
    """The lease has ended."""


class ConflictError(PermanentError):
    """A condition of the transaction does not hold."""

    def __init__(self, failed: list[str]):
        super().__init__(",".join(failed))
        self.failed = failed


def _whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise NoAnswerError("nonsense: not a whole number")
    return value


class StateStoreClient:
    """The interface of the state service."""

    def __init__(
        self,
        client: Client,
        budget: RequestBudget,
        within: timedelta = timedelta(seconds=1.5),
        rng: random.Random | None = None,
    ):
        self._client = client
        self.rng = rng or random.Random()
        self._budget = budget
        self._within = within

    async def ready(self) -> None:
        """Until the budget would let a change go out at once."""
        await self._budget.ready()

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        writes: int = 0,
        urgent: bool = False,
        first: bool = False,
    ):
        await self._budget.take(writes, urgent, first)
        status, answer = await self._client.request(method, target, body, within=self._within)
        if status == 429:
            self._budget.push_back(writes > 0)
            raise RefusedError("429")
        if status == 503:
            raise RefusedError("503")
        return status, answer

    async def get(self, key: str) -> tuple[Any, int] | None:
        # Somebody waits for it: a user asks after a job that is over.
        status, answer = await self._call("GET", f"/keys/{quote(key, safe='/%')}", urgent=True)
        if status == 404:
            return None
        if status != 200 or not isinstance(answer, dict) or "value" not in answer:
            raise NoAnswerError(f"nonsense: {status}")
        return answer["value"], _whole(answer.get("stamp"))

    async def read_all(self, prefix: str) -> tuple[list[tuple[str, Any, int]], int]:
        """All of it, and the revision from which to follow (the first page's, so nothing is
        missed)."""
        rows, after, revision = [], "", None
        while True:
            target = f"/keys?starts={quote(prefix, safe='')}&most=500"
            if after:
                target += f"&after={quote(after, safe='')}"
            status, answer = await self._call("GET", target)
            if (
                status != 200
                or not isinstance(answer, dict)
                or not isinstance(answer.get("entries"), list)
            ):
                raise NoAnswerError(f"nonsense: {status}")
            if revision is None:
                revision = _whole(answer.get("ledger"))
            for row in answer["entries"]:
                if not isinstance(row, dict) or not isinstance(row.get("path"), str):
                    raise NoAnswerError("nonsense: entry")
                rows.append((row["path"], row.get("value"), _whole(row.get("stamp"))))
            if not answer.get("more"):
                return rows, revision
            if not answer["entries"]:
                raise NoAnswerError("nonsense: more of nothing")
            after = rows[-1][0]

    async def follow(self, prefix: str, after: int) -> tuple[list[dict], int] | None:
        """What changed after a revision; None when that revision is too old."""
        status, answer = await self._call(
            "GET", f"/follow?starts={quote(prefix, safe='')}&after={after}&holdMs=0", urgent=True
        )
        if status == 410:
            return None
        if status != 200 or not isinstance(answer, dict):
            raise NoAnswerError(f"nonsense: {status}")
        events = answer.get("log") or []
        if not isinstance(events, list) or not all(isinstance(e, dict) for e in events):
            raise NoAnswerError("nonsense: log")
        return events, _whole(answer.get("ledger"))

    async def compare_and_swap(
        self,
        conditions: dict[str, int],
        changes: list[dict],
        urgent: bool = False,
        first: bool = False,
    ) -> int:
        body = {"when": [{"path": k, "stamp": v} for k, v in conditions.items()], "apply": changes}
        status, answer = await self._call(
            "POST", "/multi", body, writes=len(changes), urgent=urgent, first=first
        )
        if status == 200 and isinstance(answer, dict):
            return _whole(answer.get("ledger"))
        if status == 409 and isinstance(answer, dict):
            raise ConflictError([str(k) for k in answer.get("failed") or []])
        if status == 400 and isinstance(answer, dict) and answer.get("error") == "no such lease":
            raise LeaseEndedError("write")
        if status == 400:
            # Nothing else that we send is malformed: a value, or the whole, is larger than the
            # service takes now.
            raise TooLargeError(str(answer)[:120])
        raise NoAnswerError(f"nonsense: {status} {answer!r}"[:200])

    async def lease(self, ttl: timedelta) -> int:
        status, answer = await self._call(
            "POST", "/leases", {"ttlMs": round(ttl.total_seconds() * 1000)}, urgent=True
        )
        if status != 200 or not isinstance(answer, dict):
            raise NoAnswerError(f"nonsense: {status}")
        return _whole(answer.get("permit"))

    async def renew(self, lease_id: int) -> None:
        status, _ = await self._call("POST", f"/leases/{lease_id}/renew", {}, urgent=True)
        if status == 404:
            raise LeaseEndedError("renew")
        if status != 200:
            raise NoAnswerError(f"nonsense: {status}")


def put(key: str, value: Any, lease_id: int | None = None) -> dict:
    row = {"write": key, "value": value}
    if lease_id is not None:
        row["permit"] = lease_id
    return row


def delete(key: str) -> dict:
    return {"delete": key}


class UnavailableError(UnknownOutcomeError):
    """The state service gave no definite answer in time."""


class TooLargeError(UnavailableError):
    """Certainly not carried out, and the same would not be later."""


async def commit(
    state: StateStoreClient,
    conditions: dict[str, int],
    changes: list[dict],
    *,
    within: timedelta,
    urgent: bool = False,
    first: bool = False,
) -> int:
    """Repeats one transaction until the answer is definite. Its conditions make that safe: once it
    has been applied they no longer hold. So a Conflict after an unanswered try may be our own
    success, and a caller that gets one always reads the records again before it goes on."""
    deadline = clock.now() + within
    waits = Backoff(timedelta(milliseconds=40), timedelta(milliseconds=500), state.rng)
    while True:
        try:
            return await state.compare_and_swap(conditions, changes, urgent, first)
        except (RefusedError, NoAnswerError) as error:
            wait = waits.next_wait()
            if clock.now() + wait >= deadline:
                raise UnavailableError(str(error)) from None
        await clock.pause(wait)
