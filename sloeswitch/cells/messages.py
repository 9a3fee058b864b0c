"""What an origin and a target say to each other about one handoff.

A handoff is named by the origin cell, the job and a number. Numbers of one origin only rise, over all its jobs, so that
a target can fence many of them with one value (see delegation). Every message can be lost, late and repeated.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True)
class HandoffId:
    """Names one attempt to have a job run in another cell."""

    origin: str
    job: str
    number: int


class Request(enum.Enum):
    """What an origin asks of a target."""

    OFFER = "offer"  # run the job
    QUERY = "query"  # what became of it
    WITHDRAW = "withdraw"  # give it back if nothing of it began
    STOP = "stop"  # end it, whatever began
    ACKNOWLEDGE = "acknowledge"  # the origin stored what became of it


class Answer(enum.Enum):
    """What a target says of a handoff, each from what it has stored."""

    UNKNOWN = "unknown"  # never heard of; it may still be accepted by a late offer
    REFUSED = "refused"  # will never be accepted
    ACCEPTED = "accepted"  # nothing of it began
    BEGUN = "begun"  # a task was claimed; it is not given back
    CANCELLED = "withdrawn"  # given back, and nothing of it began
    STOPPING = "stopping"  # no task starts any more; some may still be on machines
    STOPPED = "stopped"  # no task starts any more, and none is on a machine
    DONE = "done"  # complete


# From these a target never starts a task of the handoff again.
ENDED = frozenset({Answer.REFUSED, Answer.CANCELLED, Answer.STOPPED, Answer.DONE})


@dataclass(frozen=True)
class RequestMessage:
    """From an origin to a target."""

    handoff: HandoffId
    request: Request


@dataclass(frozen=True)
class AnswerMessage:
    """From a target to an origin. `target` is the answering cell."""

    handoff: HandoffId
    target: str
    answer: Answer
