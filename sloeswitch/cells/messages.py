"""The messages between an origin and a target about one handoff.

A handoff is identified by the origin cell, the job and a number. An origin uses increasing numbers across all its jobs,
so that a target can fence many of its handoffs with one stored value (see `delegation`). Any message can be lost,
delayed or duplicated.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True)
class HandoffId:
    """Identifies one attempt to run a job in another cell."""

    origin: str
    job: str
    number: int


class Request(enum.Enum):
    """A request from an origin to a target."""

    OFFER = "offer"  # run the job
    QUERY = "query"  # report the state of the handoff
    WITHDRAW = "withdraw"  # return the job if no task was claimed
    STOP = "stop"  # end the job even if tasks were claimed
    ACKNOWLEDGE = "acknowledge"  # the origin stored the final state


class Answer(enum.Enum):
    """The state of a handoff that a target reports, always from what it has stored."""

    UNKNOWN = "unknown"  # not on record; a delayed offer may still be accepted
    REFUSED = "refused"  # will never be accepted
    ACCEPTED = "accepted"  # no task was claimed
    BEGUN = "begun"  # a task was claimed, so that the job is not returned
    WITHDRAWN = "withdrawn"  # the job was returned and no task was claimed
    STOPPING = "stopping"  # no task will start; some may still be on machines
    STOPPED = "stopped"  # no task will start, and none is on a machine
    DONE = "done"  # all tasks are done


# After one of these answers the target never starts a task of the handoff.
FINAL_ANSWERS = frozenset({Answer.REFUSED, Answer.WITHDRAWN, Answer.STOPPED, Answer.DONE})


@dataclass(frozen=True)
class RequestMessage:
    """A request about one handoff, sent by an origin to a target."""

    handoff: HandoffId
    request: Request


@dataclass(frozen=True)
class AnswerMessage:
    """An answer about one handoff, sent by a target to an origin. `target` is the answering cell."""

    handoff: HandoffId
    target: str
    answer: Answer
