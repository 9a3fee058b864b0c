"""The target's side of a handoff: what the target stores and what it answers.

A delegation is the stored record of an accepted handoff. It is kept until the origin acknowledges the handoff's final
state. Handoffs without a record are fenced by one stored number per origin, the *floor*: a handoff that has no record
and a number at or below the floor is always refused. Refusing a handoff and deleting a record both raise the floor to
the handoff's number, so that a delayed copy of an old offer is never accepted. Offers with smaller numbers that are
still in flight are refused too; their origin offers the job again with a new number.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from sloeswitch.cells.messages import Answer, HandoffId, Request


class DelegationState(enum.Enum):
    """The state of an accepted handoff."""

    ACCEPTED = "accepted"
    BEGUN = "begun"
    WITHDRAWN = "withdrawn"
    STOPPING = "stopping"
    STOPPED = "stopped"
    DONE = "done"


# In these states no task of the job may start, and none is on a machine.
FINAL_STATES = frozenset({DelegationState.WITHDRAWN, DelegationState.STOPPED, DelegationState.DONE})


@dataclass(frozen=True)
class Delegation:
    """An accepted handoff, stored by the target with the job."""

    handoff: HandoffId
    state: DelegationState = DelegationState.ACCEPTED

    @property
    def startable(self) -> bool:
        """Whether tasks of the job may be claimed and started."""
        return self.state in (DelegationState.ACCEPTED, DelegationState.BEGUN)

    @property
    def final(self) -> bool:
        """Whether no task of the job is on a machine here or will start here."""
        return self.state in FINAL_STATES

    def begin(self) -> Delegation:
        """Records that a task was claimed.

        Stored in the same transaction as the claim, so that a claim and a withdrawal exclude each other.
        """
        return replace(self, state=DelegationState.BEGUN) if self.startable else self

    def complete(self) -> Delegation:
        """Records that all tasks are done; stored in the same transaction as the last completion."""
        return replace(self, state=DelegationState.DONE) if self.startable else self

    def withdraw(self) -> Delegation:
        """Withdraws the handoff if no task of the job was claimed; otherwise changes nothing."""
        if self.state is DelegationState.ACCEPTED:
            return replace(self, state=DelegationState.WITHDRAWN)
        return self

    def stop(self) -> Delegation:
        """Prevents any further task of the job from starting."""
        if self.state is DelegationState.ACCEPTED:
            return replace(self, state=DelegationState.STOPPED)
        return replace(self, state=DelegationState.STOPPING) if self.startable else self

    def confirm_stopped(self) -> Delegation:
        """Records, after stop(), that no task of the job is on a machine any more."""
        return replace(self, state=DelegationState.STOPPED) if self.state is DelegationState.STOPPING else self


@dataclass(frozen=True)
class TargetRecord:
    """What a target has stored about one origin's handoffs of one job, and the floor of that origin."""

    floor: int = 0
    delegation: Delegation | None = None


@dataclass(frozen=True)
class TargetDecision:
    """The record to store and the answer to send.

    The record is stored, conditional on what was read, before the answer is sent.
    """

    record: TargetRecord
    answer: Answer


def decide(record: TargetRecord, handoff: HandoffId, request: Request, has_capacity: bool) -> TargetDecision:
    """Decides on a request. `has_capacity`: whether the cell can run the offered job and has free capacity for it."""
    delegation = record.delegation
    if delegation is not None and delegation.handoff == handoff:
        return _decide_recorded(record, delegation, request)
    if request is Request.QUERY and not _is_fenced(record, handoff):
        return TargetDecision(record, Answer.UNKNOWN)
    if request is Request.OFFER and has_capacity and delegation is None and not _is_fenced(record, handoff):
        accepted = Delegation(handoff)
        return TargetDecision(replace(record, delegation=accepted), Answer.ACCEPTED)
    # Raising the floor makes the refusal permanent, so that a repeated request gets the same answer.
    return TargetDecision(replace(record, floor=max(record.floor, handoff.number)), Answer.REFUSED)


def _is_fenced(record: TargetRecord, handoff: HandoffId) -> bool:
    return handoff.number <= record.floor


def _decide_recorded(record: TargetRecord, delegation: Delegation, request: Request) -> TargetDecision:
    if request is Request.WITHDRAW:
        delegation = delegation.withdraw()
    elif request is Request.STOP:
        delegation = delegation.stop()
    elif request is Request.ACKNOWLEDGE and delegation.final:
        answer = Answer(delegation.state.value)
        floor = max(record.floor, delegation.handoff.number)
        return TargetDecision(TargetRecord(floor, None), answer)
    return TargetDecision(replace(record, delegation=delegation), Answer(delegation.state.value))
