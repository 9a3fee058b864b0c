"""A clock that stands still until a test moves it."""

from __future__ import annotations


class Clock:
    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        return self.time

    def wall_clock_ms(self) -> int:
        """The time of day: the same time, which began at the epoch."""
        return int(self.time * 1000)
