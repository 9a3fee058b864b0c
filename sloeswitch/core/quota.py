"""Team limits and guarantees."""

from __future__ import annotations

from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec, MachineType

# Sums of decimal amounts carry rounding; half of the last place that a limit could be meant to have.
SLACK = 1e-6


def most_tasks(team: Team, spec: JobSpec, used_cores: float, used_gpus: float) -> int:
    """How many more tasks of the job the team's limit allows."""
    most = spec.tasks
    if spec.cores > 0:
        most = min(most, int((team.cpus_max - used_cores + SLACK) // spec.cores))
    if spec.gpus > 0:
        most = min(most, int((team.gpus_max - used_gpus + SLACK) // spec.gpus))
    return max(0, most)


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    return (
        (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone in kind.zones)
        and spec.cores <= kind.cores + SLACK
        and spec.gpus <= kind.gpus + SLACK
        and spec.memory <= kind.memory + SLACK
    )


def impossible(spec: JobSpec, teams: dict[str, Team], types: dict[str, MachineType]) -> str | None:
    """Why the job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    together = spec.tasks if spec.gang else 1
    if most_tasks(team, spec, 0.0, 0.0) < together:
        return "over the team's limit"
    if not any(fits_type(spec, kind) for kind in types.values()):
        return "fits no machine type"
    return None


def within_guarantee(team: Team, cores: float, gpus: float) -> bool:
    return cores <= team.cpus + SLACK and gpus <= team.gpus + SLACK
