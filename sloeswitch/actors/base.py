"""What the actors have in common: a bounded inbox, and replies."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import Any

import anyio

INBOX = 1024


class Busy(Exception):
    """The actor's inbox is full."""


@dataclass
class Ask:
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

    def __init__(self) -> None:
        self.log = logging.getLogger(self.name)
        self._send, self._receive = anyio.create_memory_object_stream[Any](INBOX)

    def tell(self, message: Any) -> None:
        """Leaves a message; Busy when there is no place for it."""
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            raise Busy(self.name) from None

    async def ask(self, message: Ask) -> Any:
        self.tell(message)
        await message.answered.wait()
        return message.answer

    async def run(self) -> None:
        async for message in self._receive:
            try:
                await self.handle(message)
            except Exception:
                self.log.exception("while handling %s", type(message).__name__)
                if isinstance(message, Ask):
                    message.reply(None)

    async def handle(self, message: Any) -> None:
        raise NotImplementedError
