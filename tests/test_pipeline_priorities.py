"""Pipelines: order of the queue, and propagation of deadlines and priorities to prerequisites."""

from __future__ import annotations

import pytest

from sloeswitch.core import job_priority, job_queue, keys, slo_targets
from sloeswitch.core.records import JobState
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec, submission
from tests.support.single_controller import World, queued_names, register_machine, store_done

A, B, C, D = "wk-000001", "wk-000002", "wk-000003", "wk-000004"


@pytest.fixture
def world(store: Store) -> World:
    store.put_complete_layout()
    world = World(store)
    register_machine(world)
    return world


def test_the_age_of_a_job_counts_from_the_completion_of_its_prerequisites(store: Store) -> None:
    """The guarantee and the order by age use the time at which the job became runnable."""
    store.job(spec(A))
    store.job(spec(B, visits=4, awaits=[A]))
    store.job(spec(C, visits=3))
    store_done(store, A)
    assert queued_names(store) == [C, B]
    jobs = store.tables.jobs
    assert jobs[C].guaranteed and not jobs[B].guaranteed and jobs[B].ready_revision > jobs[C].ready_revision


SETTINGS_WITH_OBJECTIVES = SETTINGS.replace(
    "[deployment.workers]",
    '[[deployment.objectives]]\nkind = "wait"\nclass = "check"\nwithin_s = 40.0\nshare = 0.9\n'
    '[[deployment.objectives]]\nkind = "deadline"\nclass = "publish"\nshare = 0.9\ntimes = 1.0\n'
    '[[deployment.objectives]]\nkind = "deadline"\nclass = "publish"\nshare = 0.9\ntimes = 1.5\n'
    "[deployment.workers]",
)


def test_deadlines_count_from_submission_and_other_targets_from_the_last_prerequisite(store: Store) -> None:
    store.job(spec(A))
    store.job(spec(B, roster="check", awaits=[A], expectedS=20.0))
    store.job(spec(C, roster="publish", awaits=[A], dueS=200.0))
    store_done(store, A, at_ms=100_000)
    objectives = parse(SETTINGS_WITH_OBJECTIVES).objectives
    assert slo_targets.slo_targets(store.tables.jobs[B], objectives) == [160.0]
    assert slo_targets.slo_targets(store.tables.jobs[C], objectives) == [200.0, 300.0]
    # Starvation also counts from the last prerequisite: B has just become runnable and is not starved.
    store.job(spec(D, urgency="critical"))
    assert queued_names(store, 130_000, SETTINGS_WITH_OBJECTIVES)[0] != B


def test_a_completion_stored_without_a_time_by_older_versions_counts_from_submission(store: Store) -> None:
    store.put(keys.job_key(A), {"s": JobState.DONE, "n": 4})
    store.put(keys.job_key(B), {"s": JobState.LIVE, "n": 4, "t": 7000, "spec": submission(B, awaits=[A])})
    assert store.tables.jobs[B].ready_ms == 7000


def test_prerequisites_inherit_the_priority_and_the_deadline_less_the_path_between(store: Store) -> None:
    settings = parse(SETTINGS_WITH_OBJECTIVES)
    store.job(spec("wk-000009", urgency="standard", visits=20))
    store.job(spec(A, urgency="best_effort", visits=20))
    store.job(spec(B, urgency="best_effort", awaits=[A], expectedS=30.0, pullGb=2.0))
    store.job(spec(C, roster="publish", urgency="urgent", awaits=[B], dueS=200.0, expectedS=10.0, pullGb=1.0))
    assert queued_names(store, text=SETTINGS_WITH_OBJECTIVES) == [A, "wk-000009"]
    jobs = store.tables.jobs
    # B: the deadline of 200 s less C's estimate of 10 s, one report and the fetch of 1 GB at 0.5 GB/s. A: further less
    # B's estimate of 30 s, one report and the fetch of 2 GB.
    assert jobs[B].inherited_deadlines == (187_000, 287_000)
    assert (
        jobs[A].inherited_deadlines == (152_000, 252_000)
        and jobs[A].inherited_rank == job_priority.PRIORITY_RANKS["urgent"]
    )
    assert slo_targets.slo_targets(jobs[A], settings.objectives) == [152.0, 252.0]
    # Once the last job is cancelled, its prerequisites inherit nothing.
    store.put(keys.job_key(C), {"s": JobState.CANCELLED, "n": 4})
    assert (
        queued_names(store, text=SETTINGS_WITH_OBJECTIVES) == ["wk-000009", A] and jobs[A].inherited_deadlines is None
    )


