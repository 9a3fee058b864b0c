"""HTTP/1.1 over anyio streams, parsed by h11: a small server and a client that keeps connections."""

from __future__ import annotations

import functools
import logging
import math
import re
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

from sloeswitch.settings import Address
from sloeswitch.wire import MAX_BODY_BYTES

log = logging.getLogger("http")

REASONS = {
    200: b"OK",
    201: b"Created",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    503: b"Service Unavailable",
}


@dataclass
class Request:
    method: str
    path: str
    body: bytes
    # What the handler keeps with the connection. Requests are never pipelined (protocol), so that one
    # that comes after an answer on the same connection shows that the answer was received.
    talk: dict[str, float] = field(default_factory=dict)


@dataclass
class Answer:
    status: int
    body: bytes = b"{}"
    headers: list[tuple[str, str]] = field(default_factory=list)
    close: bool = False


def refuse(retry_s: float) -> Answer:
    """Says at once that the request cannot be taken now, and when to come back."""
    return Answer(503, b'{"error":"not now"}', [("Retry-After", str(max(1, round(retry_s))))])


Handler = Callable[[Request], Awaitable[Answer]]


def listener_socket(address: Address, backlog: int) -> socket.socket:
    """A listening socket without a name look-up, which the machines do not offer. All workers may connect at
    once, when the other controllers are gone."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((address.host, address.port))
    sock.listen(backlog)
    return sock


# Where h11 sees a head end, and the longest head worth remembering.
END_OF_HEAD = re.compile(rb"\n\r?\n")
LONGEST_KNOWN = 1024
# Headers that bear on more than the one request's body.
SPECIAL = {b"connection", b"expect", b"transfer-encoding", b"upgrade"}


class Head(NamedTuple):
    """What h11 made of a request's head."""

    method: str
    path: str
    length: int


def plain(request: h11.Request) -> Head | None:
    """The head of a request that says nothing of the connection and has a body of known length, or None."""
    headers = dict(request.headers)
    if request.http_version != b"1.1" or request.method not in (b"GET", b"POST") or not SPECIAL.isdisjoint(headers):
        return None
    length = int(headers.get(b"content-length", b"0"))
    return Head(request.method.decode(), request.target.decode(), length) if length <= MAX_BODY_BYTES else None


def write_head(parser: h11.Connection, answer: Answer) -> bytes:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(answer.body))), *answer.headers]
    if answer.close:
        headers.append(("Connection", "close"))
    return (
        parser.send(h11.Response(status_code=answer.status, headers=headers, reason=REASONS.get(answer.status, b"")))
        or b""
    )


def write(parser: h11.Connection, answer: Answer, bodiless: bool = False) -> bytes:
    data = write_head(parser, answer)
    if not bodiless:
        data += parser.send(h11.Data(data=answer.body)) or b""
    return data + (parser.send(h11.EndOfMessage()) or b"")


@functools.lru_cache(maxsize=1024)
def _plain_head(status: int, length: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b"GET / HTTP/1.1\r\nHost: any\r\n\r\n")
    parser.next_event()
    parser.next_event()
    return write_head(parser, Answer(status, bytes(length), list(headers)))


def write_plain(answer: Answer) -> bytes:
    """The answer to a plain request, with the head that h11 wrote for the first one like it."""
    return _plain_head(answer.status, len(answer.body), tuple(answer.headers)) + answer.body


@dataclass(eq=False)
class Connection:
    """One accepted connection, and when it is closed if nothing comes or goes on it."""

    stream: SocketStream
    closes_at: float
    talk: dict[str, float] = field(default_factory=dict)
    # Received and not yet read as a request.
    pending: bytes = b""


