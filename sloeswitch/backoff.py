"""Exponential backoff with jitter: the pauses between the attempts at one request."""

from __future__ import annotations

import random

# Each pause is drawn between this fraction of the present bound and the bound, so that several controllers that were
# refused at the same time do not retry at the same time.
MIN_JITTER_FRACTION = 0.5


class ExponentialBackoff:
    """Draws the pauses between attempts; their bound doubles with each attempt, up to a maximum."""

    def __init__(self, min_pause_s: float, max_pause_s: float) -> None:
        self._bound_s = min_pause_s
        self._max_pause_s = max_pause_s

    def next_pause_s(self) -> float:
        """Returns the pause before the next attempt, in seconds."""
        pause_s = self._bound_s * random.uniform(MIN_JITTER_FRACTION, 1.0)
        self._bound_s = min(self._max_pause_s, 2 * self._bound_s)
        return pause_s
