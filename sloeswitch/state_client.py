"""The client of the state service, a consensus-backed key-value store.

The rates that the service grants are divided among the controllers; a client keeps its requests within its own part.
Actors store through `StateClient.compare_and_swap`, `membership` renews its lease through `StateClient.call`, and only
`replica` reads.
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

# The part of the rates that all controllers use together, so that bursts and clock drift stay within the limits.
USED_FRACTION_OF_RATE = 0.9
# Connections that are kept between requests; the change feed has its own, since it holds one for seconds.
MAX_IDLE_CONNECTIONS = 4
# The fewest changes that a round may hold: a job that ends takes two, and a team's quota allocation may go with it.
MIN_AVAILABLE_CHANGES = 3
# The fewest changes that max_transaction_changes is lowered to: an adoption and its part of the team's limit.
MIN_TRANSACTION_CHANGES = 2
# How far a value limit is lowered below the largest refused value, and the fraction of the configured limit at which
# lowering ends.
LOWERED_FRACTION_OF_VALUE = 0.7
MIN_FRACTION_OF_VALUE_LIMIT = 1 / 8
# The status of a request that had no answer, among the counted ones.
NO_ANSWER = "none"
# How much of a refused transaction's answer is logged.
LOGGED_ANSWER_BYTES = 200


class TransactionOutcome(enum.Enum):
    """How a transaction ended.

    REJECTED: it was certainly not carried out, and may be sent again. UNKNOWN: it may have been carried out, or may
    yet be carried out later.
    """

    COMMITTED = "done"
    CONFLICT = "conflict"
    NO_LEASE = "no lease"
    REJECTED = "refused"
    UNKNOWN = "unknown"


class TransactionResult(NamedTuple):
    """How a transaction ended, and the revision of the store at that; 0 where the answer carries none."""

    outcome: TransactionOutcome
    revision: int = 0


def transaction_result(reply: Reply) -> TransactionResult:
    """The result that an answer to POST /multi stands for.

    Source: PROTOCOL-sloeswitch.md, "Controller nodes -> state service".

    Raises:
        wire.MalformedError: The answer is a success or a conflict without a revision; the result is unknown.
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
    """Requests to the state service within this controller's part of the rates.

    Attributes:
        controller_count: How many controllers divide the rates at present.
        timeout_s: How long an answer is waited for. Most take under 10 ms, some a few hundred; a controller's lease
            must outlive two of these waits.
        request_tokens: This controller's part of the requests per second.
        write_tokens: This controller's part of the changes per second.
        txn_ops: How many changes the state service takes in a transaction; lowered if it takes fewer than configured.
        value_bytes: How long a stored value may be; lowered if the state service takes less than configured.
        failing_since: When requests began to fail without any answer since; None while the service answers.
        requests_by_status: How many requests were answered with each status; `none`: no answer.
        transactions_by_outcome: How many transactions ended in each way.
        outages: How often requests began to fail.
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
        self.txn_ops = settings.txn_ops
        self.value_bytes = settings.value_bytes
        self.failing_since: float | None = None
        self.requests_by_status: Counter[str] = Counter()
        self.transactions_by_outcome: Counter[TransactionOutcome] = Counter()
        self.outages = 0

    # -- rates

    def available_changes(self, priority: RequestPriority) -> int:
        """How many changes may go into one transaction of this priority.

        More than the bucket holds above what is reserved for higher priorities would overdraw it, and users'
        submissions would wait for that.
        """
        self._update_rates()
        unreserved_changes = int(self.write_tokens.rate * (1 - RESERVED_FRACTION[priority]))
        return min(self.txn_ops, max(MIN_AVAILABLE_CHANGES, unreserved_changes))

    async def acquire_changes(self, changes: int, priority: RequestPriority) -> None:
        """Waits until so many changes are within the write rate, for a transaction that is built afterwards."""
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
        """Sends one request, once the request rate allows it.

        Args:
            method: The HTTP method.
            path: The path with its query.
            body: The JSON body; None: no body.
            priority: Its priority for the request rate.
            hold_s: How long the state service may hold the answer back (a watch), in seconds.

        Raises:
            HttpTransportError: There is no answer; the request may have been carried out, or may yet be.
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
        return reply

    @property
    def is_reachable(self) -> bool:
        """Whether the state service has answered within the last `timeout_s`, or has not failed since it did."""
        return self.failing_since is None or self.now() - self.failing_since < self.timeout_s

    def _record_status(self, status: int) -> None:
        """Notes whether the service works for this controller; 429 (over the rate) says nothing of that."""
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
        """Carries out one transaction, sent once.

        Args:
            transaction: What is compared, written and deleted.
            priority: Its priority for the write rate and the request rate.
            leases: The lease, by its identifier, that each of these written keys is bound to.
            acquired_changes: How many changes acquire_changes() has already taken from the write rate for it; the
                ones that the transaction does not need are refunded. 0: they are acquired here.
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
            reply = await self.call("POST", "/multi", body, priority)
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
        """Slows down or lowers the limits, as the refusal says."""
        if reply.status == HTTPStatus.BAD_REQUEST:
            log.error("transaction refused: answer=%s", reply.body[:LOGGED_ANSWER_BYTES])
            self._lower_limits(transaction)
        elif reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            # A rate that fell, or another controller's burst: wait for what this one took to come back.
            log.info("transaction over the rate: changes=%d", len(transaction))
            self.write_tokens.tokens = min(self.write_tokens.tokens, 0.0)

    def _lower_limits(self, transaction: Transaction) -> None:
        """Lowers the limits below a refused transaction.

        Guards against limits of the state service that fell further than announced: the same transaction would be
        refused for ever.
        """
        changes = len(transaction)
        if changes > MIN_TRANSACTION_CHANGES:
            self.txn_ops = max(MIN_TRANSACTION_CHANGES, changes // 2)
            log.error("transaction limit lowered: max_changes=%d", self.txn_ops)
        elif transaction.writes:
            largest_bytes = max(len(wire.encode(value)) for value in transaction.writes.values())
            least_bytes = int(self.settings.value_bytes * MIN_FRACTION_OF_VALUE_LIMIT)
            if largest_bytes > least_bytes:
                lowered_bytes = int(LOWERED_FRACTION_OF_VALUE * largest_bytes)
                self.value_bytes = max(least_bytes, min(self.value_bytes, lowered_bytes))
                log.error("value limit lowered: max_bytes=%d", self.value_bytes)
