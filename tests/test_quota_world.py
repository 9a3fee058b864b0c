"""The simulated cluster of tests/support/quota_world.py: no quota is exceeded while machines change owners."""

from __future__ import annotations

import pytest

from tests.support.quota_world import simulate


@pytest.mark.parametrize("seed", [6, 19, 32])
def test_tasks_stay_covered_by_allocations_while_their_machines_change_owners(seed: int) -> None:
    """In these seeds a transaction combines a quota decrease with an adoption that was unknown when it was planned."""
    world = simulate(seed)
    assert world.starts > 100 and world.done_jobs and {"frozen", "ended", "late command"} <= world.event_counts.keys()


@pytest.mark.parametrize("seed", [3, 4])
def test_all_accepted_jobs_finish_at_the_quota_limit_after_the_faults_end(seed: int) -> None:
    world = simulate(seed, 400, fault_free_steps=1600)
    assert world.starts > 50 and world.unfinished() == set()
