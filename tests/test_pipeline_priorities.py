"""Pipelines: order of the queue, and propagation of deadlines and priorities to prerequisites."""

from __future__ import annotations

import pytest

from sloeswitch.core import job_priority, job_queue, keys, slo_targets
from sloeswitch.core.records import JobState
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec, submission
from tests.support.single_controller import World, queued_names, register_machine, store_done

JOB_A, JOB_B, JOB_C, JOB_D = "wk-000001", "wk-000002", "wk-000003", "wk-000004"


@pytest.fixture
def world(store: Store) -> World:
    store.put_complete_layout()
    world = World(store)
    register_machine(world)
    return world


def test_the_age_of_a_job_counts_from_the_completion_of_its_prerequisites(store: Store) -> None:
    """The guarantee and the order by age use the time at which the job became runnable."""
    store.job(spec(JOB_A))
    store.job(spec(JOB_B, visits=4, awaits=[JOB_A]))
    store.job(spec(JOB_C, visits=3))
    store_done(store, JOB_A)
    assert queued_names(store) == [JOB_C, JOB_B]
    jobs = store.tables.jobs
    assert (
        jobs[JOB_C].guaranteed
        and not jobs[JOB_B].guaranteed
        and jobs[JOB_B].ready_revision > jobs[JOB_C].ready_revision
    )


SETTINGS_WITH_OBJECTIVES = SETTINGS.replace(
    "[deployment.workers]",
    '[[deployment.objectives]]\nkind = "wait"\nclass = "check"\nwithin_s = 40.0\nshare = 0.9\n'
    '[[deployment.objectives]]\nkind = "deadline"\nclass = "publish"\nshare = 0.9\ntimes = 1.0\n'
    '[[deployment.objectives]]\nkind = "deadline"\nclass = "publish"\nshare = 0.9\ntimes = 1.5\n'
    "[deployment.workers]",
)


def test_deadlines_count_from_submission_and_other_targets_from_the_last_prerequisite(store: Store) -> None:
    store.job(spec(JOB_A))
    store.job(spec(JOB_B, roster="check", awaits=[JOB_A], expectedS=20.0))
    store.job(spec(JOB_C, roster="publish", awaits=[JOB_A], dueS=200.0))
    store_done(store, JOB_A, at_ms=100_000)
    objectives = parse(SETTINGS_WITH_OBJECTIVES).objectives
    assert slo_targets.slo_targets(store.tables.jobs[JOB_B], objectives) == [160.0]
    assert slo_targets.slo_targets(store.tables.jobs[JOB_C], objectives) == [200.0, 300.0]
    # Starvation also counts from the last prerequisite: JOB_B has just become runnable and is not starved.
    store.job(spec(JOB_D, urgency="critical"))
    assert queued_names(store, 130_000, SETTINGS_WITH_OBJECTIVES)[0] != JOB_B


def test_a_completion_stored_without_a_time_by_older_versions_counts_from_submission(store: Store) -> None:
    store.put(keys.job_key(JOB_A), {"s": JobState.DONE, "n": 4})
    store.put(keys.job_key(JOB_B), {"s": JobState.LIVE, "n": 4, "t": 7000, "spec": submission(JOB_B, awaits=[JOB_A])})
    assert store.tables.jobs[JOB_B].ready_ms == 7000


def test_prerequisites_inherit_the_priority_and_the_deadline_less_the_time_of_later_stages(store: Store) -> None:
    settings = parse(SETTINGS_WITH_OBJECTIVES)
    store.job(spec("wk-000009", urgency="standard", visits=20))
    store.job(spec(JOB_A, urgency="best_effort", visits=20))
    store.job(spec(JOB_B, urgency="best_effort", awaits=[JOB_A], expectedS=30.0, pullGb=2.0))
    store.job(spec(JOB_C, roster="publish", urgency="urgent", awaits=[JOB_B], dueS=200.0, expectedS=10.0, pullGb=1.0))
    assert queued_names(store, text=SETTINGS_WITH_OBJECTIVES) == [JOB_A, "wk-000009"]
    jobs = store.tables.jobs
    # JOB_B: the deadline of 200 s less JOB_C's estimate of 10 s, one report and the fetch of 1 GB at 0.5 GB/s.
    # JOB_A: further less JOB_B's estimate of 30 s, one report and the fetch of 2 GB.
    assert jobs[JOB_B].inherited_deadlines == (187_000, 287_000)
    assert (
        jobs[JOB_A].inherited_deadlines == (152_000, 252_000)
        and jobs[JOB_A].inherited_rank == job_priority.PRIORITY_RANKS["urgent"]
    )
    assert slo_targets.slo_targets(jobs[JOB_A], settings.objectives) == [152.0, 252.0]
    # Once the last job is cancelled, its prerequisites inherit nothing.
    store.put(keys.job_key(JOB_C), {"s": JobState.CANCELLED, "n": 4})
    assert (
        queued_names(store, text=SETTINGS_WITH_OBJECTIVES) == ["wk-000009", JOB_A]
        and jobs[JOB_A].inherited_deadlines is None
    )


