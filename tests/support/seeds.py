"""Longer runs of seeded worlds, outside CI."""

from __future__ import annotations

from collections.abc import Callable


def play_seeds(play: Callable[[int], object], first: int, last: int) -> int:
    """Plays worlds of these seeds and prints the rules that break; 1 if there are any."""
    broken = 0
    for seed in range(first, last):
        try:
            play(seed)
        except AssertionError as error:
            broken += 1
            print(f"seed {seed}: {str(error).splitlines()[0]}")
    print(f"{last - first} seeds, {broken} broken")
    return 1 if broken else 0
