"""The actor model of one controller: bounded inboxes, typed messages, and requests that are answered.

An actor owns its state and changes it only while it handles a message or runs one of its own loops. Others reach it
through `tell` (a message without an answer) and `ask` (a request), and otherwise only read it.
"""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

import anyio

MessageT = TypeVar("MessageT")
AnswerT = TypeVar("AnswerT")

# Messages that one actor handles before the other tasks of the event loop run.
MAX_MESSAGES_PER_TURN = 16


class InboxFullError(Exception):
    """The actor's inbox is full; the message was not accepted."""


class UnansweredError(Exception):
    """The request has no answer: it was not handled yet, or the actor failed while it handled it."""


@dataclass
class ActorRequest(Generic[AnswerT]):
    """A message that is answered once, with a value of the type that the request names."""

    answered: anyio.Event = field(default_factory=anyio.Event, init=False)
    _answers: list[AnswerT] = field(default_factory=list, init=False)

    def reply(self, answer: AnswerT) -> None:
        """Answers the request; a second answer is ignored."""
        if not self.answered.is_set():
            self._answers.append(answer)
            self.answered.set()

    def fail(self) -> None:
        """Releases the task that waits, without an answer; ignored if there is one already."""
        self.answered.set()

    @property
    def answer(self) -> AnswerT:
        """The answer.

        Raises:
            UnansweredError: There is none.
        """
        if not self._answers:
            raise UnansweredError(type(self).__name__)
        return self._answers[0]

    @property
    def answer_or_none(self) -> AnswerT | None:
        """The answer, or None if the actor failed while it handled the request."""
        return self._answers[0] if self._answers else None


class Actor(Generic[MessageT]):
    """Handles its messages one at a time. A fault in one message is logged and ends only that message.

    `inbox_limit`: the number of messages that may wait.
    """

    name = "actor"

    def __init__(self, inbox_limit: int) -> None:
        self.log = logging.getLogger(self.name)
        self.inbox_limit = inbox_limit
        self._inbox: deque[MessageT] = deque()
        self._filled = anyio.Event()

    def tell(self, message: MessageT) -> None:
        """Puts a message into the inbox.

        Raises:
            InboxFullError: As many messages wait as may wait.
        """
        if len(self._inbox) >= self.inbox_limit:
            raise InboxFullError(self.name)
        self._inbox.append(message)
        self._filled.set()

    async def ask(self: Actor[Any], request: ActorRequest[AnswerT]) -> AnswerT | None:
        """Puts a request into the inbox and waits until it was handled; None if the actor failed at that.

        The request must be one of the actor's messages; the type of `self` cannot say so.

        Raises:
            InboxFullError: As many messages wait as may wait.
        """
        self.tell(request)
        await request.answered.wait()
        return request.answer_or_none

    async def run(self) -> None:
        """Handles messages until it is cancelled."""
        while True:
            await self._filled.wait()
            self._filled = anyio.Event()
            # What waits is handled in one turn of the event loop, but never so much that other actors wait for long.
            for _ in range(min(len(self._inbox), MAX_MESSAGES_PER_TURN)):
                await self._handle(self._inbox.popleft())
            if self._inbox:
                self._filled.set()

    async def _handle(self, message: MessageT) -> None:
        try:
            await self.handle(message)
        except Exception:
            self.log.exception("message failed: type=%s", type(message).__name__)
            if isinstance(message, ActorRequest):
                message.fail()

    async def handle(self, message: MessageT) -> None:
        """Handles one message. Every actor has its own."""
        raise NotImplementedError
