"""A small HTTP/1.1 server and client over asyncio, enough for the protocols of sloeswitch."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

# A handler gets the method, the path, the query and the body, and returns the status and the JSON body.
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


def _query(text: str) -> dict[str, str]:
    return dict(part.split("=", 1) for part in text.split("&") if "=" in part)


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    return first, {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def _serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler) -> None:
    while (head := await _read_head(reader)) is not None:
        first, headers = head
        method, target, _ = first.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        path, _, query = target.partition("?")
        status, answer = await handler(method, path, _query(query), json.loads(body) if body else None)
        data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()


async def serve(port: int, handler: Handler) -> asyncio.Server:
    """Serves the handler on a port of 127.0.0.1; connections stay open until the client closes them."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await _serve_connection(reader, writer, handler)
        writer.close()

    return await asyncio.start_server(connected, "127.0.0.1", port, backlog=1024)


class Connection:
    """A client's connection, opened when it is first needed and again after a failure."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any] | None:
        """Returns the status and the JSON body; None if there is no answer in time or the connection fails."""
        try:
            return await asyncio.wait_for(self._exchange(method, path, body), timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def _exchange(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self.port)
        reader, writer = self._streams
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        answer = await _read_head(reader)
        if answer is None:
            raise ConnectionError("closed")
        first, headers = answer
        text = await reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(text) if text else None

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
