"""Sets of task numbers. A set is an int with one bit a task, which makes unions and differences cheap;
stored values hold it as a flat list of starts and lengths."""

from __future__ import annotations

from collections.abc import Iterator


def pack(mask: int) -> list[int]:
    """The set as [start, length, start, length, ...]."""
    runs: list[int] = []
    position = 0
    while mask:
        skip = (mask & -mask).bit_length() - 1
        mask >>= skip
        length = (~mask & (mask + 1)).bit_length() - 1
        runs += [position + skip, length]
        mask >>= length
        position += skip + length
    return runs


def unpack(runs: list[int]) -> int:
    mask = 0
    for start, length in zip(runs[::2], runs[1::2], strict=True):
        mask |= ((1 << length) - 1) << start
    return mask


def full(count: int) -> int:
    return (1 << count) - 1


def members(mask: int) -> Iterator[int]:
    """The task numbers of a set, lowest first."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def lowest(mask: int, count: int) -> int:
    """The subset of the `count` lowest numbers."""
    if mask.bit_count() <= count:
        return mask
    subset = 0
    for _ in range(count):
        low = mask & -mask
        subset |= low
        mask ^= low
    return subset
