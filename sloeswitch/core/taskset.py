"""Sets of task numbers, and how they are stored.

A set is an int with one bit for each task, which makes unions and differences cheap. Stored values hold it as a flat
list of runs, each a start and a length. From layout 3 on, a stretch of short runs is one base64 text of its bits
instead of its length, so that the progress of a large scattered job still fits a small value.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Iterator, Sequence
from typing import TypeAlias

# A set of task numbers: bit n is set when task n is in it. Unions and differences are `|` and `& ~`.
TaskSet: TypeAlias = int

# A run takes about this many characters as two numbers, which as base64 hold this many task numbers.
RUN_CHARS = 7
RUN_TASKS = RUN_CHARS * 6


def pack(tasks: TaskSet) -> list[int]:
    """The set as it is stored in every layout: [start, length, start, length, ...]."""
    runs: list[int] = []
    position = 0
    while tasks:
        skip = (tasks & -tasks).bit_length() - 1
        tasks >>= skip
        length = (~tasks & (tasks + 1)).bit_length() - 1
        runs += [position + skip, length]
        tasks >>= length
        position += skip + length
    return runs


def pack_dense(tasks: TaskSet) -> list[int | str]:
    """The set as layout 3 stores it: [start, length or text, ...], where near runs share a text of their bits."""
    runs = pack(tasks)
    packed: list[int | str] = []
    index = 0
    while index < len(runs):
        start, end = runs[index], runs[index] + runs[index + 1]
        next_index = index + 2
        while next_index < len(runs) and runs[next_index] + runs[next_index + 1] - end < RUN_TASKS:
            end = runs[next_index] + runs[next_index + 1]
            next_index += 2
        if next_index - index <= 4 or runs[index + 1] > RUN_TASKS:
            packed += runs[index : index + 2]
            index += 2
            continue
        bits = tasks >> start & full(end - start)
        packed += [start, b64encode(bits.to_bytes((end - start + 7) // 8, "little")).decode().rstrip("=")]
        index = next_index
    return packed


def unpack(runs: Sequence[int | str]) -> TaskSet:
    """The set from either stored form.

    Raises:
        ValueError: It is neither form.
    """
    tasks = 0
    for start, length_or_bits in zip(runs[::2], runs[1::2], strict=True):
        if isinstance(start, str):
            raise ValueError("a set of tasks begins with a text")
        if isinstance(length_or_bits, str):
            padded = length_or_bits + "=" * (-len(length_or_bits) % 4)
            bits = int.from_bytes(b64decode(padded, validate=True), "little")
        else:
            bits = full(length_or_bits)
        tasks |= bits << start
    return tasks


def full(count: int) -> TaskSet:
    """The set of the task numbers below `count`."""
    return (1 << count) - 1


def members(tasks: TaskSet) -> Iterator[int]:
    """The task numbers of a set, lowest first."""
    while tasks:
        lowest_bit = tasks & -tasks
        yield lowest_bit.bit_length() - 1
        tasks ^= lowest_bit


def lowest(tasks: TaskSet, count: int) -> TaskSet:
    """The subset of the `count` lowest task numbers."""
    if tasks.bit_count() <= count:
        return tasks
    subset = 0
    for _ in range(count):
        lowest_bit = tasks & -tasks
        subset |= lowest_bit
        tasks ^= lowest_bit
    return subset
