"""Team limits and guarantees.

A team's limit is split into allowances, one for each controller, which are stored and moved only by
conditional writes; their sum never passes the limit. A controller starts a task only while all tasks
of the team that may exist on its machines, this one included, fit its allowance. So the limit holds
although controllers start tasks without asking each other, and one who restarts or is cut off leaves
its allowance in place until every task it covered is adopted or accounted for.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec, MachineType

# Sums of decimal amounts carry rounding; half of the last place that a limit could be meant to have.
SLACK = 1e-6


class ResourceAmount(NamedTuple):
    """An amount of what quotas bound."""

    cores: float = 0.0
    gpus: float = 0.0


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    return (
        (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone in kind.zones)
        and spec.cores <= kind.cores + SLACK
        and spec.gpus <= kind.gpus + SLACK
        and spec.memory <= kind.memory + SLACK
    )


def unschedulable_reason(spec: JobSpec, teams: dict[str, Team], types: dict[str, MachineType]) -> str | None:
    """Why the job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    together = spec.tasks if spec.gang else 1
    if tasks_within_quota(spec, (team.cpus_max, team.gpus_max), ResourceUsage()) < together:
        return "over the team's limit"
    fitting = [kind for kind in types.values() if fits_type(spec, kind)]
    if not fitting:
        return "fits no machine type"
    zones = {zone for kind in fitting for zone in kind.zones} if spec.zone is None else {spec.zone}
    if spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones) < 2):
        return "cannot be spread over one zone"
    return None


@dataclass
class ResourceUsage:
    """What tasks use, or may use."""

    cores: float = 0.0
    gpus: float = 0.0

    def add(self, spec: JobSpec, count: int = 1) -> None:
        self.cores += count * spec.cores
        self.gpus += count * spec.gpus


def tasks_within_quota(spec: JobSpec, allowance: tuple[float, float], use: ResourceUsage) -> int:
    """How many more tasks of the job the allowance covers."""
    most = spec.tasks
    if spec.cores > 0:
        most = min(most, int((allowance[0] - use.cores + SLACK) // spec.cores))
    if spec.gpus > 0:
        most = min(most, int((allowance[1] - use.gpus + SLACK) // spec.gpus))
    return max(0, most)


def reallocate(
    held: dict[str, tuple[float, float]], limit: tuple[float, float], tag: str, wanted: tuple[float, float]
) -> dict[str, tuple[float, float]]:
    """The allowances after one controller asks for a new one: up to what is free, never past the limit."""
    others = [amounts for holder, amounts in held.items() if holder != tag]
    free = tuple(most - sum(amounts[place] for amounts in others) for place, most in enumerate(limit))
    mine = (max(0.0, min(wanted[0], free[0])), max(0.0, min(wanted[1], free[1])))
    after = {holder: amounts for holder, amounts in held.items() if holder != tag}
    if mine[0] > 0 or mine[1] > 0:
        after[tag] = mine
    return after


def transfer(
    held: dict[str, tuple[float, float]], giver: str, taker: str, spec: JobSpec, count: int
) -> dict[str, tuple[float, float]]:
    """The allowances after tasks of one controller were found on a machine of another."""
    after = dict(held)
    had = after.get(giver, (0.0, 0.0))
    got = after.get(taker, (0.0, 0.0))
    cores, gpus = min(had[0], count * spec.cores), min(had[1], count * spec.gpus)
    after[giver] = (had[0] - cores, had[1] - gpus)
    after[taker] = (got[0] + cores, got[1] + gpus)
    return after


def within_guarantee(team: Team, cores: float, gpus: float) -> bool:
    return cores <= team.cpus + SLACK and gpus <= team.gpus + SLACK
