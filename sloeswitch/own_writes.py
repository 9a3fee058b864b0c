"""The writes of this controller that its replica holds before they were read back.

`replica` alone uses them: it applies a committed transaction at once, and compares it with the change feed later.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from sloeswitch import wire


class OwnWrite(NamedTuple):
    """A row that this controller stored, and the revision of the transaction that stored it."""

    key: str
    revision: int


class OwnWrites:
    """Writes that were applied to the tables when they were committed and have not been read back yet."""

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}

    def add(self, key: str, revision: int) -> None:
        """Adds a write; a later one of the same key takes the place of the earlier one."""
        self._revisions[key] = revision

    def clear(self) -> None:
        """Forgets all writes, because all rows are read anew."""
        self._revisions.clear()

    def confirm(self, events: Iterable[wire.ChangeEvent], applied_revision: int) -> OwnWrite | None:
        """Removes the writes that were read back.

        Guards against a revision in a transaction's answer that is not the modification revision of what was stored:
        conditions on it would fail for ever.

        Args:
            events: The changes that were read.
            applied_revision: Up to where all changes have been read, these included.

        Returns:
            A write that should have been read by now and was not, if there is any.
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
