"""Writes of this controller that its replica has applied but not yet read back.

Used only by `replica`, which applies a committed transaction immediately and later checks it against the change feed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from sloeswitch import wire


class OwnWrite(NamedTuple):
    """The key of a row that this controller wrote, and the revision of the transaction that wrote it."""

    key: str
    revision: int


class OwnWrites:
    """Writes that were applied to the tables on commit and have not been read back yet."""

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}

    def add(self, key: str, revision: int) -> None:
        """Adds a write; it replaces an earlier write to the same key."""
        self._revisions[key] = revision

    def clear(self) -> None:
        """Removes all writes, because a new snapshot replaces all rows."""
        self._revisions.clear()

    def confirm(self, events: Iterable[wire.ChangeEvent], applied_revision: int) -> OwnWrite | None:
        """Removes the writes that were read back.

        Detects a transaction's answer whose revision is not the modification revision of the stored rows. Conditions
        on that revision would never hold.

        Args:
            events: The changes that were read.
            applied_revision: The revision up to which all changes have been read, including `events`.

        Returns:
            A write that is missing although its revision has been read; None if there is none.
        """
        if not self._revisions:
            return None
        read = {(event.write or event.drop, event.mod_revision) for event in events}
        for key, revision in list(self._revisions.items()):
            if (key, revision) in read:
                del self._revisions[key]
            elif revision <= applied_revision:
                return OwnWrite(key, revision)
        return None
