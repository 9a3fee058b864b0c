"""The client of the state service: results of transactions, and whether the service is reachable."""

from __future__ import annotations

import anyio
import pytest

from sloeswitch.http_client import Client, HttpTransportError, Reply
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.settings import Address, parse
from sloeswitch.state_client import StateClient, TransactionOutcome, TransactionResult, transaction_result
from sloeswitch.wire import MalformedError
from tests.conftest import SETTINGS
from tests.support.clock import Clock


@pytest.mark.parametrize(
    ("status", "body", "result"),
    [
        (200, b'{"epoch":432}', TransactionResult(TransactionOutcome.COMMITTED, 432)),
        (409, b'{"failed":["a/b"],"epoch":431}', TransactionResult(TransactionOutcome.CONFLICT, 431)),
        (400, b'{"error":"no such lease"}', TransactionResult(TransactionOutcome.NO_LEASE)),
        (400, b'{"error":"too large"}', TransactionResult(TransactionOutcome.REJECTED)),
        (429, b'{"error":"too many"}', TransactionResult(TransactionOutcome.REJECTED)),
        (503, b'{"error":"no such lease"}', TransactionResult(TransactionOutcome.REJECTED)),
    ],
)
def test_the_result_of_a_transaction_follows_from_the_answer(
    status: int, body: bytes, result: TransactionResult
) -> None:
    assert transaction_result(Reply(status, body)) == result


@pytest.mark.parametrize("status", [200, 409])
def test_a_success_or_conflict_without_a_revision_is_malformed(status: int) -> None:
    with pytest.raises(MalformedError):
        transaction_result(Reply(status, b"{}"))


class ScriptedHttp(Client):
    """Answers each request with the next status; None: no answer."""

    def __init__(self) -> None:
        super().__init__(Address("state", 1))
        self.statuses: list[int | None] = []

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Reply:
        status = self.statuses.pop(0)
        if status is None:
            raise HttpTransportError("lost")
        return Reply(status, b"")


def test_the_service_is_unreachable_after_a_timeout_of_failures_until_it_answers() -> None:
    clock = Clock()
    client = StateClient(parse(SETTINGS), lambda: 1, clock.now)
    client.http = http = ScriptedHttp()

    def call(status: int | None) -> bool:
        http.statuses.append(status)
        try:
            anyio.run(client.call, "GET", "/kv/a", None, RequestPriority.LEASE)
        except HttpTransportError:
            assert status is None
        return client.is_reachable

    assert call(None)
    clock.time += client.timeout_s
    # 429 is neither a failure nor an answer; 503 is a failure, and any other status is an answer.
    assert not client.is_reachable and not call(429) and not call(503)
    assert call(404)
