"""Fake of the state store: keys, transactions, leases, and the change log."""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import trio

from roadbend.http.server import MalformedError, Request, Response, decode

# How many records one answer lists at most.
MAX_PAGE_SIZE = 1000


@dataclass(frozen=True)
class StateSnapshot:
    """The contents of the state store at one instant."""

    keys: dict[str, tuple[Any, int, int | None]]
    revision: int
    log: list[tuple[str, dict[str, Any]]]


class FakeStateService:
    """The state store in memory.

    Times are in seconds of `clock`; `value_bytes` and `txn_ops` limit values and transactions.
    """

    def __init__(
        self,
        clock: Callable[[], float] = trio.current_time,
        value_bytes: int = 32 * 1024,
        txn_ops: int = 16,
    ) -> None:
        self._now = clock
        self._limits = (value_bytes, txn_ops)
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: list[tuple[str, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 0
        self.down = False
        # Hosts that get 503 while others are served, and hosts whose answers to writes are lost.
        self.refused: set[str] = set()
        self.unanswered_hosts: set[str] = set()
        # Additional delay of every answer, in seconds.
        self.slow = 0.0
        # Share of transactions that are committed late and never answered, and the generator that
        # draws them.
        self._late_writes: tuple[float, random.Random] | None = None
        # Share of transactions that are committed at once and never answered, and the generator
        # that draws them.
        self._lost_answers: tuple[float, random.Random] | None = None
        self.answers_lost = 0
        self._delayed: list[tuple[float, dict[str, Any]]] = []
        self.late_statuses: list[int] = []
        self.requests = 0

    def set_limits(self, value_bytes: int, txn_ops: int) -> None:
        """Set other limits; stored records stay as they are."""
        self._limits = (value_bytes, txn_ops)

    def late_writes(self, share: float, rng: random.Random | None) -> None:
        """Commit this share of transactions late from now on, and never answer them."""
        self._late_writes = (share, rng) if share and rng is not None else None

    def lose_answers(self, share: float, rng: random.Random | None) -> None:
        """Commit this share of transactions at once from now on, and never answer them."""
        self._lost_answers = (share, rng) if share and rng is not None else None

    def _loses_answer(self, request: Request) -> bool:
        if self._lost_answers is None or request.path != "/multi":
            return False
        share, rng = self._lost_answers
        return rng.random() < share

    def _commit_delayed(self) -> None:
        due = sorted(
            (row for row in self._delayed if row[0] <= self._now()), key=lambda row: row[0]
        )
        self._delayed = [row for row in self._delayed if row[0] > self._now()]
        for _, body in due:
            try:
                self.late_statuses.append(self.compare_and_swap(body).status)
            except (KeyError, TypeError, ValueError):
                self.late_statuses.append(400)

    def _expire(self) -> None:
        for lease_id in [p for p, (_, end) in self.leases.items() if end <= self._now()]:
            self._end(lease_id)

    def _end(self, lease_id: int) -> None:
        del self.leases[lease_id]
        expired = [key for key, row in self.keys.items() if row[2] == lease_id]
        if expired:
            self.revision += 1
            for key in expired:
                del self.keys[key]
                self.log.append((key, {"delete": key, "stamp": self.revision}))

    def end_outage(self) -> None:
        """End an outage; every lease is renewed for its full time."""
        self.down = False
        self.leases = {p: (ttl, self._now() + ttl) for p, (ttl, _) in self.leases.items()}

    async def handle(self, request: Request, host: str = "") -> Response:
        """Answer a request of a host, unless an injected fault prevents that."""
        self.requests += 1
        await trio.sleep(0.003 + self.slow)
        self._commit_delayed()
        if self.down or host in self.refused:
            return Response(503, {"error": "trouble"})
        self._expire()
        if (
            self._late_writes is not None
            and request.path == "/multi"
            and self._late_writes[1].random() < self._late_writes[0]
        ):
            # As on a slow network path: the request gets no answer and is overtaken by newer ones.
            self._delayed.append(
                (self._now() + self._late_writes[1].uniform(2, 12), decode(request.body))
            )
            await trio.sleep(3600)
        try:
            response = self._answer(request)
        except (MalformedError, KeyError, TypeError, ValueError) as error:
            return Response(400, {"error": repr(error)})
        answer_lost = self._loses_answer(request)
        if answer_lost or (host in self.unanswered_hosts and request.path == "/multi"):
            # Committed, but never answered.
            self.answers_lost += answer_lost
            await trio.sleep(3600)
        return response

    def _answer(self, request: Request) -> Response:
        query = {k: v[0] for k, v in parse_qs(request.query, keep_blank_values=True).items()}
        path = request.path
        if path == "/keys":
            return self._page(query)
        if path.startswith("/keys/"):
            return self._read(unquote(path.removeprefix("/keys/")))
        if path == "/multi":
            return self.compare_and_swap(decode(request.body))
        if path == "/leases":
            return self._grant(decode(request.body)["ttlMs"] / 1000)
        if path.startswith("/leases/"):
            return self._renew_or_end(int(path.split("/")[2]), request.method == "DELETE")
        if path == "/follow":
            return self._changes_after(int(query["after"]), query["starts"])
        return Response(404, {"error": "no such path"})

    def _page(self, query: dict[str, str]) -> Response:
        """Return a page of records, sorted by key."""
        matching = sorted(
            k for k in self.keys if k.startswith(query["starts"]) and k > query.get("after", "")
        )
        limit = min(MAX_PAGE_SIZE, int(query.get("most", MAX_PAGE_SIZE)))
        page = [
            {"path": k, "value": self.keys[k][0], "stamp": self.keys[k][1]}
            for k in matching[:limit]
        ]
        return Response(
            200, {"entries": page, "more": len(matching) > limit, "ledger": self.revision}
        )

    def _read(self, key: str) -> Response:
        if key not in self.keys:
            return Response(404, {"ledger": self.revision})
        value, mod_revision, lease_id = self.keys[key]
        return Response(
            200, {"path": key, "value": value, "stamp": mod_revision, "permit": lease_id}
        )

    def _grant(self, ttl: float) -> Response:
        """Grant a lease of `ttl` seconds."""
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl, self._now() + ttl)
        return Response(200, {"permit": self._next_lease})

    def _renew_or_end(self, lease_id: int, end: bool) -> Response:
        if lease_id not in self.leases:
            return Response(404, {"error": "no such lease"})
        if end:
            self._end(lease_id)
        else:
            ttl = self.leases[lease_id][0]
            self.leases[lease_id] = (ttl, self._now() + ttl)
        return Response(200, {})

    def _changes_after(self, after: int, prefix: str) -> Response:
        """Return the changes since a revision of the keys that begin with `prefix`."""
        entries = [e for k, e in self.log if e["stamp"] > after and k.startswith(prefix)]
        return Response(200, {"ledger": self.revision, "log": entries})

    def compare_and_swap(self, body: dict[str, Any]) -> Response:
        """Commit a transaction if its conditions hold.

        Tests call this, too, to deliver a transaction late. Raises `ValueError` if it is too large.
        """
        changes = body.get("apply") or []
        if len(changes) > self._limits[1] or len(body.get("when") or []) > 4 * self._limits[1]:
            raise ValueError("too many changes or conditions")
        for row in changes:
            if (
                "write" in row
                and len(json.dumps(row["value"], separators=(",", ":"))) > self._limits[0]
            ):
                raise ValueError(f"too large: {row['write']}")
            if row.get("permit") is not None and row["permit"] not in self.leases:
                return Response(400, {"error": "no such lease"})
        failed = [
            w["path"]
            for w in body.get("when") or []
            if self.keys.get(w["path"], (0, 0))[1] != w["stamp"]
        ]
        if failed:
            return Response(409, {"failed": failed, "ledger": self.revision})
        if changes:
            self.revision += 1
        for row in changes:
            if "write" in row:
                key = row["write"]
                self.keys[key] = (row["value"], self.revision, row.get("permit"))
                self.log.append(
                    (key, {"write": key, "value": row["value"], "stamp": self.revision})
                )
            elif row["delete"] in self.keys:
                del self.keys[row["delete"]]
                self.log.append((row["delete"], {"delete": row["delete"], "stamp": self.revision}))
        return Response(200, {"ledger": self.revision})

    def take_snapshot(self) -> "StateSnapshot":
        """Return a snapshot of the records, for `restore_records`."""
        return StateSnapshot(dict(self.keys), self.revision, list(self.log))

    def restore_records(self, snapshot: "StateSnapshot") -> None:
        """Lose all writes since the snapshot, as after a restore from a backup.

        Records under a lease that has ended meanwhile are not restored.
        """
        self.revision, self.log = snapshot.revision, list(snapshot.log)
        self.keys = {
            key: row
            for key, row in snapshot.keys.items()
            if row[2] is None or row[2] in self.leases
        }

    def value(self, key: str) -> Any:
        """Return the value of a record, or None if it is missing."""
        return self.keys[key][0] if key in self.keys else None

    def values_with_prefix(self, prefix: str) -> dict[str, Any]:
        """Return the values of all records whose keys begin with `prefix`."""
        return {key: row[0] for key, row in self.keys.items() if key.startswith(prefix)}
