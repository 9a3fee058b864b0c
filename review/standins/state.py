"""A stand-in for the state service: keys, transactions, leases, the change feed and both rate limits (PROTOCOL)."""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import itertools
import json
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

MAX_PAGE_ROWS = 1000
MAX_PAGE_BYTES = 512 * 1024
RETAINED_CHANGES = 10_000
MAX_BODY_BYTES = 64 * 1024
Reply = tuple[int, Any]


@dataclass
class Limits:
    """The limits of `deployment.state`, and how long an answer takes."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    latency_s: float = 0.008


class Bucket:
    """A token bucket that holds one second's worth of tokens."""

    def __init__(self, rate: float) -> None:
        self.rate = self.tokens = rate
        self.at = time.monotonic()

    def take(self, cost: float) -> bool:
        """Takes `cost` tokens; returns False, and takes none, if there are fewer."""
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


@dataclass
class Grant:
    """A lease: its length, when it ends, and the keys that are attached to it."""

    life_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class StateService:
    """The state service; `handle` answers one request, `expire_forever` ends leases that were not renewed."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.requests, self.writes = Bucket(limits.rps), Bucket(limits.write_rps)
        self.values: dict[str, bytes] = {}
        self.stamps: dict[str, int] = {}
        self.permits: dict[str, int] = {}
        # The rows as they are sent, so that a page of 1,000 costs little.
        self.rows: dict[str, bytes] = {}
        self.sorted_keys: list[str] = []
        self.epoch = 1
        self.oldest = 1
        self.events: deque[tuple[int, str, bytes]] = deque()
        self.grants: dict[int, Grant] = {}
        self.next_grant = 1
        self.changed = asyncio.Event()
        self.answers: Counter[str] = Counter()

    def preload(self, rows: dict[str, Any]) -> None:
        """Stores rows of earlier days, one change each, before the service is used."""
        for key, value in rows.items():
            self.epoch += 1
            self.values[key], self.stamps[key] = json.dumps(value, separators=(",", ":")).encode(), self.epoch
            self.rows[key] = self._row(key)
        self.sorted_keys = sorted(self.values)
        self.oldest = self.epoch

    # -- requests

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Reply:
        """Answers one request."""
        reply = await self._answer(method, path, query, body)
        self.answers[f"{method} {'/'.join(path.split('/')[:2])} {reply[0]}"] += 1
        return reply

    async def _answer(self, method: str, path: str, query: dict[str, str], body: Any) -> Reply:
        if not self.requests.take(1):
            await asyncio.sleep(self.limits.latency_s)
            return 429, {"error": "rate"}
        if path == "/changes":
            return await self._changes(query)
        reply = self._answer_at_once(method, path, query, body)
        await asyncio.sleep(self.limits.latency_s)
        return reply

    def _answer_at_once(self, method: str, path: str, query: dict[str, str], body: Any) -> Reply:
        if path == "/kv":
            return self._page(query)
        if path.startswith("/kv/"):
            return self._get(path[len("/kv/") :])
        if path == "/multi":
            return self._multi(body)
        if path.startswith("/grants"):
            return self._grant(method, path, body)
        return 400, {"error": "path"}

    def _row(self, key: str) -> bytes:
        return b'{"k":%s,"v":%s,"stamp":%d}' % (json.dumps(key).encode(), self.values[key], self.stamps[key])

    def _get(self, key: str) -> Reply:
        if key not in self.values:
            return 404, {"epoch": self.epoch}
        permit = self.permits.get(key)
        return 200, {"k": key, "v": json.loads(self.values[key]), "stamp": self.stamps[key], "permit": permit}

    def _page(self, query: dict[str, str]) -> Reply:
        prefix, limit = query.get("starts", ""), min(int(query.get("page", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        start = bisect.bisect_left(self.sorted_keys, prefix)
        if "after" in query:
            start = max(start, bisect.bisect_right(self.sorted_keys, query["after"]))
        rows: list[bytes] = []
        size, more = 0, False
        for key in itertools.islice(self.sorted_keys, start, None):
            if not key.startswith(prefix):
                break
            row = self.rows[key]
            if len(rows) == limit or size + len(row) > MAX_PAGE_BYTES:
                more = True
                break
            rows.append(row)
            size += len(row) + 1
        tail = b'],"hasNext":%s,"epoch":%d}' % (b"true" if more else b"false", self.epoch)
        return 200, b'{"rows":[' + b",".join(rows) + tail

    async def _changes(self, query: dict[str, str]) -> Reply:
        prefix, after = query.get("starts", ""), int(query.get("after", "0"))
        ends_at = time.monotonic() + min(int(query.get("holdMs", "0")), 60_000) / 1000
        await asyncio.sleep(self.limits.latency_s)
        while True:
            if after < self.oldest:
                return 410, {"error": "too old"}
            found = [event for stamp, key, event in self._events_after(after) if key.startswith(prefix)]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, b'{"epoch":%d,"events":[%s]}' % (self.epoch, b",".join(found))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _events_after(self, after: int) -> list[tuple[int, str, bytes]]:
        newest_first = itertools.takewhile(lambda event: event[0] > after, reversed(self.events))
        return list(newest_first)[::-1]

    # -- transactions

    def _multi(self, body: Any) -> Reply:
        changes = body.get("then") or []
        if len(changes) > self.limits.txn_ops or len(body.get("if") or []) > 4 * self.limits.txn_ops:
            return 400, {"error": "too large"}
        values = {
            each["write"]: json.dumps(each["v"], separators=(",", ":")).encode() for each in changes if "write" in each
        }
        if any(len(value) > 1024 * self.limits.value_kb for value in values.values()):
            return 400, {"error": "value too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "rate"}
        if any(each.get("permit") and each["permit"] not in self.grants for each in changes):
            return 400, {"error": "no such lease"}
        failed = [each["k"] for each in body.get("if") or [] if self.stamps.get(each["k"], 0) != each["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
        for each in changes:
            if "write" in each:
                self._write(each["write"], values[each["write"]], each.get("permit"))
            else:
                self._drop(each["drop"])
        self._wake()
        return 200, {"epoch": self.epoch}

    def _write(self, key: str, value: bytes, permit: int | None) -> None:
        if key not in self.values:
            bisect.insort(self.sorted_keys, key)
        self._detach(key)
        self.values[key], self.stamps[key] = value, self.epoch
        self.rows[key] = self._row(key)
        if permit:
            self.permits[key] = permit
            self.grants[permit].keys.add(key)
        event = b'{"write":%s,"v":%s,"stamp":%d}' % (json.dumps(key).encode(), value, self.epoch)
        self._log(key, event)

    def _drop(self, key: str) -> None:
        if key not in self.values:
            return
        self._detach(key)
        del self.values[key], self.stamps[key], self.rows[key]
        self.sorted_keys.pop(bisect.bisect_left(self.sorted_keys, key))
        self._log(key, b'{"drop":%s,"stamp":%d}' % (json.dumps(key).encode(), self.epoch))

    def _detach(self, key: str) -> None:
        permit = self.permits.pop(key, None)
        if permit in self.grants:
            self.grants[permit].keys.discard(key)

    def _log(self, key: str, event: bytes) -> None:
        self.events.append((self.epoch, key, event))
        while len(self.events) > RETAINED_CHANGES:
            self.oldest = self.events.popleft()[0]

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    # -- leases

    def _grant(self, method: str, path: str, body: Any) -> Reply:
        parts = path.split("/")
        if len(parts) == 2 and method == "POST":
            life_s = body["lifeMs"] / 1000
            number = self.next_grant
            self.next_grant += 1
            self.grants[number] = Grant(life_s, time.monotonic() + life_s)
            return 200, {"permit": number}
        grant = self.grants.get(int(parts[2]))
        if grant is None:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(int(parts[2]))
        else:
            grant.ends_at = time.monotonic() + grant.life_s
        return 200, {"permit": int(parts[2])}

    def _end(self, number: int) -> None:
        grant = self.grants.pop(number)
        if grant.keys:
            self.epoch += 1
            for key in sorted(grant.keys):
                self._drop(key)
            self._wake()

    async def expire_forever(self) -> None:
        """Ends leases that were not renewed, some milliseconds late and never early."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [number for number, grant in self.grants.items() if grant.ends_at < now]:
                self._end(number)
