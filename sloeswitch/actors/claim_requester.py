"""Claims: free capacity asks the jobs actor for tasks of the first jobs in the queue, and for the quota they take.

Owns the request that is under way. Called by the machines actor at each tick.
"""

from __future__ import annotations

from collections.abc import Callable

from sloeswitch.actors.base import InboxFullError
from sloeswitch.actors.commands import Spawn
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.actors.task_placement import TaskPlacement
from sloeswitch.core import placement
from sloeswitch.core.claim_planner import CapacitySnapshot, ClaimPlanner, PlanLimits


class ClaimRequester:
    """Plans claims for what is free on this controller's machines, with one request under way at a time."""

    def __init__(
        self, shard: ShardState, task_placement: TaskPlacement, jobs: Jobs, spawn: Spawn, wake: Callable[[], None]
    ) -> None:
        context = shard.context
        self.settings = context.settings
        self.client = context.client
        self.tables = context.tables
        self.leadership = context.leadership
        self.now = context.clock.now
        self.registry = shard.registry
        self.health = shard.health
        self.quota = shard.quota
        self.queue = shard.queue
        self.task_updates = shard.task_updates
        self.task_placement = task_placement
        self.gang_preemption = task_placement.gang_preemption
        self.jobs = jobs
        self.spawn = spawn
        self.wake = wake
        # Ticks come about this often; a new job is left for some of them to the controller with its image.
        self.tick_interval_s = shard.tick_interval_s
        self.claim_in_flight = False
        # Where admission is on: receives what is left over when every job of the queue had its turn, and when.
        self.on_remaining_capacities: Callable[[list[placement.FreeCapacity], float], None] | None = None

    def request_claims(self) -> None:
        """Asks the jobs actor for tasks for what is free, and for the quota allocations that these take.

        Nothing is asked while an earlier request is under way or the state service does not answer.
        """
        if self.claim_in_flight or self.client.failing_since is not None:
            return
        now = self.now()
        members = [member for member, _ in self.leadership.view.members]
        self.queue.record_queued(now)
        limits = PlanLimits.of(self.settings, self.client.max_transaction_changes, self.tick_interval_s)
        planner = ClaimPlanner(self.capacity_snapshot(now), limits, self.tables)
        claims = planner.plan(self.queue.jobs, len(members), members.index(self.settings.member))
        if self.on_remaining_capacities is not None and claims.remaining_capacities is not None:
            self.on_remaining_capacities(claims.remaining_capacities, now)
        request = ClaimRequest(
            task_counts=claims.task_counts, zones=claims.zones, zone_bound_tasks=claims.zone_bound_tasks
        )
        self.quota.request_allocations(request, claims.usable_quota, len(members), now)
        if request.task_counts or request.quota_increases or request.quota_decreases:
            self.claim_in_flight = True
            self.spawn(self._await_claims, request)

    def capacity_snapshot(self, now: float) -> CapacitySnapshot:
        """What is free here, and what may be used, for the planner to take from."""
        teams = self.settings.teams
        usage = {team: self.quota.usage(team) for team in teams}
        return CapacitySnapshot(
            capacities=self.task_placement.free_capacities(now),
            team_usage=usage,
            available_quota={team.name: self.quota.available(team, usage[team.name]) for team in teams.values()},
            quota_allocations={team: self.quota.allocation(team) for team in teams},
            idle_claims=self.task_updates.unplaced_tasks,
            cores_ahead=self._cores_ahead(),
            least_cores=self.queue.least_cores,
            reservations=self.gang_preemption.reservations,
            reserved_usage=self.gang_preemption.reserved_usage(),
            health=self.health,
            queued_since=self.queue.queued_since,
            has_image_affinity=self.queue.has_image_affinity,
            now=now,
        )

    def _cores_ahead(self) -> float:
        """Cores likely to fall free on this controller's machines in the time that a claim takes."""
        ahead_s = self.task_placement.claim_ahead_s
        cores = 0.0
        for name, mask in self.registry.placed_tasks.items():
            job = self.tables.jobs.get(name)
            if job is not None:
                share = ahead_s / max(job.spec.estimate_s, ahead_s)
                cores += mask.bit_count() * job.spec.cores * share
        return cores

    async def _await_claims(self, request: ClaimRequest) -> None:
        try:
            await self.jobs.ask(request)
        except InboxFullError:
            pass
        finally:
            self.task_updates.withdraw_releases(request.granted)
            self.claim_in_flight = False
            self.wake()
