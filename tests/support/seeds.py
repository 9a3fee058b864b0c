"""Runs many seeds of a simulation, outside CI."""

from __future__ import annotations

from collections.abc import Callable


def run_seeds(run: Callable[[int], object], first: int, last: int) -> int:
    """Runs the seeds from `first` up to but without `last` and prints those that fail.

    Returns the exit status: 1 if a seed failed, else 0.
    """
    failed = 0
    for seed in range(first, last):
        try:
            run(seed)
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {str(error).splitlines()[0]}")
    print(f"{last - first} seeds, {failed} broken")
    return 1 if failed else 0
