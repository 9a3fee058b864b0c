"""The client of the state service, a consensus-backed key-value store, within this controller's share of its rates."""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from sloeswitch import wire
from sloeswitch.http import Client, NoAnswerError, Reply
from sloeswitch.rate_budget import RESERVED_SHARE, RequestPriority, TokenBucket
from sloeswitch.settings import Settings

log = logging.getLogger("state")


class TransactionOutcome(enum.Enum):
    COMMITTED = "done"
    CONFLICT = "conflict"
    NO_LEASE = "no lease"
    REJECTED = "refused"  # certainly not carried out
    UNKNOWN = "unknown"  # may have been, or may yet be


class TransactionResult(NamedTuple):
    """How a transaction ended, and the revision of the store at that; 0 where the answer tells none."""

    outcome: TransactionOutcome
    revision: int = 0


class StateClient:
    """Requests to the state service within this controller's part of the rates."""

    def __init__(self, settings: Settings, share: Callable[[], int], now: Callable[[], float]) -> None:
        self.settings = settings
        self.http = Client(settings.state_address, most_idle=4)
        self.watch_http = Client(settings.state_address, most_idle=1)
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
    ) -> TransactionResult:
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
            return TransactionResult(TransactionOutcome.UNKNOWN)
        try:
            if reply.status == 200:
                return TransactionResult(
                    TransactionOutcome.COMMITTED, wire.decode(reply.body, wire.RevisionReply).revision
                )
            if reply.status == 409:
                return TransactionResult(
                    TransactionOutcome.CONFLICT, wire.decode(reply.body, wire.RevisionReply).revision
                )
        except wire.MalformedError as error:
            log.error("transaction answered with %s", error)
            return TransactionResult(TransactionOutcome.UNKNOWN)
        if reply.status == 400:
            if b"no such lease" in reply.body:
                return TransactionResult(TransactionOutcome.NO_LEASE)
            log.error("transaction refused: %s", reply.body[:200])
            self._lower_limits(writes, len(writes) + len(drops))
        elif reply.status == 429:
            # A rate that fell, or another controller's burst: wait for what this one took to come back.
            log.info("transaction of %d changes is over the rate", len(writes) + len(drops))
            self.write_tokens.tokens = min(self.write_tokens.tokens, 0.0)
        return TransactionResult(TransactionOutcome.REJECTED)

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