class Server:
    """Serves one address. A connection may be idle for `idle_s`; a request, once begun, must be whole within
    `request_s`. When all connections are taken, a new one takes the place of the one idle longest.

    The times are watched by one sweep for all connections: a timer for each request took a tenth of what
    a report costs. A worker sends the same head with every report of a length, and parsing and writing heads
    was over half of what a report costs: what h11 made of a plain head is remembered, byte for byte."""

    def __init__(
        self, handler: Handler, idle_s: float, request_s: float, most_connections: int, now: Callable[[], float]
    ) -> None:
        self.handler = handler
        self.idle_s = idle_s
        self.request_s = request_s
        self.most_connections = most_connections
        self.now = now
        self.open: dict[Connection, None] = {}
        # Connections between requests, the longest idle first.
        self.idle: dict[Connection, None] = {}
        self.heads: dict[bytes, Head] = {}

    async def serve(self, stream: SocketStream) -> None:
        if len(self.open) >= self.most_connections:
            oldest = next(iter(self.idle), None)
            if oldest is None:
                await anyio.aclose_forcefully(stream)
                return
            await self._drop(oldest)
        connection = Connection(stream, self.now() + self.idle_s)
        self.open[connection] = None
        try:
            await self._serve(connection)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, TimeoutError, OSError):
            pass
        except Exception:
            # A fault in one connection must not end the others.
            log.exception("while serving a connection")
        finally:
            await self._drop(connection)

    async def _drop(self, connection: Connection) -> None:
        self.open.pop(connection, None)
        self.idle.pop(connection, None)
        await anyio.aclose_forcefully(connection.stream)

    async def sweep_forever(self) -> None:
        while True:
            await anyio.sleep(self.request_s / 4)
            now = self.now()
            for connection in [connection for connection in self.open if connection.closes_at < now]:
                await self._drop(connection)

    async def _serve(self, connection: Connection) -> None:
        stream = connection.stream
        while True:
            if not connection.pending:
                await self._wait(connection)
            connection.closes_at = self.now() + self.request_s
            parser: h11.Connection | None = None
            request = await self._read_known(connection)
            if request is None:
                parser = h11.Connection(h11.SERVER)
                try:
                    request = await self._read(connection, parser)
                except h11.RemoteProtocolError as error:
                    log.debug("broken request: %s", error)
                    await self._broken(parser, stream)
                    return
                if request is None:
                    return
            if len(request.body) > MAX_BODY_BYTES:
                answer = Answer(400, b'{"error":"body over 64 KiB"}', close=True)
            else:
                connection.closes_at = math.inf
                answer = await self.handler(request)
            # An answer to HEAD has no body. Found by a test: h11 refused to write one, and the fault ended the
            # whole controller.
            data = write_plain(answer) if parser is None else write(parser, answer, request.method == "HEAD")
            connection.closes_at = self.now() + self.request_s
            await stream.send(data)
            if parser is not None:
                if answer.close or parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                    return
                connection.pending = parser.trailing_data[0]

    async def _wait(self, connection: Connection) -> None:
        """The first bytes of a request; EndOfStream when none comes any more."""
        self.idle[connection] = None
        connection.closes_at = self.now() + self.idle_s
        try:
            connection.pending = await connection.stream.receive()
        finally:
            self.idle.pop(connection, None)

    async def _read_known(self, connection: Connection) -> Request | None:
        """The request, if its head is known. Else None, and nothing is read."""
        data = connection.pending
        end = END_OF_HEAD.search(data, 0, LONGEST_KNOWN)
        head = self.heads.get(data[: end.end()]) if end is not None else None
        if head is None or end is None:
            return None
        start, stop = end.end(), end.end() + head.length
        while len(data) < stop:
            data += await connection.stream.receive()
        connection.pending = data[stop:]
        return Request(head.method, head.path, data[start:stop], connection.talk)

    def _remember(self, data: bytes, request: h11.Request, body: bytes) -> None:
        end = END_OF_HEAD.search(data, 0, LONGEST_KNOWN)
        head = plain(request)
        if end is None or head is None or len(body) != head.length or not data[end.end() :].startswith(body):
            return
        if len(self.heads) >= 4 * self.most_connections:
            del self.heads[next(iter(self.heads))]
        self.heads[data[: end.end()]] = head

    async def _read(self, connection: Connection, parser: h11.Connection) -> Request | None:
        stream = connection.stream
        head: h11.Request | None = None
        data, body = connection.pending, b""
        parser.receive_data(data)
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    note = h11.InformationalResponse(status_code=100, headers=[])
                    await stream.send(parser.send(note) or b"")
                try:
                    chunk = await stream.receive()
                except anyio.EndOfStream:
                    chunk = b""
                parser.receive_data(chunk)
                data += chunk
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    break
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        if head is None:
            return None
        self._remember(data, head, body)
        return Request(head.method.decode(), head.target.decode(), bytes(body), connection.talk)

    @staticmethod
    async def _broken(parser: h11.Connection, stream: SocketStream) -> None:
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await stream.send(write(parser, Answer(400, b'{"error":"broken HTTP"}', close=True)))


class NoAnswerError(Exception):
    """The request may or may not have been carried out."""


@dataclass
class Reply:
    status: int
    body: bytes


class Client:
    """Talks to one address over kept connections, each used by one request at a time."""

    def __init__(self, address: Address, most_idle: int = 4) -> None:
        self.address = address
        self.most_idle = most_idle
        self.idle: list[tuple[SocketStream, h11.Connection]] = []

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Reply:
        """One exchange; NoAnswerError when it fails in any way. Never sent twice by itself."""
        stream: SocketStream | None = None
        try:
            with anyio.fail_after(timeout_s):
                if self.idle:
                    stream, connection = self.idle.pop()
                else:
                    stream = await anyio.connect_tcp(self.address.host, self.address.port)
                    connection = h11.Connection(h11.CLIENT)
                reply = await self._exchange(stream, connection, method, path, body)
        except (
            OSError,
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.ProtocolError,
        ) as error:
            if stream is not None:
                await anyio.aclose_forcefully(stream)
            raise NoAnswerError(f"{type(error).__name__} {error}") from None
        except BaseException:
            if stream is not None:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
            raise
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE and len(self.idle) < self.most_idle:
            connection.start_next_cycle()
            self.idle.append((stream, connection))
        else:
            await anyio.aclose_forcefully(stream)
        return reply

    async def _exchange(
        self, stream: SocketStream, connection: h11.Connection, method: str, path: str, body: bytes | None
    ) -> Reply:
        headers = [("Host", f"{self.address.host}:{self.address.port}")]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        data = connection.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if body is not None:
            data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        await stream.send(data)
        status = 0
        parts: list[bytes] = []
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream
