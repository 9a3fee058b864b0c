"""The origin's side of a handoff: what the origin stores with the job, and how a target's answer changes it.

The handoffs are stored in the job's own row, so that a local claim and a handoff exclude each other by one conditional
transaction. An unanswered offer counts as accepted until the target answers otherwise.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, replace

from sloeswitch.cells.messages import FINAL_ANSWERS, Answer, AnswerMessage, HandoffId, Request, RequestMessage
from sloeswitch.cells.policy import MovePolicy


class Result(enum.Enum):
    """How a job ended. A stored result never changes."""

    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class OpenHandoff:
    """A handoff that its target may still have on record: the target cell and the handoff's number."""

    target: str
    number: int


@dataclass(frozen=True)
class OriginRow:
    """What the origin stores about the handoffs of a job."""

    cell: str
    job: str
    policy: MovePolicy
    # The handoff by which the job may run in another cell; None if it runs in its origin.
    moved_to: OpenHandoff | None = None
    # Earlier handoffs whose target was unreachable for too long; the target is asked to stop them.
    recalled: tuple[OpenHandoff, ...] = ()
    # Whether a task of the job was ever claimed in its origin.
    claimed_in_origin: bool = False
    # Whether the user requested a cancellation that is not confirmed yet.
    cancelling: bool = False
    result: Result | None = None

    @property
    def startable(self) -> bool:
        """Whether tasks may be claimed in the origin."""
        return self.moved_to is None and not self.cancelling and self.result is None

    def handoff(self, open_handoff: OpenHandoff) -> HandoffId:
        """The full identifier of a handoff of this job."""
        return HandoffId(self.cell, self.job, open_handoff.number)

    @property
    def open_handoffs(self) -> tuple[OpenHandoff, ...]:
        """All handoffs that a target may still have on record."""
        return self.recalled if self.moved_to is None else (*self.recalled, self.moved_to)


def can_move(row: OriginRow, target: str, unclaimed_in_origin: bool) -> bool:
    """Whether the job may be offered to a cell. `unclaimed_in_origin`: no task of the job is claimed in the origin."""
    if row.policy is MovePolicy.NEVER or not row.startable or not unclaimed_in_origin:
        return False
    if row.policy is MovePolicy.ONCE and row.claimed_in_origin:
        return False
    # A target keeps one handoff of a job on record; an earlier one has to reach a final state first.
    return all(open_handoff.target != target for open_handoff in row.recalled)


def move(row: OriginRow, target: str, number: int) -> OriginRow:
    """Records that the job is offered to a cell.

    The row is stored before the first offer is sent. `number` is larger than that of any earlier handoff of the job.
    """
    return replace(row, moved_to=OpenHandoff(target, number))


def record_origin_claim(row: OriginRow) -> OriginRow:
    """Records that a task was claimed in the origin; stored in the same transaction as the claim."""
    return replace(row, claimed_in_origin=True)


def recall(row: OriginRow) -> OriginRow:
    """Recalls a repeatable job whose target was unreachable for too long.

    The job may then run in the origin although the target may run it too.
    """
    if row.policy is not MovePolicy.REPEATABLE or row.moved_to is None or row.result is not None:
        return row
    return replace(row, moved_to=None, recalled=(*row.recalled, row.moved_to))


def complete_in_origin(row: OriginRow) -> OriginRow:
    """Records that all tasks were completed in the origin."""
    return row if row.result is not None else replace(row, result=Result.DONE)


def request_cancellation(row: OriginRow) -> OriginRow:
    """Records that the user requested a cancellation.

    It is confirmed when `result` is CANCELLED, which is immediate if no target has a handoff of the job on record.
    """
    if row.result is not None:
        return row
    return _confirm_cancellation(replace(row, cancelling=True))


def apply_answer(row: OriginRow, message: AnswerMessage) -> OriginRow:
    """Applies a target's answer. An answer about a handoff that is not on record changes nothing."""
    open_handoff = next((each for each in row.open_handoffs if _matches(row, each, message)), None)
    if open_handoff is None:
        return row
    if message.answer is Answer.DONE and row.result is None:
        # The first completion that is stored is the result; other copies of the job are stopped and their results
        # discarded.
        row = replace(row, result=Result.DONE)
    if message.answer in FINAL_ANSWERS:
        row = _remove_handoff(row, open_handoff)
    return _confirm_cancellation(row)


def requests(row: OriginRow, withdraw: bool = False) -> Iterator[tuple[str, RequestMessage]]:
    """Yields each request to send now, with its target cell, one for each open handoff.

    They are repeated, also after an answer, until the target reports a final state, which closes the handoff.

    `withdraw`: whether the job could start in its origin now, so that it is withdrawn from the target.
    """
    for open_handoff in row.open_handoffs:
        if row.cancelling or row.result is not None or open_handoff in row.recalled:
            request = Request.STOP
        else:
            request = Request.WITHDRAW if withdraw else Request.OFFER
        yield open_handoff.target, RequestMessage(row.handoff(open_handoff), request)


def acknowledgement(message: AnswerMessage) -> RequestMessage | None:
    """The acknowledgement to send once the row that the answer changed is stored; None if the answer needs none.

    It allows the target to delete its record of the handoff.
    """
    if message.answer in FINAL_ANSWERS and message.answer is not Answer.REFUSED:
        return RequestMessage(message.handoff, Request.ACKNOWLEDGE)
    return None


def _matches(row: OriginRow, open_handoff: OpenHandoff, message: AnswerMessage) -> bool:
    return open_handoff.target == message.target and row.handoff(open_handoff) == message.handoff


def _remove_handoff(row: OriginRow, open_handoff: OpenHandoff) -> OriginRow:
    """Removes a handoff whose target has no task of the job and will start none."""
    recalled = tuple(each for each in row.recalled if each != open_handoff)
    return replace(row, recalled=recalled, moved_to=None if row.moved_to == open_handoff else row.moved_to)


def _confirm_cancellation(row: OriginRow) -> OriginRow:
    """Confirms a requested cancellation once no other cell can start a task of the job or has one on a machine."""
    if row.cancelling and row.result is None and not row.open_handoffs:
        return replace(row, result=Result.CANCELLED)
    return row