def test_an_urgent_stage_goes_before_jobs_whose_image_is_cached(world: World) -> None:
    """Guards against an urgent stage that waits while machines fill up with jobs whose images they have cached."""
    world.store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    for name, urgency, image in ((A, "best_effort", "img-2"), (B, "standard", "img-2"), (C, "urgent", "img-1")):
        world.store.job(spec(name, urgency=urgency, kit=image))
        world.store.progress(name, c0_1=0b1111)
    machine = world.machines.registry.machines["vm-1"]
    machine.images["img-2"] = None
    jobs = world.store.tables.jobs
    world.machines.task_placement.unplaced_jobs = [jobs[A], jobs[B], jobs[C]]
    world.machines.task_placement.fill_machine(machine)
    assert set(world.machines.registry.placed_tasks) == {C}
    # Among jobs that are not urgent, a cached image still decides, whatever their priority.
    for attempt in list(machine.attempts.values()):
        world.machines.registry.remove_attempt(machine, attempt)
    machine.images.clear()
    machine.images["img-1"] = None
    world.store.job(spec(D, urgency="best_effort", kit="img-1"))
    world.store.progress(D, c0_1=0b1111)
    world.machines.task_placement.unplaced_jobs = [jobs[B], jobs[D]]
    world.machines.task_placement.fill_machine(machine)
    assert set(world.machines.registry.placed_tasks) == {D}


def test_an_urgent_stage_that_missed_its_targets_keeps_its_position(store: Store) -> None:
    """Guards against a late urgent stage that waits behind best-effort jobs until it is ordered by age."""
    store.job(spec(A, urgency="best_effort", dueS=30.0, visits=20))
    store.job(spec(B, urgency="best_effort", dueS=500.0, visits=20))
    store.job(spec(C, urgency="urgent", awaits=[A], dueS=35.0, visits=20))
    assert queued_names(store, 60_000, SETTINGS_WITH_OBJECTIVES) == [
        A,
        B,
    ]  # A is late, but inherits the urgent priority of C
    store.put(keys.job_key(C), {"s": JobState.CANCELLED, "n": 20})
    assert queued_names(store, 60_000, SETTINGS_WITH_OBJECTIVES) == [B, A]


def test_urgent_jobs_of_a_team_come_first_within_its_guarantee(store: Store) -> None:
    """Guards against an urgent stage that waits behind less urgent jobs that are within a guarantee."""
    store.job(spec(A, visits=4))  # uses all 8 cores guaranteed to the team
    store.job(spec(B, visits=3))
    assert queued_names(store) == [A, B]
    store.job(spec(C, visits=3, urgency="best_effort"))
    store.job(spec(D, urgency="urgent", awaits=[C], visits=1))
    assert queued_names(store) == [C, A, B]  # C inherits the priority of D; the guarantee covers the urgent jobs
    store.job(spec("wk-000005", urgency="urgent", visits=2))
    assert queued_names(store) == [C, A, "wk-000005", B]  # urgent jobs now want 10 of 8 cores: only priority counts


def test_urgent_jobs_within_the_guarantee_go_before_jobs_ordered_by_age(store: Store) -> None:
    """Guards against small urgent stages that wait under overload, when most of the queue is ordered by age alone."""
    store.job(spec(A, urgency="best_effort", visits=50))
    store.progress(A, done=0b1)
    store.job(spec(B, urgency="best_effort", visits=50))
    late_s = 2 * job_queue.STARVATION_LEASES * 10.0 + 1
    row = {"s": JobState.LIVE, "n": 2, "t": int(late_s * 1000), "spec": submission(C, urgency="urgent", visits=2)}
    store.put(keys.job_key(C), row)
    # First a part of B, which is starved; then the urgent job C; then the jobs ordered by age.
    assert queued_names(store, int(late_s * 1000)) == [B, C, A, B]
    # D exceeds the guarantee, so that the job ordered by age goes before it.
    row = {"s": JobState.LIVE, "n": 9, "t": int(late_s * 1000), "spec": submission(D, urgency="urgent", visits=9)}
    store.put(keys.job_key(D), row)
    assert queued_names(store, int(late_s * 1000)) == [B, C, A, D, B]
