"""Requests to other controllers by frames of the mesh, over one connection that is kept while it answers.

Used for frames of features: `cells.link` asks the controllers of another cell, `admission.frames` asks a sibling.
"""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from sloeswitch.mesh_frames import ANSWER_TYPES, CONNECTION_ERRORS, FrameError, FrameReader, pack_frame
from sloeswitch.settings import Address


class NoAnswerError(Exception):
    """The other side did not answer; what was asked for may or may not have happened."""


class FrameLink:
    """Sends frames to one of several addresses at a time, and goes to the next one when it does not answer.

    Attributes:
        name: Whose addresses they are, for error messages.
        addresses: Mesh addresses of controllers that can answer.
        timeout_s: How long a connection and an answer are waited for together.
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
            NoAnswerError: There is no answer of the right type in time.
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
        # The next controller is tried if this one does not answer.
        self._next_address += 1
        return await anyio.connect_tcp(address.host, address.port)

    async def _close(self) -> None:
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)
        self._stream = self._reader = None
