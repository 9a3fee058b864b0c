"""The client of the state service, a consensus-backed key-value store.

The rate limits of the service are divided among the controllers; each client keeps its requests within its own share.
Actors and optional features write through `StateClient.compare_and_swap`, `membership` obtains and renews the lease
through `StateClient.call`, and only `replica` reads.
"""

from __future__ import annotations

import enum
import logging
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import anyio

from sloeswitch import wire
from sloeswitch.core.transaction import Transaction
from sloeswitch.http_client import Client, HttpTransportError, Reply
from sloeswitch.rate_budget import RESERVED_FRACTION, RequestPriority, TokenBucket
from sloeswitch.settings import Settings

log = logging.getLogger("state")

# The fraction of the rate limits that all controllers together use; the rest absorbs bursts and clock drift.
USED_FRACTION_OF_RATE = 0.9
# Idle connections kept open. The change feed has a separate connection, because each of its requests takes seconds.
MAX_IDLE_CONNECTIONS = 4
# The least that `available_changes` returns, unless the limit of a transaction is lower: a job that ends takes two
# changes, and the quota allocation of its team may need a third.
MIN_AVAILABLE_CHANGES = 3
# The lowest value of max_transaction_changes: one change for an adoption, and one for its team's quota allocation.
MIN_TRANSACTION_CHANGES = 2
# After a rejection the value limit is lowered to this fraction of the largest rejected value.
LOWERED_FRACTION_OF_VALUE = 0.7
# The value limit is never lowered below this fraction of the configured limit.
MIN_FRACTION_OF_VALUE_LIMIT = 1 / 8
# Transactions, which the state service refuses above either of its two rate limits.
TRANSACTION_PATH = "/multi"
# The status under which requests without an answer are counted.
NO_ANSWER = "none"
# How much of the answer to a rejected transaction is logged.
LOGGED_ANSWER_BYTES = 200


class TransactionOutcome(enum.Enum):
    """How a transaction ended.

    REJECTED: the transaction was certainly not carried out and may be sent again. UNKNOWN: it may have been carried out
    or may still be carried out later.
    """

    COMMITTED = "done"
    CONFLICT = "conflict"
    NO_LEASE = "no lease"
    REJECTED = "refused"
    UNKNOWN = "unknown"


class TransactionResult(NamedTuple):
    """How a transaction ended, and the store's revision at that point; 0 if the answer contains no revision."""

    outcome: TransactionOutcome
    revision: int = 0


def transaction_result(reply: Reply) -> TransactionResult:
    """Converts an answer to POST /multi into a result.

    Source: PROTOCOL-sloeswitch.md, "Controller nodes -> state service".

    Raises:
        wire.MalformedError: The answer is a success or a conflict without a revision, so the outcome is unknown.
    """
    match reply.status:
        case HTTPStatus.OK:
            return TransactionResult(TransactionOutcome.COMMITTED, wire.decode(reply.body, wire.RevisionReply).revision)
        case HTTPStatus.CONFLICT:
            return TransactionResult(TransactionOutcome.CONFLICT, wire.decode(reply.body, wire.RevisionReply).revision)
        case HTTPStatus.BAD_REQUEST if b"no such lease" in reply.body:
            return TransactionResult(TransactionOutcome.NO_LEASE)
    return TransactionResult(TransactionOutcome.REJECTED)


