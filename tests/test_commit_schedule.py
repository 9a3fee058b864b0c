"""The time and the order in which uncommitted updates are committed, and their merging and pruning until then."""

from __future__ import annotations

import pytest

from sloeswitch.core import keys
from sloeswitch.core.commit_schedule import CommitDelays, CommitSchedule
from sloeswitch.core.records import JobState
from sloeswitch.core.uncommitted_updates import TaskUpdates, UncommittedUpdates
from tests.conftest import Store, spec

JOB, OTHER, THIRD = "wk-000001", "wk-000002", "wk-000003"
OWN = "c0.1"


@pytest.fixture
def store(store: Store) -> Store:
    """A store with view 3, whose members are this controller and a sibling, both with recovery complete."""
    store.view(3, ("c0", 1), ("c1", 2))
    store.member("c0", 1, recovered_view=3)
    store.member("c1", 2, recovered_view=3)
    return store


def schedule(store: Store, updates: UncommittedUpdates, now_s: float, is_coordinator: bool = False) -> CommitSchedule:
    return CommitSchedule(
        store.tables, updates, OWN, is_coordinator, CommitDelays(claim_end_s=0.3, other_s=10.0), now_s
    )


def test_ending_jobs_are_due_before_claims_and_those_with_dependents_first(store: Store) -> None:
    for name in (JOB, OTHER, THIRD):
        store.job(spec(name, visits=1 if name != THIRD else 4))
        store.progress(name, c0_1=0b1)
    store.job(spec("wk-000004", awaits=[OTHER]))
    store.job(spec("wk-000005"))
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(done={THIRD: 1, JOB: 1, OTHER: 1}), now_s=100.0)
    due = schedule(store, updates, 100.5).due_jobs(["wk-000005"])
    assert due == [OTHER, JOB, "wk-000005", THIRD]


def test_updates_that_end_claims_wait_briefly_and_others_longer(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0011)
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(done={JOB: 0b0001}), now_s=100.0)
    assert schedule(store, updates, 109.0).due_jobs(()) == [] and not schedule(store, updates, 109.0).is_urgent()
    assert schedule(store, updates, 110.0).due_jobs(()) == [JOB]
    updates.merge(TaskUpdates(done={JOB: 0b0010}), now_s=100.1)
    assert schedule(store, updates, 100.2).due_jobs(()) == [] and schedule(store, updates, 100.2).is_urgent()
    assert schedule(store, updates, 100.4).due_jobs(()) == [JOB]


def test_the_completion_of_one_task_of_a_gang_ends_it_without_a_delay(store: Store) -> None:
    """Guards against users who are not told within 3 s, because the other tasks' machines never report."""
    store.job(spec(shape="group"))
    store.progress(JOB, c0_1=0b1111)
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(done={JOB: 0b0100}), now_s=100.0)
    assert schedule(store, updates, 100.4).due_jobs([OTHER]) == [JOB, OTHER]


def test_the_coordinator_ends_gangs_of_which_an_earlier_version_stored_some_tasks_as_done(store: Store) -> None:
    store.job(spec(shape="group"))
    store.progress(JOB, 0b0001, c0_1=0b1110)
    store.job(spec(OTHER))
    store.progress(OTHER, 0b0001, c0_1=0b1110)
    assert schedule(store, UncommittedUpdates(), 0.0).due_jobs(()) == []
    assert schedule(store, UncommittedUpdates(), 0.0, is_coordinator=True).due_jobs(()) == [JOB]


def test_the_coordinator_releases_the_zone_of_jobs_whose_claims_are_all_void(store: Store) -> None:
    void, valid = {"c1.1": [0, 4]}, {"c1.1": [0, 3], "c1.2": [3, 1]}
    for name, claims in ((JOB, void), (OTHER, valid)):
        store.job(spec(name, together=True))
        store.put(keys.progress_key(name), {"d": [], "c": claims, "z": "b"})
    assert schedule(store, UncommittedUpdates(), 0.0).due_jobs(()) == []
    assert schedule(store, UncommittedUpdates(), 0.0, is_coordinator=True).due_jobs(()) == [JOB]
    store.view(4, ("c0", 1), ("c1", 2))  # not recovered: the claims may still be adopted
    assert schedule(store, UncommittedUpdates(), 0.0, is_coordinator=True).due_jobs(()) == []


