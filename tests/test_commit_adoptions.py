"""Adoptions in the transactions of the commit planner: in a job's progress row, or for many jobs in one row."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sloeswitch import wire
from sloeswitch.core import keys, taskset
from sloeswitch.core.commit_planner import RequestedClaims, plan_commit
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.core.uncommitted_updates import JobUpdates
from tests.conftest import Store, spec
from tests.support.commit_plans import (
    JOB,
    LARGE_LIMITS,
    OTHER,
    OWN,
    SIBLING,
    TEAMS,
    THIRD,
    snapshot,
    store_recovered_view,
    stored_claims,
)


@pytest.fixture
def store(store: Store) -> Store:
    """A store with view 3, whose members are this controller and a sibling, both with recovery complete."""
    store_recovered_view(store)
    return store


def test_a_single_adoption_moves_the_claim_and_its_quota(store: Store) -> None:
    store.job(spec(cores=2.0))
    store.progress(JOB, c1_2=0b0111)
    store.put(keys.quota_key("red"), {SIBLING: [7.0, 0.0]})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(adopted=0b0011, adopted_view=3)}), [JOB])
    assert stored_claims(plan) == {SIBLING: 0b0100, OWN: 0b0011} and plan.relies_on_view
    assert plan.transaction.writes[keys.quota_key("red")] == {SIBLING: [3.0, 0.0], OWN: [4.0, 0.0]}
    assert list(plan.transaction.conditions) == [
        keys.job_key(JOB),
        keys.progress_key(JOB),
        keys.quota_key("red"),
        keys.VIEW_KEY,
    ]


def test_an_adoption_of_a_job_that_ends_moves_no_quota(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, 0b0111, c1_2=0b1000)
    store.put(keys.quota_key("red"), {SIBLING: [7.0, 0.0]})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b1000, adopted=0b1000, adopted_view=3)}), [JOB])
    assert list(plan.transaction.writes) == [keys.job_key(JOB)] and not plan.relies_on_view


def test_a_done_task_is_not_adopted(store: Store) -> None:
    store.job(spec())
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0001, adopted=0b0011, adopted_view=3)}), [JOB])
    assert stored_claims(plan) == {OWN: 0b0010}


def test_an_adoption_of_unclaimed_tasks_moves_no_quota_and_relies_on_the_view(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0001)
    store.put(keys.quota_key("red"), {OWN: [4.0, 0.0]})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(adopted=0b0011, adopted_view=3)}), [JOB])
    assert list(plan.transaction.writes) == [keys.progress_key(JOB)] and stored_claims(plan) == {OWN: 0b0011}
    assert plan.relies_on_view and keys.VIEW_KEY in plan.transaction.conditions


def two_adopted_jobs(store: Store) -> dict[str, JobUpdates]:
    """Returns adoptions of two teams' jobs; all controllers support the present layout."""
    store.put_complete_layout()
    for name, team in ((JOB, "red"), (OTHER, "blue")):
        store.job(spec(name, crew=team))
        store.progress(name, c1_2=0b0011)
        store.put(keys.quota_key(team), {SIBLING: [4.0, 0.0]})
    return {name: JobUpdates(adopted=0b0001, adopted_view=3) for name in (JOB, OTHER)}


def test_adoptions_of_many_jobs_are_one_row_sorted_by_team(store: Store) -> None:
    plan = plan_commit(snapshot(store, two_adopted_jobs(store)), [])
    key = keys.adoption_key(OWN, 0)
    assert plan.transaction.writes[key] == {"m": {OTHER: [0, 1], JOB: [0, 1]}} and plan.transaction.conditions[key] == 0
    assert list(plan.transaction.writes) == [key, keys.quota_key("blue"), keys.quota_key("red")]
    assert plan.transaction.writes[keys.quota_key("red")] == {SIBLING: [2.0, 0.0], OWN: [2.0, 0.0]}
    assert plan.relies_on_view and list(plan.transaction.conditions)[-1] == keys.VIEW_KEY


def test_a_row_of_adoptions_is_written_once_under_its_number(store: Store) -> None:
    updates = two_adopted_jobs(store)
    assert plan_commit(snapshot(store, updates), []).adoption_number == 0
    store.put(keys.adoption_key(OWN, 0), {"m": {THIRD: [0, 1]}})
    plan = plan_commit(snapshot(store, updates), [])
    assert plan.adoption_number == 1 and next(iter(plan.transaction.writes)) == keys.adoption_key(OWN, 1)


def test_grouped_adoptions_of_unclaimed_tasks_rely_on_the_view(store: Store) -> None:
    store.put_complete_layout()
    store.job(spec())
    store.progress(JOB, 0b0001)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(adopted=0b0011, adopted_view=3)}), [])
    assert plan.transaction.writes == {keys.adoption_key(OWN, 0): {"m": {JOB: [1, 1]}}}  # without the task that is done
    assert plan.relies_on_view and keys.VIEW_KEY in plan.transaction.conditions


def test_the_quota_of_grouped_adoptions_moves_once_even_if_their_jobs_are_due(store: Store) -> None:
    plan = plan_commit(snapshot(store, two_adopted_jobs(store)), [JOB, OTHER])
    assert stored_claims(plan) == {SIBLING: 0b0010, OWN: 0b0001}
    assert plan.transaction.writes[keys.quota_key("red")] == {SIBLING: [2.0, 0.0], OWN: [2.0, 0.0]}


