"""The state service's fake: keys, transactions, leases, the log."""

import json
import random
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import trio

from roadbend.http.server import MalformedError, Request, Response, decode


@dataclass(frozen=True)
class StoredCopy:
    """What the service held at one instant."""

    keys: dict[str, tuple[Any, int, int | None]]
    revision: int
    log: list[tuple[str, dict]]


class FakeStateService:
    """The state service in memory."""

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
        self.deaf: set[str] = set()
        # Seconds that every answer takes longer.
        self.slow = 0.0
        # Share of transactions that get no answer and are carried out later, and who draws them.
        self._late: tuple[float, random.Random] | None = None
        # Share of transactions that are carried out at once and whose answer is lost.
        self._answer_lost: tuple[float, random.Random] | None = None
        self.answers_lost = 0
        self._to_come: list[tuple[float, dict]] = []
        self.late_done: list[int] = []
        self.requests = 0

    def limits(self, value_bytes: int, txn_ops: int) -> None:
        """Other limits from now on; what is stored stays as it is."""
        self._most = (value_bytes, txn_ops)

    def late_writes(self, share: float, rng: random.Random | None) -> None:
        self._late = (share, rng) if share and rng is not None else None

    def lose_answers(self, share: float, rng: random.Random | None) -> None:
        """From now on, this share of transactions is carried out at once and never answered."""
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
                self.late_done.append(self.compare_and_swap(body).status)
            except (KeyError, TypeError, ValueError):
                self.late_done.append(400)

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

    def restore(self) -> None:
        """After an outage every lease has its full time again."""
        self.down = False
        self.leases = {p: (ttl, self._now() + ttl) for p, (ttl, _) in self.leases.items()}

    async def handle(self, request: Request, host: str = "") -> Response:
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
        if lost or host in self.deaf and request.path == "/multi":
            # Carried out, but nobody hears of it.
            self.answers_lost += lost
            await trio.sleep(3600)
        return response

    def _answer(self, request: Request) -> Response:
        query = {k: v[0] for k, v in parse_qs(request.query, keep_blank_values=True).items()}
        path, method = request.path, request.method
        if path == "/keys":
            rows = sorted(
                k for k in self.keys if k.startswith(query["starts"]) and k > query.get("after", "")
            )
            most = min(1000, int(query.get("most", 1000)))
            page = [
                {"path": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in rows[:most]
            ]
            return Response(
                200, {"entries": page, "more": len(rows) > most, "ledger": self.revision}
            )
        if path.startswith("/keys/"):
            key = unquote(path[len("/keys/") :])
            if key not in self.keys:
                return Response(404, {"ledger": self.revision})
            value, mod_revision, lease_id = self.keys[key]
            return Response(
                200, {"path": key, "value": value, "stamp": mod_revision, "permit": lease_id}
            )
        if path == "/multi":
            return self.compare_and_swap(decode(request.body))
        if path == "/leases":
            self._next_lease += 1
            ttl = decode(request.body)["ttlMs"] / 1000
            self.leases[self._next_lease] = (ttl, self._now() + ttl)
            return Response(200, {"permit": self._next_lease})
        if path.startswith("/leases/"):
            lease_id = int(path.split("/")[2])
            if lease_id not in self.leases:
                return Response(404, {"error": "no such lease"})
            if method == "DELETE":
                self._end(lease_id)
            else:
                ttl = self.leases[lease_id][0]
                self.leases[lease_id] = (ttl, self._now() + ttl)
            return Response(200, {})
        if path == "/follow":
            after = int(query["after"])
            rows = [e for k, e in self.log if e["stamp"] > after and k.startswith(query["starts"])]
            return Response(200, {"ledger": self.revision, "log": rows})
        return Response(404, {"error": "no such path"})

    def compare_and_swap(self, body: dict) -> Response:
        """Also called by tests that deliver a transaction late."""
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
        """The records as they are, for `restore_records`."""
        return StoredCopy(dict(self.keys), self.revision, list(self.log))

    def restore_records(self, copy: "StoredCopy") -> None:
        """The service lost everything written since, as after a restore from a copy; what hung on
        a lease that has ended meanwhile is gone all the same.
        """
        self.revision, self.log = copy.revision, list(copy.log)
        self.keys = {
            key: row for key, row in copy.keys.items() if row[2] is None or row[2] in self.leases
        }

    def value(self, key: str) -> Any:
        return self.keys[key][0] if key in self.keys else None

    def starting(self, prefix: str) -> dict[str, Any]:
        return {key: row[0] for key, row in self.keys.items() if key.startswith(prefix)}
