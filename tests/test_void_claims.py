"""Claims that are void because their controller has ended, and the zone that they bind their job to."""

from __future__ import annotations

from typing import Any

import pytest

from sloeswitch.core import keys
from sloeswitch.core.commit_planner import plan_commit
from tests.conftest import Store, spec
from tests.support.commit_plans import JOB, snapshot, store_recovered_view
from tests.support.zone_world import ZoneWorld


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    "job",
    [
        {"together": True, "visits": 1},
        {"together": True, "visits": 3},
        {"together": True, "visits": 1, "shape": "group"},
        {"spread": True, "visits": 5},
    ],
)
def test_a_job_runs_in_another_zone_after_its_zone_and_its_owner_were_lost(seed: int, job: dict[str, Any]) -> None:
    """Guards against a zone that stays stored for claims that are void: the job waits for machines there for ever."""
    world = ZoneWorld(seed, spec(cores=2.0, memoryGb=0.5, **job))
    world.run_until_started(1)
    zone = next(worker.zone for worker in world.workers if worker.tasks)
    world.stop_machines(zone)
    world.restart_controllers()
    world.run_to_the_end()


def test_the_zone_of_a_job_is_released_with_its_last_void_claim(store: Store) -> None:
    store_recovered_view(store)
    store.job(spec(together=True))
    store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.1": [0, 4]}, "z": "b"})
    plan = plan_commit(snapshot(store), [JOB])
    row = plan.transaction.writes[keys.progress_key(JOB)]
    assert "z" not in row and not row["c"] and plan.relies_on_view
