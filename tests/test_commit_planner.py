"""The commit planner, without an actor: what one transaction contains, and on which conditions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from sloeswitch import wire
from sloeswitch.core import keys, taskset
from sloeswitch.core.commit_planner import CommitLimits, CommitPlan, CommitSnapshot, RequestedClaims, plan_commit
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.core.records import JobState
from sloeswitch.core.uncommitted_updates import JobUpdates
from sloeswitch.settings import Team
from tests.conftest import Store, spec

JOB, OTHER, THIRD = "wk-000001", "wk-000002", "wk-000003"
OWN, SIBLING, DEPARTED = "c0.1", "c1.2", "c1.1"
NOW_MS = 1_700_000_000_000
ROOMY = CommitLimits(changes=12, transaction_changes=12, value_bytes=16_000, total_bytes=100_000)
TEAMS = {"red": Team("red", 8.0, 20.0, 0.0, 0.0), "blue": Team("blue", 8.0, 20.0, 0.0, 0.0)}


@pytest.fixture
def store(store: Store) -> Store:
    """View 3 of this controller and a sibling, both recovered."""
    store.view(3, ("c0", 1), ("c1", 2))
    store.member("c0", 1, settled=3)
    store.member("c1", 2, settled=3)
    return store


def snapshot(store: Store, updates: dict[str, JobUpdates] | None = None, **changes: Any) -> CommitSnapshot:
    """What the leader c0.1 plans from."""
    tables = store.tables
    base = CommitSnapshot(
        tables=tables,
        teams=TEAMS,
        incarnation_id=OWN,
        updates=updates or {},
        limits=ROOMY,
        is_leader=True,
        recovery_complete=tables.recovery_complete(),
        view_conditions={keys.VIEW_KEY: tables.mod_revision(keys.VIEW_KEY)},
        applied_revision=store.epoch,
        wall_clock_ms=NOW_MS,
    )
    return replace(base, **changes)


def claim(count: int, job: str = JOB, **changes: Any) -> RequestedClaims:
    return RequestedClaims(task_counts={job: count}, **changes)


def stored_claims(plan: CommitPlan, name: str = JOB) -> dict[str, int]:
    """The claims in the progress that a plan writes."""
    packed = plan.transaction.writes[keys.progress_key(name)]["c"]
    return {holder: taskset.unpack(tasks) for holder, tasks in packed.items()}


def row_conditions(store: Store, name: str = JOB) -> dict[str, int]:
    job = store.tables.jobs[name]
    return {keys.job_key(name): job.mod_revision, keys.progress_key(name): job.progress_revision}


def test_nothing_due_is_an_empty_plan(store: Store) -> None:
    store.job(spec())
    plan = plan_commit(snapshot(store), [])
    assert not plan.transaction.writes and not plan.transaction.conditions and not plan.granted


def test_due_jobs_without_a_change_or_without_a_row_are_left_out(store: Store) -> None:
    store.job(spec())
    plan = plan_commit(snapshot(store, {OTHER: JobUpdates(done=1)}), [JOB, OTHER])
    assert not plan.transaction.writes


# -- completions and ends


def test_a_completion_is_written_with_the_claim_gone_and_does_not_rely_on_the_view(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0011, c1_2=0b0100)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0001)}), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)]["d"] == taskset.pack(0b0001)
    assert stored_claims(plan) == {OWN: 0b0010, SIBLING: 0b0100}
    assert plan.transaction.conditions == row_conditions(store) and not plan.relies_on_view
    assert store.tables.jobs[JOB].progress.claims == {OWN: 0b0011, SIBLING: 0b0100}  # the tables stay as they are


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


# -- releases


def test_a_release_drops_only_this_controllers_claim_and_is_not_claimed_again_at_once(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0011, c1_2=0b0100)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(released=0b0101)}, claims=claim(4)), [JOB])
    assert stored_claims(plan) == {OWN: 0b1010, SIBLING: 0b0100} and plan.granted == {JOB: 0b1000}


def test_a_job_without_a_claim_is_bound_to_no_zone(store: Store) -> None:
    store.job(spec(together=True))
    store.put(keys.progress_key(JOB), {"d": [], "c": {OWN: [0, 1]}, "z": "b"})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(released=0b1)}), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)] == {"d": [], "c": {}}


# -- adoptions


def test_a_single_adoption_takes_the_claim_and_its_part_of_the_quota_along(store: Store) -> None:
    store.job(spec(cores=2.0))
    store.progress(JOB, c1_2=0b0111)
    store.put(keys.team_key("red"), {SIBLING: [7.0, 0.0]})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(adopted=0b0011, adopted_view=3)}), [JOB])
    assert stored_claims(plan) == {SIBLING: 0b0100, OWN: 0b0011} and plan.relies_on_view
    assert plan.transaction.writes[keys.team_key("red")] == {SIBLING: [3.0, 0.0], OWN: [4.0, 0.0]}
    assert list(plan.transaction.conditions) == [
        keys.job_key(JOB),
        keys.progress_key(JOB),
        keys.team_key("red"),
        keys.VIEW_KEY,
    ]


def test_an_adoption_of_a_job_that_ends_moves_no_quota(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, 0b0111, c1_2=0b1000)
    store.put(keys.team_key("red"), {SIBLING: [7.0, 0.0]})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b1000, adopted=0b1000, adopted_view=3)}), [JOB])
    assert list(plan.transaction.writes) == [keys.job_key(JOB)] and not plan.relies_on_view


def two_adopted_jobs(store: Store) -> dict[str, JobUpdates]:
    """Adoptions of two teams' jobs, for controllers that all have this layout."""
    store.upgraded()
    for name, team in ((JOB, "red"), (OTHER, "blue")):
        store.job(spec(name, crew=team))
        store.progress(name, c1_2=0b0011)
        store.put(keys.team_key(team), {SIBLING: [4.0, 0.0]})
    return {name: JobUpdates(adopted=0b0001, adopted_view=3) for name in (JOB, OTHER)}


