"""Stored cancellations in the order in which this process learnt of them, for its siblings (see `mesh`).

A sibling that is refused by the state service has not read what others stored since. Whoever lets it go on answering
machines sends it the cancellations among that. Each of them is stored, so it is final, and sending it twice does no
harm. The order of learning is this process's own (revisions may come in another, since own writes are known before what
was stored earlier), so a position in the log means something only together with the log's id.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import NamedTuple


class Cancellation(NamedTuple):
    """A cancellation that is stored."""

    job: str
    # The revision of the job's row that says so.
    revision: int


@dataclass
class CancellationDelta:
    """The cancellations that a sibling lacks, as far as they go into one answer."""

    cancellations: list[Cancellation]
    # The position in the log up to which the sibling then knows all.
    position: int
    # Whether more is to come, or some was dropped that the sibling may lack.
    more: bool = False


class CancellationLog:
    """A bounded log; filled as rows are applied, read by the mesh for siblings.

    Positions count all entries since the start of the process, the dropped ones included.
    """

    def __init__(self, max_entries: int, log_id: int) -> None:
        self.max_entries = max_entries
        # Tells the logs of two processes apart; 0 is nobody's.
        self.log_id = log_id
        self._entries: deque[Cancellation] = deque()
        self._dropped = 0
        # Whoever has read all rows up to this revision lacks nothing that was dropped.
        self._dropped_revision = 0

    def add(self, job: str, revision: int) -> None:
        """Adds a cancellation; beyond the limit, the one learnt first is dropped."""
        self._entries.append(Cancellation(job, revision))
        if len(self._entries) > self.max_entries:
            self._dropped += 1
            self._dropped_revision = max(self._dropped_revision, self._entries.popleft().revision)

    def since(self, revision: int, log_id: int, position: int, max_entries: int) -> CancellationDelta:
        """What a sibling lacks.

        Where entries were dropped that the sibling may lack, nothing is sent and `more` is set, so that it does not
        take itself for informed; it has to read the rows.

        Args:
            revision: The revision up to which the sibling has read all rows.
            log_id: The log that the sibling's position is of.
            position: The position up to which the sibling knows that log; one in another log counts as none.
            max_entries: How many cancellations an answer holds at most.
        """
        end = self._dropped + len(self._entries)
        if log_id != self.log_id or position > end:
            position = 0
        if position < self._dropped:
            if revision < self._dropped_revision:
                return CancellationDelta([], position, True)
            position = self._dropped
        found: list[Cancellation] = []
        for entry in islice(self._entries, position - self._dropped, None):
            if entry.revision > revision:
                if len(found) == max_entries:
                    return CancellationDelta(found, position, True)
                found.append(entry)
            position += 1
        return CancellationDelta(found, position)
