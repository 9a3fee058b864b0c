"""Spread jobs in a simulated cluster whose machines in a zone stop."""

from __future__ import annotations

import pytest

from tests.conftest import spec
from tests.support.zone_world import MACHINES, MAX_WAIT_S, ZONES, ZoneWorld


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("crash", [False, True])
@pytest.mark.parametrize("zone", ZONES)
@pytest.mark.parametrize(("tasks", "stopped"), [(2, MACHINES), (5, MACHINES), (8, 4), (30, MACHINES)])
def test_all_tasks_of_a_spread_job_run_after_machines_of_a_zone_have_stopped(
    tasks: int, stopped: int, zone: str, crash: bool, seed: int
) -> None:
    """Guards against a half of the job that never runs again: its tasks were bound to a zone by their indexes."""
    world = ZoneWorld(seed, spec(spread=True, visits=tasks, cores=2.0, memoryGb=0.5))
    world.run_until_started(tasks // 2)
    world.stop_machines(zone, stopped)
    if crash:
        world.restart_controllers()
    world.run_to_the_end()


@pytest.mark.parametrize("seed", range(4))
def test_the_tasks_of_a_lost_zone_run_in_a_third_one_beside_long_tasks(seed: int) -> None:
    """Guards against tasks bound to the stored zone, which wait beside room in a third one for the others to end."""
    world = ZoneWorld(seed, spec(spread=True, visits=4, cores=2.0, memoryGb=0.5), zones=("a", "b", "c"))
    world.task_end_probability = 0.0
    world.run_until_started(4)
    job_zone = world.store.tables.jobs[world.job.id].progress.zone
    assert job_zone is not None
    world.stop_machines(job_zone)
    stopped_at = world.clock.time
    while len(world.present_tasks()) < 4:
        assert world.clock.time < stopped_at + MAX_WAIT_S
        world.step(fault_free=True)
