"""A fake state service in memory that refuses requests above its rate limit, and controllers' clients of it."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import anyio

from sloeswitch import wire
from sloeswitch.http_client import Client, Reply
from sloeswitch.settings import Address, Settings
from sloeswitch.state_client import StateClient

# How long the service takes to answer ("normally under 10 ms", PROTOCOL-sloeswitch.md).
ANSWER_S = 0.008


class RateLimitedState:
    """Holds rows that do not change, and answers pages, the change feed and lease renewals.

    Attributes:
        rows_per_page: The rows in a page. The protocol only bounds them from above, so few rows may take many pages.
        statuses: The number of answers by status.
        pages_answered: The number of pages of rows that were sent.
        outage_until: All requests get 503 before this time, in seconds of the event loop's clock.
    """

    def __init__(self, rps: float, rows: list[wire.StoredRow], rows_per_page: int) -> None:
        self.rps = self._tokens = rps
        self._refilled_at = anyio.current_time()
        self._rows = rows
        self.rows_per_page = rows_per_page
        self.statuses: Counter[int] = Counter()
        self.pages_answered = 0
        self.outage_until = float("-inf")

    async def answer(self, path: str) -> Reply:
        reply = self._reply(path)
        self.statuses[reply.status] += 1
        await anyio.sleep(ANSWER_S)
        if path.startswith("/changes") and reply.status == HTTPStatus.OK:
            query = parse_qs(urlsplit(path).query)
            await anyio.sleep(int(query["holdMs"][0]) / 1000)
        return reply

    def _reply(self, path: str) -> Reply:
        if anyio.current_time() < self.outage_until:
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, b"{}")
        if not self._take_token():
            return Reply(HTTPStatus.TOO_MANY_REQUESTS, b"{}")
        if path.startswith("/kv?"):
            return Reply(HTTPStatus.OK, wire.encode(self._page(path)))
        if path.startswith("/changes"):
            return Reply(HTTPStatus.OK, wire.encode(wire.ChangeFeed(len(self._rows), [])))
        return Reply(HTTPStatus.OK, b"{}")

    def _take_token(self) -> bool:
        now = anyio.current_time()
        self._tokens = min(self.rps, self._tokens + (now - self._refilled_at) * self.rps)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _page(self, path: str) -> wire.StoredRowPage:
        after_key = parse_qs(urlsplit(path).query).get("after", [""])[0]
        rows = [row for row in self._rows if row.key > after_key]
        self.pages_answered += 1
        more = len(rows) > self.rows_per_page
        return wire.StoredRowPage(rows[: self.rows_per_page], len(self._rows), more)


class _InMemoryHttp(Client):
    def __init__(self, service: RateLimitedState) -> None:
        super().__init__(Address("state", 1))
        self._service = service

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Reply:
        return await self._service.answer(path)


def connect(service: RateLimitedState, settings: Settings, controller_count: int = 0) -> StateClient:
    """Returns a client for a controller that shares the rate with others; 0: with all that are configured."""
    client = StateClient(settings, lambda: controller_count or settings.controller_count, anyio.current_time)
    client.http = client.watch_http = _InMemoryHttp(service)
    return client
