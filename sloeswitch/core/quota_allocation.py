"""When a controller asks for a larger or a smaller allowance of a team's limit."""

from __future__ import annotations

from dataclasses import dataclass

from sloeswitch.core.quota import SLACK, ResourceUsage
from sloeswitch.settings import Team

# A limit is scarce when less than this part of it is held by nobody.
SCARCE_FREE_SHARE = 0.1
# While it is not, a controller takes this many times what it could use, and at least an equal part.
SPARE_MARGIN = 1.2
# Of a scarce limit a controller gives back what it holds above its use, unless that is hardly less than it holds.
MIN_SHRINK_RATIO = 0.97


@dataclass(frozen=True)
class QuotaAllocation:
    """One controller's part of a team's limit.

    Each change is a write: while much of the limit is free, whole parts of it are taken and kept. Of a limit that is
    used up nobody holds more than it needs: what lay idle so, for the sake of a write, made checks late (found on
    the bench).
    """

    team: Team
    # What this controller may use, what it could put to use, and what nobody holds.
    held: tuple[float, float]
    usage: ResourceUsage
    unallocated: tuple[float, float]
    controllers: int

    @property
    def is_scarce(self) -> bool:
        """Whether little of the limit is free."""
        return (
            self.unallocated[0] < SCARCE_FREE_SHARE * self.team.cpus_max
            or self.unallocated[1] < SCARCE_FREE_SHARE * self.team.gpus_max
        )

    @property
    def target(self) -> tuple[float, float]:
        """What this controller should hold."""
        margin, part = (1.0, 0.0) if self.is_scarce else (SPARE_MARGIN, 1.0 / self.controllers)
        return (
            max(margin * self.usage.cores, part * self.team.cpus_max),
            max(margin * self.usage.gpus, part * self.team.gpus_max),
        )

    @property
    def is_short(self) -> bool:
        """Whether more could be put to use than is held."""
        return self.usage.cores > self.held[0] + SLACK or self.usage.gpus > self.held[1] + SLACK

    @property
    def has_unallocated(self) -> bool:
        return self.unallocated[0] > SLACK or self.unallocated[1] > SLACK

    @property
    def has_surplus(self) -> bool:
        """Whether a part that others may need lies idle."""
        cores, gpus = self.target
        return self.is_scarce and (cores < MIN_SHRINK_RATIO * self.held[0] or gpus < MIN_SHRINK_RATIO * self.held[1])

    @property
    def increased(self) -> tuple[float, float]:
        return max(self.target[0], self.held[0]), max(self.target[1], self.held[1])

    @property
    def decreased(self) -> tuple[float, float]:
        return min(self.held[0], self.target[0]), min(self.held[1], self.target[1])
