"""One run of one controller."""

from __future__ import annotations

from typing import NamedTuple

from sloeswitch.core import keys


class Incarnation(NamedTuple):
    """A member and the lease of one of its runs, as views and the coordinator's key name them.

    A restarted member has another lease, so that it never takes what its former run held for its own.
    """

    member: str
    lease_id: int

    @property
    def id(self) -> str:
        """The incarnation as one word, as claims and quota allocations bear it."""
        return keys.incarnation_id_of(self.member, self.lease_id)
