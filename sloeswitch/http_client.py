"""An HTTP/1.1 client over anyio streams, parsed by h11, that keeps connections."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream

from sloeswitch.settings import Address


class HttpTransportError(Exception):
    """The request may or may not have been carried out."""


@dataclass
class Reply:
    """An answer."""

    status: int
    body: bytes


class Client:
    """Talks to one address over kept connections, each used by one request at a time."""

    def __init__(self, address: Address, max_idle_connections: int = 4) -> None:
        self.address = address
        self.max_idle_connections = max_idle_connections
        self.idle: list[tuple[SocketStream, h11.Connection]] = []

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Reply:
        """One exchange; HttpTransportError when it fails in any way. Never sent twice by itself."""
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
            raise HttpTransportError(f"{type(error).__name__} {error}") from None
        except BaseException:
            if stream is not None:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
            raise
        if (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
            and len(self.idle) < self.max_idle_connections
        ):
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
