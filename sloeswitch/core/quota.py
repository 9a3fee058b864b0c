"""Quotas of teams: their limits, the division of limits among controllers, and their guarantees.

A team's limit is split into allocations, one for each controller. Allocations are stored and changed only by
conditional writes, and their sum never exceeds the limit. A controller starts a task only if its allocation covers all
tasks of the team that may exist on its machines, including this one. The limit therefore holds although controllers
start tasks independently of each other. When a controller restarts or is partitioned, its allocation stays in place
until every task that it covered is adopted or accounted for.

The functions keep no state and are used by several actors. Amounts are in cores and GPUs; memory has no quota.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec, MachineType

# Sums of decimal amounts (cores, GPUs, GB) have rounding errors. The tolerance is half a unit of the last decimal place
# that a limit could reasonably have.
ROUNDING_TOLERANCE = 1e-6


class ResourceAmount(NamedTuple):
    """An amount of the resources that quotas limit. Stored and compared as a plain pair."""

    cores: float = 0.0
    gpus: float = 0.0


NO_RESOURCES = ResourceAmount()


@dataclass
class ResourceUsage:
    """The resources that a changing set of tasks uses, or could use."""

    cores: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, count: int = 1) -> None:
        """Adds the resources of `count` tasks of the job; a negative count subtracts them."""
        self.cores += count * spec.cores
        self.gpus += count * spec.gpus


class ReservedQuota(NamedTuple):
    """The part of a team's limit that is reserved for a job that waits for a machine."""

    team: str
    usage: ResourceUsage


def team_limit(team: Team) -> ResourceAmount:
    """The limit on the team's total usage, over all controllers."""
    return ResourceAmount(team.cpus_max, team.gpus_max)


def fits_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether an empty machine of the type could take one task of the job."""
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cores <= machine_type.cores + ROUNDING_TOLERANCE
        and spec.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
        and spec.memory <= machine_type.memory + ROUNDING_TOLERANCE
    )


def unschedulable_reason(spec: JobSpec, teams: dict[str, Team], types: dict[str, MachineType]) -> str | None:
    """The error text for a user whose job can never run; None if the job can run."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    simultaneous_tasks = spec.tasks if spec.gang else 1
    if tasks_within_quota(spec, team_limit(team), ResourceUsage()) < simultaneous_tasks:
        return "over the team's limit"
    fitting_types = [machine_type for machine_type in types.values() if fits_type(spec, machine_type)]
    if not fitting_types:
        return "fits no machine type"
    zones = {zone for each in fitting_types for zone in each.zones} if spec.zone is None else {spec.zone}
    if spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones) < 2):
        return "cannot be spread over one zone"
    return None


def tasks_within_quota(spec: JobSpec, quota: ResourceAmount, usage: ResourceUsage) -> int:
    """How many more tasks of the job the quota covers in addition to its team's usage."""
    count = spec.tasks
    if spec.cores > 0:
        count = min(count, int((quota.cores - usage.cores + ROUNDING_TOLERANCE) // spec.cores))
    if spec.gpus > 0:
        count = min(count, int((quota.gpus - usage.gpus + ROUNDING_TOLERANCE) // spec.gpus))
    return max(0, count)


def reallocate(
    allocations: dict[str, ResourceAmount], limit: ResourceAmount, incarnation_id: str, wanted: ResourceAmount
) -> dict[str, ResourceAmount]:
    """The allocations of a team after one controller requested a new one.

    The controller gets the requested amount as far as it is not allocated to others; the sum never exceeds the limit.

    Args:
        allocations: The allocations of the team, by incarnation of a controller.
        limit: The team's limit.
        incarnation_id: The incarnation that requests the allocation.
        wanted: The requested allocation, which replaces the current one.
    """
    after = {holder: amount for holder, amount in allocations.items() if holder != incarnation_id}
    free_cores = limit.cores - sum(amount.cores for amount in after.values())
    free_gpus = limit.gpus - sum(amount.gpus for amount in after.values())
    granted = ResourceAmount(max(0.0, min(wanted.cores, free_cores)), max(0.0, min(wanted.gpus, free_gpus)))
    if granted.cores > 0 or granted.gpus > 0:
        after[incarnation_id] = granted
    return after


def transfer(
    allocations: dict[str, ResourceAmount], source: str, target: str, spec: JobSpec, count: int
) -> dict[str, ResourceAmount]:
    """The allocations of a team after `count` tasks claimed by `source` were found on a machine of `target`."""
    after = dict(allocations)
    source_amount = after.get(source, NO_RESOURCES)
    target_amount = after.get(target, NO_RESOURCES)
    cores = min(source_amount.cores, count * spec.cores)
    gpus = min(source_amount.gpus, count * spec.gpus)
    after[source] = ResourceAmount(source_amount.cores - cores, source_amount.gpus - gpus)
    after[target] = ResourceAmount(target_amount.cores + cores, target_amount.gpus + gpus)
    return after


def is_within(usage: ResourceUsage | ResourceAmount, amount: ResourceAmount) -> bool:
    """Whether the amount covers the usage, in cores as well as in GPUs."""
    return usage.cores <= amount.cores + ROUNDING_TOLERANCE and usage.gpus <= amount.gpus + ROUNDING_TOLERANCE


def within_guarantee(team: Team, cores: float, gpus: float) -> bool:
    """Whether the team's guarantee covers this many cores and GPUs."""
    return is_within(ResourceAmount(cores, gpus), ResourceAmount(team.cpus, team.gpus))
