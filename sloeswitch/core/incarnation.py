"""Identifies one run of a controller."""

from __future__ import annotations

from typing import NamedTuple

from sloeswitch.core import keys


class Incarnation(NamedTuple):
    """A member and the lease of one of its runs, as stored in the view and in the coordinator's row.

    A restarted member gets a new lease, so that it does not own the claims and quota allocations of its previous run.
    """

    member: str
    lease_id: int

    @property
    def id(self) -> str:
        """The incarnation id, under which claims and quota allocations are stored."""
        return keys.incarnation_id_of(self.member, self.lease_id)
