"""Team quotas on one controller: each team's usage, its allocation, and the changes of allocations to request.

Each controller is allocated a part of a team's quota (core.quota). Owns the decreases of allocations that are being
stored, and the times since which allocations have been larger than needed. Called by the modules of the machines actor,
and by the autoscaler for the jobs whose tasks could start.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.quota_log import log_overuse
from sloeswitch.core import blocked_quota, keys, quota
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_allocation import QuotaAllocation
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.core.records import Job
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec


class QuotaLedger:
    """Accounts for the allocations, and for the usage of all tasks that this controller is responsible for."""

    def __init__(self, context: ControllerContext, registry: MachineRegistry) -> None:
        self.settings = context.settings
        self.client = context.client
        self.tables = context.tables
        self.replica = context.replica
        self.leadership = context.leadership
        self.registry = registry
        # By team: the decrease that is being stored, and the time since which the allocation is larger than needed.
        self.pending_decreases: dict[str, QuotaDecrease] = {}
        self.surplus_since: dict[str, float] = {}
        # Teams with a job that is blocked by idle allocations, and when they were last determined.
        self.blocked_teams: set[str] = set()
        self.blocked_teams_at = float("-inf")
        # By team: the usage of handed-off tasks (see `MachineRegistry`).
        self.handed_off_usage: dict[str, quota.ResourceUsage] = {}
        # Teams whose usage exceeds the stored allocation; logged once each time that it begins to.
        self.overusing_teams: set[str] = set()

    def reset(self) -> None:
        """Clears the state for a new incarnation of this controller, which has no decreases in flight."""
        self.pending_decreases.clear()
        self.surplus_since.clear()
        self.overusing_teams.clear()

    def update_handed_off_usage(self) -> None:
        """Recomputes the usage of the handed-off tasks."""
        self.handed_off_usage = {}
        for name, mask in self.registry.handed_off_tasks.items():
            job = self.tables.jobs.get(name)
            if job is not None:
                self.handed_off_usage.setdefault(job.spec.team, quota.ResourceUsage()).add(job.spec, mask.bit_count())

    def usage(self, team: str) -> quota.ResourceUsage:
        """The usage of the team's tasks that are on this controller's machines or may be on machines it handed off."""
        placed = self.registry.team_usage.get(team, quota.ResourceUsage())
        handed_off = self.handed_off_usage.get(team, quota.ResourceUsage())
        return quota.ResourceUsage(placed.cores + handed_off.cores, placed.gpus + handed_off.gpus)

    def allocation(self, team: str) -> ResourceAmount:
        """The team's current allocation here: the stored one, or a smaller one while a decrease is being stored."""
        cores, gpus = self.tables.quota_allocation(team, self.leadership.incarnation_id)
        decrease = self.pending_decreases.get(team)
        if decrease is not None:
            # A decrease without an answer may still be applied, until another write to the row makes its condition
            # false.
            if decrease.mod_revision == self.tables.mod_revision(keys.quota_key(team)):
                return ResourceAmount(min(cores, decrease.cores), min(gpus, decrease.gpus))
            del self.pending_decreases[team]
        return ResourceAmount(cores, gpus)

    def check_usage(self) -> None:
        """Logs a warning for teams that use more than the stored allocation.

        Call it only while all adoptions are stored: before that, the stored allocation does not cover adopted tasks.
        """
        incarnation_id = self.leadership.incarnation_id
        for team in self.settings.teams:
            usage, stored = self.usage(team), self.tables.quota_allocation(team, incarnation_id)
            if quota.is_within(usage, stored):
                self.overusing_teams.discard(team)
            elif team not in self.overusing_teams:
                self.overusing_teams.add(team)
                log_overuse(team, usage, stored, self.leadership.view.number, self.replica.applied_revision)

    def available(self, team: Team, usage: quota.ResourceUsage) -> ResourceAmount:
        """The most that the team could use here now: its stored allocation plus the unallocated part of its quota.

        At least `usage`, the team's current usage here.
        """
        cores, gpus = self.tables.quota_allocation(team.name, self.leadership.incarnation_id)
        more_cores, more_gpus = self.tables.unallocated_quota(team)
        return ResourceAmount(max(cores + more_cores, usage.cores), max(gpus + more_gpus, usage.gpus))

    def startable(self, specs: Iterable[JobSpec]) -> list[JobSpec]:
        """Returns the jobs that could start one more task within their teams' quotas here."""
        usage = {team: self.usage(team) for team in self.settings.teams}
        available = {team.name: self.available(team, usage[team.name]) for team in self.settings.teams.values()}
        return [
            spec
            for spec in specs
            if spec.team in available and quota.tasks_within_quota(spec, available[spec.team], usage[spec.team]) > 0
        ]

    def shortfall(self, spec: JobSpec) -> quota.ResourceUsage:
        """The amount by which one more task of the job would exceed the team's quota here."""
        usage = self.usage(spec.team)
        cores, gpus = self.available(self.settings.teams[spec.team], usage)
        return quota.ResourceUsage(
            max(0.0, usage.cores + spec.cores - cores - quota.ROUNDING_TOLERANCE),
            max(0.0, usage.gpus + spec.gpus - gpus - quota.ROUNDING_TOLERANCE),
        )

    def update_blocked_teams(self, queue: list[Job], now: float) -> None:
        """Determines the teams with blocked jobs anew, once in a report interval.

        Args:
            queue: The runnable jobs.
            now: The clock's time in seconds.
        """
        if now - self.blocked_teams_at >= self.settings.report_s:
            self.blocked_teams = blocked_quota.blocked_teams(queue, self.tables, self.settings.teams)
            self.blocked_teams_at = now

    def request_allocations(
        self, request: ClaimRequest, usable: Mapping[str, quota.ResourceUsage], controllers: int, now: float
    ) -> None:
        """Adds changes of allocations to a request.

        Args:
            request: The request to add increases and decreases of allocations to.
            usable: The usage of each team that is possible on this controller's machines.
            controllers: The number of controllers that share the quotas.
            now: The clock's time in seconds.
        """
        # Leaves some of the changes that a transaction may contain for claims.
        max_teams = max(
            1, min(self.client.max_transaction_changes // 2, self.client.available_changes(RequestPriority.CLAIM) - 1)
        )
        for name, usage in usable.items():
            if len(request.quota_increases) + len(request.quota_decreases) >= max_teams:
                break
            team = self.settings.teams[name]
            allocation = QuotaAllocation(
                team,
                self.allocation(name),
                usage,
                self.tables.unallocated_quota(team),
                controllers,
                has_blocked_job=name in self.blocked_teams,
            )
            if allocation.is_short:
                self.surplus_since.pop(name, None)
                if name in self.pending_decreases or allocation.has_unallocated:
                    request.quota_increases[name] = allocation.increased
            elif not allocation.has_surplus:
                self.surplus_since.pop(name, None)
            elif now - self.surplus_since.setdefault(name, now) > 2 * self.settings.report_s:
                # A surplus is returned only after a delay, because the team's next job is likely to need it.
                decrease = QuotaDecrease(self.tables.mod_revision(keys.quota_key(name)), *allocation.decreased)
                request.quota_decreases[name] = self.pending_decreases[name] = decrease
                del self.surplus_since[name]
        # If the answer to a decrease is lost, this controller stays within the decreased amount until the row is
        # written again. An increase back to the stored amount changes nothing in the row; unless the write is forced,
        # the row is not written and no task of the team starts.
        request.forced_rewrites = {name for name in request.quota_increases if name in self.pending_decreases}