def test_the_coordinator_ends_cancelled_jobs_whose_claims_are_void(store: Store) -> None:
    store.job(spec(), JobState.CANCELLED)
    store.progress(JOB, c1_1=0b0001)
    store.job(spec(OTHER), JobState.CANCELLED)
    store.progress(OTHER, c1_2=0b0001)
    assert schedule(store, UncommittedUpdates(), 0.0).due_jobs(()) == []
    assert schedule(store, UncommittedUpdates(), 0.0, is_coordinator=True).due_jobs(()) == [JOB]


def test_adoptions_are_valid_only_under_their_view(store: Store) -> None:
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(adopted={JOB: 0b0001}, view_number=3), now_s=0.0)
    updates.merge(TaskUpdates(adopted={JOB: 0b0010}, view_number=2), now_s=0.0)
    assert updates.by_job[JOB].adopted == 0b0001
    updates.merge(TaskUpdates(adopted={JOB: 0b0100}, view_number=4), now_s=0.0)
    assert updates.by_job[JOB].adopted == 0b0100
    updates.expire_adoptions(4, is_member=True)
    assert updates.by_job[JOB].adopted == 0b0100
    updates.expire_adoptions(5, is_member=True)
    assert updates.by_job[JOB].adopted == 0


def test_committed_updates_are_pruned_and_a_new_incarnation_keeps_only_completions(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, 0b0001, c0_1=0b0010)
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(done={JOB: 0b0001}, released={JOB: 0b0100}), now_s=0.0)
    updates.prune_committed(store.tables, OWN)
    assert not updates
    updates.merge(TaskUpdates(done={JOB: 0b1000}, released={JOB: 0b0010}), now_s=0.0)
    updates.reset_claims()
    assert updates.by_job[JOB].done == 0b1000 and updates.by_job[JOB].released == 0


def test_the_end_of_a_job_with_dependents_is_due_at_once(store: Store) -> None:
    store.job(spec(visits=1))
    store.progress(JOB, c0_1=0b1)
    store.job(spec(OTHER, awaits=[JOB]))
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(done={JOB: 0b1}), now_s=100.0)
    assert schedule(store, updates, 100.0).due_jobs(()) == [JOB]


def test_a_release_is_urgent_even_if_other_claims_are_left(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0011)
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(released={JOB: 0b0001}), now_s=100.0)
    assert schedule(store, updates, 100.0).is_urgent() and schedule(store, updates, 100.4).due_jobs(()) == [JOB]


def test_adoptions_are_urgent_and_are_due_by_job_only_until_the_layout_is_complete(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b1000, c1_2=0b0001)
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(adopted={JOB: 0b0001}, view_number=3), now_s=100.0)
    assert schedule(store, updates, 100.0).is_urgent() and schedule(store, updates, 100.0).due_jobs(()) == [JOB]
    store.put_complete_layout()
    assert schedule(store, updates, 100.0).is_urgent() and schedule(store, updates, 100.0).due_jobs(()) == []


def test_claims_on_cancelled_jobs_are_valid_until_recovery_is_complete(store: Store) -> None:
    store.job(spec(), JobState.CANCELLED)
    store.progress(JOB, c1_1=0b0001)
    store.member("c1", 2, recovered_view=2)
    assert schedule(store, UncommittedUpdates(), 0.0, is_coordinator=True).due_jobs(()) == []


def test_adoptions_expire_when_the_controller_leaves_the_view(store: Store) -> None:
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(adopted={JOB: 0b0001}, view_number=3), now_s=0.0)
    updates.expire_adoptions(3, is_member=False)
    assert updates.by_job[JOB].adopted == 0


def test_updates_are_pruned_once_committed_or_finished_and_kept_for_unknown_jobs(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b0001)
    store.job(spec(OTHER))
    store.put(keys.job_key(OTHER), {"s": JobState.DONE, "n": 4, "t": 0})
    updates = UncommittedUpdates()
    updates.merge(TaskUpdates(done={OTHER: 0b1, THIRD: 0b1}, adopted={JOB: 0b0001}, view_number=3), now_s=0.0)
    updates.prune_committed(store.tables, OWN)
    assert list(updates.by_job) == [THIRD]