def test_an_increase_beside_grouped_adoptions_needs_a_change_of_its_own(store: Store) -> None:
    updates = two_adopted_jobs(store)
    del updates[OTHER]
    claims = RequestedClaims(quota_increases={"blue": ResourceAmount(8.0, 0.0)})
    red, blue = keys.quota_key("red"), keys.quota_key("blue")
    for changes, teams in ((3, [red, blue]), (2, [red])):
        limits = replace(LARGE_LIMITS, changes=changes)
        plan = plan_commit(snapshot(store, updates, claims=claims, limits=limits), [])
        assert list(plan.transaction.writes) == [keys.adoption_key(OWN, 0), *teams]


def test_a_row_of_adoptions_is_no_larger_than_a_value(store: Store) -> None:
    updates = two_adopted_jobs(store)
    plan = plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, value_bytes=40)), [])
    assert plan.transaction.writes[keys.adoption_key(OWN, 0)] == {"m": {OTHER: [0, 1]}}
    assert keys.quota_key("red") not in plan.transaction.writes


def test_progress_stores_the_revision_up_to_which_it_contains_adoptions(store: Store) -> None:
    two_adopted_jobs(store)
    store.put(keys.adoption_key(OWN, 0), {"m": {JOB: [0, 1]}})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0001)}), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)]["e"] == store.revision


def test_the_adoption_revision_of_progress_never_decreases(store: Store) -> None:
    two_adopted_jobs(store)
    store.put(keys.adoption_key(OWN, 0), {"m": {JOB: [0, 1]}})
    store.put(keys.progress_key(JOB), {"d": [], "c": {OWN: [0, 2]}, "e": 99})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0001)}, applied_revision=5), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)]["e"] == 99


def test_grouped_adoptions_respect_the_limit_of_changes_and_leave_the_rest_for_later(store: Store) -> None:
    updates = two_adopted_jobs(store)
    plan = plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, changes=2, transaction_changes=2)), [])
    assert list(plan.transaction.writes) == [keys.adoption_key(OWN, 0), keys.quota_key("blue")]


def test_a_first_adoption_too_large_for_a_row_is_split(store: Store) -> None:
    store.put_complete_layout()
    store.job(spec(visits=400))
    scattered = sum(1 << number for number in range(0, 400, 3))
    store.progress(JOB, c1_2=scattered)
    limits = replace(LARGE_LIMITS, value_bytes=60)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(adopted=scattered, adopted_view=3)}, limits=limits), [])
    value = plan.transaction.writes[keys.adoption_key(OWN, 0)]
    tasks = taskset.unpack(value["m"][JOB])
    assert len(wire.encode(value)) <= 60 and tasks and tasks == taskset.lowest(scattered, tasks.bit_count())


def test_no_quota_moves_with_an_adoption_whose_progress_is_too_large_to_be_stored(store: Store) -> None:
    store.job(spec(visits=400))
    scattered = sum(1 << number for number in range(0, 400, 3))
    store.progress(JOB, c1_2=scattered)
    store.put(keys.quota_key("red"), {SIBLING: [20.0, 0.0]})
    updates = {JOB: JobUpdates(adopted=scattered & 0xFF, adopted_view=3)}
    plan = plan_commit(snapshot(store, updates, limits=replace(LARGE_LIMITS, value_bytes=40)), [JOB])
    assert plan.oversized_jobs == [JOB] and not plan.transaction.writes


def test_a_decrease_computed_before_an_adoption_keeps_the_quota_of_the_adopted_tasks(store: Store) -> None:
    store.put_complete_layout()
    store.job(spec(cores=2.0))
    store.progress(JOB, c1_2=0b0011)
    store.put(keys.quota_key("red"), {SIBLING: [4.0, 0.0], OWN: [8.0, 0.0]})
    decrease = QuotaDecrease(store.tables.mod_revision(keys.quota_key("red")), 5.0, 0.0)
    claims = RequestedClaims(quota_decreases={"red": decrease})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(adopted=0b0011, adopted_view=3)}, claims=claims), [])
    assert plan.transaction.writes[keys.quota_key("red")] == {OWN: [9.0, 0.0]}


def test_a_sibling_cannot_take_the_quota_of_adopted_tasks_after_a_decrease(store: Store) -> None:
    """Guards against a quota exceeded by an adoption and a decrease in one transaction.

    Of 20 cores, the adopting controller uses 5 plus 4 for the adopted tasks, and a third controller uses 8.
    """
    store.put_complete_layout()
    store.view(4, ("c0", 1), ("c2", 3))
    store.job(spec(cores=2.0))
    store.progress(JOB, c1_2=0b0011)
    row = keys.quota_key("red")
    store.put(row, {SIBLING: [4.0, 0.0], OWN: [8.0, 0.0], "c2.3": [8.0, 0.0]})
    decrease = RequestedClaims(quota_decreases={"red": QuotaDecrease(store.tables.mod_revision(row), 5.0, 0.0)})
    adopting = snapshot(store, {JOB: JobUpdates(adopted=0b0011, adopted_view=4)}, claims=decrease)
    store.put(row, plan_commit(adopting, []).transaction.writes[row])
    increase = RequestedClaims(quota_increases={"red": ResourceAmount(20.0, 0.0)})
    taking = replace(snapshot(store, claims=increase), incarnation_id="c2.3")
    taken = plan_commit(taking, []).transaction.writes[row]["c2.3"][0]
    assert taken + 5.0 + 4.0 <= TEAMS["red"].cpus_max


def test_adoptions_are_not_grouped_if_decreases_fill_the_transaction(store: Store) -> None:
    updates = two_adopted_jobs(store)
    claims = RequestedClaims(quota_decreases={"red": QuotaDecrease(0, 1.0, 0.0)})
    limits = replace(LARGE_LIMITS, transaction_changes=2)
    assert not snapshot(store, updates, claims=claims, limits=limits).groups_adoptions
    assert snapshot(store, updates, limits=limits).groups_adoptions
