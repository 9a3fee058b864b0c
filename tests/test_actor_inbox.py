"""The inbox of an actor: bounded, and handled in turns."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.lowlevel
import pytest

from sloeswitch.actors.base import MAX_MESSAGES_PER_TURN, Actor, InboxFullError


def test_an_actor_lets_others_have_their_turn_and_says_when_it_is_full() -> None:
    handled: list[int] = []
    turns = 0

    class Counting(Actor):
        async def handle(self, message: Any) -> None:
            handled.append(message)

    async def run() -> None:
        nonlocal turns
        actor = Counting(most=100)
        for number in range(100):
            actor.tell(number)
        with pytest.raises(InboxFullError):
            actor.tell(100)
        async with anyio.create_task_group() as group:
            group.start_soon(actor.run)
            while len(handled) < 100:
                turns += 1
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()

    anyio.run(run)
    assert handled == list(range(100)) and turns > 100 / MAX_MESSAGES_PER_TURN
