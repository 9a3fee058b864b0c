"""The simulated cluster of tests/support/quota_world.py: no quota is exceeded while machines change owners."""

from __future__ import annotations

import pytest

from tests.support.quota_world import play


@pytest.mark.parametrize("seed", [6, 19, 32])
def test_tasks_stay_covered_by_allocations_while_their_machines_change_owners(seed: int) -> None:
    """In these seeds a transaction combines a quota decrease with an adoption that its plan did not know."""
    world = play(seed)
    assert world.starts > 100 and world.done and {"frozen", "ended", "late command"} <= world.happened.keys()


@pytest.mark.parametrize("seed", [3, 4])
def test_no_team_is_left_waiting_at_its_limit_once_the_troubles_are_over(seed: int) -> None:
    world = play(seed, 400, calm_steps=1600)
    assert world.starts > 50 and world.unfinished() == set()
