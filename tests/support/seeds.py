"""What seeded worlds share: a time of day that is the newest world's, and longer runs outside CI."""

from __future__ import annotations

import time
from collections.abc import Callable

import pytest

from sloeswitch.actors import machines as machines_module
from tests.support.cluster import Clock


def follow_newest_world(monkeypatch: pytest.MonkeyPatch) -> None:
    """The time of day is that of the newest clock."""
    clocks: list[Clock] = []
    make = Clock.__init__

    def made(clock: Clock) -> None:
        make(clock)
        clocks.append(clock)

    monkeypatch.setattr(Clock, "__init__", made)
    monkeypatch.setattr(machines_module, "wall_clock_ms", lambda: int(clocks[-1].time * 1000))
    monkeypatch.setattr(time, "time", lambda: clocks[-1].time)


def play_seeds(play: Callable[[int], object], first: int, last: int) -> int:
    """Plays worlds of these seeds and prints the rules that break; 1 if there are any."""
    broken = 0
    with pytest.MonkeyPatch.context() as monkeypatch:
        follow_newest_world(monkeypatch)
        for seed in range(first, last):
            try:
                play(seed)
            except AssertionError as error:
                broken += 1
                print(f"seed {seed}: {str(error).splitlines()[0]}")
    print(f"{last - first} seeds, {broken} broken")
    return 1 if broken else 0
