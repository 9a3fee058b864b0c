"""The clocks that a controller reads: one for durations, one for times that other controllers must understand."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Both clocks of a process; tests have their own."""

    def now(self) -> float:
        """Seconds of a clock that only goes forward, for durations within this process."""

    def wall_clock_ms(self) -> int:
        """Milliseconds since the Unix epoch, for stored times; right within the settings' clock error."""


class SystemClock:
    """The clocks of the operating system.

    `now` is never the event loop's time: uvloop's stands still while a turn of the loop lasts, and a controller that is
    frozen within a turn would go on by what it knew before, its lease long over.
    """

    def now(self) -> float:
        """Seconds of the system's monotonic clock."""
        return time.monotonic()

    def wall_clock_ms(self) -> int:
        """Milliseconds since the Unix epoch."""
        return int(time.time() * 1000)
