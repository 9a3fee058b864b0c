"""The simulated network between cells."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sloeswitch.cells.frames import CellAnswer, CellRequest, pack_summary
from sloeswitch.cells.messages import AnswerMessage
from sloeswitch.cells.summary import Summary
from sloeswitch.frame_link import NoAnswerError

if TYPE_CHECKING:
    from tests.support.cells import CellWorld


class ScriptedLink:
    """The link from one cell to another, which may be cut, lose messages and deliver delayed copies."""

    def __init__(self, world: CellWorld, origin: str, target: str) -> None:
        self.world = world
        self.origin = origin
        self.target = target

    def _lost(self, sender: str, receiver: str) -> bool:
        lossy = self.world.faults_enabled and self.world.rng.random() < 0.1
        return lossy or (sender, receiver) in self.world.cuts

    async def request(self, request: CellRequest) -> CellAnswer:
        """Sends a request to a random controller of the target."""
        world = self.world
        world.messages += 1
        world.recorder.record("cell request", self.origin, self.target, request.pack())
        if world.faults_enabled:
            world.request_copies.append((self.target, request))
        if self._lost(self.origin, self.target):
            raise NoAnswerError("lost")
        answer = await world.deliver(self.target, request)
        world.recorder.record("cell answer", self.target, self.origin, CellAnswer(1, answer).pack())
        if world.faults_enabled and answer is not None:
            world.answer_copies.append((self.origin, AnswerMessage(request.message.handoff, self.target, answer)))
        if self._lost(self.target, self.origin):
            raise NoAnswerError("answer lost")
        return CellAnswer(1, answer)

    async def summary(self) -> Summary | None:
        """Requests the summary from a random controller of the target."""
        if self._lost(self.origin, self.target) or self._lost(self.target, self.origin):
            raise NoAnswerError("lost")
        summary = self.world.cells[self.target].random_controller().target.summary(self.origin)
        self.world.recorder.record("summary", self.target, self.origin, pack_summary(summary))
        return summary
