"""Requests claims for the free capacity of this controller's machines from the jobs actor.

A request claims tasks of the first jobs in the queue and changes the quota allocations that they need. The machines
actor calls this module at each tick.
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
    """Plans claims for the free capacity of this controller's machines, with at most one request in flight."""

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
        # The time between two ticks. For a few ticks, a new job is left to the controller with affinity to its image.
        self.tick_interval_s = shard.tick_interval_s
        self.claim_in_flight = False
        # Set if admission is enabled. Called with the free capacity that remains after a pass that considered every job
        # of the queue, and with the time of the pass.
        self.on_remaining_capacities: Callable[[list[placement.FreeCapacity], float], None] | None = None

    def request_claims(self) -> None:
        """Requests tasks for the free capacity, and the quota allocations for these tasks, from the jobs actor.

        Does nothing while an earlier request is in flight or the state service does not answer.
        """
        if self.claim_in_flight or self.client.failing_since is not None:
            return
        now = self.now()
        members = [member for member, _ in self.leadership.view.members]
        self.queue.record_queued(now)
        limits = PlanLimits.from_settings(self.settings, self.client.max_transaction_changes, self.tick_interval_s)
        planner = ClaimPlanner(self.capacity_snapshot(now), limits, self.tables)
        claims = planner.plan(self.queue.jobs, len(members), members.index(self.settings.member))
        if self.on_remaining_capacities is not None and claims.remaining_capacities is not None:
            self.on_remaining_capacities(claims.remaining_capacities, now)
        request = ClaimRequest(
            task_counts=claims.task_counts, zones=claims.zones, zone_bound_tasks=claims.zone_bound_tasks
        )
        self.quota.update_blocked_teams(self.queue.jobs, now)
        self.quota.request_allocations(request, claims.usable_quota, len(members), now)
        if request.task_counts or request.quota_increases or request.quota_decreases:
            self.claim_in_flight = True
            self.spawn(self._await_claims, request)

    def capacity_snapshot(self, now: float) -> CapacitySnapshot:
        """Returns the free capacity and the available quota for one pass of the planner."""
        teams = self.settings.teams
        usage = {team: self.quota.usage(team) for team in teams}
        return CapacitySnapshot(
            capacities=self.task_placement.free_capacities(now),
            team_usage=usage,
            available_quota={team.name: self.quota.available(team, usage[team.name]) for team in teams.values()},
            quota_allocations={team: self.quota.allocation(team) for team in teams},
            unplaced_tasks=self.task_updates.unplaced_tasks,
            expected_free_cores=self._expected_free_cores(),
            min_task_cores=self.queue.min_task_cores,
            reservations=self.gang_preemption.reservations,
            reserved_usage=self.gang_preemption.reserved_usage(),
            health=self.health,
            queued_since=self.queue.queued_since,
            has_image_affinity=self.queue.has_image_affinity,
            now=now,
        )

    def _expected_free_cores(self) -> float:
        """Estimates how many cores of this controller's machines become free in the time that a claim takes."""
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
