"""The clocks of a controller: a monotonic one for durations, and the wall clock for times that controllers share."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """The two clocks of a process; tests pass a fake one."""

    def now(self) -> float:
        """Seconds of a monotonic clock, for durations within this process."""

    def wall_clock_ms(self) -> int:
        """Milliseconds since the Unix epoch, for stored times; its error is at most `Settings.clock_error_s`."""


class SystemClock:
    """The clocks of the operating system.

    `now` does not use the event loop's time. uvloop updates that time once per iteration, so a controller that is
    suspended during an iteration would resume with the old time and act on a lease that has long expired.
    """

    def now(self) -> float:
        """Seconds of the system's monotonic clock."""
        return time.monotonic()

    def wall_clock_ms(self) -> int:
        """Milliseconds since the Unix epoch."""
        return int(time.time() * 1000)