def test_adoptions_of_many_jobs_are_one_row_sorted_by_team(store: Store) -> None:
    plan = plan_commit(snapshot(store, two_adopted_jobs(store)), [])
    key = keys.adoption_key(OWN, 0)
    assert plan.transaction.writes[key] == {"m": {OTHER: [0, 1], JOB: [0, 1]}} and plan.transaction.conditions[key] == 0
    assert list(plan.transaction.writes) == [key, keys.team_key("blue"), keys.team_key("red")]
    assert plan.transaction.writes[keys.team_key("red")] == {SIBLING: [2.0, 0.0], OWN: [2.0, 0.0]}
    assert plan.relies_on_view and list(plan.transaction.conditions)[-1] == keys.VIEW_KEY


def test_a_row_of_adoptions_is_written_once_under_its_number(store: Store) -> None:
    updates = two_adopted_jobs(store)
    assert plan_commit(snapshot(store, updates), []).adoption_number == 0
    store.put(keys.adoption_key(OWN, 0), {"m": {THIRD: [0, 1]}})
    plan = plan_commit(snapshot(store, updates), [])
    assert plan.adoption_number == 1 and next(iter(plan.transaction.writes)) == keys.adoption_key(OWN, 1)


def test_progress_tells_up_to_which_revision_it_contains_adoptions(store: Store) -> None:
    two_adopted_jobs(store)
    store.put(keys.adoption_key(OWN, 0), {"m": {JOB: [0, 1]}})
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0001)}), [JOB])
    assert plan.transaction.writes[keys.progress_key(JOB)]["e"] == store.epoch


def test_grouped_adoptions_keep_within_the_changes_and_leave_the_rest_for_later(store: Store) -> None:
    updates = two_adopted_jobs(store)
    plan = plan_commit(snapshot(store, updates, limits=replace(ROOMY, changes=2, transaction_changes=2)), [])
    assert list(plan.transaction.writes) == [keys.adoption_key(OWN, 0), keys.team_key("blue")]


def test_a_first_adoption_too_large_for_a_row_is_parted(store: Store) -> None:
    store.upgraded()
    store.job(spec(visits=400))
    scattered = sum(1 << number for number in range(0, 400, 3))
    store.progress(JOB, c1_2=scattered)
    limits = replace(ROOMY, value_bytes=60)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(adopted=scattered, adopted_view=3)}, limits=limits), [])
    value = plan.transaction.writes[keys.adoption_key(OWN, 0)]
    tasks = taskset.unpack(value["m"][JOB])
    assert len(wire.encode(value)) <= 60 and tasks and tasks == taskset.lowest(scattered, tasks.bit_count())


def test_adoptions_are_not_grouped_where_decreases_take_the_transaction(store: Store) -> None:
    updates = two_adopted_jobs(store)
    claims = RequestedClaims(quota_decreases={"red": QuotaDecrease(0, 1.0, 0.0)})
    limits = replace(ROOMY, transaction_changes=2)
    assert not snapshot(store, updates, claims=claims, limits=limits).groups_adoptions
    assert snapshot(store, updates, limits=limits).groups_adoptions


