"""The target's side of a handoff: what it stores, and what it answers.

A delegation is the stored record of a handoff that was accepted. It is kept until the origin acknowledges its end. What
has no record is fenced by one stored value for each origin: handoffs up to the *floor* that are not on record are
refused for ever. A refusal raises the floor to the refused number, and so does the dropping of a record, so that no
copy of an old offer, however late, is accepted. Offers with smaller numbers that are still under way are refused too;
their origin offers the job again under another number.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from sloeswitch.cells.messages import Answer, HandoffId, Request


class DelegationState(enum.Enum):
    """What became of an accepted handoff."""

    ACCEPTED = "accepted"
    BEGUN = "begun"
    CANCELLED = "withdrawn"
    STOPPING = "stopping"
    STOPPED = "stopped"
    DONE = "done"


# No task may start or be on a machine.
FINAL_STATES = frozenset({DelegationState.CANCELLED, DelegationState.STOPPED, DelegationState.DONE})


@dataclass(frozen=True)
class Delegation:
    """An accepted handoff, as the target stores it with the job."""

    handoff: HandoffId
    state: DelegationState = DelegationState.ACCEPTED

    @property
    def startable(self) -> bool:
        """Whether tasks of the job may be claimed and started."""
        return self.state in (DelegationState.ACCEPTED, DelegationState.BEGUN)

    @property
    def final(self) -> bool:
        """Whether no task of it is, or will be, anywhere."""
        return self.state in FINAL_STATES

    def begin(self) -> Delegation:
        """A task is claimed; stored in the same change as the claim, so that it excludes a withdrawal."""
        return replace(self, state=DelegationState.BEGUN) if self.startable else self

    def complete(self) -> Delegation:
        """All tasks are done; stored in the change that stores the last completion."""
        return replace(self, state=DelegationState.DONE) if self.startable else self

    def give_back(self) -> Delegation:
        """The target does not want it any more; only while nothing of it began."""
        if self.state is DelegationState.ACCEPTED:
            return replace(self, state=DelegationState.CANCELLED)
        return self

    def stop(self) -> Delegation:
        """No task may start any more."""
        if self.state is DelegationState.ACCEPTED:
            return replace(self, state=DelegationState.STOPPED)
        return replace(self, state=DelegationState.STOPPING) if self.startable else self

    def stopped(self) -> Delegation:
        """After stop(): none of its tasks is on a machine any more."""
        return replace(self, state=DelegationState.STOPPED) if self.state is DelegationState.STOPPING else self


@dataclass(frozen=True)
class TargetRecord:
    """What a target has stored of one origin's handoffs of one job, and the origin's floor."""

    floor: int = 0
    delegation: Delegation | None = None


@dataclass(frozen=True)
class TargetDecision:
    """What is to be stored, on condition of what was read, before the answer is given."""

    record: TargetRecord
    answer: Answer


def decide(record: TargetRecord, handoff: HandoffId, request: Request, room: bool) -> TargetDecision:
    """Answers a request. `room`: whether a new offer would be accepted now."""
    delegation = record.delegation
    if delegation is not None and delegation.handoff == handoff:
        return _known(record, delegation, request)
    if request is Request.QUERY and not _fenced(record, handoff):
        return TargetDecision(record, Answer.UNKNOWN)
    if request is Request.OFFER and room and delegation is None and not _fenced(record, handoff):
        accepted = Delegation(handoff)
        return TargetDecision(replace(record, delegation=accepted), Answer.ACCEPTED)
    # Not on record, and by the floor it never will be: whoever asks again is told the same.
    return TargetDecision(replace(record, floor=max(record.floor, handoff.number)), Answer.REFUSED)


def _fenced(record: TargetRecord, handoff: HandoffId) -> bool:
    return handoff.number <= record.floor


def _known(record: TargetRecord, delegation: Delegation, request: Request) -> TargetDecision:
    if request is Request.WITHDRAW:
        delegation = delegation.give_back()
    elif request is Request.STOP:
        delegation = delegation.stop()
    elif request is Request.ACKNOWLEDGE and delegation.final:
        answer = Answer(delegation.state.value)
        floor = max(record.floor, delegation.handoff.number)
        return TargetDecision(TargetRecord(floor, None), answer)
    return TargetDecision(replace(record, delegation=delegation), Answer(delegation.state.value))
