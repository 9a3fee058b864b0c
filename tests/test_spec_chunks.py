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

SETTINGS_WITH_LOW_LIMITS = SETTINGS.replace(
    "[deployment.cloud]", "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[deployment.cloud]"
)


def test_a_job_with_a_thousand_prerequisites_is_stored_in_chunks_before_its_row(store: Store) -> None:
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_LOW_LIMITS)
    names = [f"wk-{number:06d}" for number in range(1000)]
    for name in names:
        store_done(store, name)
    store.job(spec("wk-100000"))
    assert submit(world, "wk-100001", *names, "wk-100000") == 201
    job = store.tables.jobs["wk-100001"]
    assert job.unfinished_prerequisites == 1 and len(job.spec.prerequisites) == 1001
    # An initial read returns rows in the order of their keys, the job's row before its chunks.
    initial_read = Store()
    initial_read.put(
        keys.job_key("wk-100001"), {"s": JobState.LIVE, "n": 4, "t": 0, "parts": list(job.spec_chunks or ())}
    )
    assert not initial_read.tables.jobs
    for number, text in store.tables.spec_chunks["wk-100001"][job.spec_chunks[0] if job.spec_chunks else ""].items():
        initial_read.put(keys.chunk_key("wk-100001", job.spec_chunks[0] if job.spec_chunks else "", number), text)
    assert initial_read.tables.jobs["wk-100001"].spec == job.spec
    # While the job has claims its cancelled row still refers to the chunks. They are deleted once it is finished.
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


def test_chunks_without_a_job_are_deleted_and_a_late_row_of_the_job_fails(store: Store) -> None:
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_LOW_LIMITS)
    names = [f"wk-{number:06d}" for number in range(1000)]
    for name in names:
        store_done(store, name)

    # The chunks are stored, and the answer to the transaction that writes the job's row is lost.
    commit = world.client.compare_and_swap

    async def lose_row_answer(transaction: Transaction, *rest: Any, **more: Any) -> Any:
        world.client.lose_answers = int(keys.job_key("wk-100001") in transaction.writes)
        return await commit(transaction, *rest, **more)

    world.client.compare_and_swap = lose_row_answer  # type: ignore[method-assign]
    assert submit(world, "wk-100001", *names) == 503
    assert len(world.client.lost_transactions) == 1 and store.tables.spec_chunks
    assert status_code(world, "wk-100001") == 404
    anyio.run(world.jobs.garbage_collector.collect)
    world.clock.time += 5 * world.settings.lease_s
    anyio.run(world.jobs.garbage_collector.collect)
    world.client.apply(*world.client.lost_transactions[0])  # the job's row, applied after its first chunk was deleted
    assert status_code(world, "wk-100001") == 404
    for _ in range(20):
        anyio.run(world.jobs.garbage_collector.collect)
    assert not store.tables.spec_chunks
