"""The origin's side of a handoff: what the origin stores with the job, and how a target's answer changes it.

The handoffs are stored in the job's own row, so that a local claim and a handoff exclude each other by one conditional
transaction. An unanswered offer counts as accepted until the target answers otherwise.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, replace

from sloeswitch.cells.messages import ENDED, Answer, AnswerMessage, HandoffId, Request, RequestMessage
from sloeswitch.cells.policy import MovePolicy


class Result(enum.Enum):
    """How a job ended. A stored result never changes."""

    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class Placement:
    """A handoff that its target may still have on record: the target cell and the handoff's number."""

    target: str
    number: int


@dataclass(frozen=True)
class OriginRow:
    """What the origin stores about the handoffs of a job."""

    cell: str
    job: str
    policy: MovePolicy
    # The latest handoff, by which the job runs in another cell; None if it runs in its origin.
    away: Placement | None = None
    # Handoffs to be stopped: earlier ones whose target was unreachable for too long, and those that targets still had
    # on record when the job ended.
    recalls: tuple[Placement, ...] = ()
    # Whether a task of the job was ever claimed in its origin.
    begun_at_home: bool = False
    # Whether the user requested a cancellation that is not confirmed yet.
    cancelling: bool = False
    result: Result | None = None

    @property
    def startable(self) -> bool:
        """Whether tasks may be claimed in the origin."""
        return self.away is None and not self.cancelling and self.result is None

    def handoff(self, placement: Placement) -> HandoffId:
        """The full identifier of a handoff of this job."""
        return HandoffId(self.cell, self.job, placement.number)

    @property
    def placements(self) -> tuple[Placement, ...]:
        """All handoffs that a target may still have on record."""
        return self.recalls if self.away is None else (*self.recalls, self.away)


def can_move(row: OriginRow, target: str, idle_at_home: bool) -> bool:
    """Whether the job may be offered to a cell. `idle_at_home`: no task of the job is claimed in the origin."""
    if row.policy is MovePolicy.NEVER or not row.startable or not idle_at_home:
        return False
    if row.policy is MovePolicy.ONCE and row.begun_at_home:
        return False
    # A target keeps one handoff of a job on record; an earlier one has to reach a final state first.
    return all(placement.target != target for placement in row.recalls)


def move(row: OriginRow, target: str, number: int) -> OriginRow:
    """Records that the job is offered to a cell.

    The row is stored before the first offer is sent. `number` is larger than that of any earlier handoff of the job.
    """
    return replace(row, away=Placement(target, number))


def begin_at_home(row: OriginRow) -> OriginRow:
    """Records that a task was claimed in the origin; stored in the same transaction as the claim."""
    return replace(row, begun_at_home=True)


def take_back(row: OriginRow) -> OriginRow:
    """Recalls a repeatable job whose target was unreachable for too long.

    The job may then run in the origin although the target may run it too.
    """
    if row.policy is not MovePolicy.REPEATABLE or row.away is None or row.result is not None:
        return row
    return replace(row, away=None, recalls=(*row.recalls, row.away))


def end_at_home(row: OriginRow) -> OriginRow:
    """Records that all tasks were completed in the origin."""
    return row if row.result is not None else replace(row, result=Result.DONE)


def request_cancellation(row: OriginRow) -> OriginRow:
    """Records that the user requested a cancellation.

    It is confirmed when `result` is CANCELLED, which is immediate if no target has a handoff of the job on record.
    """
    if row.result is not None:
        return row
    return _settled(replace(row, cancelling=True))


def learn(row: OriginRow, message: AnswerMessage) -> OriginRow:
    """Applies a target's answer. An answer about a handoff that is not on record changes nothing."""
    placement = next((each for each in row.placements if _answers(row, each, message)), None)
    if placement is None:
        return row
    if message.answer is Answer.DONE and row.result is None:
        # The first completion that is stored is the result; other copies of the job are stopped and their results
        # discarded.
        row = replace(row, result=Result.DONE)
    if message.answer in ENDED:
        row = _without(row, placement)
    return _settled(row)


def requests(row: OriginRow, wanted_back: bool = False) -> Iterator[tuple[str, RequestMessage]]:
    """Yields each request to send now, with its target cell. A request is repeated until it is answered.

    `wanted_back`: whether the job could start in its origin now, so that it is withdrawn from the target.
    """
    for placement in row.placements:
        if row.cancelling or row.result is not None or placement in row.recalls:
            request = Request.STOP
        else:
            request = Request.WITHDRAW if wanted_back else Request.OFFER
        yield placement.target, RequestMessage(row.handoff(placement), request)


def acknowledgement(message: AnswerMessage) -> RequestMessage | None:
    """The acknowledgement to send after the row changed by an answer is stored; None if the answer needs none.

    It allows the target to delete its record of the handoff.
    """
    if message.answer in ENDED and message.answer is not Answer.REFUSED:
        return RequestMessage(message.handoff, Request.ACKNOWLEDGE)
    return None


def _answers(row: OriginRow, placement: Placement, message: AnswerMessage) -> bool:
    return placement.target == message.target and row.handoff(placement) == message.handoff


def _without(row: OriginRow, placement: Placement) -> OriginRow:
    """Removes a handoff whose target has no task of the job and will start none."""
    recalls = tuple(each for each in row.recalls if each != placement)
    return replace(row, recalls=recalls, away=None if row.away == placement else row.away)


def _settled(row: OriginRow) -> OriginRow:
    """Confirms a requested cancellation once no other cell can start a task of the job or has one on a machine."""
    if row.cancelling and row.result is None and not row.placements:
        return replace(row, result=Result.CANCELLED)
    return row
