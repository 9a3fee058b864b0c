"""Log of stored cancellations, which controllers send to their siblings over the mesh (see `mesh`).

A controller whose requests the state service refuses cannot read what others have stored since. Its siblings may
confirm that it can continue to answer workers; they then send it the cancellations that it has not read. A cancellation
in the log is stored and therefore final, so sending it twice does no harm.

Entries are in the order in which this process learnt of the cancellations. This can differ from the order of their
revisions, because a process knows its own writes before it reads earlier writes of others. A position is therefore only
valid together with the id of its log.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import NamedTuple


class Cancellation(NamedTuple):
    """A stored cancellation."""

    job: str
    # The revision of the job's row that holds the cancellation.
    revision: int


@dataclass
class CancellationDelta:
    """The cancellations that a sibling lacks, up to the limit of one answer."""

    cancellations: list[Cancellation]
    # The sibling knows all entries up to this position once it has applied the delta.
    position: int
    # Whether entries remain to be sent, or the log has dropped entries that the sibling may lack.
    more: bool = False


class CancellationLog:
    """A bounded log of cancellations. Entries are added as rows are applied; the mesh reads them for siblings.

    A position counts all entries since the start of the process, including dropped ones.
    """

    def __init__(self, max_entries: int, log_id: int) -> None:
        self.max_entries = max_entries
        # Identifies the log among those of all processes; 0 identifies no log.
        self.log_id = log_id
        self._entries: deque[Cancellation] = deque()
        self._dropped = 0
        # A sibling that has read all rows up to this revision knows every dropped entry.
        self._dropped_revision = 0

    def add(self, job: str, revision: int) -> None:
        """Adds a cancellation; drops the oldest entry when the log exceeds its limit."""
        self._entries.append(Cancellation(job, revision))
        if len(self._entries) > self.max_entries:
            self._dropped += 1
            self._dropped_revision = max(self._dropped_revision, self._entries.popleft().revision)

    def since(self, revision: int, log_id: int, position: int, max_entries: int) -> CancellationDelta:
        """The cancellations that a sibling lacks.

        If the log has dropped entries that the sibling may lack, no cancellations are returned and `more` is set. The
        sibling then knows that its state is incomplete and has to read the rows.

        Args:
            revision: The revision up to which the sibling has read all rows.
            log_id: The log to which the sibling's position refers.
            position: The position up to which the sibling knows that log. A position in another log counts as 0.
            max_entries: The maximum number of cancellations in the delta.
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
