"""Decides when a controller requests a larger or a smaller allocation of a team's limit.

The decision keeps no state; `actors.quota_ledger` makes it for each team and requests the resulting allocation.
"""

from __future__ import annotations

from dataclasses import dataclass

from sloeswitch.core.quota import ROUNDING_TOLERANCE, ResourceAmount, ResourceUsage, is_within, team_limit
from sloeswitch.settings import Team

# A limit is scarce when less than this share of it is unallocated.
SCARCE_FREE_SHARE = 0.1
# While a limit is not scarce, a controller requests its usage times this factor, and at least an equal share.
SPARE_MARGIN = 1.2
# A controller returns its surplus of a scarce limit only if it would keep less than this share of its allocation: a
# smaller change is not worth a write, unless a job is blocked.
MIN_SHRINK_RATIO = 0.97


@dataclass(frozen=True)
class QuotaAllocation:
    """The allocation of a team's limit to one controller.

    Each change costs a write. While much of the limit is unallocated, a controller therefore takes and keeps at least
    an equal share. When the limit is scarce, a controller keeps no more than it needs: other controllers wait for quota
    that would otherwise be idle only to save a write. When a job is blocked by idle allocations, each controller
    returns all that it does not use, because one task or one gang may need the parts of several controllers.

    Attributes:
        team: The team.
        allocated: The current allocation of this controller.
        usage: The usage that is possible on this controller's machines: running, claimed and unclaimed tasks.
        unallocated: The part of the limit that is allocated to no controller.
        controller_count: The number of controllers that share the limit.
        has_blocked_job: Whether a job of the team is blocked by idle allocations (see `core.blocked_quota`).
    """

    team: Team
    allocated: ResourceAmount
    usage: ResourceUsage
    unallocated: ResourceAmount
    controller_count: int
    has_blocked_job: bool = False

    @property
    def is_scarce(self) -> bool:
        """Whether only a small part of the limit is unallocated, or too little for a blocked job."""
        limit = team_limit(self.team)
        return (
            self.has_blocked_job
            or self.unallocated.cores < SCARCE_FREE_SHARE * limit.cores
            or self.unallocated.gpus < SCARCE_FREE_SHARE * limit.gpus
        )

    @property
    def target(self) -> ResourceAmount:
        """The allocation that this controller should have."""
        limit = team_limit(self.team)
        margin, share = (1.0, 0.0) if self.is_scarce else (SPARE_MARGIN, 1.0 / self.controller_count)
        return ResourceAmount(
            max(margin * self.usage.cores, share * limit.cores), max(margin * self.usage.gpus, share * limit.gpus)
        )

    @property
    def is_short(self) -> bool:
        """Whether the possible usage exceeds the allocation."""
        return not is_within(self.usage, self.allocated)

    @property
    def has_unallocated(self) -> bool:
        """Whether any part of the limit is unallocated, so that an increase can be granted."""
        return self.unallocated.cores > ROUNDING_TOLERANCE or self.unallocated.gpus > ROUNDING_TOLERANCE

    @property
    def has_surplus(self) -> bool:
        """Whether a part of the allocation is idle that other controllers may need."""
        target = self.target
        if self.has_blocked_job:
            return not is_within(self.allocated, target)
        return self.is_scarce and (
            target.cores < MIN_SHRINK_RATIO * self.allocated.cores
            or target.gpus < MIN_SHRINK_RATIO * self.allocated.gpus
        )

    @property
    def increased(self) -> ResourceAmount:
        """The allocation to request when short: no less of either resource than is allocated now."""
        target = self.target
        return ResourceAmount(max(target.cores, self.allocated.cores), max(target.gpus, self.allocated.gpus))

    @property
    def decreased(self) -> ResourceAmount:
        """The allocation to keep when there is a surplus: no more of either resource than is allocated now."""
        target = self.target
        return ResourceAmount(min(self.allocated.cores, target.cores), min(self.allocated.gpus, target.gpus))
