"""The rate budget of a client: a token bucket that reserves tokens for requests of higher priority.

Each bucket is for one controller and one rate limit of a remote service: requests per second, changes per second, or
calls to the cloud. Only the client of that service takes tokens from it.
"""

from __future__ import annotations

import enum


class RequestPriority(enum.IntEnum):
    """The priority of a request when the rate limit is reached; the lowest number has the highest priority."""

    LEASE = 0
    USER = 1
    CLAIM = 2
    PROGRESS = 3


# The fraction of a full bucket that a request must leave for requests of higher priority. Users' requests may overdraw
# the bucket by half: the jobs of a pipeline are submitted in quick succession, possibly just after claims have drained
# the bucket down to its reserve.
RESERVED_FRACTION = {
    RequestPriority.LEASE: 0.0,
    RequestPriority.USER: -0.5,
    RequestPriority.CLAIM: 0.25,
    RequestPriority.PROGRESS: 0.4,
}
# Allows for the rounding of float sums, which may leave a refilled bucket slightly below the needed level.
ROUNDING_TOLERANCE_TOKENS = 1e-9


class TokenBucket:
    """A token bucket with a capacity of one second's tokens.

    Attributes:
        rate: Tokens added per second, and the capacity of the bucket. The owner may change it at any time.
        tokens: The tokens in the bucket at `refilled_at`; negative while the bucket is overdrawn.
        refilled_at: When tokens were last added, in seconds of the owner's monotonic clock.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.refilled_at = now

    def acquire(self, cost: float, priority: RequestPriority, now: float) -> float:
        """Takes `cost` tokens if the priority allows it.

        Requests of priority LEASE always succeed and may overdraw the bucket without limit, because a controller whose
        lease expires loses its shard.

        Returns:
            0 if the tokens were taken; otherwise the number of seconds until enough tokens are available.
        """
        self.tokens = min(self.rate, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        # A full bucket is always sufficient; otherwise a cost close to its capacity could never be served.
        needed = min(self.rate, cost + RESERVED_FRACTION[priority] * self.rate)
        if priority is RequestPriority.LEASE or self.tokens >= needed - ROUNDING_TOLERANCE_TOKENS:
            self.tokens -= cost
            return 0.0
        return (needed - self.tokens) / self.rate

    def empty(self) -> None:
        """Takes all tokens, after the service refused a request for its rate (429).

        Its limit was lowered, or other controllers use more than this one expects: after a restart the view of each
        controller may show other members for a while. Requests of low priority now wait until the bucket has refilled.
        """
        self.tokens = min(self.tokens, 0.0)
