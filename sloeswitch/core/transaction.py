"""A transaction of the state service: compare-and-swap over many keys.

Actors build transactions and `state_client.StateClient.compare_and_swap` sends them. The code that builds a transaction
must keep within the limits of the state service on changes, conditions and bytes: see `StateClient`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Transaction:
    """Writes and deletions that are applied atomically if every condition holds.

    Attributes:
        conditions: The modification revision that each key must have; 0 means that the key must not exist.
        writes: The new value of each written key, encodable as JSON.
        deletes: The keys to delete.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)

    def __len__(self) -> int:
        """Returns the number of changes, which count towards the write rate and the size limit of a transaction."""
        return len(self.writes) + len(self.deletes)
