"""Zone-bound jobs: all tasks in one zone, or spread over at least two zones."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys, placement, taskset, zone_binding
from sloeswitch.core.machine import Machine
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.wire import MAX_TASKS
from tests.conftest import Store, spec
from tests.support.single_controller import JOB, World, advance_time, world_with_scale_in


@pytest.fixture
def world(store: Store) -> World:
    return world_with_scale_in(store)


def machine(world: World) -> Machine:
    return world.machines.registry.machines["vm-1"]


@pytest.mark.parametrize("bound", [{"together": True}, {"spread": True}])
def test_a_job_is_bound_to_a_zone_only_while_any_of_its_tasks_is_claimed(world: World, bound: Any) -> None:
    """Guards against jobs that stay bound to a zone after they have lost all machines there."""
    world.store.job(spec(**bound))
    world.commit_and_place(
        ClaimRequest(
            task_counts={JOB: 4},
            zones={JOB: "b"},
            zone_bound_tasks={JOB: 0b1111},
            quota_increases={"red": ResourceAmount(8.0, 0.0)},
        )
    )
    job = world.store.tables.jobs[JOB]
    assert job.progress.zone == "b" and job.progress.claims
    world.send_task_updates(TaskUpdates(released={JOB: 0b0111}))
    advance_time(world, 20.0)
    world.commit_and_place()
    assert job.progress.zone == "b"  # one task is still claimed and may run there
    world.send_task_updates(TaskUpdates(released={JOB: 0b1000}))
    advance_time(world, 20.0)
    world.commit_and_place()
    assert job.progress.zone is None and not job.progress.claims
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, zones={JOB: "a"}, zone_bound_tasks={JOB: 0b1111}))
    assert job.progress.zone == "a"


@pytest.mark.parametrize("bound", [{"together": True}, {"spread": True}])
def test_a_zone_bound_job_is_claimed_only_with_a_zone_and_placed_accordingly(world: World, bound: Any) -> None:
    """Guards against zone-bound jobs that are claimed in advance, while no machine has free capacity.

    Such a job would have no stored zone, and its tasks would be placed in any zone.
    """
    world.store.job(spec(**bound))
    world.store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    machine(world).draining = True
    world.machines.claims._expected_free_cores = lambda: 20.0  # type: ignore[method-assign]
    world.machines.queue.rebuild()
    assert all(not request.task_counts for request in world.claim_requests())
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}))
    assert not world.store.tables.jobs[JOB].progress.claims
    machine(world).draining = False
    (request,) = world.claim_requests()
    # All tasks that may run in the chosen zone, and no others.
    allowed = 0b0011 if "spread" in bound else 0b1111
    assert request.zones == {JOB: "a"} and request.zone_bound_tasks == {JOB: allowed}
    world.commit_and_place(request)
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": allowed}
    assert world.machines.registry.placed_tasks[JOB] == allowed


def test_free_capacity_in_another_zone_is_used_for_the_upper_half_of_a_spread_job(world: World) -> None:
    """The lower half of the tasks may run only in the stored zone."""
    world.store.job(spec(spread=True))
    world.store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.9": [0, 1]}, "z": "b"})
    world.machines.queue.rebuild()
    (request,) = world.claim_requests()
    assert request.zone_bound_tasks == {JOB: 0b1100}
    world.commit_and_place(request)
    assert world.machines.registry.placed_tasks[JOB] == 0b1100


def test_no_zone_is_chosen_while_tasks_are_claimed_without_one(world: World) -> None:
    """Earlier versions may have stored such claims."""
    world.store.job(spec(together=True))
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c0.1": [0, 1]}})
    world.commit_and_place(
        ClaimRequest(
            task_counts={JOB: 3},
            zones={JOB: "a"},
            zone_bound_tasks={JOB: 0b1110},
            quota_increases={"red": ResourceAmount(8.0, 0.0)},
        )
    )
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": 0b1}


def test_when_quota_covers_one_task_a_task_that_fits_the_zone_is_claimed(world: World) -> None:
    world.store.job(spec(spread=True))
    world.store.put(keys.quota_key("red"), {"c0.1": [2.0, 0.0]})
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.9": [0, 1]}, "z": "b"})
    world.machines.quota.available = lambda team, usage: ResourceAmount(2.0, 0.0)  # type: ignore[method-assign]
    world.machines.queue.rebuild()
    (request,) = world.claim_requests()
    assert request.zone_bound_tasks == {JOB: 0b0100}


def test_zone_bound_tasks_are_placed_up_to_the_maximum_count_and_only_with_a_zone(world: World) -> None:
    world.store.job(spec(together=True))
    job = world.store.tables.jobs[JOB]
    capacities = [placement.FreeCapacity("vm-1", "small", "a", True, 8.0, 0.0, 16.0)]
    assert placement.pack_tasks(job, 0b1111, capacities) == []
    assert [index for index, _ in placement.pack_tasks(job, 0b1111, capacities, "a", 1)] == [0]
    assert capacities[0].cores == 6.0
    assert placement.pack_tasks(job, 0b1110, capacities, "b") == []
    world.store.job(spec("wk-000002", spread=True))
    assert placement.pack_tasks(world.store.tables.jobs["wk-000002"], 0b1111, capacities) == []


@pytest.mark.parametrize("tasks", [1, 2, 5, 8])
def test_the_tasks_of_a_one_zone_job_are_allowed_in_its_zone_only(tasks: int) -> None:
    job = spec(visits=tasks, together=True)
    for zone, job_zone, allowed in (("a", "a", taskset.full(tasks)), ("b", "a", 0), ("a", None, 0)):
        assert zone_binding.tasks_allowed_in_zone(job, zone, job_zone, done=0) == allowed


@pytest.mark.parametrize(
    ("tasks", "done", "in_job_zone", "elsewhere"),
    [
        (2, 0b00, 0b01, 0b10),
        (2, 0b01, 0b10, 0b10),
        (2, 0b10, 0b01, 0b01),
        (5, 0b00000, 0b00111, 0b11100),
        (8, 0b00000000, 0b00001111, 0b11110000),
        (8, 0b00000011, 0b00111100, 0b11110000),
        (8, 0b10010000, 0b00001111, 0b01101100),
    ],
)
def test_the_tasks_of_a_spread_job_are_divided_between_its_zone_and_the_others(
    tasks: int, done: int, in_job_zone: int, elsewhere: int
) -> None:
    job = spec(visits=tasks, spread=True)
    for zone, job_zone, allowed in (("a", "a", in_job_zone), ("b", "a", elsewhere), ("a", None, 0)):
        assert zone_binding.tasks_allowed_in_zone(job, zone, job_zone, done) == allowed


@pytest.mark.parametrize("tasks", range(1, 8))
def test_no_zone_may_get_more_than_half_of_a_spread_job_whatever_completions_are_known(tasks: int) -> None:
    """For all sets of completed tasks. Controllers may not have read the latest; an earlier version splits by index."""
    job = spec(visits=tasks, spread=True)
    half = (tasks + 1) // 2
    for done in range(1 << tasks):
        remaining = taskset.full(tasks) & ~done
        divided = zone_binding.spread_tasks(job, done)
        assert divided.in_job_zone | divided.elsewhere == remaining
        lower = remaining & taskset.full(half)
        assert lower & ~divided.in_job_zone == 0 and remaining & ~lower & ~divided.elsewhere == 0
        for index, allowed in enumerate(divided):
            assert allowed.bit_count() == min(half, remaining.bit_count())
            for completed in taskset.task_numbers(remaining):
                later = zone_binding.spread_tasks(job, done | 1 << completed)[index]
                assert allowed & ~later in (0, 1 << completed)


@pytest.mark.parametrize("bound", [{"together": True}, {"spread": True}])
def test_only_the_tasks_that_are_placed_are_enumerated(
    store: Store, bound: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against controllers that stand still for seconds: each task of a huge job was visited for each machine."""
    store.job(spec(visits=MAX_TASKS, memoryGb=0.0, **bound))
    capacities = [
        placement.FreeCapacity(f"vm-{zone}", "small", zone, True, cores=32.0, gpus=0.0, memory_gb=64.0)
        for zone in ("a", "b")
    ]
    enumerated: list[int] = []
    task_numbers = taskset.task_numbers

    def record_numbers(tasks: int) -> Iterator[int]:
        for number in task_numbers(tasks):
            enumerated.append(number)
            yield number

    monkeypatch.setattr(taskset, "task_numbers", record_numbers)
    job = store.tables.jobs[JOB]
    placements = placement.pack_tasks(job, job.all_tasks, capacities, zone="a")
    assert placements and sorted(enumerated) == sorted(each.task_index for each in placements)
