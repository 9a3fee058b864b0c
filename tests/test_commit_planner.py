"""The commit planner without an actor: the contents and the conditions of one transaction."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from sloeswitch.core import keys, taskset
from sloeswitch.core.commit_planner import CommitPlan, RequestedClaims, plan_commit
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.core.records import JobState
from sloeswitch.core.uncommitted_updates import JobUpdates
from tests.conftest import Store, spec
from tests.support.commit_plans import (
    DEPARTED,
    JOB,
    LARGE_LIMITS,
    NOW_MS,
    OTHER,
    OWN,
    SIBLING,
    THIRD,
    claim_request,
    row_conditions,
    snapshot,
    store_recovered_view,
    stored_claims,
)


@pytest.fixture
def store(store: Store) -> Store:
    """A store with view 3, whose members are this controller and a sibling, both with recovery complete."""
    store_recovered_view(store)
    return store


def test_nothing_due_is_an_empty_plan(store: Store) -> None:
    store.job(spec())
    plan = plan_commit(snapshot(store), [])
    assert not plan.transaction.writes and not plan.transaction.conditions and not plan.granted


def test_due_jobs_without_a_change_or_without_a_row_are_left_out(store: Store) -> None:
    store.job(spec())
    plan = plan_commit(snapshot(store, {OTHER: JobUpdates(done=1)}), [JOB, OTHER])
    assert not plan.transaction.writes


# -- completions and ends


def test_a_completion_removes_the_claim_and_does_not_rely_on_the_view(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0011, c1_2=0b0100)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0001)}), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)]["d"] == taskset.pack(0b0001)
    assert stored_claims(plan) == {OWN: 0b0010, SIBLING: 0b0100}
    assert plan.transaction.conditions == row_conditions(store) and not plan.relies_on_view
    assert store.tables.jobs[JOB].progress.claims == {OWN: 0b0011, SIBLING: 0b0100}  # the tables are not changed


def test_the_last_completion_ends_the_job_with_one_change(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, 0b0111, c0_1=0b1000)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b1000)}), [JOB])
    assert plan.transaction.writes == {keys.job_key(JOB): {"s": JobState.DONE, "n": 4, "t": NOW_MS}}
    assert plan.transaction.conditions == row_conditions(store)


def test_a_cancelled_job_ends_once_no_claim_is_left(store: Store) -> None:
    store.job(spec(), JobState.CANCELLED)
    store.progress(JOB, c0_1=0b0001, c1_2=0b0010)
    updates = {JOB: JobUpdates(released=0b0001)}
    assert stored_claims(plan_commit(snapshot(store, updates), [JOB])) == {SIBLING: 0b0010}
    store.progress(JOB, c0_1=0b0001)
    plan = plan_commit(snapshot(store, updates), [JOB])
    assert plan.transaction.writes == {keys.job_key(JOB): {"s": JobState.CANCELLED, "n": 4, "t": NOW_MS}}


def test_updates_of_tasks_beyond_the_job_are_left_out(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0011)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b10001, adopted=0b100100, adopted_view=3)}), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)]["d"] == taskset.pack(0b0001)
    assert stored_claims(plan) == {OWN: 0b0110}


# -- releases


def test_a_release_drops_only_this_controllers_claim_and_is_not_claimed_again_at_once(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0011, c1_2=0b0100)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(released=0b0101)}, claims=claim_request(4)), [JOB])
    assert stored_claims(plan) == {OWN: 0b1010, SIBLING: 0b0100} and plan.granted == {JOB: 0b1000}


def test_a_job_without_a_claim_is_bound_to_no_zone(store: Store) -> None:
    store.job(spec(together=True))
    store.put(keys.progress_key(JOB), {"d": [], "c": {OWN: [0, 1]}, "z": "b"})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(released=0b1)}), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)] == {"d": [], "c": {}}


# -- claims


def test_a_claim_takes_the_lowest_free_tasks_and_relies_on_the_view(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, 0b0001, c1_2=0b0010)
    plan = plan_commit(snapshot(store, claims=claim_request(1)), [JOB])
    assert stored_claims(plan) == {SIBLING: 0b0010, OWN: 0b0100} and plan.granted == {JOB: 0b0100}
    assert plan.relies_on_view and plan.transaction.conditions == row_conditions(store) | {
        keys.VIEW_KEY: store.tables.mod_revision(keys.VIEW_KEY)
    }


def test_nothing_is_claimed_of_a_job_that_is_not_runnable(store: Store) -> None:
    store.job(spec(), JobState.CANCELLED)
    store.progress(JOB, c1_2=0b0001)
    assert not plan_commit(snapshot(store, claims=claim_request(4)), [JOB]).granted


def test_a_gang_is_claimed_as_a_whole_or_not_at_all(store: Store) -> None:
    store.job(spec(shape="group", visits=4))
    assert not plan_commit(snapshot(store, claims=claim_request(3)), [JOB]).granted
    assert plan_commit(snapshot(store, claims=claim_request(4)), [JOB]).granted == {JOB: 0b1111}


def test_a_zone_bound_job_is_claimed_only_with_a_zone_and_where_its_tasks_fit(store: Store) -> None:
    store.job(spec(together=True))
    assert not plan_commit(snapshot(store, claims=claim_request(4, zone_bound_tasks={JOB: 0b1111})), [JOB]).granted
    request_with_zone = claim_request(4, zone_bound_tasks={JOB: 0b0110}, zones={JOB: "b"})
    plan = plan_commit(snapshot(store, claims=request_with_zone), [JOB])
    assert plan.granted == {JOB: 0b0110} and plan.transaction.writes[keys.progress_key(JOB)]["z"] == "b"


def test_the_stored_zone_of_a_job_stays(store: Store) -> None:
    store.job(spec(together=True))
    store.put(keys.progress_key(JOB), {"d": [], "c": {SIBLING: [0, 1]}, "z": "b"})
    request_with_zone = claim_request(4, zone_bound_tasks={JOB: 0b0110}, zones={JOB: "a"})
    plan = plan_commit(snapshot(store, claims=request_with_zone), [JOB])
    assert plan.granted == {JOB: 0b0110} and plan.transaction.writes[keys.progress_key(JOB)]["z"] == "b"


def test_no_zone_is_chosen_while_tasks_without_one_are_claimed(store: Store) -> None:
    store.job(spec(together=True))
    store.progress(JOB, c1_2=0b0001)
    request_with_zone = claim_request(4, zone_bound_tasks={JOB: 0b1110}, zones={JOB: "b"})
    assert not plan_commit(snapshot(store, claims=request_with_zone), [JOB]).granted


# -- void claims


def test_void_claims_are_dropped_and_their_tasks_may_be_claimed_in_the_same_transaction(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c1_1=0b0011, c1_2=0b0100)
    plan = plan_commit(snapshot(store, claims=claim_request(2)), [JOB])
    assert stored_claims(plan) == {SIBLING: 0b0100, OWN: 0b0011} and plan.relies_on_view


@pytest.mark.parametrize("change", [{"is_leader": False}, {"recovery_complete": False}])
def test_claims_of_departed_incarnations_stay_before_recovery_and_for_non_leaders(
    store: Store, change: dict[str, Any]
) -> None:
    store.job(spec())
    store.progress(JOB, c1_1=0b0011, c0_1=0b0100)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0100)}, **change), [JOB])
    assert stored_claims(plan) == {DEPARTED: 0b0011} and not plan.relies_on_view


# -- quota allocations


def quota_row(plan: CommitPlan) -> Any:
    return plan.transaction.writes.get(keys.quota_key("red"))


def test_a_quota_increase_is_limited_by_the_quota_and_never_lowers_the_allocation(store: Store) -> None:
    store.put(keys.quota_key("red"), {SIBLING: [15.0, 0.0], OWN: [2.0, 0.0]})

    def increase(cores: float) -> CommitPlan:
        claims = RequestedClaims(quota_increases={"red": ResourceAmount(cores, 0.0)})
        return plan_commit(snapshot(store, claims=claims), [])

    assert quota_row(increase(9.0)) == {SIBLING: [15.0, 0.0], OWN: [5.0, 0.0]}
    assert increase(9.0).relies_on_view
    assert quota_row(increase(1.0)) is None  # stays at 2


def test_allocations_of_departed_incarnations_are_dropped_once_recovery_is_complete(store: Store) -> None:
    store.put(keys.quota_key("red"), {DEPARTED: [20.0, 0.0]})
    claims = RequestedClaims(quota_increases={"red": ResourceAmount(8.0, 0.0)})
    assert quota_row(plan_commit(snapshot(store, claims=claims), [])) == {OWN: [8.0, 0.0]}
    assert quota_row(plan_commit(snapshot(store, claims=claims, recovery_complete=False), [])) is None


def test_a_quota_decrease_applies_only_to_the_row_it_was_computed_from(store: Store) -> None:
    revision = store.put(keys.quota_key("red"), {OWN: [8.0, 0.0], SIBLING: [1.0, 0.0]})

    def decrease(cores: float, revision: int) -> CommitPlan:
        claims = RequestedClaims(quota_decreases={"red": QuotaDecrease(revision, cores, 0.0)})
        return plan_commit(snapshot(store, claims=claims), [])

    assert quota_row(decrease(3.0, revision)) == {OWN: [3.0, 0.0], SIBLING: [1.0, 0.0]}
    assert quota_row(decrease(0.0, revision)) == {SIBLING: [1.0, 0.0]}
    assert quota_row(decrease(9.0, revision)) is None  # a decrease never raises it
    assert quota_row(decrease(3.0, revision - 1)) is None


def test_a_forced_rewrite_writes_a_row_that_stays_the_same(store: Store) -> None:
    revision = store.put(keys.quota_key("red"), {OWN: [8.0, 0.0]})
    claims = RequestedClaims(quota_increases={"red": ResourceAmount(8.0, 0.0)})
    assert quota_row(plan_commit(snapshot(store, claims=claims), [])) is None
    plan = plan_commit(snapshot(store, claims=claims, forced_rewrites={"red"}), [])
    assert quota_row(plan) == {OWN: [8.0, 0.0]} and plan.transaction.conditions[keys.quota_key("red")] == revision


# -- limits


def three_completions(store: Store) -> dict[str, JobUpdates]:
    names = (JOB, OTHER, THIRD)
    for name in names:
        store.job(spec(name))
        store.progress(name, c0_1=0b0011)
    return {name: JobUpdates(done=0b0001) for name in names}


def test_the_limit_of_changes_selects_due_jobs_in_their_order(store: Store) -> None:
    updates = three_completions(store)
    plan = plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, changes=2)), [THIRD, JOB, OTHER])
    assert list(plan.transaction.writes) == [keys.progress_key(THIRD), keys.progress_key(JOB)]


def test_quota_rows_count_towards_the_limit_of_changes(store: Store) -> None:
    updates = three_completions(store)
    claims = RequestedClaims(quota_increases={"red": ResourceAmount(8.0, 0.0)})
    plan = plan_commit(snapshot(store, updates, claims=claims, limits=replace(LARGE_LIMITS, changes=2)), [JOB, OTHER])
    assert list(plan.transaction.writes) == [keys.progress_key(JOB), keys.quota_key("red")]


def test_an_adoption_and_its_quota_row_are_written_together_or_not_at_all(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c1_2=0b0001)
    store.put(keys.quota_key("red"), {SIBLING: [4.0, 0.0]})
    updates = {JOB: JobUpdates(adopted=0b0001, adopted_view=3)}
    assert not plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, changes=1)), [JOB]).transaction.writes
    assert len(plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, changes=2)), [JOB]).transaction) == 2


def test_the_quota_row_of_a_single_adoption_counts_towards_the_limit_of_changes(store: Store) -> None:
    updates = three_completions(store)
    store.progress(JOB, c1_2=0b0001)
    store.put(keys.quota_key("red"), {SIBLING: [4.0, 0.0]})
    updates[JOB] = JobUpdates(adopted=0b0001, adopted_view=3)
    plan = plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, changes=2)), [JOB, OTHER])
    assert list(plan.transaction.writes) == [keys.progress_key(JOB), keys.quota_key("red")]


def test_the_byte_limit_of_a_transaction_selects_due_jobs_too(store: Store) -> None:
    updates = three_completions(store)
    plan = plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, total_bytes=30)), [JOB, OTHER, THIRD])
    assert list(plan.transaction.writes) == [keys.progress_key(JOB), keys.progress_key(OTHER)]


def test_progress_larger_than_a_value_is_left_out_and_reported(store: Store) -> None:
    updates = three_completions(store)
    store.job(spec("wk-000004", visits=400))
    store.progress("wk-000004", c0_1=taskset.full(400))
    updates["wk-000004"] = JobUpdates(done=sum(1 << number for number in range(0, 400, 2)))
    plan = plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, value_bytes=100)), ["wk-000004", JOB])
    assert plan.oversized_jobs == ["wk-000004"] and list(plan.transaction.writes) == [keys.progress_key(JOB)]
    assert keys.progress_key("wk-000004") not in plan.transaction.conditions


def test_a_cancelled_job_whose_claims_are_void_ends(store: Store) -> None:
    store.job(spec(), JobState.CANCELLED)
    store.progress(JOB, c1_1=0b0001)
    plan = plan_commit(snapshot(store), [JOB])
    assert list(plan.transaction.writes) == [keys.job_key(JOB)] and plan.relies_on_view
