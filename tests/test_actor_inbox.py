"""The inbox of an actor: its limit, and how many messages are handled before other tasks run."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import pytest

from sloeswitch.actors.base import MAX_MESSAGES_PER_TURN, Actor, ActorRequest, InboxFullError, UnansweredError


def test_an_actor_yields_to_other_tasks_and_rejects_messages_when_its_inbox_is_full() -> None:
    handled: list[int] = []
    turns = 0

    class Counting(Actor[int]):
        async def handle(self, message: int) -> None:
            handled.append(message)

    async def run() -> None:
        nonlocal turns
        actor = Counting(inbox_limit=100)
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


class Halving(Actor[ActorRequest[int]]):
    """Answers the first request with 2 and fails at all others."""

    def __init__(self) -> None:
        super().__init__(inbox_limit=2)
        self.numbers = [4]

    async def handle(self, message: ActorRequest[int]) -> None:
        message.reply(self.numbers.pop() // 2)


def test_a_request_returns_none_if_the_actor_fails_while_handling_it() -> None:
    answers: list[int | None] = []
    request = ActorRequest[int]()
    with pytest.raises(UnansweredError):
        assert request.answer

    async def run() -> None:
        actor = Halving()
        async with anyio.create_task_group() as group:
            group.start_soon(actor.run)
            answered = await actor.ask(request)
            failed = await actor.ask(ActorRequest[int]())
            answers.extend((answered, failed))
            group.cancel_scope.cancel()

    anyio.run(run)
    request.reply(3)  # ignored: the request already has an answer
    assert answers == [2, None] and request.answer == 2
