"""Connections to the controllers of another cell, by frames of the mesh."""

from __future__ import annotations

from sloeswitch.cells.frames import CellAnswer, CellRequest, pack_summary, unpack_summary
from sloeswitch.cells.summary import Summary
from sloeswitch.cells.target import CellTarget
from sloeswitch.features import PeerCell
from sloeswitch.frame_link import FrameLink, NoAnswerError
from sloeswitch.mesh_frames import FrameError, FrameType


class MeshLink:
    """Asks one controller of a peer after the other; a connection is kept while it answers."""

    def __init__(self, own_name: str, peer: PeerCell, timeout_s: float) -> None:
        self.own_name = own_name
        self.frames = FrameLink(peer.name, peer.addresses, timeout_s)

    async def request(self, request: CellRequest) -> CellAnswer:
        """Asks about a handoff; NoAnswerError when there is no answer."""
        try:
            return CellAnswer.unpack(await self.frames.exchange(FrameType.CELL_REQUEST, request.pack()))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None

    async def summary(self) -> Summary | None:
        """The peer's summary, None if it tells none; NoAnswerError when there is no answer."""
        try:
            return unpack_summary(await self.frames.exchange(FrameType.SUMMARY_REQUEST, self.own_name.encode()))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None


async def answer_frame(target: CellTarget, kind: int, body: bytes) -> bytes | None:
    """The body of the answer to another cell's frame; FrameError for what is none."""
    if kind == FrameType.SUMMARY_REQUEST:
        return pack_summary(target.summary(body.decode(errors="replace")))
    answer = await target.answer(CellRequest.unpack(body))
    return CellAnswer(target.features.incarnation, answer).pack()
