"""Jobs whose tasks are bound to one zone, or spread over several."""

from __future__ import annotations

from typing import Any

import pytest

from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys, placement
from sloeswitch.core.machine import Machine
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.uncommitted_updates import TaskUpdates
from tests.conftest import Store, spec
from tests.support.single_controller import JOB, World, later, world_with_scale_in


@pytest.fixture
def world(store: Store) -> World:
    return world_with_scale_in(store)


def machine(world: World) -> Machine:
    return world.machines.registry.machines["vm-1"]


@pytest.mark.parametrize("bound", [{"together": True}, {"spread": True}])
def test_a_job_is_bound_to_a_zone_only_while_one_of_its_tasks_is_somewhere(world: World, bound: Any) -> None:
    """Jobs bound to a zone, arrays too, lose all machines there."""
    world.store.job(spec(**bound))
    world.round(
        ClaimRequest(
            task_counts={JOB: 4},
            zones={JOB: "b"},
            zone_bound_tasks={JOB: 0b1111},
            quota_increases={"red": ResourceAmount(8.0, 0.0)},
        )
    )
    job = world.store.tables.jobs[JOB]
    assert job.progress.zone == "b" and job.progress.claims
    world.tell_jobs(TaskUpdates(released={JOB: 0b0111}))
    later(world, 20.0)
    world.round()
    assert job.progress.zone == "b"  # one is still claimed, and may be there
    world.tell_jobs(TaskUpdates(released={JOB: 0b1000}))
    later(world, 20.0)
    world.round()
    assert job.progress.zone is None and not job.progress.claims
    world.round(ClaimRequest(task_counts={JOB: 4}, zones={JOB: "a"}, zone_bound_tasks={JOB: 0b1111}))
    assert job.progress.zone == "a"


@pytest.mark.parametrize("bound", [{"together": True}, {"spread": True}])
def test_a_bound_job_is_claimed_only_with_a_zone_and_placed_by_it(world: World, bound: Any) -> None:
    """Failure found on the bench: claimed ahead while no machine had room, a job had no zone, and its tasks went to
    any."""
    world.store.job(spec(**bound))
    world.store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    machine(world).draining = True
    world.machines.claims._cores_ahead = lambda: 20.0  # type: ignore[method-assign]
    world.machines.queue.rebuild()
    assert all(not asked.task_counts for asked in world.claim_requests())
    world.round(ClaimRequest(task_counts={JOB: 4}))
    assert not world.store.tables.jobs[JOB].progress.claims
    machine(world).draining = False
    (asked,) = world.claim_requests()
    # All that the rules allow here, and nothing that would have no room.
    allowed = 0b0011 if "spread" in bound else 0b1111
    assert asked.zones == {JOB: "a"} and asked.zone_bound_tasks == {JOB: allowed}
    world.round(asked)
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": allowed}
    assert world.machines.registry.placed_tasks[JOB] == allowed


def test_tasks_for_other_zones_are_claimed_where_there_is_room_for_them(world: World) -> None:
    """Room in another zone than the stored one is for the upper half of a job that is spread."""
    world.store.job(spec(spread=True))
    world.store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.9": [0, 1]}, "z": "b"})
    world.machines.queue.rebuild()
    (asked,) = world.claim_requests()
    assert asked.zone_bound_tasks == {JOB: 0b1100}
    world.round(asked)
    assert world.machines.registry.placed_tasks[JOB] == 0b1100


def test_no_zone_is_chosen_while_tasks_without_one_are_somewhere(world: World) -> None:
    """As an earlier version may have left them."""
    world.store.job(spec(together=True))
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c0.1": [0, 1]}})
    world.round(
        ClaimRequest(
            task_counts={JOB: 3},
            zones={JOB: "a"},
            zone_bound_tasks={JOB: 0b1110},
            quota_increases={"red": ResourceAmount(8.0, 0.0)},
        )
    )
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": 0b1}


def test_with_room_in_the_limit_for_one_task_it_is_one_that_has_room(world: World) -> None:
    world.store.job(spec(spread=True))
    world.store.put(keys.quota_key("red"), {"c0.1": [2.0, 0.0]})
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.9": [0, 1]}, "z": "b"})
    world.machines.quota.available = lambda team, usage: ResourceAmount(2.0, 0.0)  # type: ignore[method-assign]
    world.machines.queue.rebuild()
    (asked,) = world.claim_requests()
    assert asked.zone_bound_tasks == {JOB: 0b0100}


def test_bound_tasks_take_no_more_room_than_asked_and_none_without_a_zone(world: World) -> None:
    world.store.job(spec(together=True))
    job = world.store.tables.jobs[JOB]
    rooms = [placement.FreeCapacity("vm-1", "small", "a", True, 8.0, 0.0, 16.0)]
    assert placement.pack_tasks(job, 0b1111, rooms) == []
    assert [index for index, _ in placement.pack_tasks(job, 0b1111, rooms, "a", 1)] == [0]
    assert rooms[0].cores == 6.0
    assert placement.pack_tasks(job, 0b1110, rooms, "b") == []
    world.store.job(spec("wk-000002", spread=True))
    assert placement.pack_tasks(world.store.tables.jobs["wk-000002"], 0b1111, rooms) == []