# -- claims


def test_a_claim_takes_the_lowest_free_tasks_and_relies_on_the_view(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, 0b0001, c1_2=0b0010)
    plan = plan_commit(snapshot(store, claims=claim(1)), [JOB])
    assert stored_claims(plan) == {SIBLING: 0b0010, OWN: 0b0100} and plan.granted == {JOB: 0b0100}
    assert plan.relies_on_view and plan.transaction.conditions == row_conditions(store) | {
        keys.VIEW_KEY: store.tables.mod_revision(keys.VIEW_KEY)
    }


def test_nothing_is_claimed_of_a_job_that_is_not_runnable(store: Store) -> None:
    store.job(spec(), JobState.CANCELLED)
    store.progress(JOB, c1_2=0b0001)
    assert not plan_commit(snapshot(store, claims=claim(4)), [JOB]).granted


def test_a_gang_is_claimed_as_a_whole_or_not_at_all(store: Store) -> None:
    store.job(spec(shape="group", visits=4))
    assert not plan_commit(snapshot(store, claims=claim(3)), [JOB]).granted
    assert plan_commit(snapshot(store, claims=claim(4)), [JOB]).granted == {JOB: 0b1111}


def test_a_zone_bound_job_is_claimed_only_with_a_zone_and_where_its_tasks_fit(store: Store) -> None:
    store.job(spec(together=True))
    assert not plan_commit(snapshot(store, claims=claim(4, zone_bound_tasks={JOB: 0b1111})), [JOB]).granted
    with_zone = claim(4, zone_bound_tasks={JOB: 0b0110}, zones={JOB: "b"})
    plan = plan_commit(snapshot(store, claims=with_zone), [JOB])
    assert plan.granted == {JOB: 0b0110} and plan.transaction.writes[keys.progress_key(JOB)]["z"] == "b"


def test_no_zone_is_chosen_while_tasks_without_one_are_claimed(store: Store) -> None:
    store.job(spec(together=True))
    store.progress(JOB, c1_2=0b0001)
    with_zone = claim(4, zone_bound_tasks={JOB: 0b1110}, zones={JOB: "b"})
    assert not plan_commit(snapshot(store, claims=with_zone), [JOB]).granted


# -- void claims


def test_void_claims_of_departed_incarnations_go_and_may_be_claimed_in_the_same_transaction(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c1_1=0b0011, c1_2=0b0100)
    plan = plan_commit(snapshot(store, claims=claim(2)), [JOB])
    assert stored_claims(plan) == {SIBLING: 0b0100, OWN: 0b0011} and plan.relies_on_view


@pytest.mark.parametrize("change", [{"is_leader": False}, {"recovery_complete": False}])
def test_claims_of_departed_incarnations_stand_until_recovery_and_for_whoever_does_not_lead(
    store: Store, change: dict[str, Any]
) -> None:
    store.job(spec())
    store.progress(JOB, c1_1=0b0011, c0_1=0b0100)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0100)}, **change), [JOB])
    assert stored_claims(plan) == {DEPARTED: 0b0011} and not plan.relies_on_view


# -- quota allocations


def quota_row(plan: CommitPlan) -> Any:
    return plan.transaction.writes.get(keys.team_key("red"))


def test_a_quota_increase_takes_what_the_limit_has_and_no_less_than_now(store: Store) -> None:
    store.put(keys.team_key("red"), {SIBLING: [15.0, 0.0], OWN: [2.0, 0.0]})

    def increase(cores: float) -> CommitPlan:
        claims = RequestedClaims(quota_increases={"red": ResourceAmount(cores, 0.0)})
        return plan_commit(snapshot(store, claims=claims), [])

    assert quota_row(increase(9.0)) == {SIBLING: [15.0, 0.0], OWN: [5.0, 0.0]}
    assert increase(9.0).relies_on_view
    assert quota_row(increase(1.0)) is None  # stays at 2


def test_departed_incarnations_allocations_go_once_recovery_is_complete(store: Store) -> None:
    store.put(keys.team_key("red"), {DEPARTED: [20.0, 0.0]})
    claims = RequestedClaims(quota_increases={"red": ResourceAmount(8.0, 0.0)})
    assert quota_row(plan_commit(snapshot(store, claims=claims), [])) == {OWN: [8.0, 0.0]}
    assert quota_row(plan_commit(snapshot(store, claims=claims, recovery_complete=False), [])) is None


