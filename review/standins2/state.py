"""A stand-in of the state service: keys with revisions, leases, transactions and the change feed, in memory.

Source: PROTOCOL-sloeswitch.md, "Controller nodes -> state service". It keeps the limits of a transaction and of a
value; the limits of its rates are far above what a case needs and are not kept.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from httpkit import Answer, Server

MAX_ROWS = 1000
KEPT_CHANGES = 10_000


@dataclass
class Row:
    """A stored value."""

    value: Any
    stamp: int
    permit: int | None


@dataclass
class Lease:
    """A lease and the keys attached to it."""

    life_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class StateService:
    """The service; `server` has its address."""

    def __init__(self, value_kb: float, txn_ops: int) -> None:
        self.value_bytes = int(value_kb * 1024)
        self.txn_ops = txn_ops
        self.rows: dict[str, Row] = {}
        self.leases: dict[int, Lease] = {}
        self.changes: list[dict[str, Any]] = []
        self.epoch = 1
        self.last_permit = 0
        self._changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self) -> None:
        """Opens the port and begins to end leases."""
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire_forever())

    async def handle(self, method: str, path: str, body: Any) -> Answer:
        """Answers one request."""
        self._expire()
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/multi" and method == "POST":
            return self._commit(body)
        if parts.path.startswith("/grants"):
            return self._lease(method, parts.path.split("/")[2:], body)
        if parts.path == "/changes":
            return await self._read_changes(query)
        if parts.path == "/kv":
            return self._list(query)
        row = self.rows.get(parts.path.removeprefix("/kv/"))
        if row is None:
            return Answer(404, {"epoch": self.epoch})
        return Answer(200, {"k": parts.path.removeprefix("/kv/"), "v": row.value, "stamp": row.stamp})

    # -- leases

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self._expire()

    def _expire(self) -> None:
        for permit in [permit for permit, lease in self.leases.items() if lease.ends_at <= time.monotonic()]:
            self._end(permit)

    def _end(self, permit: int) -> None:
        keys = [key for key in self.leases.pop(permit).keys if key in self.rows and self.rows[key].permit == permit]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def _lease(self, method: str, path: list[str], body: Any) -> Answer:
        if not path:
            self.last_permit += 1
            life_s = body["lifeMs"] / 1000
            self.leases[self.last_permit] = Lease(life_s, time.monotonic() + life_s)
            return Answer(200, {"permit": self.last_permit})
        lease = self.leases.get(int(path[0]))
        if lease is None:
            return Answer(404, {"epoch": self.epoch})
        if method == "DELETE":
            self._end(int(path[0]))
        else:
            lease.ends_at = time.monotonic() + lease.life_s
        return Answer(200, {"permit": int(path[0])})

    # -- transactions

    def _commit(self, body: Any) -> Answer:
        then = body.get("then", [])
        too_large = any(len(json.dumps(each.get("v"), separators=(",", ":"))) > self.value_bytes for each in then)
        if too_large or len(then) > self.txn_ops or len(body["if"]) > 4 * self.txn_ops:
            return Answer(400, {"error": "too large"})
        if any(each.get("permit") not in (None, *self.leases) for each in then):
            return Answer(400, {"error": "no such lease"})
        failed = [each["k"] for each in body["if"] if self._stamp(each["k"]) != each["stamp"]]
        if failed:
            return Answer(409, {"failed": failed, "epoch": self.epoch})
        if then:
            self._apply(then)
        return Answer(200, {"epoch": self.epoch})

    def _stamp(self, key: str) -> int:
        return self.rows[key].stamp if key in self.rows else 0

    def _apply(self, then: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for each in then:
            if "write" in each:
                permit = each.get("permit")
                self.rows[each["write"]] = Row(each["v"], self.epoch, permit)
                if permit is not None:
                    self.leases[permit].keys.add(each["write"])
                self.changes.append({"write": each["write"], "v": each["v"], "stamp": self.epoch})
            elif self.rows.pop(each["drop"], None) is not None:
                self.changes.append({"drop": each["drop"], "stamp": self.epoch})
        del self.changes[:-KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    # -- reads

    def _list(self, query: dict[str, str]) -> Answer:
        limit = min(MAX_ROWS, int(query.get("page", MAX_ROWS)))
        keys = sorted(key for key in self.rows if key.startswith(query["starts"]) and key > query.get("after", ""))
        rows = [{"k": key, "v": self.rows[key].value, "stamp": self.rows[key].stamp} for key in keys[:limit]]
        return Answer(200, {"rows": rows, "hasNext": len(keys) > limit, "epoch": self.epoch})

    async def _read_changes(self, query: dict[str, str]) -> Answer:
        after, ends_at = int(query["after"]), time.monotonic() + int(query.get("holdMs", "0")) / 1000
        if len(self.changes) == KEPT_CHANGES and after < self.changes[0]["stamp"] - 1:
            return Answer(410, {"epoch": self.epoch})
        while True:
            found = [
                each
                for each in self.changes
                if each["stamp"] > after and each.get("write", each.get("drop")).startswith(query["starts"])
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return Answer(200, {"epoch": self.epoch, "events": found})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
