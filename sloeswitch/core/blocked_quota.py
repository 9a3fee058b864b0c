"""Finds the teams whose jobs wait for quota that controllers hold but do not use.

Controllers see each other's allocations and claims in the replicated tables, but not each other's free capacity. A job
counts as blocked if the limit of its team covers it beside all claimed tasks, while the unallocated part of the limit
does not: some controller then holds quota for which it has no task. Every controller comes to the same result.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sloeswitch.core.quota import ResourceAmount, ResourceUsage, is_within, team_limit
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec


def amount_to_start(spec: JobSpec) -> ResourceAmount:
    """The quota without which no task of the job can start: that of one task, or of all tasks of a gang."""
    count = spec.tasks if spec.gang else 1
    return ResourceAmount(count * spec.cores, count * spec.gpus)


def claimed_usage(tables: Tables) -> dict[str, ResourceUsage]:
    """The usage of all claimed tasks by team, over all controllers.

    Void claims, those of departed controllers after the recovery, are left out.
    """
    recovered = tables.recovery_complete()
    in_view = tables.view.incarnation_ids
    usage: dict[str, ResourceUsage] = {}
    for job in tables.jobs.values():
        tasks = 0
        for holder, claimed in job.progress.claims.items():
            if holder in in_view or not recovered:
                tasks |= claimed
        tasks &= ~job.progress.done
        if tasks:
            usage.setdefault(job.spec.team, ResourceUsage()).add(job.spec, tasks.bit_count())
    return usage


def blocked_teams(queue: Iterable[Job], tables: Tables, teams: Mapping[str, Team]) -> set[str]:
    """The teams with a queued job that is blocked by idle allocations.

    Args:
        queue: The runnable jobs.
        tables: The replicated tables.
        teams: The teams of the settings, by name.
    """
    usage = claimed_usage(tables)
    unclaimed = {name: _unclaimed_limit(team, usage.get(name, ResourceUsage())) for name, team in teams.items()}
    unallocated = {name: tables.unallocated_quota(team) for name, team in teams.items()}
    recovered = tables.recovery_complete()
    blocked: set[str] = set()
    for job in queue:
        team = job.spec.team
        if team in blocked or team not in teams:
            continue
        needed = amount_to_start(job.spec)
        if (
            is_within(needed, unclaimed[team])
            and not is_within(needed, unallocated[team])
            and tables.unclaimed_tasks(job, recovered)
        ):
            blocked.add(team)
    return blocked


def _unclaimed_limit(team: Team, usage: ResourceUsage) -> ResourceAmount:
    """The part of the team's limit that its claimed tasks leave free."""
    limit = team_limit(team)
    return ResourceAmount(limit.cores - usage.cores, limit.gpus - usage.gpus)
