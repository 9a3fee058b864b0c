"""Sets of task numbers. A set is an int with one bit a task, which makes unions and differences cheap;
stored values hold it as a flat list of starts and lengths. Since the third layout a stretch of short runs is
one text instead of its length, so that the progress of a large scattered job still fits a small value."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Iterator, Sequence

# A run takes about this many characters as two numbers, which as text hold this many task numbers.
RUN_CHARS = 7
RUN_TASKS = RUN_CHARS * 6


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


def pack_dense(mask: int) -> list[int | str]:
    """The set as [start, length or text, ...]: runs close to each other share a text of their bits."""
    runs = pack(mask)
    packed: list[int | str] = []
    place = 0
    while place < len(runs):
        start, end = runs[place], runs[place] + runs[place + 1]
        after = place + 2
        while after < len(runs) and runs[after] + runs[after + 1] - end < RUN_TASKS:
            end = runs[after] + runs[after + 1]
            after += 2
        if after - place <= 4 or runs[place + 1] > RUN_TASKS:
            packed += runs[place : place + 2]
            place += 2
            continue
        bits = mask >> start & full(end - start)
        packed += [start, b64encode(bits.to_bytes((end - start + 7) // 8, "little")).decode().rstrip("=")]
        place = after
    return packed


def unpack(runs: Sequence[int | str]) -> int:
    """The set of either form."""
    mask = 0
    for start, what in zip(runs[::2], runs[1::2], strict=True):
        if isinstance(start, str):
            raise ValueError("a set of tasks begins with a text")
        if isinstance(what, str):
            bits = int.from_bytes(b64decode(what + "=" * (-len(what) % 4), validate=True), "little")
        else:
            bits = full(what)
        mask |= bits << start
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
