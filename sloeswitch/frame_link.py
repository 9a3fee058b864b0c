"""Questions to other controllers by frames of the mesh, over one connection that is kept while it answers."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from sloeswitch.mesh_frames import ANSWER_TYPES, HEADER, MAGIC, VERSION, FrameError, FrameReader, check_header
from sloeswitch.settings import Address


class NoAnswerError(Exception):
    """The other side did not answer; what was asked for may or may not have happened."""


class FrameLink:
    """Asks one of several addresses after the other."""

    def __init__(self, name: str, addresses: tuple[Address, ...], timeout_s: float) -> None:
        self.name = name
        self.addresses = addresses
        self.timeout_s = timeout_s
        self._next = 0
        self._stream: SocketStream | None = None
        self._reader: FrameReader | None = None

    async def exchange(self, kind: int, body: bytes) -> bytes:
        """The body of the answer to a frame; NoAnswerError when there is none."""
        try:
            with anyio.fail_after(self.timeout_s):
                if self._stream is None or self._reader is None:
                    await self._connect()
                assert self._stream is not None and self._reader is not None
                await self._stream.send(HEADER.pack(MAGIC, VERSION, kind, len(body)) + body)
                length = check_header(await self._reader.read_exactly(HEADER.size), ANSWER_TYPES[kind])
                return await self._reader.read_exactly(length)
        except (
            OSError,
            TimeoutError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            FrameError,
        ) as error:
            await self._close()
            raise NoAnswerError(f"{self.name}: {error!r}") from None
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._close()
            raise

    async def _connect(self) -> None:
        address = self.addresses[self._next % len(self.addresses)]
        # The next controller is tried if this one does not answer.
        self._next += 1
        self._stream = await anyio.connect_tcp(address.host, address.port)
        self._reader = FrameReader(self._stream)

    async def _close(self) -> None:
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)
        self._stream = self._reader = None
