"""Pipelines: order of the queue, deadlines and priorities that pass upstream."""

from __future__ import annotations

import pytest

from sloeswitch.core import job_priority, job_queue, keys, slo_targets
from sloeswitch.core.records import JobState
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec, submission
from tests.support.single_controller import World, machine_up, queued_names, store_done

A, B, C, D = "wk-000001", "wk-000002", "wk-000003", "wk-000004"


@pytest.fixture
def world(store: Store) -> World:
    store.upgraded()
    world = World(store)
    machine_up(world)
    return world


def test_a_released_job_is_as_old_as_its_release(store: Store) -> None:
    """Its team's guarantee, and its turn among the old, count from when it could have begun."""
    store.job(spec(A))
    store.job(spec(B, visits=4, awaits=[A]))
    store.job(spec(C, visits=3))
    store_done(store, A)
    assert queued_names(store) == [C, B]
    jobs = store.tables.jobs
    assert jobs[C].guaranteed and not jobs[B].guaranteed and jobs[B].ready_revision > jobs[C].ready_revision


AIMS = SETTINGS.replace(
    "[deployment.workers]",
    '[[deployment.objectives]]\nkind = "wait"\nclass = "check"\nwithin_s = 40.0\nshare = 0.9\n'
    '[[deployment.objectives]]\nkind = "deadline"\nclass = "publish"\nshare = 0.9\ntimes = 1.0\n'
    '[[deployment.objectives]]\nkind = "deadline"\nclass = "publish"\nshare = 0.9\ntimes = 1.5\n'
    "[deployment.workers]",
)


def test_deadlines_count_from_the_submission_and_other_times_from_the_last_end(store: Store) -> None:
    store.job(spec(A))
    store.job(spec(B, roster="check", awaits=[A], expectedS=20.0))
    store.job(spec(C, roster="publish", awaits=[A], dueS=200.0))
    store_done(store, A, at_ms=100_000)
    aims = parse(AIMS).objectives
    assert slo_targets.slo_targets(store.tables.jobs[B], aims) == [160.0]
    assert slo_targets.slo_targets(store.tables.jobs[C], aims) == [200.0, 300.0]
    # Its patience too: it has not waited in the line yet, and is not first for having nothing begun.
    store.job(spec(D, urgency="critical"))
    assert queued_names(store, 130_000, AIMS)[0] != B


def test_an_end_that_production_stored_without_its_time_counts_from_the_submission(store: Store) -> None:
    store.put(keys.job_key(A), {"s": JobState.DONE, "n": 4})
    store.put(keys.job_key(B), {"s": JobState.LIVE, "n": 4, "t": 7000, "spec": submission(B, awaits=[A])})
    assert store.tables.jobs[B].ready_ms == 7000


def test_priority_and_deadline_pass_upstream_less_the_path_between(store: Store) -> None:
    settings = parse(AIMS)
    store.job(spec("wk-000009", urgency="standard", visits=20))
    store.job(spec(A, urgency="best_effort", visits=20))
    store.job(spec(B, urgency="best_effort", awaits=[A], expectedS=30.0, pullGb=2.0))
    store.job(spec(C, roster="publish", urgency="urgent", awaits=[B], dueS=200.0, expectedS=10.0, pullGb=1.0))
    assert queued_names(store, text=AIMS) == [A, "wk-000009"]
    jobs = store.tables.jobs
    # 200 s less 10 s, a report and 1 GB at 0.5 GB/s; less 30 s, a report and 2 GB.
    assert jobs[B].inherited_deadlines == (187_000, 287_000)
    assert (
        jobs[A].inherited_deadlines == (152_000, 252_000)
        and jobs[A].inherited_rank == job_priority.PRIORITY_RANKS["urgent"]
    )
    assert slo_targets.slo_targets(jobs[A], settings.objectives) == [152.0, 252.0]
    # With the last job cancelled nothing needs the others any more.
    store.put(keys.job_key(C), {"s": JobState.CANCELLED, "n": 4})
    assert queued_names(store, text=AIMS) == ["wk-000009", A] and jobs[A].inherited_deadlines is None


def test_an_urgent_stage_does_not_stand_behind_work_whose_image_is_at_hand(world: World) -> None:
    """Failure found on the bench: it waited for twenty seconds while machines filled up with their images' jobs."""
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
    # Among usual ones the image still decides, whatever their priority.
    for attempt in list(machine.attempts.values()):
        world.machines.registry.remove_attempt(machine, attempt)
    machine.images.clear()
    machine.images["img-1"] = None
    world.store.job(spec(D, urgency="best_effort", kit="img-1"))
    world.store.progress(D, c0_1=0b1111)
    world.machines.task_placement.unplaced_jobs = [jobs[B], jobs[D]]
    world.machines.task_placement.fill_machine(machine)
    assert set(world.machines.registry.placed_tasks) == {D}


def test_an_urgent_stage_that_is_late_keeps_its_place(store: Store) -> None:
    """Failure found on a recorded day: it waited for sixteen leases behind best-effort work."""
    store.job(spec(A, urgency="best_effort", dueS=30.0, visits=20))
    store.job(spec(B, urgency="best_effort", dueS=500.0, visits=20))
    store.job(spec(C, urgency="urgent", awaits=[A], dueS=35.0, visits=20))
    assert queued_names(store, 60_000, AIMS) == [A, B]  # late, and urgent for what needs it
    store.put(keys.job_key(C), {"s": JobState.CANCELLED, "n": 20})
    assert queued_names(store, 60_000, AIMS) == [B, A]


def test_a_teams_urgent_work_has_its_guarantee_first(store: Store) -> None:
    """Failure found on a recorded day: an urgent stage waited behind what came within other guarantees."""
    store.job(spec(A, visits=4))  # all of red's 8 cores
    store.job(spec(B, visits=3))
    assert queued_names(store) == [A, B]
    store.job(spec(C, visits=3, urgency="best_effort"))
    store.job(spec(D, urgency="urgent", awaits=[C], visits=1))
    assert queued_names(store) == [C, A, B]  # urgent for what needs it, and within the guarantee among its like
    store.job(spec("wk-000005", urgency="urgent", visits=2))
    assert queued_names(store) == [C, A, "wk-000005", B]  # 10 of 8 cores: priority alone


def test_urgent_work_within_the_guarantee_does_not_wait_behind_what_goes_by_age(store: Store) -> None:
    """Failure found on a recorded day: with more work than room most of the line goes by age alone."""
    store.job(spec(A, urgency="best_effort", visits=50))
    store.progress(A, done=0b1)
    store.job(spec(B, urgency="best_effort", visits=50))
    late_s = 2 * job_queue.STARVATION_LEASES * 10.0 + 1
    row = {"s": JobState.LIVE, "n": 2, "t": int(late_s * 1000), "spec": submission(C, urgency="urgent", visits=2)}
    store.put(keys.job_key(C), row)
    # What waits for its beginning is first still, with a part of its tasks, then the urgent, then the old.
    assert queued_names(store, int(late_s * 1000)) == [B, C, A, B]
    # More than the guarantee: age alone is before it.
    row = {"s": JobState.LIVE, "n": 9, "t": int(late_s * 1000), "spec": submission(D, urgency="urgent", visits=9)}
    store.put(keys.job_key(D), row)
    assert queued_names(store, int(late_s * 1000)) == [B, C, A, D, B]