def test_a_quota_decrease_holds_only_for_the_row_it_was_computed_from(store: Store) -> None:
    revision = store.put(keys.team_key("red"), {OWN: [8.0, 0.0], SIBLING: [1.0, 0.0]})

    def decrease(cores: float, revision: int) -> CommitPlan:
        claims = RequestedClaims(quota_decreases={"red": QuotaDecrease(revision, cores, 0.0)})
        return plan_commit(snapshot(store, claims=claims), [])

    assert quota_row(decrease(3.0, revision)) == {OWN: [3.0, 0.0], SIBLING: [1.0, 0.0]}
    assert quota_row(decrease(0.0, revision)) == {SIBLING: [1.0, 0.0]}
    assert quota_row(decrease(9.0, revision)) is None  # a decrease never raises it
    assert quota_row(decrease(3.0, revision - 1)) is None


def test_a_forced_rewrite_writes_a_row_that_stays_the_same(store: Store) -> None:
    revision = store.put(keys.team_key("red"), {OWN: [8.0, 0.0]})
    claims = RequestedClaims(quota_increases={"red": ResourceAmount(8.0, 0.0)})
    assert quota_row(plan_commit(snapshot(store, claims=claims), [])) is None
    plan = plan_commit(snapshot(store, claims=claims, forced_rewrites={"red"}), [])
    assert quota_row(plan) == {OWN: [8.0, 0.0]} and plan.transaction.conditions[keys.team_key("red")] == revision


# -- limits


def three_completions(store: Store) -> dict[str, JobUpdates]:
    names = (JOB, OTHER, THIRD)
    for name in names:
        store.job(spec(name))
        store.progress(name, c0_1=0b0011)
    return {name: JobUpdates(done=0b0001) for name in names}


def test_the_budget_of_changes_cuts_the_due_jobs_in_their_order(store: Store) -> None:
    updates = three_completions(store)
    plan = plan_commit(snapshot(store, updates, limits=replace(ROOMY, changes=2)), [THIRD, JOB, OTHER])
    assert list(plan.transaction.writes) == [keys.progress_key(THIRD), keys.progress_key(JOB)]


def test_quota_rows_count_towards_the_budget_of_changes(store: Store) -> None:
    updates = three_completions(store)
    claims = RequestedClaims(quota_increases={"red": ResourceAmount(8.0, 0.0)})
    plan = plan_commit(snapshot(store, updates, claims=claims, limits=replace(ROOMY, changes=2)), [JOB, OTHER])
    assert list(plan.transaction.writes) == [keys.progress_key(JOB), keys.team_key("red")]


def test_an_adoption_and_its_quota_row_go_together_or_not_at_all(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c1_2=0b0001)
    store.put(keys.team_key("red"), {SIBLING: [4.0, 0.0]})
    updates = {JOB: JobUpdates(adopted=0b0001, adopted_view=3)}
    assert not plan_commit(snapshot(store, updates, limits=replace(ROOMY, changes=1)), [JOB]).transaction.writes
    assert len(plan_commit(snapshot(store, updates, limits=replace(ROOMY, changes=2)), [JOB]).transaction) == 2


def test_the_bytes_of_a_transaction_cut_the_due_jobs_too(store: Store) -> None:
    updates = three_completions(store)
    plan = plan_commit(snapshot(store, updates, limits=replace(ROOMY, total_bytes=30)), [JOB, OTHER, THIRD])
    assert list(plan.transaction.writes) == [keys.progress_key(JOB), keys.progress_key(OTHER)]


def test_progress_larger_than_a_value_is_left_out_and_named(store: Store) -> None:
    updates = three_completions(store)
    store.job(spec("wk-000004", visits=400))
    store.progress("wk-000004", c0_1=taskset.full(400))
    updates["wk-000004"] = JobUpdates(done=sum(1 << number for number in range(0, 400, 2)))
    plan = plan_commit(snapshot(store, updates, limits=replace(ROOMY, value_bytes=100)), ["wk-000004", JOB])
    assert plan.oversized_jobs == ["wk-000004"] and list(plan.transaction.writes) == [keys.progress_key(JOB)]
    assert keys.progress_key("wk-000004") not in plan.transaction.conditions


def test_a_cancelled_job_whose_claims_are_void_ends(store: Store) -> None:
    store.job(spec(), JobState.CANCELLED)
    store.progress(JOB, c1_1=0b0001)
    plan = plan_commit(snapshot(store), [JOB])
    assert list(plan.transaction.writes) == [keys.job_key(JOB)] and plan.relies_on_view
