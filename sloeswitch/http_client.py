"""An HTTP/1.1 client over anyio streams, parsed by h11, with persistent connections.

Requests to the state service and to the cloud, and direct commands to workers, are sent by it.
"""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream

from sloeswitch.settings import Address


class HttpTransportError(Exception):
    """No complete response was received; the request may have been executed, or may still be.

    The message names the cause: a failed connection, an invalid response or a timeout.
    """


@dataclass
class Reply:
    """A response: its status and its body."""

    status: int
    body: bytes


@dataclass(frozen=True)
class _Connection:
    """A connection and the state of its parser."""

    stream: SocketStream
    parser: h11.Connection

    @property
    def is_reusable(self) -> bool:
        """Whether both sides have completed the exchange, and neither asked to close the connection."""
        return self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE


class Client:
    """Sends requests to one address over persistent connections, each used by one request at a time.

    Attributes:
        address: The address of the server.
        max_idle_connections: The maximum number of connections that stay open between requests.
    """

    def __init__(self, address: Address, max_idle_connections: int = 4) -> None:
        self.address = address
        self.max_idle_connections = max_idle_connections
        self._idle: list[_Connection] = []

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Reply:
        """Sends one request, without retries, and returns the response.

        Args:
            method: The HTTP method.
            path: The path with its query.
            body: The JSON body, or None for a request without a body.
            timeout_s: The time limit for connecting and receiving the response together.

        Raises:
            HttpTransportError: No complete response was received within the time limit.
        """
        connection: _Connection | None = None
        try:
            with anyio.fail_after(timeout_s):
                connection = self._idle.pop() if self._idle else await self._connect()
                reply = await self._exchange(connection, method, path, body)
        except (
            OSError,
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.ProtocolError,
        ) as error:
            if connection is not None:
                await anyio.aclose_forcefully(connection.stream)
            raise HttpTransportError(f"{type(error).__name__} {error}") from None
        except BaseException:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(connection.stream)
            raise
        await self._keep_or_close(connection)
        return reply

    async def _connect(self) -> _Connection:
        stream = await anyio.connect_tcp(self.address.host, self.address.port)
        return _Connection(stream, h11.Connection(h11.CLIENT))

    async def _keep_or_close(self, connection: _Connection) -> None:
        if connection.is_reusable and len(self._idle) < self.max_idle_connections:
            connection.parser.start_next_cycle()
            self._idle.append(connection)
        else:
            await anyio.aclose_forcefully(connection.stream)

    async def _exchange(self, connection: _Connection, method: str, path: str, body: bytes | None) -> Reply:
        await connection.stream.send(self._encode_request(connection.parser, method, path, body))
        status = 0
        parts: list[bytes] = []
        while True:
            event = connection.parser.next_event()
            if event is h11.NEED_DATA:
                connection.parser.receive_data(await connection.stream.receive())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    def _encode_request(self, parser: h11.Connection, method: str, path: str, body: bytes | None) -> bytes:
        headers = [("Host", f"{self.address.host}:{self.address.port}")]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        data = parser.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if body is not None:
            data += parser.send(h11.Data(data=body)) or b""
        return data + (parser.send(h11.EndOfMessage()) or b"")
