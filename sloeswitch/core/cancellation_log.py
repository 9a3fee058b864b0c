"""Stored cancellations in the order in which this process learnt them: what it tells its siblings.

A sibling that is refused by the state service has not read what others stored since. Whoever lets it go on
answering machines tells it the cancellations among that. Each of them is stored, so it is final, and telling
it twice does no harm. The order of learning is this process's own (its stamps may come in another, since own
writes are known before what was stored earlier), so a sibling's place in it is told with the log's name.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import NamedTuple


class Cancellation(NamedTuple):
    job: str
    revision: int


@dataclass
class CancellationDelta:
    """What a sibling that had read everything up to some epoch, and this log up to some place, lacks."""

    cancellations: list[Cancellation]
    # The place in the log up to which the sibling then knows all.
    position: int
    # Whether more is to come, or some was dropped that the sibling may lack.
    more: bool = False


class CancellationLog:
    def __init__(self, most: int, name: int) -> None:
        self.max_entries = most
        # Tells the logs of two processes apart; 0 is nobody's.
        self.log_id = name
        self._kept: deque[Cancellation] = deque()
        self._dropped = 0
        # Whoever has read up to here lacks nothing that was dropped.
        self._dropped_stamp = 0

    def add(self, job: str, stamp: int) -> None:
        self._kept.append(Cancellation(job, stamp))
        if len(self._kept) > self.max_entries:
            self._dropped += 1
            self._dropped_stamp = max(self._dropped_stamp, self._kept.popleft().revision)

    def since(self, epoch: int, name: int, place: int, most: int) -> CancellationDelta:
        """What a sibling lacks that has read up to `epoch`, and the log `name` up to `place`: at most so many."""
        last = self._dropped + len(self._kept)
        if name != self.log_id or place > last:
            place = 0
        if place < self._dropped:
            if epoch < self._dropped_stamp:
                return CancellationDelta([], place, True)
            place = self._dropped
        found: list[Cancellation] = []
        for entry in islice(self._kept, place - self._dropped, None):
            if entry.revision > epoch:
                if len(found) == most:
                    return CancellationDelta(found, place, True)
                found.append(entry)
            place += 1
        return CancellationDelta(found, place)
