"""The rates of the state service: which requests go first, and what each priority must leave to others."""

from __future__ import annotations

import pytest

from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import Job
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.rate_budget import RequestPriority, TokenBucket
from tests.conftest import Store, spec
from tests.support.single_controller import SETTINGS_WITH_NEXT_LIMITS, World, register_machine


def test_the_largest_round_of_claims_does_not_overdraw_the_bucket_for_a_submission(store: Store) -> None:
    """Failure found on the bench: rounds of twelve changes from a bucket of six held submissions up."""
    client = World(store).client
    client.controller_count = lambda: 3
    for priority in (RequestPriority.CLAIM, RequestPriority.PROGRESS):
        changes = client.available_changes(priority)
        bucket = TokenBucket(client.write_tokens.rate, 0.0)
        assert bucket.acquire(changes, priority, 0.0) == 0.0
        assert bucket.acquire(1, RequestPriority.USER, 0.0) == 0.0


def test_the_jobs_of_a_pipeline_are_accepted_one_after_another_without_waiting(store: Store) -> None:
    """Failure found on the bench: after a round of claims the last of them waited for half a second."""
    client = World(store, SETTINGS_WITH_NEXT_LIMITS).client
    client.controller_count = lambda: 3
    bucket = TokenBucket(client.write_tokens.rate, 0.0)
    while bucket.acquire(client.available_changes(RequestPriority.CLAIM), RequestPriority.CLAIM, 0.0) == 0.0:
        pass
    assert [bucket.acquire(1, RequestPriority.USER, 0.02 * number) for number in range(3)] == [0.0] * 3
    # Borrowing is bounded, and claims wait until it is returned.
    assert any(bucket.acquire(1, RequestPriority.USER, 0.06) > 0 for _ in range(20))
    assert bucket.acquire(1, RequestPriority.CLAIM, 0.06) > 0.5


def test_linearizable_reads_leave_half_of_the_requests_to_others(store: Store) -> None:
    """Failure found on the bench: polls for hundreds of jobs starved the claims for seconds."""
    world = World(store)
    for members in (1, 3):
        world.client.controller_count = lambda members=members: members  # type: ignore[misc]
        world.client.available_changes(RequestPriority.CLAIM)  # sets the rates anew
        assert 1.0 / world.replica.read_pause_s <= world.client.request_tokens.rate / 2


def test_adoptions_and_claims_take_turns(store: Store) -> None:
    """Failure found on the bench: after a crash of all, free room waited until everything was adopted."""
    world = World(store)
    for number in range(1, 9):
        store.job(spec(f"wk-00000{number}"))
    adopted = {f"wk-00000{number}": 0b1 for number in range(1, 7)}
    world.send_task_updates(TaskUpdates(adopted=adopted, view_number=3))
    due = world.jobs._schedule().due_jobs({"wk-000007": 4, "wk-000008": 4})
    assert due[0] == "wk-000007" and due[2] == "wk-000008" and set(adopted) <= set(due)


def test_adoptions_of_one_team_share_its_change(store: Store) -> None:
    """Failure found on the bench: each adoption was counted as three changes, so that a round held one."""
    world = World(store)
    for number in range(1, 4):
        store.job(spec(f"wk-00000{number}"))
        store.progress(f"wk-00000{number}", c1_2=0b1)
    world.client.controller_count = lambda: 3
    world.send_task_updates(TaskUpdates(adopted={f"wk-00000{number}": 0b1 for number in range(1, 4)}, view_number=3))
    world.commit_and_place()
    moved = [name for name, job in store.tables.jobs.items() if job.progress.claims == {"c0.1": 0b1}]
    assert len(moved) >= 2


def surplus_given_up(world: World, allowances: dict[str, list[float]]) -> dict[str, float]:
    """What a controller with 8 cores in use gives up of its allowance after a while, by team."""
    world.store.put(keys.quota_key("red"), allowances)
    asked = world.claim_requests()
    world.clock.time += 3 * world.settings.report_s
    asked += world.claim_requests()
    return {team: cores for request in asked for team, (_, cores, _) in request.quota_decreases.items()}


def test_a_limit_that_is_used_up_is_held_without_a_margin(store: Store) -> None:
    """Failure found on the bench: each controller kept a fifth more than it used, and checks were late."""
    world = World(store)
    register_machine(world)
    store.job(spec())
    world.commit_and_place(
        ClaimRequest(task_counts={"wk-000001": 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    assert world.machines.quota.usage("red").cores == 8.0
    assert surplus_given_up(world, {"c0.1": [20.0, 0.0]}) == {"red": 8.0}


def test_while_much_of_a_limit_is_free_parts_are_kept(store: Store) -> None:
    """Failure found on the bench: allowances shrank and grew every few seconds, each time for a write."""
    world = World(store)
    register_machine(world)
    store.job(spec())
    world.commit_and_place(
        ClaimRequest(task_counts={"wk-000001": 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    assert surplus_given_up(world, {"c0.1": [12.0, 0.0]}) == {}


def test_a_long_line_is_not_looked_through_when_nothing_is_free(store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure found on the bench: with hundreds of jobs waiting most of the processor time went into this."""
    world = World(store)
    register_machine(world)
    for number in range(200):
        store.job(spec(f"wk-{number:06d}"))
    store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    looked: list[str] = []
    open_tasks = store.tables.unclaimed_tasks

    def look(job: Job, settled: bool) -> int:
        looked.append(job.spec.id)
        return open_tasks(job, settled)

    monkeypatch.setattr(store.tables, "unclaimed_tasks", look)
    world.machines.queue.rebuild()
    assert world.claim_requests()[0].task_counts and len(looked) < 20


def test_a_round_without_changes_takes_nothing_from_the_write_rate(store: Store) -> None:
    """Failure found by reasoning: what is due and needs no change took its part of the rate each time."""
    world = World(store)
    store.job(spec())
    store.progress("wk-000001", c1_2=0b1111)
    world.leadership.lease_renewed_at = float("-inf")  # claims nothing
    before = world.client.write_tokens.tokens
    world.send_task_updates(TaskUpdates(released={"wk-000001": 0b1}))
    world.clock.time += 20.0

    async def acquire(changes: int, priority: RequestPriority) -> None:
        world.client.write_tokens.tokens -= changes

    world.client.acquire_changes = acquire  # type: ignore[method-assign]
    revision = store.revision
    world.commit_and_place()
    assert store.revision == revision and world.client.write_tokens.tokens == before
