"""The state service: its client, its rate budget, and the replica of what it holds."""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sloeswitch import wire
from sloeswitch.core.tables import KEY_PREFIX, Tables
from sloeswitch.http import Client, NoAnswerError, Reply
from sloeswitch.settings import Settings

log = logging.getLogger("state")


class RequestPriority(enum.IntEnum):
    """Who goes first when the state service's rates are short."""

    LEASE = 0
    USER = 1
    CLAIM = 2
    PROGRESS = 3


# Share of a full bucket that a request of each urgency must leave for the more urgent ones. Users' requests may
# borrow half a bucket: the jobs of a pipeline are submitted one right after another, and found a bucket that claims
# had taken to its reserve, so that the last of them waited for half a second (found on the bench).
RESERVED_SHARE = {
    RequestPriority.LEASE: 0.0,
    RequestPriority.USER: -0.5,
    RequestPriority.CLAIM: 0.25,
    RequestPriority.PROGRESS: 0.4,
}


class TokenBucket:
    """A token bucket holding one second's worth, spent by urgency."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.refilled_at = now

    def acquire(self, cost: float, urgency: RequestPriority, now: float) -> float:
        """0 after taking the cost; else how long until it can be taken."""
        self.tokens = min(self.rate, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        # A full bucket always serves, or a cost near its size would wait for ever.
        need = min(self.rate, cost + RESERVED_SHARE[urgency] * self.rate)
        if urgency is RequestPriority.LEASE or self.tokens >= need - 1e-9:
            self.tokens -= cost
            return 0.0
        return (need - self.tokens) / self.rate


class TransactionOutcome(enum.Enum):
    COMMITTED = "done"
    CONFLICT = "conflict"
    NO_LEASE = "no lease"
    REJECTED = "refused"  # certainly not carried out
    UNKNOWN = "unknown"  # may have been, or may yet be


class StateClient:
    """Requests to the state service within this controller's part of the rates."""

    def __init__(self, settings: Settings, share: Callable[[], int], now: Callable[[], float]) -> None:
        self.settings = settings
        self.http = Client(settings.state, most_idle=4)
        self.watch_http = Client(settings.state, most_idle=1)
        self.now = now
        self.controllers = share
        # Most answers take under 10 ms, some a few hundred; a lease must outlive two of these waits.
        self.timeout_s = settings.controller_lease_s / 4
        self.request_tokens = TokenBucket(settings.state_rps, now())
        self.write_tokens = TokenBucket(settings.state_write_rps, now())
        # What the state service takes; lowered should it take less than the settings tell.
        self.txn_ops = settings.txn_ops
        self.value_bytes = settings.value_bytes
        self.last_ok = float("-inf")
        self.failing_since: float | None = None

    def _update_rates(self) -> None:
        parts = max(1, self.controllers())
        self.request_tokens.rate = 0.9 * self.settings.state_rps / parts
        self.write_tokens.rate = 0.9 * self.settings.state_write_rps / parts

    async def _acquire(self, bucket: TokenBucket, cost: float, urgency: RequestPriority) -> None:
        self._update_rates()
        while (wait := bucket.acquire(cost, urgency, self.now())) > 0:
            await anyio.sleep(wait)

    def available_changes(self, urgency: RequestPriority) -> int:
        """How many changes may go into one transaction. More than the bucket holds above what is kept for
        the more urgent would leave a debt, and users' submissions waited a second or two for it (found on
        the bench). A job that ends takes two, and a team's allowance may go with it."""
        self._update_rates()
        return min(self.txn_ops, max(3, int(self.write_tokens.rate * (1 - RESERVED_SHARE[urgency]))))

    async def acquire_changes(self, changes: int, urgency: RequestPriority) -> None:
        """Waits for the right to make so many changes, for a commit whose content follows."""
        await self._acquire(self.write_tokens, changes, urgency)

    def refund_changes(self, changes: int) -> None:
        """What was paid for came to nothing."""
        self.write_tokens.tokens += changes

    async def call(
        self, method: str, path: str, body: bytes | None, urgency: RequestPriority, hold_s: float = 0.0
    ) -> Reply:
        """One request; NoAnswerError when its result is unknown."""
        await self._acquire(self.request_tokens, 1, urgency)
        client = self.watch_http if hold_s else self.http
        try:
            reply = await client.request(method, path, body, self.timeout_s + hold_s)
        except NoAnswerError:
            self._record_failure()
            raise
        if reply.status in (429, 503):
            if reply.status == 503:
                self._record_failure()
        else:
            self.last_ok = self.now()
            if self.failing_since is not None:
                log.info("state service answers again after %.1f s", self.last_ok - self.failing_since)
                self.failing_since = None
        return reply

    def _record_failure(self) -> None:
        if self.failing_since is None:
            self.failing_since = self.now()
            log.info("state service does not answer")

    @property
    def is_reachable(self) -> bool:
        return self.failing_since is None or self.now() - self.failing_since < self.timeout_s

    async def compare_and_swap(
        self,
        conditions: dict[str, int],
        writes: dict[str, Any],
        drops: list[str],
        urgency: RequestPriority,
        lease: dict[str, int] | None = None,
        paid: int = 0,
    ) -> tuple[TransactionOutcome, int]:
        """One transaction, and the epoch it was answered at. `paid`: see pay()."""
        body = wire.commit_body(conditions, writes, drops, lease or {})
        if paid:
            self.refund_changes(paid - len(writes) - len(drops))
        else:
            await self.acquire_changes(len(writes) + len(drops), urgency)
        try:
            reply = await self.call("POST", "/multi", body, urgency)
        except NoAnswerError as error:
            log.debug("transaction without answer: %s", error)
            return TransactionOutcome.UNKNOWN, 0
        try:
            if reply.status == 200:
                return TransactionOutcome.COMMITTED, wire.decode(reply.body, wire.RevisionReply).revision
            if reply.status == 409:
                return TransactionOutcome.CONFLICT, wire.decode(reply.body, wire.RevisionReply).revision
        except wire.MalformedError as error:
            log.error("transaction answered with %s", error)
            return TransactionOutcome.UNKNOWN, 0
        if reply.status == 400:
            if b"no such lease" in reply.body:
                return TransactionOutcome.NO_LEASE, 0
            log.error("transaction refused: %s", reply.body[:200])
            self._lower_limits(writes, len(writes) + len(drops))
        elif reply.status == 429:
            # A rate that fell, or another controller's burst: wait for what this one took to come back.
            log.info("transaction of %d changes is over the rate", len(writes) + len(drops))
            self.write_tokens.tokens = min(self.write_tokens.tokens, 0.0)
        return TransactionOutcome.REJECTED, 0

    def _lower_limits(self, writes: dict[str, Any], changes: int) -> None:
        """Guards against limits that fell further than announced: the same would be refused for ever."""
        if changes > 2:
            # Two are needed at least: an adoption and its part of the team's limit.
            self.txn_ops = max(2, changes // 2)
            log.error("from now on at most %d changes a transaction", self.txn_ops)
        elif writes:
            largest = max(len(wire.encode(value)) for value in writes.values())
            least = self.settings.value_bytes // 8
            if largest > least:
                self.value_bytes = max(least, min(self.value_bytes, int(0.7 * largest)))
                log.error("from now on values of at most %d bytes", self.value_bytes)


class StaleReplicaError(Exception):
    """A fresh read could not be had in time."""


class Replica:
    """Owns the tables: keeps them up to date by watching, and serves fresh reads.

    A fresh read is one request for all changes since the last applied epoch, which both says what
    the present state is and brings the tables there. One serves all who wait for it.
    """

    def __init__(self, client: StateClient, tables: Tables, now: Callable[[], float]) -> None:
        self.client = client
        self.tables = tables
        self.now = now
        self.applied_revision = 0
        self.loaded = False
        # Whether everything has been read since this process started.
        self.fully_read = False
        # The tables hold everything the state service held at this time.
        self.linearizable_at = float("-inf")
        # Fresh reads by number: the last one that was sent, and the last that was answered.
        self._sent = 0
        self._read = 0
        self.changed = anyio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._next: anyio.Event | None = None
        self._wanted = anyio.Event()
        # What this controller stored and has not read yet: key -> epoch.
        self._own_writes: dict[str, int] = {}
        # Watching again at once after each change would use up the request rate.
        self.gap_s = 8.0 / client.settings.state_rps * client.settings.count / 2

    def start(self, group: TaskGroup) -> None:
        group.start_soon(self._watch)
        group.start_soon(self._serve_reads)

    async def read_linearizable(self, timeout_s: float) -> None:
        """Returns once the tables hold all that was stored when this was called; StaleError otherwise. Guards against a
        clock that goes in steps: only a read that is sent after the call serves it, by its number."""
        needed = self._sent + 1
        try:
            with anyio.fail_after(timeout_s):
                while self._read < needed:
                    if self._next is None:
                        self._next = anyio.Event()
                    waiter = self._next
                    self._wanted.set()
                    await waiter.wait()
                    if self._read < needed and not self.client.is_reachable:
                        raise StaleReplicaError
        except TimeoutError:
            raise StaleReplicaError from None

    def request_read(self) -> None:
        """Something was stored: read it soon."""
        self._wanted.set()

    def apply_own_write(self, epoch: int, writes: dict[str, Any]) -> None:
        """This controller's own transaction was carried out: known before it is read. A job accepted or claimed,
        or the end of one that others wait for, need not wait for a read to be acted on. Each row is as it was
        stored, whatever else changed before; what a controller may do is decided by conditions and fresh reads."""
        if not self.loaded:
            return
        for key, value in writes.items():
            if epoch > self.applied_revision:
                self._own_writes[key] = epoch
                self.tables.apply(key, value, epoch)
        self.request_read()
        self._notify()

    def _check_own_writes(self, events: list[wire.ChangeEvent]) -> None:
        """Guards against an epoch told with an answer that is not the stamp of what was stored: conditions on it
        would fail for ever."""
        seen = {(event.write or event.drop, event.mod_revision) for event in events}
        for key, epoch in list(self._own_writes.items()):
            if (key, epoch) in seen:
                del self._own_writes[key]
            elif epoch <= self.applied_revision:
                log.error("%s is not stored at epoch %d as told: reading all again", key, epoch)
                self._own_writes.clear()
                self.loaded = False
                return

    def notify_peer_update(self) -> None:
        """Something was learnt from a sibling."""
        self._notify()

    async def wait_change(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await self.changed.wait()

    def add_listener(self, listener: Callable[[], None]) -> None:
        self._listeners.append(listener)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
        for listener in self._listeners:
            listener()

    @property
    def read_gap_s(self) -> float:
        """Fresh reads take at most half of the requests: with hundreds of jobs asked about there is always
        one wanted, and the claims' own requests waited for seconds behind them (found on the bench)."""
        return 2.0 / self.client.request_tokens.rate

    async def _serve_reads(self) -> None:
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            waiter, self._next = self._next, None
            try:
                sent = self.now()
                if self.loaded:
                    self._sent += 1
                    await self._read_changes(0.0)
                    self._read = self._sent
                    self.linearizable_at = max(self.linearizable_at, sent)
            except NoAnswerError:
                await anyio.sleep(self.gap_s / 4)
            finally:
                if waiter is not None:
                    waiter.set()
            await anyio.sleep(self.read_gap_s)

    async def _watch(self) -> None:
        while True:
            try:
                if not self.loaded:
                    await self._load()
                await self._read_changes(self.client.settings.lease_s)
                await anyio.sleep(self.gap_s)
                while (wait := self.linearizable_at + self.gap_s - self.now()) > 0:
                    await anyio.sleep(wait)  # fresh reads bring the same
            except NoAnswerError as error:
                log.debug("watch: %s", error)
                await anyio.sleep(self.gap_s)

    async def _read_changes(self, hold_s: float) -> None:
        path = f"/changes?starts={KEY_PREFIX}&after={self.applied_revision}&holdMs={int(hold_s * 1000)}"
        reply = await self.client.call(
            "GET", path, None, RequestPriority.CLAIM if hold_s else RequestPriority.USER, hold_s
        )
        if reply.status == 410:
            log.info("changes since %d are no longer kept: reading all again", self.applied_revision)
            self.loaded = False
            raise NoAnswerError("too old")
        if reply.status != 200:
            raise NoAnswerError(f"status {reply.status}")
        try:
            changes = wire.decode(reply.body, wire.ChangeFeed)
        except wire.MalformedError as error:
            log.error("changes are malformed: %s", error)
            raise NoAnswerError("malformed") from None
        if not self.loaded:
            return
        for event in sorted(changes.events, key=lambda event: event.mod_revision):
            if event.mod_revision <= self.applied_revision:
                continue
            if event.write is not None:
                self.tables.apply(event.write, event.value, event.mod_revision)
            elif event.drop is not None:
                self.tables.apply(event.drop, None, event.mod_revision)
        self.applied_revision = max(self.applied_revision, changes.revision)
        if self._own_writes:
            self._check_own_writes(changes.events)
        if changes.events:
            self._notify()

    async def _load(self) -> None:
        """Reads everything, page by page; changes made meanwhile follow from the first page's epoch."""
        first_epoch: int | None = None
        after = ""
        rows: list[wire.StoredRow] = []
        while True:
            path = f"/kv?starts={KEY_PREFIX}&page=1000" + (f"&after={after}" if after else "")
            reply = await self.client.call("GET", path, None, RequestPriority.LEASE)
            if reply.status != 200:
                raise NoAnswerError(f"status {reply.status}")
            try:
                page = wire.decode(reply.body, wire.StoredRowPage)
            except wire.MalformedError as error:
                log.error("rows are malformed: %s", error)
                raise NoAnswerError("malformed") from None
            if first_epoch is None:
                first_epoch = page.revision
            rows += page.rows
            if not page.more or not page.rows:
                break
            after = page.rows[-1].key
        self._own_writes.clear()
        self.tables.clear()
        for row in rows:
            self.tables.apply(row.key, row.value, row.mod_revision)
        self.applied_revision = first_epoch
        self.loaded = self.fully_read = True
        log.info("read %d stored values at epoch %d", len(rows), first_epoch)
        self._notify()
