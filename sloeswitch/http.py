"""An HTTP/1.1 server over anyio streams, parsed by h11, for users and workers.

Without a cache, parsing and writing heads takes over half of the cost of a heartbeat. A worker sends the same request
head with every heartbeat whose body has the same length. The server therefore caches the request heads that h11 parsed,
by their exact bytes, and the response heads that h11 wrote.
"""

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

REASON_PHRASES = {
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
    """A received request.

    Attributes:
        method: The HTTP method.
        path: The path with its query.
        body: The body, empty if there is none.
        connection_state: State that the handler keeps per connection. Requests are never pipelined (protocol), so a
            request that follows an answer on the same connection shows that the client received that answer.
    """

    method: str
    path: str
    body: bytes
    connection_state: dict[str, float] = field(default_factory=dict)


JSON_CONTENT_TYPE = "application/json"


@dataclass
class Answer:
    """A response to send. If `close` is set, the connection is closed after it."""

    status: int
    body: bytes = b"{}"
    headers: list[tuple[str, str]] = field(default_factory=list)
    close: bool = False
    content_type: str = JSON_CONTENT_TYPE


def retry_later(retry_s: float) -> Answer:
    """Returns a 503 that asks the client to retry after `retry_s` seconds, rounded, but at least 1."""
    return Answer(503, b'{"error":"not now"}', [("Retry-After", str(max(1, round(retry_s))))])


Handler = Callable[[Request], Awaitable[Answer]]


def listener_socket(address: Address, backlog: int) -> socket.socket:
    """Returns a listening socket for an IP address.

    It does not resolve names, since the machines provide no name resolution.

    Args:
        address: The address to listen on.
        backlog: The maximum number of connections that wait to be accepted. All workers may connect at once, when the
            other controllers have failed.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((address.host, address.port))
    sock.listen(backlog)
    return sock


# -- the cache of heads

# The end of a request head, by the same rule as in h11.
HEAD_END = re.compile(rb"\n\r?\n")
MAX_CACHED_HEAD_BYTES = 1024
CACHED_HEADS_PER_CONNECTION = 4
MAX_CACHED_ANSWER_HEADS = 1024
# Headers that affect the connection or how the body is sent. A request head that has one of them is not cached.
CONNECTION_HEADERS = {b"connection", b"expect", b"transfer-encoding", b"upgrade"}


class RequestHead(NamedTuple):
    """The fields of a parsed request head that the server needs."""

    method: str
    path: str
    body_bytes: int


def cacheable_head(request: h11.Request) -> RequestHead | None:
    """Returns the fields of a request head that may be cached, or None.

    A head may be cached if it is a GET or POST of HTTP/1.1 without headers that affect the connection, and has a
    body of known length within the size limit.
    """
    headers = dict(request.headers)
    if request.http_version != b"1.1" or request.method not in (b"GET", b"POST"):
        return None
    if not CONNECTION_HEADERS.isdisjoint(headers):
        return None
    body_bytes = int(headers.get(b"content-length", b"0"))
    return (
        RequestHead(request.method.decode(), request.target.decode(), body_bytes)
        if body_bytes <= MAX_BODY_BYTES
        else None
    )


def encode_head(parser: h11.Connection, answer: Answer) -> bytes:
    """Encodes the status line and headers of an answer."""
    headers = [("Content-Type", answer.content_type), ("Content-Length", str(len(answer.body))), *answer.headers]
    if answer.close:
        headers.append(("Connection", "close"))
    reason = REASON_PHRASES.get(answer.status, b"")
    return parser.send(h11.Response(status_code=answer.status, headers=headers, reason=reason)) or b""


def encode_answer(parser: h11.Connection, answer: Answer, without_body: bool = False) -> bytes:
    """Encodes a whole answer; with `without_body`, the head still has the length of the body, but no body follows."""
    data = encode_head(parser, answer)
    if not without_body:
        data += parser.send(h11.Data(data=answer.body)) or b""
    return data + (parser.send(h11.EndOfMessage()) or b"")


@functools.lru_cache(maxsize=MAX_CACHED_ANSWER_HEADS)
def _cached_answer_head(status: int, body_bytes: int, headers: tuple[tuple[str, str], ...], content_type: str) -> bytes:
    # h11 writes a response only after it has received a request.
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b"GET / HTTP/1.1\r\nHost: any\r\n\r\n")
    parser.next_event()
    parser.next_event()
    return encode_head(parser, Answer(status, bytes(body_bytes), list(headers), content_type=content_type))


def encode_with_cached_head(answer: Answer) -> bytes:
    """Encodes the answer to a request whose head was cached, with the cached response head."""
    head = _cached_answer_head(answer.status, len(answer.body), tuple(answer.headers), answer.content_type)
    return head + answer.body


# -- connections


@dataclass(eq=False)
class Connection:
    """One accepted connection.

    Attributes:
        stream: The stream to the client.
        closes_at: When the connection times out in its current phase, in seconds of the server's clock; infinite
            while the handler runs.
        connection_state: State that the handler keeps per connection.
        pending: Bytes that were received and not yet parsed as a request.
    """

    stream: SocketStream
    closes_at: float
    connection_state: dict[str, float] = field(default_factory=dict)
    pending: bytes = b""


class Server:
    """Serves one address.

    When the maximum number of connections is open, a new connection replaces the one that has been idle longest. One
    loop checks the time limits of all connections, because a timer per request took a tenth of the cost of a heartbeat.

    Attributes:
        handler: Returns the answer to a request.
        idle_timeout_s: How long a connection may wait for the next request.
        request_timeout_s: The time limit for receiving a request after its first bytes, and for sending an answer.
        max_connections: The maximum number of open connections.
        now: The monotonic clock, in seconds.
        open_connections: All open connections.
        idle_connections: The connections that wait for a request, the longest idle first.
        cached_heads: The cached request heads, by their bytes; the oldest entry is evicted first.
    """

    def __init__(
        self,
        handler: Handler,
        idle_timeout_s: float,
        request_timeout_s: float,
        max_connections: int,
        now: Callable[[], float],
    ) -> None:
        self.handler = handler
        self.idle_timeout_s = idle_timeout_s
        self.request_timeout_s = request_timeout_s
        self.max_connections = max_connections
        self.now = now
        self.open_connections: dict[Connection, None] = {}
        self.idle_connections: dict[Connection, None] = {}
        self.cached_heads: dict[bytes, RequestHead] = {}

    async def serve(self, stream: SocketStream) -> None:
        """Serves one accepted connection until it ends, and closes it."""
        if len(self.open_connections) >= self.max_connections:
            longest_idle = next(iter(self.idle_connections), None)
            if longest_idle is None:
                await anyio.aclose_forcefully(stream)
                return
            await self._close(longest_idle)
        connection = Connection(stream, self.now() + self.idle_timeout_s)
        self.open_connections[connection] = None
        try:
            await self._serve_requests(connection)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, TimeoutError, OSError):
            pass  # the client reconnects
        except Exception:
            # An exception that left this function would end all other connections.
            log.exception("connection failed")
        finally:
            await self._close(connection)

    async def sweep_forever(self) -> None:
        """Periodically closes the connections that exceeded their time limit."""
        while True:
            await anyio.sleep(self.request_timeout_s / 4)
            now = self.now()
            for connection in [connection for connection in self.open_connections if connection.closes_at < now]:
                await self._close(connection)

    async def _close(self, connection: Connection) -> None:
        self.open_connections.pop(connection, None)
        self.idle_connections.pop(connection, None)
        await anyio.aclose_forcefully(connection.stream)

    async def _serve_requests(self, connection: Connection) -> None:
        while True:
            if not connection.pending:
                await self._wait_request(connection)
            connection.closes_at = self.now() + self.request_timeout_s
            request = await self._read_with_cached_head(connection)
            if request is not None:
                # Inlined, since most heartbeats take this path. The handler has no time limit.
                connection.closes_at = math.inf
                answer = await self.handler(request)
                connection.closes_at = self.now() + self.request_timeout_s
                await connection.stream.send(encode_with_cached_head(answer))
            elif not await self._serve_parsed(connection):
                return

    async def _serve_parsed(self, connection: Connection) -> bool:
        """Serves a request whose head is not cached; returns whether the connection may serve another one."""
        parser = h11.Connection(h11.SERVER)
        try:
            request = await self._read_parsed(connection, parser)
        except h11.RemoteProtocolError as error:
            log.debug("request is not HTTP: error=%s", error)
            await self._answer_malformed(parser, connection.stream)
            return False
        if request is None:
            return False
        if len(request.body) > MAX_BODY_BYTES:
            answer = Answer(400, b'{"error":"body over 64 KiB"}', close=True)
        else:
            connection.closes_at = math.inf
            answer = await self.handler(request)
        connection.closes_at = self.now() + self.request_timeout_s
        # h11 raises an error for a body in an answer to HEAD, which would end the whole controller if uncaught.
        await connection.stream.send(encode_answer(parser, answer, without_body=request.method == "HEAD"))
        if answer.close or parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            return False
        connection.pending = parser.trailing_data[0]
        return True

    async def _wait_request(self, connection: Connection) -> None:
        """Waits for the first bytes of a request; raises EndOfStream when the client closes the connection."""
        self.idle_connections[connection] = None
        connection.closes_at = self.now() + self.idle_timeout_s
        try:
            connection.pending = await connection.stream.receive()
        finally:
            self.idle_connections.pop(connection, None)

    async def _read_with_cached_head(self, connection: Connection) -> Request | None:
        """Returns the request if its head is cached; otherwise returns None and reads nothing."""
        data = connection.pending
        end = HEAD_END.search(data, 0, MAX_CACHED_HEAD_BYTES)
        head = self.cached_heads.get(data[: end.end()]) if end is not None else None
        if head is None or end is None:
            return None
        start, stop = end.end(), end.end() + head.body_bytes
        while len(data) < stop:
            data += await connection.stream.receive()
        connection.pending = data[stop:]
        return Request(head.method, head.path, data[start:stop], connection.connection_state)

    def _cache_head(self, data: bytes, request: h11.Request, body: bytes) -> None:
        """Caches the head of a request, if it may be cached and the body follows it unencoded."""
        end = HEAD_END.search(data, 0, MAX_CACHED_HEAD_BYTES)
        head = cacheable_head(request)
        if end is None or head is None or len(body) != head.body_bytes or not data[end.end() :].startswith(body):
            return
        if len(self.cached_heads) >= CACHED_HEADS_PER_CONNECTION * self.max_connections:
            del self.cached_heads[next(iter(self.cached_heads))]
        self.cached_heads[data[: end.end()]] = head

    async def _read_parsed(self, connection: Connection, parser: h11.Connection) -> Request | None:
        """Reads a request with h11; returns None if the client closes the connection before it sends one.

        Reading stops once the body is over the size limit. The caller has to check the length.

        Raises:
            h11.RemoteProtocolError: The bytes are not a valid HTTP request.
        """
        head: h11.Request | None = None
        data, body = connection.pending, b""
        parser.receive_data(data)
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data += await self._receive_into(parser, connection.stream)
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
        self._cache_head(data, head, body)
        return Request(head.method.decode(), head.target.decode(), bytes(body), connection.connection_state)

    @staticmethod
    async def _receive_into(parser: h11.Connection, stream: SocketStream) -> bytes:
        """Passes the next bytes of the stream to the parser and returns them; none at the end of the stream."""
        if parser.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send(parser.send(response) or b"")
        try:
            chunk = await stream.receive()
        except anyio.EndOfStream:
            chunk = b""
        parser.receive_data(chunk)
        return chunk

    @staticmethod
    async def _answer_malformed(parser: h11.Connection, stream: SocketStream) -> None:
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await stream.send(encode_answer(parser, Answer(400, b'{"error":"broken HTTP"}', close=True)))
