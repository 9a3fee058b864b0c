"""HTTP/1.1 over anyio streams, parsed by h11: a small server and a client that keeps connections."""

from __future__ import annotations

import logging
import math
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import h11
from anyio.abc import SocketStream

from sloeswitch.settings import Address
from sloeswitch.wire import MAX_BODY

log = logging.getLogger("http")

REASONS = {
    200: b"OK", 201: b"Created", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    421: b"Misdirected Request", 422: b"Unprocessable Content", 503: b"Service Unavailable",
}  # fmt: skip


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


def listener_socket(address: Address) -> socket.socket:
    """A listening socket without a name look-up, which the machines do not offer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((address.host, address.port))
    sock.listen(256)
    return sock


@dataclass(eq=False)
class Connection:
    """One accepted connection, and when it is closed if nothing comes or goes on it."""

    stream: SocketStream
    closes_at: float
    talk: dict[str, float] = field(default_factory=dict)
    h11: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))


class Server:
    """Serves one address. A connection may be idle for `idle_s`; a request, once begun, must be whole within
    `request_s`. When all connections are taken, a new one takes the place of the one idle longest.

    The times are watched by one sweep for all connections: a timer for each request took a tenth of what
    a report costs."""

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
        parser, stream = connection.h11, connection.stream
        while True:
            try:
                request = await self._read(connection)
            except h11.RemoteProtocolError as error:
                log.debug("broken request: %s", error)
                await self._broken(parser, stream)
                return
            if request is None:
                return
            if len(request.body) > MAX_BODY:
                answer = Answer(400, b'{"error":"body over 64 KiB"}', close=True)
            else:
                connection.closes_at = math.inf
                answer = await self.handler(request)
            headers = [("Content-Type", "application/json"), ("Content-Length", str(len(answer.body)))]
            headers += answer.headers
            if answer.close:
                headers.append(("Connection", "close"))
            data = parser.send(
                h11.Response(status_code=answer.status, headers=headers, reason=REASONS.get(answer.status, b""))
            )
            data = (data or b"") + (parser.send(h11.Data(data=answer.body)) or b"")
            data += parser.send(h11.EndOfMessage()) or b""
            connection.closes_at = self.now() + self.request_s
            await stream.send(data)
            if answer.close or parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                return
            parser.start_next_cycle()

    async def _read(self, connection: Connection) -> Request | None:
        parser, stream = connection.h11, connection.stream
        head: h11.Request | None = None
        body = b""
        if not parser.trailing_data[0]:
            self.idle[connection] = None
            connection.closes_at = self.now() + self.idle_s
            try:
                data = await stream.receive()
            except anyio.EndOfStream:
                return None
            finally:
                self.idle.pop(connection, None)
            connection.closes_at = self.now() + self.request_s
            parser.receive_data(data)
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    note = h11.InformationalResponse(status_code=100, headers=[])
                    await stream.send(parser.send(note) or b"")
                try:
                    parser.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    parser.receive_data(b"")
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY:
                    break
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        if head is None:
            return None
        return Request(head.method.decode(), head.target.decode(), bytes(body), connection.talk)

    @staticmethod
    async def _broken(parser: h11.Connection, stream: SocketStream) -> None:
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = b'{"error":"broken HTTP"}'
        headers = [("Content-Length", str(len(body))), ("Connection", "close")]
        data = parser.send(h11.Response(status_code=400, headers=headers, reason=b"Bad Request")) or b""
        data += parser.send(h11.Data(data=body)) or b""
        await stream.send(data)


class NoAnswer(Exception):
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
        """One exchange; NoAnswer when it fails in any way. Never sent twice by itself."""
        stream: SocketStream | None = None
        try:
            with anyio.fail_after(timeout_s):
                if self.idle:
                    stream, connection = self.idle.pop()
                else:
                    stream = await anyio.connect_tcp(self.address.host, self.address.port)
                    connection = h11.Connection(h11.CLIENT)
                reply = await self._exchange(stream, connection, method, path, body)
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream,
                h11.ProtocolError) as error:  # fmt: skip
            if stream is not None:
                await anyio.aclose_forcefully(stream)
            raise NoAnswer(f"{type(error).__name__} {error}") from None
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
