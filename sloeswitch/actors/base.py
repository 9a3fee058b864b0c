"""What the actors have in common: a bounded inbox, and replies."""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import anyio

# Messages handled before others get their turn.
MAX_MESSAGES_PER_TURN = 16


class InboxFullError(Exception):
    """The actor's inbox is full."""


@dataclass
class ActorRequest:
    """A message that wants a reply."""

    answer: Any = None
    answered: anyio.Event = field(default_factory=anyio.Event)

    def reply(self, answer: Any) -> None:
        if not self.answered.is_set():
            self.answer = answer
            self.answered.set()


class Actor:
    """Takes its messages one at a time. A fault in one message is logged and ends only that message."""

    name = "actor"

    def __init__(self, most: int) -> None:
        self.log = logging.getLogger(self.name)
        self.most = most
        self._inbox: deque[Any] = deque()
        self._filled = anyio.Event()

    def tell(self, message: Any) -> None:
        """Leaves a message; InboxFullError when there is no place for it."""
        if len(self._inbox) >= self.most:
            raise InboxFullError(self.name)
        self._inbox.append(message)
        self._filled.set()

    async def ask(self, message: ActorRequest) -> Any:
        self.tell(message)
        await message.answered.wait()
        return message.answer

    async def run(self) -> None:
        while True:
            await self._filled.wait()
            self._filled = anyio.Event()
            # What is there is taken in one turn of the event loop, but never so much that other actors wait.
            for _ in range(min(len(self._inbox), MAX_MESSAGES_PER_TURN)):
                await self._handle(self._inbox.popleft())
            if self._inbox:
                self._filled.set()

    async def _handle(self, message: Any) -> None:
        try:
            await self.handle(message)
        except Exception:
            self.log.exception("while handling %s", type(message).__name__)
            if isinstance(message, ActorRequest):
                message.reply(None)

    async def handle(self, message: Any) -> None:
        raise NotImplementedError
