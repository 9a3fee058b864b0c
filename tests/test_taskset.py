"""Sets of task numbers and their stored form."""

from __future__ import annotations

from sloeswitch.core import taskset


def test_sets_of_tasks_survive_storing() -> None:
    for mask in (0, 1, 0b1011, taskset.full(100_000) ^ (1 << 50_000)):
        assert taskset.unpack(taskset.pack(mask)) == mask


def test_lowest_takes_the_oldest_tasks() -> None:
    assert taskset.lowest(0b110110, 3) == 0b010110
