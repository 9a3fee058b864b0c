"""How far jobs of a class may be moved and repeated."""

from __future__ import annotations

import enum


class MovePolicy(enum.Enum):
    """What may happen to a job of a class when the cell that it was moved to is out of reach."""

    # It stays where it was submitted.
    NEVER = "never"
    # It moves while surely nothing of it began, and begins in one cell only: out of reach, it is waited for.
    ONCE = "once"
    # It may begin in several cells: out of reach for long, it is run at home, and the first end counts.
    REPEATABLE = "repeatable"
