"""The requests that other actors send to the jobs actor."""

from __future__ import annotations

from dataclasses import dataclass, field

from sloeswitch.actors.base import ActorRequest
from sloeswitch.core.commit_planner import RequestedClaims
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease


@dataclass
class ClaimRequest(ActorRequest[bool]):
    """A request of the machines actor to claim tasks and to change quota allocations of teams.

    The answer is whether a transaction for the request was committed. The transaction may contain only a part of it.
    """

    # By job, the number of tasks to claim.
    task_counts: dict[str, int] = field(default_factory=dict)
    # By team, the minimum of cores and GPUs that this controller's allocation should have.
    quota_increases: dict[str, ResourceAmount] = field(default_factory=dict)
    # By team, the new cores and GPUs of the allocation, and the revision of the row that they were computed from.
    quota_decreases: dict[str, QuotaDecrease] = field(default_factory=dict)
    # Teams whose row is written even if its value does not change, so that an earlier write with an unknown outcome
    # can no longer succeed.
    forced_rewrites: set[str] = field(default_factory=set)
    # By zone-bound job without a zone, the zone to store with its first claim.
    zones: dict[str, str] = field(default_factory=dict)
    # By zone-bound job, the set of its tasks that fit the free capacity of its zone.
    zone_bound_tasks: dict[str, int] = field(default_factory=dict)
    # Set by the jobs actor: by job, the set of tasks that the transaction claims, whether or not it was committed. They
    # had no valid claim before.
    granted: dict[str, int] = field(default_factory=dict)

    @property
    def quota_change_count(self) -> int:
        """The number of requested changes of quota allocations."""
        return len(self.quota_increases) + len(self.quota_decreases)

    def requested_claims(self) -> RequestedClaims:
        """The request in the form that the commit planner takes."""
        return RequestedClaims(
            task_counts=self.task_counts,
            quota_increases=self.quota_increases,
            quota_decreases=self.quota_decreases,
            zones=self.zones,
            zone_bound_tasks=self.zone_bound_tasks,
        )
