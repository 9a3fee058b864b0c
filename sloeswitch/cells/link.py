"""Connections to the controllers of another cell, by frames of the mesh."""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream

from sloeswitch.cells.frames import CellAnswer, CellRequest, pack_summary, unpack_summary
from sloeswitch.cells.origin import NoAnswerError
from sloeswitch.cells.summary import Summary
from sloeswitch.cells.target import CellTarget
from sloeswitch.features import PeerCell
from sloeswitch.mesh import (
    CELL_ANSWERS,
    HEADER,
    MAGIC,
    TYPE_CELL_REQUEST,
    TYPE_SUMMARY_REQUEST,
    VERSION,
    FrameError,
    FrameReader,
    check_header,
)


class MeshLink:
    """Asks one controller of a peer after the other; a connection is kept while it answers."""

    def __init__(self, own_name: str, peer: PeerCell, timeout_s: float) -> None:
        self.own_name = own_name
        self.peer = peer
        self.timeout_s = timeout_s
        self._next = 0
        self._stream: SocketStream | None = None
        self._reader: FrameReader | None = None

    async def request(self, request: CellRequest) -> CellAnswer:
        """Asks about a handoff; NoAnswerError when there is no answer."""
        try:
            return CellAnswer.unpack(await self._exchange(TYPE_CELL_REQUEST, request.pack()))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None

    async def summary(self) -> Summary | None:
        """The peer's summary, None if it tells none; NoAnswerError when there is no answer."""
        try:
            return unpack_summary(await self._exchange(TYPE_SUMMARY_REQUEST, self.own_name.encode()))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None

    async def _exchange(self, kind: int, body: bytes) -> bytes:
        try:
            with anyio.fail_after(self.timeout_s):
                if self._stream is None or self._reader is None:
                    await self._connect()
                assert self._stream is not None and self._reader is not None
                await self._stream.send(HEADER.pack(MAGIC, VERSION, kind, len(body)) + body)
                length = check_header(await self._reader.exactly(HEADER.size), CELL_ANSWERS[kind])
                return await self._reader.exactly(length)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError,
                FrameError) as error:  # fmt: skip
            await self._close()
            raise NoAnswerError(f"{self.peer.name}: {error!r}") from None
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._close()
            raise

    async def _connect(self) -> None:
        address = self.peer.addresses[self._next % len(self.peer.addresses)]
        # The next controller is tried if this one does not answer.
        self._next += 1
        self._stream = await anyio.connect_tcp(address.host, address.port)
        self._reader = FrameReader(self._stream)

    async def _close(self) -> None:
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)
        self._stream = self._reader = None


async def answer_frame(target: CellTarget, kind: int, body: bytes) -> bytes | None:
    """The body of the answer to another cell's frame; FrameError for what is none."""
    if kind == TYPE_SUMMARY_REQUEST:
        return pack_summary(target.summary(body.decode(errors="replace")))
    answer = await target.answer(CellRequest.unpack(body))
    return CellAnswer(target.features.incarnation, answer).pack()
