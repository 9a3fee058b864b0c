"""The actor model of one controller: bounded inboxes, typed messages, and requests with an answer.

An actor owns its state and changes it only while it handles a message or runs one of its own loops. Other code sends it
messages through `tell` (without an answer) and `ask` (with an answer), and otherwise only reads its state.
"""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

import anyio

MessageT = TypeVar("MessageT")
AnswerT = TypeVar("AnswerT")

# The number of messages that one actor handles before it lets the other tasks of the event loop run.
MAX_MESSAGES_PER_TURN = 16


class InboxFullError(Exception):
    """The actor's inbox is full; the message was not accepted."""


class UnansweredError(Exception):
    """The request has no answer: it has not been handled yet, or the actor failed while handling it."""


@dataclass
class ActorRequest(Generic[AnswerT]):
    """A message that gets one answer, of type `AnswerT`."""

    answered: anyio.Event = field(default_factory=anyio.Event, init=False)
    _answers: list[AnswerT] = field(default_factory=list, init=False)

    def reply(self, answer: AnswerT) -> None:
        """Answers the request; a second answer is ignored."""
        if not self.answered.is_set():
            self._answers.append(answer)
            self.answered.set()

    def fail(self) -> None:
        """Wakes the task that waits for the answer, without an answer; has no effect if the request has one."""
        self.answered.set()

    @property
    def answer(self) -> AnswerT:
        """The answer.

        Raises:
            UnansweredError: The request has no answer.
        """
        if not self._answers:
            raise UnansweredError(type(self).__name__)
        return self._answers[0]

    @property
    def answer_or_none(self) -> AnswerT | None:
        """The answer; None if the request has none."""
        return self._answers[0] if self._answers else None


class Actor(Generic[MessageT]):
    """Handles messages one at a time. An exception while handling one is logged and does not stop the actor.

    Attributes:
        inbox_limit: The number of messages that may wait in the inbox.
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
            InboxFullError: The inbox already holds `inbox_limit` messages.
        """
        if len(self._inbox) >= self.inbox_limit:
            raise InboxFullError(self.name)
        self._inbox.append(message)
        self._filled.set()

    async def ask(self: Actor[Any], request: ActorRequest[AnswerT]) -> AnswerT | None:
        """Puts a request into the inbox and waits for the answer; None if the actor failed while handling it.

        The request must be one of the actor's message types. The type annotation of `self` cannot express that.

        Raises:
            InboxFullError: The inbox already holds `inbox_limit` messages.
        """
        self.tell(request)
        await request.answered.wait()
        return request.answer_or_none

    async def run(self) -> None:
        """Handles messages until it is cancelled."""
        while True:
            await self._filled.wait()
            self._filled = anyio.Event()
            # Waiting messages are handled in one turn of the event loop, up to a limit that lets other actors run soon.
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
        """Handles one message. Every actor overrides this method."""
        raise NotImplementedError
