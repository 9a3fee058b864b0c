"""Whether jobs of a class may be moved to other cells and run more than once."""

from __future__ import annotations

import enum


class MovePolicy(enum.Enum):
    """Whether a job may move, and whether it may start again while the cell that it was moved to is unreachable."""

    # The job stays in the cell where it was submitted.
    NEVER = "never"
    # The job moves only before any of its tasks was claimed, and starts in one cell only. If that cell is unreachable,
    # the origin waits for it.
    ONCE = "once"
    # The job may start in several cells. If the cell that it was moved to is unreachable for too long, the origin runs
    # it too, and the first completion is the result.
    REPEATABLE = "repeatable"
