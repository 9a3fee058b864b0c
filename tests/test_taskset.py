"""Sets of task numbers and their stored forms."""

from __future__ import annotations

import random

import pytest

from sloeswitch.core import taskset


def test_unpack_reverses_pack() -> None:
    for mask in (0, 1, 0b1011, taskset.full(100_000) ^ (1 << 50_000)):
        assert taskset.unpack(taskset.pack(mask)) == mask


def test_lowest_returns_the_lowest_task_numbers() -> None:
    assert taskset.lowest(0b110110, 3) == 0b010110


def test_task_numbers_are_in_ascending_order() -> None:
    assert list(taskset.task_numbers(0b110101)) == [0, 2, 4, 5] and list(taskset.task_numbers(0)) == []


@pytest.mark.parametrize("size", [1, 7, 64, 300])
def test_operations_agree_with_sets_of_numbers(size: int) -> None:
    random_numbers = random.Random(size)
    for _ in range(50):
        numbers = sorted(random_numbers.sample(range(size), random_numbers.randrange(size + 1)))
        tasks = sum(1 << number for number in numbers)
        assert taskset.from_numbers(reversed(numbers)) == tasks
        assert list(taskset.task_numbers(tasks)) == numbers
        assert taskset.unpack(taskset.pack(tasks)) == taskset.unpack(taskset.pack_dense(tasks)) == tasks
        for count in range(size + 1):
            assert list(taskset.task_numbers(taskset.lowest(tasks, count))) == numbers[:count]


@pytest.mark.parametrize("runs", [["a", 1], [0], [0, "%"], [0, 1, 2]])
def test_a_malformed_set_is_rejected(runs: list[int | str]) -> None:
    with pytest.raises(ValueError):
        taskset.unpack(runs)
