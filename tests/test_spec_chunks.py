"""Specs that are too large for one value are stored in chunks."""

from __future__ import annotations

from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from sloeswitch.core.transaction import Transaction
from tests.conftest import SETTINGS, Store, spec
from tests.support.single_controller import World, status_code, store_done, submit

JOB_A, JOB_B, JOB_C, JOB_D = "wk-000001", "wk-000002", "wk-000003", "wk-000004"

NARROW = SETTINGS.replace(
    "[deployment.cloud]", "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[deployment.cloud]"
)


def test_a_job_that_awaits_a_thousand_is_stored_in_parts_its_own_row_last(store: Store) -> None:
    store.put_complete_layout()
    world = World(store, NARROW)
    names = [f"wk-{number:06d}" for number in range(1000)]
    for name in names:
        store_done(store, name)
    store.job(spec("wk-100000"))
    assert submit(world, "wk-100001", *names, "wk-100000") == 201
    job = store.tables.jobs["wk-100001"]
    assert job.unfinished_prerequisites == 1 and len(job.spec.prerequisites) == 1001
    # Read by key, a job's row comes before its parts.
    again = Store()
    again.put(keys.job_key("wk-100001"), {"s": JobState.LIVE, "n": 4, "t": 0, "parts": list(job.spec_chunks or ())})
    assert not again.tables.jobs
    for number, text in store.tables.spec_chunks["wk-100001"][job.spec_chunks[0] if job.spec_chunks else ""].items():
        again.put(keys.chunk_key("wk-100001", job.spec_chunks[0] if job.spec_chunks else "", number), text)
    assert again.tables.jobs["wk-100001"].spec == job.spec
    # With claims its cancelled row names the parts too; over, they are dropped.
    store.progress("wk-100001", c0_1=1)
    assert anyio.run(world.jobs.cancel, "wk-100001") == wire.JobStatus.CANCELLED
    assert store.tables.jobs["wk-100001"].is_cancelled
    store.progress("wk-100001")
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    world.commit_and_place()
    for _ in range(20):
        anyio.run(world.jobs.garbage_collector.collect)
    assert (
        "wk-100001" in store.tables.finished_jobs
        and not store.tables.spec_chunks
        and not store.tables.leftover_progress
    )


def test_parts_without_a_job_are_no_job_and_are_cleared_away_before_a_late_row_can_need_them(store: Store) -> None:
    store.put_complete_layout()
    world = World(store, NARROW)
    names = [f"wk-{number:06d}" for number in range(1000)]
    for name in names:
        store_done(store, name)

    # The row's own answer is lost, four parts before it are stored.
    commit = world.client.compare_and_swap

    async def lose_the_row(transaction: Transaction, *rest: Any, **more: Any) -> Any:
        world.client.lose_answers = int(keys.job_key("wk-100001") in transaction.writes)
        return await commit(transaction, *rest, **more)

    world.client.compare_and_swap = lose_the_row  # type: ignore[method-assign]
    assert submit(world, "wk-100001", *names) == 503
    assert len(world.client.lost_transactions) == 1 and store.tables.spec_chunks
    assert status_code(world, "wk-100001") == 404
    anyio.run(world.jobs.garbage_collector.collect)
    world.clock.time += 5 * world.settings.lease_s
    anyio.run(world.jobs.garbage_collector.collect)
    world.client.apply(*world.client.lost_transactions[0])  # the row, carried out after its first part was dropped
    assert status_code(world, "wk-100001") == 404
    for _ in range(20):
        anyio.run(world.jobs.garbage_collector.collect)
    assert not store.tables.spec_chunks
