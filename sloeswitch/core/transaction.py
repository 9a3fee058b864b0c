"""A transaction of the state service: compare-and-swap over many keys.

Actors build transactions; `state_client.StateClient.compare_and_swap` carries them out. What the state service accepts
at most (changes, conditions, bytes) is the builder's concern: see the limits of `StateClient`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Transaction:
    """Writes and deletions that are carried out together if every condition holds.

    Attributes:
        conditions: The modification revision that each key must have; 0: the key must not exist.
        writes: The new value of each written key, encodable as JSON.
        deletes: The keys to delete.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)

    def __len__(self) -> int:
        """The number of changes, which the write rate and the limit of a transaction count."""
        return len(self.writes) + len(self.deletes)
