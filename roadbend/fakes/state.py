"""The state store's fake: keys, transactions, leases, the log."""

import json
import random
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import trio

from roadbend.http.server import MalformedError, Request, Response, decode

# The most records that one answer lists.
MOST_PER_PAGE = 1000


@dataclass(frozen=True)
class StoredCopy:
    """What the state store held at one instant."""

    keys: dict[str, tuple[Any, int, int | None]]
    revision: int
    log: list[tuple[str, dict]]


class FakeStateService:
    """The state store in memory.

    Times are in seconds of `clock`; `value_bytes` and `txn_ops` bound values and transactions.
    """

    def __init__(self, clock=trio.current_time, value_bytes: int = 32 * 1024, txn_ops: int = 16):
        self._now = clock
        self._most = (value_bytes, txn_ops)
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: list[tuple[str, dict]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 0
        self.down = False
        # Hosts that get 503 while others are served, and hosts whose answers to writes get lost.
        self.refused: set[str] = set()
        self.unanswered_hosts: set[str] = set()
        # Seconds that every answer takes longer.
        self.slow = 0.0
        # Share of transactions that get no answer and are carried out later, and who draws them.
        self._late: tuple[float, random.Random] | None = None
        # Share of transactions that are carried out at once and whose answer is lost.
        self._answer_lost: tuple[float, random.Random] | None = None
        self.answers_lost = 0
        self._to_come: list[tuple[float, dict]] = []
        self.late_statuses: list[int] = []
        self.requests = 0

    def set_limits(self, value_bytes: int, txn_ops: int) -> None:
        """Set other limits from now on; what is stored stays as it is."""
        self._most = (value_bytes, txn_ops)

    def late_writes(self, share: float, rng: random.Random | None) -> None:
        """From now on, carry this share of transactions out late and never answer them."""
        self._late = (share, rng) if share and rng is not None else None

    def lose_answers(self, share: float, rng: random.Random | None) -> None:
        """From now on, carry this share of transactions out at once and never answer them."""
        self._answer_lost = (share, rng) if share and rng is not None else None

    def _loses_answer(self, request: Request) -> bool:
        if self._answer_lost is None or request.path != "/multi":
            return False
        share, rng = self._answer_lost
        return rng.random() < share

    def _carry_out_late(self) -> None:
        due = sorted(
            (row for row in self._to_come if row[0] <= self._now()), key=lambda row: row[0]
        )
        self._to_come = [row for row in self._to_come if row[0] > self._now()]
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
        gone = [key for key, row in self.keys.items() if row[2] == lease_id]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append((key, {"delete": key, "stamp": self.revision}))

    def end_outage(self) -> None:
        """End an outage; every lease has its full time again."""
        self.down = False
        self.leases = {p: (ttl, self._now() + ttl) for p, (ttl, _) in self.leases.items()}

    async def handle(self, request: Request, host: str = "") -> Response:
        """Answer a request of a host, unless a failure that was asked for keeps it from that."""
        self.requests += 1
        await trio.sleep(0.003 + self.slow)
        self._carry_out_late()
        if self.down or host in self.refused:
            return Response(503, {"error": "trouble"})
        self._expire()
        if (
            self._late is not None
            and request.path == "/multi"
            and self._late[1].random() < self._late[0]
        ):
            # As if on a slow way: nobody hears of it, and newer ones come first.
            self._to_come.append((self._now() + self._late[1].uniform(2, 12), decode(request.body)))
            await trio.sleep(3600)
        try:
            response = self._answer(request)
        except (MalformedError, KeyError, TypeError, ValueError) as error:
            return Response(400, {"error": repr(error)})
        lost = self._loses_answer(request)
        if lost or host in self.unanswered_hosts and request.path == "/multi":
            # Carried out, but nobody hears of it.
            self.answers_lost += lost
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
        """List records in the order of their keys, a page at a time."""
        rows = sorted(
            k for k in self.keys if k.startswith(query["starts"]) and k > query.get("after", "")
        )
        most = min(MOST_PER_PAGE, int(query.get("most", MOST_PER_PAGE)))
        page = [
            {"path": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in rows[:most]
        ]
        return Response(200, {"entries": page, "more": len(rows) > most, "ledger": self.revision})

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
        rows = [e for k, e in self.log if e["stamp"] > after and k.startswith(prefix)]
        return Response(200, {"ledger": self.revision, "log": rows})

    def compare_and_swap(self, body: dict) -> Response:
        """Carry out a transaction if its conditions hold.

        Also called by tests that deliver one late. Raises `ValueError` where it is too large.
        """
        changes = body.get("apply") or []
        if len(changes) > self._most[1] or len(body.get("when") or []) > 4 * self._most[1]:
            raise ValueError("too many changes or conditions")
        for row in changes:
            if (
                "write" in row
                and len(json.dumps(row["value"], separators=(",", ":"))) > self._most[0]
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

    def copy_records(self) -> "StoredCopy":
        """Return the records as they are, for `restore_records`."""
        return StoredCopy(dict(self.keys), self.revision, list(self.log))

    def restore_records(self, copy: "StoredCopy") -> None:
        """Lose everything written since, as after a restore from a copy.

        What hung on a lease that has ended meanwhile is gone all the same.
        """
        self.revision, self.log = copy.revision, list(copy.log)
        self.keys = {
            key: row for key, row in copy.keys.items() if row[2] is None or row[2] in self.leases
        }

    def value(self, key: str) -> Any:
        """Return the value of a record, None if there is none."""
        return self.keys[key][0] if key in self.keys else None

    def values_with_prefix(self, prefix: str) -> dict[str, Any]:
        """Return the values of all records whose keys begin with `prefix`."""
        return {key: row[0] for key, row in self.keys.items() if key.startswith(prefix)}
