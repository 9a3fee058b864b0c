"""The origin's side of a handoff: what it stores with the job, and what follows from a target's answer.

The row is part of the job's own, so that one conditional change excludes a local claim and a handoff from each other.
An offer that is not answered counts as accepted until the target says otherwise.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, replace

from sloeswitch.cells.messages import ENDED, Answer, AnswerMessage, HandoffId, Request, RequestMessage
from sloeswitch.cells.policy import MovePolicy


class Result(enum.Enum):
    """How a job ended. Once stored it holds for ever."""

    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class Placement:
    """A handoff that may still be somewhere: the cell and the handoff's number."""

    target: str
    number: int


@dataclass(frozen=True)
class OriginRow:
    """What the origin stores of a job beside its specification."""

    cell: str
    job: str
    policy: MovePolicy
    # Where it runs by the latest handoff; None: at home.
    away: Placement | None = None
    # Earlier handoffs that were not waited for, to be stopped; and any handoffs left over when the job ended.
    recalls: tuple[Placement, ...] = ()
    # Whether a task of it was ever claimed at home.
    begun_at_home: bool = False
    # Whether its user asked for the cancellation, which is not confirmed yet.
    cancelling: bool = False
    result: Result | None = None

    @property
    def startable(self) -> bool:
        """Whether tasks may be claimed at home."""
        return self.away is None and not self.cancelling and self.result is None

    def handoff(self, placement: Placement) -> HandoffId:
        """The name of a handoff of this job."""
        return HandoffId(self.cell, self.job, placement.number)

    @property
    def placements(self) -> tuple[Placement, ...]:
        """All handoffs that a target may still have on record."""
        return self.recalls if self.away is None else (*self.recalls, self.away)


def can_move(row: OriginRow, target: str, idle_at_home: bool) -> bool:
    """Whether the job may be offered to a cell. `idle_at_home`: no task of it is claimed here."""
    if row.policy is MovePolicy.NEVER or not row.startable or not idle_at_home:
        return False
    if row.policy is MovePolicy.ONCE and row.begun_at_home:
        return False
    # A target has one handoff of a job on record; the former one must be over and acknowledged first.
    return all(placement.target != target for placement in row.recalls)


def move(row: OriginRow, target: str, number: int) -> OriginRow:
    """The job is offered to a cell. Stored before the first offer is sent; `number` is larger than any given before."""
    return replace(row, away=Placement(target, number))


def begin_at_home(row: OriginRow) -> OriginRow:
    """A task is claimed at home; stored in the same change as the claim."""
    return replace(row, begun_at_home=True)


def take_back(row: OriginRow) -> OriginRow:
    """The target was out of reach for too long: a repeatable job may run at home beside what the target does."""
    if row.policy is not MovePolicy.REPEATABLE or row.away is None or row.result is not None:
        return row
    return replace(row, away=None, recalls=(*row.recalls, row.away))


def end_at_home(row: OriginRow) -> OriginRow:
    """All tasks are done at home."""
    return row if row.result is not None else replace(row, result=Result.DONE)


def request_cancellation(row: OriginRow) -> OriginRow:
    """The user asks for the cancellation. It is confirmed once `result` says so: at once where nothing is away."""
    if row.result is not None:
        return row
    return _settled(replace(row, cancelling=True))


def learn(row: OriginRow, message: AnswerMessage) -> OriginRow:
    """What follows from a target's answer. Answers about other handoffs than those on record change nothing."""
    placement = next((each for each in row.placements if _answers(row, each, message)), None)
    if placement is None:
        return row
    if message.answer is Answer.DONE and row.result is None:
        # The first end that is stored is the result; the others are stopped and discarded.
        row = replace(row, result=Result.DONE)
    if message.answer in ENDED:
        row = _without(row, placement)
    return _settled(row)


def requests(row: OriginRow, wanted_back: bool = False) -> Iterator[tuple[str, RequestMessage]]:
    """What is to be asked now, and of which cell; asked again until it is answered.

    `wanted_back`: whether the job could start at home by now.
    """
    for placement in row.placements:
        if row.cancelling or row.result is not None or placement in row.recalls:
            request = Request.STOP
        else:
            request = Request.WITHDRAW if wanted_back else Request.OFFER
        yield placement.target, RequestMessage(row.handoff(placement), request)


def acknowledgement(message: AnswerMessage) -> RequestMessage | None:
    """What is sent once the row is stored that followed from an answer, so that the target can forget the handoff."""
    if message.answer in ENDED and message.answer is not Answer.REFUSED:
        return RequestMessage(message.handoff, Request.ACKNOWLEDGE)
    return None


def _answers(row: OriginRow, placement: Placement, message: AnswerMessage) -> bool:
    return placement.target == message.target and row.handoff(placement) == message.handoff


def _without(row: OriginRow, placement: Placement) -> OriginRow:
    """The target will not start it any more, and nothing of it is there."""
    recalls = tuple(each for each in row.recalls if each != placement)
    return replace(row, recalls=recalls, away=None if row.away == placement else row.away)


def _settled(row: OriginRow) -> OriginRow:
    """A cancellation is final once no other cell can start or hold a task."""
    if row.cancelling and row.result is None and not row.placements:
        return replace(row, result=Result.CANCELLED)
    return row
