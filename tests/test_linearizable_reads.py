"""A linearizable read serves only callers that requested it before it was sent."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch import wire
from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from sloeswitch.http_client import Reply
from sloeswitch.replica import Replica
from sloeswitch.settings import parse
from sloeswitch.state_client import StateClient
from tests.conftest import SETTINGS, Store, spec
from tests.support.clock import Clock
from tests.support.single_controller import JOB


@pytest.mark.parametrize("answered", [False, True])
def test_a_read_does_not_serve_callers_that_ask_after_it_was_sent(store: Store, answered: bool) -> None:
    """Guards against a read that misses a row stored by another node after the read was sent.

    The earlier read is still in flight or already answered when the caller asks. The clock does not advance in between,
    as with a coarse clock, so times cannot tell the two reads apart.
    """
    settings = parse(SETTINGS)
    clock = Clock()
    answers: list[wire.ChangeFeed] = []

    class SlowClient(StateClient):
        reads = 0

        async def call(self, method: str, path: str, body: Any, priority: Any, hold_s: float = 0.0) -> Reply:
            self.reads += 1
            answer = wire.ChangeFeed(self.reads, list(answers[-1].events) if answers else [])
            await anyio.sleep(0)
            await anyio.sleep(0)
            return Reply(200, wire.encode(answer))

    client = SlowClient(settings, lambda: 1, clock.now)
    replica = Replica(client, store.tables, clock.now)
    replica.loaded = True
    store.job(spec())
    statuses: list[str] = []

    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(replica._serve_reads)
            group.start_soon(replica.read_linearizable, 1.0)
            while not client.reads:
                await anyio.sleep(0)
            if answered:
                await replica.read_linearizable(1.0)
            # Another node now stores a cancellation and confirms it to its user.
            row = dict(store.rows[keys.job_key(JOB)][0], s=JobState.CANCELLED)
            answers.append(wire.ChangeFeed(9, [wire.ChangeEvent(9, write=keys.job_key(JOB), value=row)]))
            await replica.read_linearizable(1.0)
            statuses.append(store.tables.jobs[JOB].status)
            group.cancel_scope.cancel()

    anyio.run(scenario)
    assert statuses == [JobState.CANCELLED] and client.reads == 2 + answered
