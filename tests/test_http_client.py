"""The HTTP client, which speaks over streams in memory."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch.http_client import Client, HttpTransportError, Reply
from sloeswitch.settings import Address

KEPT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CLOSED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"


class Responder:
    """The far end of a connection, which gives one scripted response after another."""

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
    """A client whose connections are these, in order."""
    left = list(connections)

    async def connect(host: str, port: int) -> Any:
        return left.pop(0)

    monkeypatch.setattr(anyio, "connect_tcp", connect)
    return Client(Address("state", 1), max_idle_connections=1)


def get(client: Client) -> Reply:
    return anyio.run(client.request, "GET", "/kv/a", None, 5.0)


def test_a_connection_is_kept_for_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    responder = Responder(KEPT, KEPT)
    client = client_of(monkeypatch, responder)
    assert get(client) == get(client) == Reply(200, b"{}")
    assert len(responder.requests) == 2 and not responder.is_closed


def test_a_connection_is_not_kept_when_the_other_side_closes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = Responder(CLOSED), Responder(KEPT)
    client = client_of(monkeypatch, first, second)
    assert get(client) == get(client) == Reply(200, b"{}")
    assert first.is_closed and len(first.requests) == len(second.requests) == 1


@pytest.mark.parametrize("response", [b"", b"nonsense\r\n\r\n", KEPT[:-1]])
def test_without_a_whole_response_the_request_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch, response: bytes
) -> None:
    responder = Responder(response) if response else Responder()
    client = client_of(monkeypatch, responder)
    with pytest.raises(HttpTransportError):
        get(client)
    assert responder.is_closed and len(responder.requests) == 1
