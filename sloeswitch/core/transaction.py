"""A transaction of the state service: compare-and-swap over many keys."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Transaction:
    """Writes and deletions that are carried out together, if every key has the revision it is compared with."""

    # The revision that each key must have; 0: the key must not exist.
    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)

    def __len__(self) -> int:
        """The number of changes, which the rate and the limit of a transaction count."""
        return len(self.writes) + len(self.deletes)
