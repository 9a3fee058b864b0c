"""When a controller asks for a larger or a smaller allocation of a team's limit.

A decision without state; `actors.quota_ledger` makes it for each team and asks for what comes out.
"""

from __future__ import annotations

from dataclasses import dataclass

from sloeswitch.core.quota import ROUNDING_TOLERANCE, ResourceAmount, ResourceUsage, is_within, team_limit
from sloeswitch.settings import Team

# A limit is scarce when less than this part of it is allocated to nobody.
SCARCE_FREE_SHARE = 0.1
# While it is not, a controller takes this many times what it could use, and at least an equal part.
SPARE_MARGIN = 1.2
# Of a scarce limit a controller returns what it has above its use, unless that leaves hardly less than it has.
MIN_SHRINK_RATIO = 0.97


@dataclass(frozen=True)
class QuotaAllocation:
    """One controller's part of a team's limit.

    Each change is a write: while much of the limit is free, whole parts of it are taken and kept. Of a limit that is
    used up nobody keeps more than it needs: others wait for what would lie idle for the sake of a write.

    Attributes:
        team: Whose limit it is.
        allocated: What this controller may use now.
        usage: What it could put to use: what runs, what waits, and what could be claimed.
        unallocated: What of the limit is nobody's.
        controller_count: Among how many the limit is divided.
    """

    team: Team
    allocated: ResourceAmount
    usage: ResourceUsage
    unallocated: ResourceAmount
    controller_count: int

    @property
    def is_scarce(self) -> bool:
        """Whether little of the limit is free."""
        limit = team_limit(self.team)
        return (
            self.unallocated.cores < SCARCE_FREE_SHARE * limit.cores
            or self.unallocated.gpus < SCARCE_FREE_SHARE * limit.gpus
        )

    @property
    def target(self) -> ResourceAmount:
        """What this controller should have."""
        limit = team_limit(self.team)
        margin, part = (1.0, 0.0) if self.is_scarce else (SPARE_MARGIN, 1.0 / self.controller_count)
        return ResourceAmount(
            max(margin * self.usage.cores, part * limit.cores), max(margin * self.usage.gpus, part * limit.gpus)
        )

    @property
    def is_short(self) -> bool:
        """Whether more could be put to use than is allocated."""
        return not is_within(self.usage, self.allocated)

    @property
    def has_unallocated(self) -> bool:
        """Whether there is anything to ask for."""
        return self.unallocated.cores > ROUNDING_TOLERANCE or self.unallocated.gpus > ROUNDING_TOLERANCE

    @property
    def has_surplus(self) -> bool:
        """Whether a part that others may need lies idle."""
        target = self.target
        return self.is_scarce and (
            target.cores < MIN_SHRINK_RATIO * self.allocated.cores
            or target.gpus < MIN_SHRINK_RATIO * self.allocated.gpus
        )

    @property
    def increased(self) -> ResourceAmount:
        """What to ask for when short: no less than there is of either resource."""
        target = self.target
        return ResourceAmount(max(target.cores, self.allocated.cores), max(target.gpus, self.allocated.gpus))

    @property
    def decreased(self) -> ResourceAmount:
        """What to keep when there is a surplus: no more than there is of either resource."""
        target = self.target
        return ResourceAmount(min(self.allocated.cores, target.cores), min(self.allocated.gpus, target.gpus))