class StateClient:
    """Sends requests to the state service within this controller's share of the rate limits.

    Attributes:
        controller_count: Returns the number of controllers that currently share the rate limits.
        timeout_s: The timeout of a request. Most answers take under 10 ms, some a few hundred; a controller's lease
            must outlast two timeouts.
        request_tokens: This controller's share of the requests per second.
        write_tokens: This controller's share of the changes per second.
        max_transaction_changes: The maximum number of changes in a transaction; initially the configured limit, lowered
            when the state service rejects a transaction.
        max_value_bytes: The maximum size of a stored value; initially the configured limit, lowered in the same way.
        failing_since: When the current series of failed requests began; None while the service answers.
        requests_by_status: The number of requests by status of the answer; `none`: no answer.
        transactions_by_outcome: The number of transactions by outcome.
        outages: The number of times that requests began to fail.
    """

    def __init__(self, settings: Settings, controller_count: Callable[[], int], now: Callable[[], float]) -> None:
        self.settings = settings
        self.http = Client(settings.state_address, max_idle_connections=MAX_IDLE_CONNECTIONS)
        self.watch_http = Client(settings.state_address, max_idle_connections=1)
        self.now = now
        self.controller_count = controller_count
        self.timeout_s = settings.controller_lease_s / 4
        self.request_tokens = TokenBucket(settings.state_rps, now())
        self.write_tokens = TokenBucket(settings.state_write_rps, now())
        self.max_transaction_changes = settings.txn_ops
        self.max_value_bytes = settings.value_bytes
        self.failing_since: float | None = None
        self.requests_by_status: Counter[str] = Counter()
        self.transactions_by_outcome: Counter[TransactionOutcome] = Counter()
        self.outages = 0

    # -- rates

    def available_changes(self, priority: RequestPriority) -> int:
        """The maximum number of changes in one transaction of this priority.

        A larger transaction would take tokens that are reserved for higher priorities, and users' submissions would
        have to wait.
        """
        self._update_rates()
        unreserved_changes = int(self.write_tokens.rate * (1 - RESERVED_FRACTION[priority]))
        return min(self.max_transaction_changes, max(MIN_AVAILABLE_CHANGES, unreserved_changes))

    async def acquire_changes(self, changes: int, priority: RequestPriority) -> None:
        """Waits until the write rate allows this number of changes, for a transaction that is built afterwards."""
        await self._acquire(self.write_tokens, changes, priority)

    def refund_changes(self, changes: int) -> None:
        """Returns acquired changes that no transaction used."""
        self.write_tokens.tokens += changes

    async def _acquire(self, bucket: TokenBucket, cost: float, priority: RequestPriority) -> None:
        self._update_rates()
        while (wait_s := bucket.acquire(cost, priority, self.now())) > 0:
            await anyio.sleep(wait_s)

    def _update_rates(self) -> None:
        controllers = max(1, self.controller_count())
        self.request_tokens.rate = USED_FRACTION_OF_RATE * self.settings.state_rps / controllers
        self.write_tokens.rate = USED_FRACTION_OF_RATE * self.settings.state_write_rps / controllers

    # -- requests

    async def call(
        self, method: str, path: str, body: bytes | None, priority: RequestPriority, hold_s: float = 0.0
    ) -> Reply:
        """Sends one request when the request rate allows it.

        Args:
            method: The HTTP method.
            path: The path with its query.
            body: The JSON body; None: no body.
            priority: Its priority for the request rate.
            hold_s: How long the state service may delay the answer to a long poll, in seconds; 0: no long poll.

        Raises:
            HttpTransportError: There is no answer; the request may have been carried out or may still be carried out.
        """
        await self._acquire(self.request_tokens, 1, priority)
        client = self.watch_http if hold_s else self.http
        try:
            reply = await client.request(method, path, body, self.timeout_s + hold_s)
        except HttpTransportError:
            self.requests_by_status[NO_ANSWER] += 1
            self._record_failure()
            raise
        self.requests_by_status[str(int(reply.status))] += 1
        self._record_status(reply.status)
        if reply.status == HTTPStatus.TOO_MANY_REQUESTS and path != TRANSACTION_PATH:
            self.request_tokens.empty()
        return reply

    @property
    def is_reachable(self) -> bool:
        """Whether the state service answers, or requests to it have failed for less than `timeout_s`."""
        return self.failing_since is None or self.now() - self.failing_since < self.timeout_s

    def _record_status(self, status: int) -> None:
        """Records whether the service is working; 429 (rate limit exceeded) is neither a failure nor an answer."""
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._record_failure()
        elif status != HTTPStatus.TOO_MANY_REQUESTS:
            self._record_answer()

    def _record_answer(self) -> None:
        if self.failing_since is not None:
            log.info("state service answers again: outage_s=%.1f", self.now() - self.failing_since)
            self.failing_since = None

    def _record_failure(self) -> None:
        if self.failing_since is None:
            self.failing_since = self.now()
            self.outages += 1
            log.info("state service does not answer")

    # -- transactions

    async def compare_and_swap(
        self,
        transaction: Transaction,
        priority: RequestPriority,
        *,
        leases: dict[str, int] | None = None,
        acquired_changes: int = 0,
    ) -> TransactionResult:
        """Sends one transaction, without retries.

        Args:
            transaction: The conditions, writes and deletions.
            priority: Its priority for the write rate and the request rate.
            leases: For each key that is bound to a lease, the id of that lease.
            acquired_changes: The number of changes already taken from the write rate by acquire_changes(); changes that
                the transaction does not need are refunded. 0: the changes are acquired here.
        """
        body = wire.commit_body(transaction.conditions, transaction.writes, transaction.deletes, leases or {})
        if acquired_changes:
            self.refund_changes(acquired_changes - len(transaction))
        else:
            await self.acquire_changes(len(transaction), priority)
        result = await self._send_transaction(body, transaction, priority)
        self.transactions_by_outcome[result.outcome] += 1
        return result

    async def _send_transaction(
        self, body: bytes, transaction: Transaction, priority: RequestPriority
    ) -> TransactionResult:
        try:
            reply = await self.call("POST", TRANSACTION_PATH, body, priority)
            result = transaction_result(reply)
        except HttpTransportError as error:
            log.debug("transaction without answer: error=%s", error)
            return TransactionResult(TransactionOutcome.UNKNOWN)
        except wire.MalformedError as error:
            log.error("answer to transaction is malformed: error=%s", error)
            return TransactionResult(TransactionOutcome.UNKNOWN)
        if result.outcome is TransactionOutcome.REJECTED:
            self._adapt_to_rejection(reply, transaction)
        return result

    def _adapt_to_rejection(self, reply: Reply, transaction: Transaction) -> None:
        """Lowers the limits after a 400 answer; empties the bucket of write tokens after a 429 answer."""
        if reply.status == HTTPStatus.BAD_REQUEST:
            log.error("transaction refused: answer=%s", reply.body[:LOGGED_ANSWER_BYTES])
            self._lower_limits(transaction)
        elif reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            log.info("transaction over the rate: changes=%d", len(transaction))
            self.write_tokens.empty()

    def _lower_limits(self, transaction: Transaction) -> None:
        """Lowers the limits below the size of a rejected transaction.

        The limits of the state service may be lower than announced. Without this, the same transaction would be
        rejected on every retry.
        """
        changes = len(transaction)
        if changes > MIN_TRANSACTION_CHANGES:
            self.max_transaction_changes = max(MIN_TRANSACTION_CHANGES, changes // 2)
            log.error("transaction limit lowered: max_changes=%d", self.max_transaction_changes)
        elif transaction.writes:
            largest_bytes = max(len(wire.encode(value)) for value in transaction.writes.values())
            least_bytes = int(self.settings.value_bytes * MIN_FRACTION_OF_VALUE_LIMIT)
            if largest_bytes > least_bytes:
                lowered_bytes = int(LOWERED_FRACTION_OF_VALUE * largest_bytes)
                self.max_value_bytes = max(least_bytes, min(self.max_value_bytes, lowered_bytes))
                log.error("value limit lowered: max_bytes=%d", self.max_value_bytes)
