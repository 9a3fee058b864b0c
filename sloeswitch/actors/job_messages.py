"""The requests that the jobs actor answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from sloeswitch.actors.base import ActorRequest
from sloeswitch.core.commit_planner import RequestedClaims
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease


@dataclass
class ClaimRequest(ActorRequest[bool]):
    """A request of the machines actor to claim tasks and to change quota allocations of teams.

    Answered with whether a transaction with it was committed, whatever part of it that contained.
    """

    # How many tasks to claim of each job.
    task_counts: dict[str, int] = field(default_factory=dict)
    # By team, the cores and GPUs that this controller's allocation is to have at least.
    quota_increases: dict[str, ResourceAmount] = field(default_factory=dict)
    # By team, the revision of the row that the decrease was computed from, and the cores and GPUs of the allocation.
    quota_decreases: dict[str, QuotaDecrease] = field(default_factory=dict)
    # Teams whose row is to be written even if it stays the same, so that an earlier write of it fails for certain.
    forced_rewrites: set[str] = field(default_factory=set)
    # The zone that each job whose tasks are bound to one zone gets with its first claim.
    zones: dict[str, str] = field(default_factory=dict)
    # Which tasks of a zone-bound job fit the free capacity of its zone, as a set.
    zone_bound_tasks: dict[str, int] = field(default_factory=dict)
    # The tasks that were claimed, as sets by job: free until then, whether or not the transaction was committed.
    granted: dict[str, int] = field(default_factory=dict)

    @property
    def quota_change_count(self) -> int:
        """How many changes of quota allocations are requested."""
        return len(self.quota_increases) + len(self.quota_decreases)

    def requested_claims(self) -> RequestedClaims:
        """The request as the commit planner takes it."""
        return RequestedClaims(
            task_counts=self.task_counts,
            quota_increases=self.quota_increases,
            quota_decreases=self.quota_decreases,
            zones=self.zones,
            zone_bound_tasks=self.zone_bound_tasks,
        )
