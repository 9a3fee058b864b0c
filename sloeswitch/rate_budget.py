"""The rate budget of a client: a token bucket that serves requests of higher priority first.

A bucket belongs to one controller and one limit of a remote service (requests per second, changes per second, calls to
the cloud). Only the client of that service takes tokens from it.
"""

from __future__ import annotations

import enum


class RequestPriority(enum.IntEnum):
    """Which requests go first when the rate of a service is short; the lowest number goes first."""

    LEASE = 0
    USER = 1
    CLAIM = 2
    PROGRESS = 3


# The fraction of a full bucket that a request must leave behind for requests of higher priority. Users' requests may
# overdraw the bucket by half: the jobs of a pipeline are submitted one right after another, and claims may have taken
# the bucket down to its reserve.
RESERVED_FRACTION = {
    RequestPriority.LEASE: 0.0,
    RequestPriority.USER: -0.5,
    RequestPriority.CLAIM: 0.25,
    RequestPriority.PROGRESS: 0.4,
}
# Tokens are a sum of floats, so that a bucket refilled to exactly the needed level may hold this much less.
ROUNDING_TOLERANCE_TOKENS = 1e-9


class TokenBucket:
    """A token bucket that holds at most one second's worth of tokens.

    Attributes:
        rate: Tokens added per second, and the capacity of the bucket. The owner may change it at any time.
        tokens: Tokens held at `refilled_at`; negative while the bucket is overdrawn.
        refilled_at: When tokens were last added, in seconds of the owner's monotonic clock.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.refilled_at = now

    def acquire(self, cost: float, priority: RequestPriority, now: float) -> float:
        """Takes `cost` tokens if the priority allows it.

        Requests of priority LEASE are always served and may overdraw the bucket without bound: a lease that is renewed
        late costs this controller its shard.

        Returns:
            0 if the tokens were taken; otherwise the seconds until they can be, and nothing is taken.
        """
        self.tokens = min(self.rate, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        # A full bucket always serves, or a cost near its size would wait for ever.
        needed = min(self.rate, cost + RESERVED_FRACTION[priority] * self.rate)
        if priority is RequestPriority.LEASE or self.tokens >= needed - ROUNDING_TOLERANCE_TOKENS:
            self.tokens -= cost
            return 0.0
        return (needed - self.tokens) / self.rate
