"""The rate budget of a client: a token bucket that serves the more urgent requests first."""

from __future__ import annotations

import enum


class RequestPriority(enum.IntEnum):
    """Who goes first when the state service's rates are short."""

    LEASE = 0
    USER = 1
    CLAIM = 2
    PROGRESS = 3


# Share of a full bucket that a request of each priority must leave for the more urgent ones. Users' requests may
# borrow half a bucket: the jobs of a pipeline are submitted one right after another, and found a bucket that claims
# had taken to its reserve, so that the last of them waited for half a second (found on the bench).
RESERVED_FRACTION = {
    RequestPriority.LEASE: 0.0,
    RequestPriority.USER: -0.5,
    RequestPriority.CLAIM: 0.25,
    RequestPriority.PROGRESS: 0.4,
}


class TokenBucket:
    """A token bucket holding one second's worth, spent by priority."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.refilled_at = now

    def acquire(self, cost: float, priority: RequestPriority, now: float) -> float:
        """0 after taking the cost; else how long until it can be taken."""
        self.tokens = min(self.rate, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        # A full bucket always serves, or a cost near its size would wait for ever.
        need = min(self.rate, cost + RESERVED_FRACTION[priority] * self.rate)
        if priority is RequestPriority.LEASE or self.tokens >= need - 1e-9:
            self.tokens -= cost
            return 0.0
        return (need - self.tokens) / self.rate