def test_an_urgent_stage_goes_before_jobs_whose_image_is_cached(world: World) -> None:
    """Guards against an urgent stage that waits while machines fill up with jobs whose images they have cached."""
    world.store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    for name, urgency, image in (
        (JOB_A, "best_effort", "img-2"),
        (JOB_B, "standard", "img-2"),
        (JOB_C, "urgent", "img-1"),
    ):
        world.store.job(spec(name, urgency=urgency, kit=image))
        world.store.progress(name, c0_1=0b1111)
    machine = world.machines.registry.machines["vm-1"]
    machine.images["img-2"] = None
    jobs = world.store.tables.jobs
    world.machines.task_placement.unplaced_jobs = [jobs[JOB_A], jobs[JOB_B], jobs[JOB_C]]
    world.machines.task_placement.fill_machine(machine)
    assert set(world.machines.registry.placed_tasks) == {JOB_C}
    # Among jobs that are not urgent, a cached image still decides, whatever their priority.
    for attempt in list(machine.attempts.values()):
        world.machines.registry.remove_attempt(machine, attempt)
    machine.images.clear()
    machine.images["img-1"] = None
    world.store.job(spec(JOB_D, urgency="best_effort", kit="img-1"))
    world.store.progress(JOB_D, c0_1=0b1111)
    world.machines.task_placement.unplaced_jobs = [jobs[JOB_B], jobs[JOB_D]]
    world.machines.task_placement.fill_machine(machine)
    assert set(world.machines.registry.placed_tasks) == {JOB_D}


def test_an_urgent_stage_that_missed_its_targets_keeps_its_position(store: Store) -> None:
    """Guards against a late urgent stage that waits behind best-effort jobs until it is ordered by age."""
    store.job(spec(JOB_A, urgency="best_effort", dueS=30.0, visits=20))
    store.job(spec(JOB_B, urgency="best_effort", dueS=500.0, visits=20))
    store.job(spec(JOB_C, urgency="urgent", awaits=[JOB_A], dueS=35.0, visits=20))
    assert queued_names(store, 60_000, SETTINGS_WITH_OBJECTIVES) == [
        JOB_A,
        JOB_B,
    ]  # JOB_A is late, but inherits the urgent priority of JOB_C
    store.put(keys.job_key(JOB_C), {"s": JobState.CANCELLED, "n": 20})
    assert queued_names(store, 60_000, SETTINGS_WITH_OBJECTIVES) == [JOB_B, JOB_A]


def test_urgent_jobs_of_a_team_come_first_within_its_guarantee(store: Store) -> None:
    """Guards against an urgent stage that waits behind less urgent jobs that are within a guarantee."""
    store.job(spec(JOB_A, visits=4))  # uses all 8 cores guaranteed to the team
    store.job(spec(JOB_B, visits=3))
    assert queued_names(store) == [JOB_A, JOB_B]
    store.job(spec(JOB_C, visits=3, urgency="best_effort"))
    store.job(spec(JOB_D, urgency="urgent", awaits=[JOB_C], visits=1))
    assert queued_names(store) == [
        JOB_C,
        JOB_A,
        JOB_B,
    ]  # JOB_C inherits the priority of JOB_D; the guarantee covers the urgent jobs
    store.job(spec("wk-000005", urgency="urgent", visits=2))
    assert queued_names(store) == [
        JOB_C,
        JOB_A,
        "wk-000005",
        JOB_B,
    ]  # urgent jobs now want 10 of 8 cores: only priority counts


def test_urgent_jobs_within_the_guarantee_go_before_jobs_ordered_by_age(store: Store) -> None:
    """Guards against small urgent stages that wait under overload, when most of the queue is ordered by age alone."""
    store.job(spec(JOB_A, urgency="best_effort", visits=50))
    store.progress(JOB_A, done=0b1)
    store.job(spec(JOB_B, urgency="best_effort", visits=50))
    late_s = 2 * job_queue.STARVATION_LEASES * 10.0 + 1
    row = {"s": JobState.LIVE, "n": 2, "t": int(late_s * 1000), "spec": submission(JOB_C, urgency="urgent", visits=2)}
    store.put(keys.job_key(JOB_C), row)
    # First a part of JOB_B, which is starved; then the urgent job JOB_C; then the jobs ordered by age.
    assert queued_names(store, int(late_s * 1000)) == [JOB_B, JOB_C, JOB_A, JOB_B]
    # JOB_D exceeds the guarantee, so that jobs ordered by age go before it.
    row = {"s": JobState.LIVE, "n": 9, "t": int(late_s * 1000), "spec": submission(JOB_D, urgency="urgent", visits=9)}
    store.put(keys.job_key(JOB_D), row)
    assert queued_names(store, int(late_s * 1000)) == [JOB_B, JOB_C, JOB_A, JOB_D, JOB_B]
