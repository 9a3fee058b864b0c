"""The random worlds of tests/support/quota_world.py: no quota is exceeded while machines change owners."""

from __future__ import annotations

import pytest

from tests.support.quota_world import play


@pytest.mark.parametrize("seed", [2, 16, 39])
def test_tasks_stay_covered_by_allocations_while_their_machines_change_owners(seed: int) -> None:
    """In seed 39 a decrease is stored together with an adoption that it did not know of."""
    world = play(seed)
    assert world.starts > 100 and world.done and {"frozen", "ended", "late command"} <= world.happened.keys()
