"""Team quotas as one controller sees them: what teams use here, what they may use, and what it asks for.

Each controller is allocated a part of a team's quota (core.quota). Owns the decreases of allocations that are being
stored, and since when an allocation has been larger than needed. Called by the modules of the machines actor, and by
the autoscaler for what could start.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.quota_log import log_overuse
from sloeswitch.core import keys, quota
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_allocation import QuotaAllocation
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec


class QuotaLedger:
    """Accounts for what is allocated, and for all tasks that may exist under this controller's responsibility."""

    def __init__(self, context: ControllerContext, registry: MachineRegistry) -> None:
        self.settings = context.settings
        self.client = context.client
        self.tables = context.tables
        self.replica = context.replica
        self.leadership = context.leadership
        self.registry = registry
        # By team: decreases that are being stored, and since when its allocation has been larger than needed.
        self.pending_decreases: dict[str, QuotaDecrease] = {}
        self.surplus_since: dict[str, float] = {}
        # By team: what tasks use that may be somewhere, and are on no machine that reported (see the registry).
        self.handed_off_usage: dict[str, quota.ResourceUsage] = {}
        # Teams that were seen to use more than the stored allocation, each logged once until it is over.
        self.overusing_teams: set[str] = set()

    def reset(self) -> None:
        """Another incarnation of this controller begins: nothing is being stored."""
        self.pending_decreases.clear()
        self.surplus_since.clear()
        self.overusing_teams.clear()

    def update_handed_off_usage(self) -> None:
        """Computes anew what tasks use whose machine is not known."""
        self.handed_off_usage = {}
        for name, mask in self.registry.handed_off_tasks.items():
            job = self.tables.jobs.get(name)
            if job is not None:
                self.handed_off_usage.setdefault(job.spec.team, quota.ResourceUsage()).add(job.spec, mask.bit_count())

    def usage(self, team: str) -> quota.ResourceUsage:
        """What tasks of the team that may exist under this controller's responsibility use."""
        placed = self.registry.team_usage.get(team, quota.ResourceUsage())
        handed_off = self.handed_off_usage.get(team, quota.ResourceUsage())
        return quota.ResourceUsage(placed.cores + handed_off.cores, placed.gpus + handed_off.gpus)

    def allocation(self, team: str) -> ResourceAmount:
        """What the team may use here now: the stored allocation, or less while a smaller one is being stored."""
        cores, gpus = self.tables.quota_allocation(team, self.leadership.incarnation_id)
        decrease = self.pending_decreases.get(team)
        if decrease is not None:
            # A write without an answer may be carried out until another one makes its condition false.
            if decrease.mod_revision == self.tables.mod_revision(keys.quota_key(team)):
                return ResourceAmount(min(cores, decrease.cores), min(gpus, decrease.gpus))
            del self.pending_decreases[team]
        return ResourceAmount(cores, gpus)

    def check_usage(self) -> None:
        """Warns of teams that use more than the stored allocation; only meant while all adoptions are stored."""
        incarnation_id = self.leadership.incarnation_id
        for team in self.settings.teams:
            usage, stored = self.usage(team), self.tables.quota_allocation(team, incarnation_id)
            if quota.is_within(usage, stored):
                self.overusing_teams.discard(team)
            elif team not in self.overusing_teams:
                self.overusing_teams.add(team)
                log_overuse(team, usage, stored, self.leadership.view.number, self.replica.applied_revision)

    def available(self, team: Team, usage: quota.ResourceUsage) -> ResourceAmount:
        """The most that the team could use here now: the allocation and what is allocated to nobody.

        Never less than `usage`, what it uses already.
        """
        cores, gpus = self.tables.quota_allocation(team.name, self.leadership.incarnation_id)
        more_cores, more_gpus = self.tables.unallocated_quota(team)
        return ResourceAmount(max(cores + more_cores, usage.cores), max(gpus + more_gpus, usage.gpus))

    def startable(self, specs: Iterable[JobSpec]) -> list[JobSpec]:
        """Those of the jobs of which one more task is within the team's quota here."""
        usage = {team: self.usage(team) for team in self.settings.teams}
        available = {team.name: self.available(team, usage[team.name]) for team in self.settings.teams.values()}
        return [
            spec
            for spec in specs
            if spec.team in available and quota.tasks_within_quota(spec, available[spec.team], usage[spec.team]) > 0
        ]

    def shortfall(self, spec: JobSpec) -> quota.ResourceUsage:
        """By how much one more task of the job would exceed the team's quota here."""
        usage = self.usage(spec.team)
        cores, gpus = self.available(self.settings.teams[spec.team], usage)
        return quota.ResourceUsage(
            max(0.0, usage.cores + spec.cores - cores - quota.ROUNDING_TOLERANCE),
            max(0.0, usage.gpus + spec.gpus - gpus - quota.ROUNDING_TOLERANCE),
        )

    def request_allocations(
        self, request: ClaimRequest, usable: Mapping[str, quota.ResourceUsage], controllers: int, now: float
    ) -> None:
        """Adds changes of allocations to a request.

        Args:
            request: The request, which gets increases and decreases of allocations.
            usable: What each team could put to use on this controller's machines.
            controllers: How many controllers share the quotas.
            now: The clock's time in seconds.
        """
        # Some changes of a round are left for claims.
        max_teams = max(
            1, min(self.client.max_transaction_changes // 2, self.client.available_changes(RequestPriority.CLAIM) - 1)
        )
        for name, usage in usable.items():
            if len(request.quota_increases) + len(request.quota_decreases) >= max_teams:
                break
            team = self.settings.teams[name]
            allocation = QuotaAllocation(
                team, self.allocation(name), usage, self.tables.unallocated_quota(team), controllers
            )
            if allocation.is_short:
                self.surplus_since.pop(name, None)
                if name in self.pending_decreases or allocation.has_unallocated:
                    request.quota_increases[name] = allocation.increased
            elif not allocation.has_surplus:
                self.surplus_since.pop(name, None)
            elif now - self.surplus_since.setdefault(name, now) > 2 * self.settings.report_s:
                # Returned after a while: the next job of the team is likely to want it again.
                decrease = QuotaDecrease(self.tables.mod_revision(keys.quota_key(name)), *allocation.decreased)
                request.quota_decreases[name] = self.pending_decreases[name] = decrease
                del self.surplus_since[name]
        # A decrease may be under way and its answer lost, and until something else is written this controller keeps
        # to it. An increase back to what is stored would write nothing, and no task of the team would start.
        request.forced_rewrites = {name for name in request.quota_increases if name in self.pending_decreases}
