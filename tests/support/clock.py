"""A clock whose time changes only when a test sets it."""

from __future__ import annotations


class Clock:
    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        return self.time

    def wall_clock_ms(self) -> int:
        """Returns the same time in milliseconds, as a wall clock that started at the Unix epoch."""
        return int(self.time * 1000)
