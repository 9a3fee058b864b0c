"""Sets of task numbers and their stored form.

In memory, a set is an int with one bit per task, which makes unions and differences cheap. The stored form is a flat
list of runs, each a start and a length. From layout 3 on, several short runs close together are stored as one start and
a base64 text of their bits, so that the progress of a large job with scattered tasks still fits a small value.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeAlias

# A set of task numbers: bit n is set when task n is in it. Unions and differences are `|` and `& ~`.
TaskSet: TypeAlias = int

# The approximate number of characters of one run stored as two numbers.
RUN_CHARS = 7
# The number of tasks that RUN_CHARS base64 characters hold, at 6 bits each.
TASKS_PER_RUN_CHARS = RUN_CHARS * 6


def pack(tasks: TaskSet) -> list[int]:
    """Packs a set in the form that every layout reads: [start, length, start, length, ...]."""
    runs: list[int] = []
    bits = _to_text(tasks)
    start = bits.find("1")
    while start >= 0:
        end = bits.find("0", start)
        if end < 0:
            end = len(bits)
        runs += [start, end - start]
        start = bits.find("1", end)
    return runs


def pack_dense(tasks: TaskSet) -> list[int | str]:
    """Packs a set in the form of layout 3: [start, length or text, ...].

    Several short runs close together become one start and a base64 text of their bits.
    """
    runs = pack(tasks)
    packed: list[int | str] = []
    index = 0
    while index < len(runs):
        start, end = runs[index], runs[index] + runs[index + 1]
        next_index = index + 2
        while next_index < len(runs) and runs[next_index] + runs[next_index + 1] - end < TASKS_PER_RUN_CHARS:
            end = runs[next_index] + runs[next_index + 1]
            next_index += 2
        if next_index - index <= 4 or runs[index + 1] > TASKS_PER_RUN_CHARS:
            packed += runs[index : index + 2]
            index += 2
            continue
        bits = tasks >> start & full(end - start)
        packed += [start, b64encode(bits.to_bytes((end - start + 7) // 8, "little")).decode().rstrip("=")]
        index = next_index
    return packed


def unpack(runs: Sequence[int | str]) -> TaskSet:
    """Unpacks a set from either stored form.

    Raises:
        ValueError: The value has neither form.
    """
    tasks = 0
    for start, length_or_bits in zip(runs[::2], runs[1::2], strict=True):
        if isinstance(start, str):
            raise ValueError("task set: run start must be a number, not a string")
        if isinstance(length_or_bits, str):
            padded = length_or_bits + "=" * (-len(length_or_bits) % 4)
            bits = int.from_bytes(b64decode(padded, validate=True), "little")
        else:
            bits = full(length_or_bits)
        tasks |= bits << start
    return tasks


def full(count: int) -> TaskSet:
    """Returns the set of all task numbers below `count`."""
    return (1 << count) - 1


def _to_text(tasks: TaskSet) -> str:
    """Returns the bits of a set as text, the lowest first, in which they are searched in linear time.

    Shifting bits out of the set, or clearing one after the other, would copy the whole set for each of them.
    """
    return bin(tasks)[:1:-1]


def from_numbers(numbers: Iterable[int]) -> TaskSet:
    """Returns the set of some task numbers, in any order."""
    bits = bytearray()
    for number in numbers:
        index, bit = divmod(number, 8)
        if index >= len(bits):
            bits.extend(bytes(index + 1 - len(bits)))
        bits[index] |= 1 << bit
    return int.from_bytes(bits, "little")


def task_numbers(tasks: TaskSet) -> Iterator[int]:
    """Yields the task numbers in a set, lowest first."""
    bits = _to_text(tasks)
    number = bits.find("1")
    while number >= 0:
        yield number
        number = bits.find("1", number + 1)


def highest(tasks: TaskSet, count: int) -> TaskSet:
    """Returns the subset of the `count` highest task numbers, or the whole set if it has no more."""
    return tasks & ~lowest(tasks, max(0, tasks.bit_count() - count))


def lowest(tasks: TaskSet, count: int) -> TaskSet:
    """Returns the subset of the `count` lowest task numbers, or the whole set if it has no more."""
    if tasks.bit_count() <= count:
        return tasks
    # Binary search for the least length at which the set, cut off there, has `count` numbers.
    too_short, enough = -1, tasks.bit_length()
    while enough - too_short > 1:
        length = (too_short + enough) // 2
        if (tasks & full(length)).bit_count() >= count:
            enough = length
        else:
            too_short = length
    return tasks & full(enough)
