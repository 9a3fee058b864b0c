"""A small HTTP/1.1 server and client on loopback, for the stand-ins of the second review.

Only what the users' protocol needs: JSON bodies with a known length, connections that stay open, no pipelining.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

HOST = "127.0.0.1"
# The users' limit on the body of a request, and on a line of a response to workers or users.
MAX_BYTES = 64 * 1024


def encode(body: Any) -> bytes:
    """Encodes a body without spaces."""
    return json.dumps(body, separators=(",", ":")).encode()


class NoAnswerError(Exception):
    """A request got no complete answer in time."""


@dataclass
class Answer:
    """A status and a decoded JSON body."""

    status: int
    body: Any


Handler = Callable[[str, str, Any], Awaitable[Answer]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a first line and headers.

    Raises:
        ConnectionError: The other side closed the connection.
    """
    first = (await reader.readline()).decode().strip()
    if not first:
        raise ConnectionError("closed")
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> Any:
    data = await reader.readexactly(int(headers.get("content-length", "0")))
    return json.loads(data) if data else None


class Server:
    """Serves one handler on a free loopback port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, path, _version = first.split(" ", 2)
                answer = await self.handler(method, path, await _read_body(reader, headers))
                data = encode(answer.body)
                head = f"HTTP/1.1 {answer.status} -\r\nContent-Type: application/json\r\nContent-Length: {len(data)}"
                writer.write(f"{head}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass  # the client reconnects, or the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()


class Connection:
    """A client's connection to one address; it is opened by the first request and opened again after a failure."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, method: str, path: str, body: Any = None, timeout_s: float = 5.0) -> Answer:
        """Sends one request and returns the answer.

        Raises:
            NoAnswerError: No complete answer within the time limit, a body over the limit, or a longer line.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise NoAnswerError(type(error).__name__) from None
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            with contextlib.suppress(RuntimeError):
                self._streams[1].close()
            self._streams = None

    async def _exchange(self, method: str, path: str, body: Any) -> Answer:
        data = b"" if body is None else encode(body)
        if len(data) > MAX_BYTES:
            raise NoAnswerError("body over 64 KiB")
        if self._streams is None:
            self._streams = await asyncio.open_connection(self.host, self.port)
        reader, writer = self._streams
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        first, headers = await _read_head(reader)
        if int(headers.get("content-length", "0")) > MAX_BYTES:
            self.close()
            raise NoAnswerError("line over 64 KiB")
        answer = Answer(int(first.split(" ")[1]), await _read_body(reader, headers))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return answer
