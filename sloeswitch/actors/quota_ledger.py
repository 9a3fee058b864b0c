"""Team limits as one controller sees them: what teams use here, what they may use, and the allowances to ask for.

Owns the smaller allowances that are being stored, and since when an allowance has been larger than needed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import ClaimRequest
from sloeswitch.core import keys, quota
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.quota_allocation import QuotaAllocation
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec


class QuotaLedger:
    """Reckons with what is stored and with what may exist under this controller's responsibility."""

    def __init__(self, context: ControllerContext, registry: MachineRegistry) -> None:
        self.settings = context.settings
        self.client = context.client
        self.tables = context.tables
        self.leadership = context.leadership
        self.registry = registry
        # Smaller allowances being stored: team -> (stamp it relies on, cores, gpus).
        self.pending_decreases: dict[str, tuple[int, float, float]] = {}
        self.surplus_since: dict[str, float] = {}
        # What tasks use that may be somewhere, and are on no machine that was heard (see registry).
        self.handed_off_usage: dict[str, quota.ResourceUsage] = {}

    def reset(self) -> None:
        """Another run of this controller begins: nothing is under way."""
        self.pending_decreases.clear()
        self.surplus_since.clear()

    def update_handed_off_usage(self) -> None:
        """Reckons anew what tasks use whose place is not known."""
        self.handed_off_usage = {}
        for name, mask in self.registry.handed_off_tasks.items():
            job = self.tables.jobs.get(name)
            if job is not None:
                self.handed_off_usage.setdefault(job.spec.team, quota.ResourceUsage()).add(job.spec, mask.bit_count())

    def usage(self, team: str) -> quota.ResourceUsage:
        """What tasks of the team that may exist under this controller's responsibility use."""
        use = self.registry.team_usage.get(team, quota.ResourceUsage())
        limbo = self.handed_off_usage.get(team, quota.ResourceUsage())
        return quota.ResourceUsage(use.cores + limbo.cores, use.gpus + limbo.gpus)

    def allocation(self, team: str) -> tuple[float, float]:
        """What may be used now: the stored allowance, or less while a smaller one is being stored."""
        cores, gpus = self.tables.quota_allocation(team, self.leadership.incarnation_id)
        shrinking = self.pending_decreases.get(team)
        if shrinking is not None:
            # A write without an answer may be carried out until another one makes its condition false.
            if shrinking[0] == self.tables.mod_revision(keys.team_key(team)):
                return min(cores, shrinking[1]), min(gpus, shrinking[2])
            del self.pending_decreases[team]
        return cores, gpus

    def available(self, team: Team, use: quota.ResourceUsage) -> tuple[float, float]:
        """The most that this controller could be allowed now: its allowance and what nobody holds."""
        cores, gpus = self.tables.quota_allocation(team.name, self.leadership.incarnation_id)
        more_cores, more_gpus = self.tables.unallocated_quota(team)
        return max(cores + more_cores, use.cores), max(gpus + more_gpus, use.gpus)

    def startable(self, specs: Iterable[JobSpec]) -> list[JobSpec]:
        """Those of which the team's limit leaves this controller room for one more task."""
        uses = {team: self.usage(team) for team in self.settings.teams}
        spare = {team.name: self.available(team, uses[team.name]) for team in self.settings.teams.values()}
        return [
            spec
            for spec in specs
            if spec.team in spare and quota.tasks_within_quota(spec, spare[spec.team], uses[spec.team]) > 0
        ]

    def shortfall(self, spec: JobSpec) -> quota.ResourceUsage:
        """By how much the team's limit leaves this controller too little room for one more task."""
        use = self.usage(spec.team)
        cores, gpus = self.available(self.settings.teams[spec.team], use)
        return quota.ResourceUsage(
            max(0.0, use.cores + spec.cores - cores - quota.SLACK), max(0.0, use.gpus + spec.gpus - gpus - quota.SLACK)
        )

    def request_allocations(
        self, request: ClaimRequest, useful: Mapping[str, quota.ResourceUsage], controllers: int, now: float
    ) -> None:
        """Adds the allowances to ask for, given what each team could put to use on these machines."""
        # Some changes of a round are left for claims.
        max_teams = max(1, min(self.client.txn_ops // 2, self.client.available_changes(RequestPriority.CLAIM) - 1))
        for name, use in useful.items():
            if len(request.quota_increases) + len(request.quota_decreases) >= max_teams:
                break
            team = self.settings.teams[name]
            part = QuotaAllocation(team, self.allocation(name), use, self.tables.unallocated_quota(team), controllers)
            if part.is_short:
                self.surplus_since.pop(name, None)
                if name in self.pending_decreases or part.has_unallocated:
                    request.quota_increases[name] = part.increased
            elif not part.has_surplus:
                self.surplus_since.pop(name, None)
            elif now - self.surplus_since.setdefault(name, now) > 2 * self.settings.report_s:
                # Returned after a while: the next job of the team is likely to want it again.
                request.quota_decreases[name] = (self.tables.mod_revision(keys.team_key(name)), *part.decreased)
                self.pending_decreases[name] = request.quota_decreases[name]
                del self.surplus_since[name]
        # A smaller allowance may be under way and its answer lost, and until something else is written we
        # hold ourselves to it. Found on the bench: a team stood still, since growing back to what was
        # stored all along wrote nothing.
        request.forced_rewrites = {name for name in request.quota_increases if name in self.pending_decreases}
