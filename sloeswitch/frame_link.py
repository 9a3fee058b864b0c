"""Sends requests of optional features to other controllers, as frames of the mesh over one persistent connection.

`cells.link` sends them to the controllers of another cell, `admission.frames` to a sibling.
"""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from sloeswitch.mesh_frames import ANSWER_TYPES, CONNECTION_ERRORS, FrameError, FrameReader, pack_frame
from sloeswitch.settings import Address


class NoAnswerError(Exception):
    """No valid answer was received; the request may or may not have been executed."""


class FrameLink:
    """Sends frames to one of several addresses, and switches to the next address when an exchange fails.

    Attributes:
        name: The cell or controller that the addresses belong to, for error messages.
        addresses: The mesh addresses of the controllers that can answer.
        timeout_s: The time limit for connecting and receiving the answer together.
    """

    def __init__(self, name: str, addresses: tuple[Address, ...], timeout_s: float) -> None:
        self.name = name
        self.addresses = addresses
        self.timeout_s = timeout_s
        self._next_address = 0
        self._stream: SocketStream | None = None
        self._reader: FrameReader | None = None

    async def exchange(self, frame_type: int, body: bytes) -> bytes:
        """Sends a frame and returns the body of the answer.

        Raises:
            NoAnswerError: No answer of the right type was received within the time limit.
        """
        try:
            with anyio.fail_after(self.timeout_s):
                if self._stream is None or self._reader is None:
                    self._stream = await self._connect()
                    self._reader = FrameReader(self._stream)
                await self._stream.send(pack_frame(frame_type, body))
                return await self._reader.read_body(await self._reader.read_header(), ANSWER_TYPES[frame_type])
        except (*CONNECTION_ERRORS, FrameError) as error:
            await self._close()
            raise NoAnswerError(f"{self.name}: {error!r}") from None
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._close()
            raise

    async def _connect(self) -> SocketStream:
        address = self.addresses[self._next_address % len(self.addresses)]
        # The next connection, made after this one failed, goes to the next controller.
        self._next_address += 1
        return await anyio.connect_tcp(address.host, address.port)

    async def _close(self) -> None:
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)
        self._stream = self._reader = None
