"""Preemption for gangs of one task that fit few machine types.

Tasks of lower priority are stopped, and their machine is reserved for the gang. Owns the reservations. The machines
actor calls this module at each tick; placement and claims read the reservations.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator

from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core import placement, preemption, quota
from sloeswitch.core.machine import Attempt, Machine
from sloeswitch.core.quota import fits_type
from sloeswitch.core.records import Job

log = logging.getLogger("machines")


class GangPreemption:
    """Frees capacity for gangs of one task, and reserves it until they are claimed."""

    def __init__(self, shard: ShardState, kill: Callable[[Machine, Attempt, float], None]) -> None:
        context = shard.context
        self.settings = context.settings
        self.tables = context.tables
        self.leadership = context.leadership
        self.registry = shard.registry
        self.health = shard.health
        self.quota = shard.quota
        self.queue = shard.queue
        self.tick_interval_s = shard.tick_interval_s
        self.kill = kill
        # The reservations, by machine.
        self.reservations: dict[str, placement.Reservation] = {}

    def preempt_for_gangs(self, now: float) -> None:
        """Stops tasks of lower priority for each gang of one task that has been queued for a while.

        The machine is reserved for the gang until the gang is claimed, but no longer than a worker lease.
        """
        self._expire_reservations(now)
        if not self.queue.scarce_types:
            return
        order = preemption.QueueOrder.of(self.queue.jobs, self.registry.placed_tasks)
        capacities: dict[str, placement.FreeCapacity] | None = None
        for job in self._unclaimed_gangs(now):
            if capacities is None:
                capacities = self._scarce_capacities()
            fitting = [
                (capacity, self.registry.machines[capacity.machine].attempts.values())
                for capacity in placement.eligible(
                    job.spec.id, list(capacities.values()), self.reservations, self.health, now
                )
                if placement.satisfies_constraints(job.spec, capacity)
                and fits_type(job.spec, self.tables.machine_types[capacity.type])
            ]
            shortfall = self.quota.shortfall(job.spec)
            at_limit = shortfall.cores > 0 or shortfall.gpus > 0
            chosen = preemption.plan_preemption(job, fitting, order, at_limit)
            if chosen is None:
                continue
            team_victims = self._choose_team_victims(job, chosen, shortfall, order) if at_limit else []
            if team_victims is None:
                continue
            self.reservations[chosen.machine] = placement.Reservation(job.spec.id, now + self.settings.lease_s)
            del capacities[chosen.machine]
            log.info(
                "tasks preempted for a gang: job=%s machine=%s tasks=%d",
                job.spec.id,
                chosen.machine,
                len(chosen.attempts),
            )
            if team_victims:
                log.info(
                    "tasks preempted for quota: job=%s team=%s tasks=%d", job.spec.id, job.spec.team, len(team_victims)
                )
            self._stop([*chosen.attempts, *team_victims])

    def _choose_team_victims(
        self, job: Job, chosen: preemption.Preemption, shortfall: quota.ResourceUsage, order: preemption.QueueOrder
    ) -> list[Attempt] | None:
        """Selects the team's tasks on other machines that have to stop so that the gang fits within the team's quota.

        A task that is stopped counts towards the quota until it has ended.

        Returns:
            The attempts to stop; None if stopping all preemptible ones is not enough.
        """
        spec = job.spec
        for attempt in chosen.attempts:
            if attempt.spec.team == spec.team:
                shortfall = quota.ResourceUsage(
                    shortfall.cores - attempt.spec.cores, shortfall.gpus - attempt.spec.gpus
                )
        others = [
            attempt
            for machine in self.registry.machines.values()
            if machine.name != chosen.machine
            for attempt in machine.attempts.values()
            if attempt.spec.team == spec.team
        ]
        return preemption.choose_quota_victims(spec, shortfall, preemption.preemptible(job, others, order))

    def _stop(self, attempts: list[Attempt]) -> None:
        keys = {attempt.key for attempt in attempts}
        for machine in self.registry.machines.values():
            for attempt in list(machine.attempts.values()):
                if attempt.key in keys:
                    self.kill(machine, attempt, attempt.spec.save_s)

    def reserved_usage(self) -> dict[str, quota.ReservedQuota]:
        """By job, what gangs with a reservation that are not placed yet will use of their teams' quotas.

        Without this, small tasks of the team would use up, one by one, the quota that was freed for a gang.
        """
        reserved: dict[str, quota.ReservedQuota] = {}
        for reservation in self.reservations.values():
            job = self.tables.jobs.get(reservation.job)
            if job is not None and not self.registry.placed_tasks.get(reservation.job):
                reserved[reservation.job] = quota.ReservedQuota(
                    job.spec.team, quota.ResourceUsage(job.spec.cores, job.spec.gpus)
                )
        return reserved

    def usage_with_reservations(self, job: Job) -> quota.ResourceUsage:
        """The usage of the job's team plus what is reserved of its quota for other jobs."""
        usage = self.quota.usage(job.spec.team)
        for name, reserved in self.reserved_usage().items():
            if reserved.team == job.spec.team and name != job.spec.id:
                usage = quota.ResourceUsage(usage.cores + reserved.usage.cores, usage.gpus + reserved.usage.gpus)
        return usage

    def _expire_reservations(self, now: float) -> None:
        """Drops reservations older than a worker lease and those whose job is not runnable or has no unclaimed task."""
        recovered = self.tables.recovery_complete()
        for name, reservation in list(self.reservations.items()):
            job = self.tables.jobs.get(reservation.job)
            if (
                now >= reservation.until
                or job is None
                or not job.is_runnable
                or not self.tables.unclaimed_tasks(job, recovered)
            ):
                del self.reservations[name]

    def _unclaimed_gangs(self, now: float) -> Iterator[Job]:
        """Yields the unclaimed gangs of one task that have been queued for a while, in the order of the queue.

        The controller with affinity to the job's image goes first. The others follow at offsets of one report interval,
        so that they do not all preempt tasks for the same gang.

        Once recovery is complete, a claim of a departed incarnation does not count. If it did, a gang whose controller
        terminated after claiming it would never get capacity, although every controller may claim it.
        """
        recovered = self.tables.recovery_complete()
        members = [member for member, _ in self.leadership.view.members]
        position = members.index(self.settings.member)
        visited = {reservation.job for reservation in self.reservations.values()}
        for job in self.queue.jobs:
            spec = job.spec
            if (
                not (spec.gang and spec.tasks == 1)
                or spec.id in visited
                or not self.tables.unclaimed_tasks(job, recovered)
            ):
                continue
            visited.add(spec.id)  # a starved job is in the queue twice
            wait_s = 4 * self.tick_interval_s + (
                0 if self.queue.has_image_affinity(job) else (1 + position) * self.settings.report_s
            )
            if now - self.queue.queued_since.get(spec.id, now) < wait_s or self.health.is_job_paused(spec.id, now):
                continue
            yield job

    def _scarce_capacities(self) -> dict[str, placement.FreeCapacity]:
        """By machine, the free capacity of schedulable machines of scarce types."""
        return {
            machine.name: self.registry.free_capacity(machine, self.tables.machine_types[machine.type])
            for machine in self.registry.machines.values()
            if machine.type in self.queue.scarce_types
            and machine.type in self.tables.machine_types
            and self.registry.is_schedulable(machine)
            and machine.name in self.tables.machines
        }
