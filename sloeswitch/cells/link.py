"""Connections to the controllers of another cell, using mesh frames."""

from __future__ import annotations

from sloeswitch.cells.frames import CellAnswer, CellRequest, pack_summary, unpack_summary
from sloeswitch.cells.summary import Summary
from sloeswitch.cells.target import CellTarget
from sloeswitch.features import PeerCell
from sloeswitch.frame_link import FrameLink, NoAnswerError
from sloeswitch.mesh_frames import FrameError, FrameType


class MeshLink:
    """Sends requests to a peer cell over one connection.

    The connection is kept while its controller answers. After a failure the next request goes to the next controller.
    """

    def __init__(self, own_name: str, peer: PeerCell, timeout_s: float) -> None:
        self.own_name = own_name
        self.frames = FrameLink(peer.name, peer.addresses, timeout_s)

    async def request(self, request: CellRequest) -> CellAnswer:
        """Sends a request about a handoff; raises NoAnswerError if there is no valid answer."""
        try:
            return CellAnswer.unpack(await self.frames.exchange(FrameType.CELL_REQUEST, request.pack()))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None

    async def summary(self) -> Summary | None:
        """Requests the peer's summary; None if it has none now. Raises NoAnswerError if there is no valid answer."""
        try:
            return unpack_summary(await self.frames.exchange(FrameType.SUMMARY_REQUEST, self.own_name.encode()))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None


async def answer_frame(target: CellTarget, kind: int, body: bytes) -> bytes | None:
    """Returns the body of the answer to a frame of another cell; raises FrameError if the frame is not valid."""
    if kind == FrameType.SUMMARY_REQUEST:
        return pack_summary(target.summary(body.decode(errors="replace")))
    answer = await target.answer(CellRequest.unpack(body))
    return CellAnswer(target.features.incarnation, answer).pack()
