"""The rate budget of the state service: the priority of requests, and the reserve that each priority leaves."""

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
    """Guards against rounds of twelve changes that overdraw a bucket of six and thereby delay submissions."""
    client = World(store).client
    client.controller_count = lambda: 3
    for priority in (RequestPriority.CLAIM, RequestPriority.PROGRESS):
        changes = client.available_changes(priority)
        bucket = TokenBucket(client.write_tokens.rate, 0.0)
        assert bucket.acquire(changes, priority, 0.0) == 0.0
        assert bucket.acquire(1, RequestPriority.USER, 0.0) == 0.0


def test_the_jobs_of_a_pipeline_are_accepted_in_succession_without_waiting(store: Store) -> None:
    """Guards against a delay of half a second for the last job when a round of claims has drained the bucket."""
    client = World(store, SETTINGS_WITH_NEXT_LIMITS).client
    client.controller_count = lambda: 3
    bucket = TokenBucket(client.write_tokens.rate, 0.0)
    while bucket.acquire(client.available_changes(RequestPriority.CLAIM), RequestPriority.CLAIM, 0.0) == 0.0:
        pass
    assert [bucket.acquire(1, RequestPriority.USER, 0.02 * number) for number in range(3)] == [0.0] * 3
    # The overdraft is limited, and claims wait until the bucket has refilled.
    assert any(bucket.acquire(1, RequestPriority.USER, 0.06) > 0 for _ in range(20))
    assert bucket.acquire(1, RequestPriority.CLAIM, 0.06) > 0.5


def test_linearizable_reads_use_at_most_half_of_the_request_rate(store: Store) -> None:
    """Guards against users polling hundreds of jobs, whose reads would delay claims for seconds."""
    world = World(store)
    for members in (1, 3):
        world.client.controller_count = lambda members=members: members  # type: ignore[misc]
        world.client.available_changes(RequestPriority.CLAIM)  # Updates the rates.
        assert 1.0 / world.replica.read_pause_s <= world.client.request_tokens.rate / 2


def test_adoptions_and_claims_take_turns(store: Store) -> None:
    """Guards against free capacity that stays unused until all tasks are adopted, after a crash of all controllers."""
    world = World(store)
    for number in range(1, 9):
        store.job(spec(f"wk-00000{number}"))
    adopted = {f"wk-00000{number}": 0b1 for number in range(1, 7)}
    world.send_task_updates(TaskUpdates(adopted=adopted, view_number=3))
    due_jobs = world.jobs._schedule().due_jobs({"wk-000007": 4, "wk-000008": 4})
    assert due_jobs[0] == "wk-000007" and due_jobs[2] == "wk-000008" and set(adopted) <= set(due_jobs)


def test_adoptions_of_one_team_share_one_quota_change(store: Store) -> None:
    """Guards against counting each adoption as three changes, which would limit a round to one adoption."""
    world = World(store)
    for number in range(1, 4):
        store.job(spec(f"wk-00000{number}"))
        store.progress(f"wk-00000{number}", c1_2=0b1)
    world.client.controller_count = lambda: 3
    world.send_task_updates(TaskUpdates(adopted={f"wk-00000{number}": 0b1 for number in range(1, 4)}, view_number=3))
    world.commit_and_place()
    adopted_jobs = [name for name, job in store.tables.jobs.items() if job.progress.claims == {"c0.1": 0b1}]
    assert len(adopted_jobs) >= 2


def decreased_allocations(world: World, allocations: dict[str, list[float]]) -> dict[str, float]:
    """The cores, by team, to which a controller that uses 8 cores decreases its allocations after a surplus."""
    world.store.put(keys.quota_key("red"), allocations)
    requests = world.claim_requests()
    world.clock.time += 3 * world.settings.report_s
    requests += world.claim_requests()
    return {team: cores for request in requests for team, (_, cores, _) in request.quota_decreases.items()}


def test_an_allocation_has_no_margin_when_the_limit_is_fully_allocated(store: Store) -> None:
    """Guards against each controller keeping a fifth more than it uses, which delays the jobs of the others."""
    world = World(store)
    register_machine(world)
    store.job(spec())
    world.commit_and_place(
        ClaimRequest(task_counts={"wk-000001": 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    assert world.machines.quota.usage("red").cores == 8.0
    assert decreased_allocations(world, {"c0.1": [20.0, 0.0]}) == {"red": 8.0}


def test_allocations_are_kept_while_much_of_the_limit_is_free(store: Store) -> None:
    """Guards against allocations that shrink and grow every few seconds, at the cost of a write each time."""
    world = World(store)
    register_machine(world)
    store.job(spec())
    world.commit_and_place(
        ClaimRequest(task_counts={"wk-000001": 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    assert decreased_allocations(world, {"c0.1": [12.0, 0.0]}) == {}


def test_a_long_queue_is_not_searched_when_no_capacity_is_free(store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against searching the whole queue, which takes most of the processor time with hundreds of jobs."""
    world = World(store)
    register_machine(world)
    for number in range(200):
        store.job(spec(f"wk-{number:06d}"))
    store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    examined_jobs: list[str] = []
    unclaimed_tasks = store.tables.unclaimed_tasks

    def record_job(job: Job, recovered: bool) -> int:
        examined_jobs.append(job.spec.id)
        return unclaimed_tasks(job, recovered)

    monkeypatch.setattr(store.tables, "unclaimed_tasks", record_job)
    world.machines.queue.rebuild()
    assert world.claim_requests()[0].task_counts and len(examined_jobs) < 20


def test_a_round_without_changes_takes_nothing_from_the_write_rate(store: Store) -> None:
    """Guards against due jobs that need no change but take tokens from the write rate in every round."""
    world = World(store)
    store.job(spec())
    store.progress("wk-000001", c1_2=0b1111)
    world.leadership.lease_renewed_at = float("-inf")  # Without a lease nothing is claimed.
    before = world.client.write_tokens.tokens
    world.send_task_updates(TaskUpdates(released={"wk-000001": 0b1}))
    world.clock.time += 20.0

    async def acquire(changes: int, priority: RequestPriority) -> None:
        world.client.write_tokens.tokens -= changes

    world.client.acquire_changes = acquire  # type: ignore[method-assign]
    revision = store.revision
    world.commit_and_place()
    assert store.revision == revision and world.client.write_tokens.tokens == before
