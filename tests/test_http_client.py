"""Tests of the HTTP client over in-memory streams."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch.http_client import Client, HttpTransportError, Reply
from sloeswitch.settings import Address

KEEP_ALIVE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CLOSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"


class Responder:
    """The server side of a connection, which sends scripted responses in order."""

    def __init__(self, *responses: bytes) -> None:
        self.responses = list(responses)
        self.requests: list[bytes] = []
        self.is_closed = False

    async def send(self, data: bytes) -> None:
        self.requests.append(data)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self.responses:
            raise anyio.EndOfStream
        return self.responses.pop(0)

    async def aclose(self) -> None:
        self.is_closed = True


def client_of(monkeypatch: pytest.MonkeyPatch, *connections: Responder) -> Client:
    """Returns a client that opens the given connections in order."""
    remaining = list(connections)

    async def connect(host: str, port: int) -> Any:
        return remaining.pop(0)

    monkeypatch.setattr(anyio, "connect_tcp", connect)
    return Client(Address("state", 1), max_idle_connections=1)


def get(client: Client) -> Reply:
    return anyio.run(client.request, "GET", "/kv/a", None, 5.0)


def test_a_connection_is_reused_by_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    responder = Responder(KEEP_ALIVE, KEEP_ALIVE)
    client = client_of(monkeypatch, responder)
    assert get(client) == get(client) == Reply(200, b"{}")
    assert len(responder.requests) == 2 and not responder.is_closed


def test_a_connection_is_not_reused_when_the_server_closes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = Responder(CLOSE), Responder(KEEP_ALIVE)
    client = client_of(monkeypatch, first, second)
    assert get(client) == get(client) == Reply(200, b"{}")
    assert first.is_closed and len(first.requests) == len(second.requests) == 1


@pytest.mark.parametrize("response", [b"", b"nonsense\r\n\r\n", KEEP_ALIVE[:-1]])
def test_a_request_without_a_complete_response_is_not_retried(monkeypatch: pytest.MonkeyPatch, response: bytes) -> None:
    responder = Responder(response) if response else Responder()
    client = client_of(monkeypatch, responder)
    with pytest.raises(HttpTransportError):
        get(client)
    assert responder.is_closed and len(responder.requests) == 1
