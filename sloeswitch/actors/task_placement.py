"""Placement: tasks that this controller has claimed are put on its machines.

Owns the jobs with claimed tasks that are not placed, and the numbers of attempts. Called by the machines actor at each
tick and each heartbeat; others only read what is free.
"""

from __future__ import annotations

import logging

from sloeswitch.actors.gang_preemption import GangPreemption
from sloeswitch.actors.quota_log import format_amount
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core import placement, quota, taskset
from sloeswitch.core.job_priority import STANDARD, effective_priority
from sloeswitch.core.machine import Attempt, Machine
from sloeswitch.core.quota import fits_type
from sloeswitch.core.records import Job

log = logging.getLogger("machines")

# Work is claimed about this part of a worker's lease before it can start.
CLAIM_AHEAD_SHARE = 0.2


class TaskPlacement:
    """Places claimed tasks within quotas, and releases those for which no machine has free capacity for long."""

    def __init__(self, shard: ShardState, gang_preemption: GangPreemption) -> None:
        context = shard.context
        self.settings = context.settings
        self.tables = context.tables
        self.leadership = context.leadership
        self.clock = context.clock
        self.registry = shard.registry
        self.health = shard.health
        self.quota = shard.quota
        self.queue = shard.queue
        self.task_updates = shard.task_updates
        self.gang_preemption = gang_preemption
        # As of the last tick: jobs with tasks claimed and not placed, in the order of the queue.
        self.unplaced_jobs: list[Job] = []
        # Since when jobs have had claimed tasks that were not placed; each placement counts anew.
        self.unplaced_since: dict[str, float] = {}
        self.attempts_started = 0
        self.claim_ahead_s = CLAIM_AHEAD_SHARE * context.settings.lease_s

    def free_capacities(self, now: float) -> list[placement.FreeCapacity]:
        """What is free on each machine that may get tasks and could hold one of the queue."""
        capacities = (self._free_capacity(machine, now) for machine in self.registry.machines.values())
        return [capacity for capacity in capacities if capacity is not None]

    def place_unplaced(self) -> None:
        """Puts claimed tasks on machines; those of lost machines go before anything newly claimed."""
        capacities: list[placement.FreeCapacity] | None = None
        now = self.clock.now()
        self.unplaced_jobs = []
        seen: set[str] = set()
        incarnation = self.leadership.incarnation_id
        for job in self.queue.jobs:
            name = job.spec.id
            if name in seen:
                continue
            seen.add(name)
            unplaced = self.task_updates.unplaced_tasks(job) if incarnation in job.progress.claims else 0
            if not unplaced:
                self.unplaced_since.pop(name, None)
                continue
            if capacities is None:
                capacities = self.free_capacities(now)
            if capacities and not self.health.is_job_paused(name, now) and self._place(job, unplaced, capacities, now):
                capacities = placement.without_full(capacities, self.queue.least_cores)
                unplaced = self.task_updates.unplaced_tasks(job)
            if unplaced:
                self.unplaced_jobs.append(job)
                self._release_after_wait(name, unplaced, now)

    def fill_machine(self, machine: Machine) -> None:
        """Puts claimed tasks on one machine, with the answer to its heartbeat."""
        if not self.unplaced_jobs:
            return
        now = self.clock.now()
        capacity = self._free_capacity(machine, now)
        if capacity is None:
            return
        # Little is claimed ahead, so that whose image is here may go first: it saves a fetch and bends the
        # order among a few only. Priorities above standard come before that: a stage of a pipeline would wait while
        # machines have only the images of others.
        for job in sorted(
            self.unplaced_jobs,
            key=lambda job: (
                not job.starved,
                min(effective_priority(job), STANDARD),
                job.spec.image not in capacity.images,
            ),
        ):
            if capacity.scarce and any(
                fits_type(job.spec, machine_type)
                for name, machine_type in self.tables.machine_types.items()
                if name not in self.queue.scarce_types
            ):
                continue  # placed there at the tick, if nowhere else
            if capacity.max_tasks(job.spec) and job.is_runnable and not job.spec.gang:
                unplaced = self.task_updates.unplaced_tasks(job)
                if unplaced and not self.health.is_job_paused(job.spec.id, now):
                    self._place(job, unplaced, [capacity], now)

    def _free_capacity(self, machine: Machine, now: float) -> placement.FreeCapacity | None:
        """What the machine has free, or None if no task may go there or none would fit."""
        machine_type = self.tables.machine_types.get(machine.type)
        if (
            machine_type is None
            or self.registry.free_cores(machine, machine_type) + quota.ROUNDING_TOLERANCE < self.queue.least_cores
            or not self.registry.is_schedulable(machine)
            # A machine that misses its reports gets nothing new. Guards against one that answers commands and cannot
            # report: it got tasks again and again, which were removed again when no report came to be answered.
            or machine.last_heartbeat_at is None
            or now - machine.last_heartbeat_at >= self.settings.missed_report_s
            or machine.name not in self.tables.machines
            or self.health.is_machine_quarantined(machine.name)
        ):
            return None
        capacity = self.registry.free_capacity(machine, machine_type)
        capacity.scarce = machine.type in self.queue.scarce_types
        return capacity

    def _release_after_wait(self, job: str, unplaced: int, now: float) -> None:
        """Gives up claims that waited for a machine much longer than claiming ahead explains."""
        since = self.unplaced_since.setdefault(job, now)
        if now - since > self.claim_ahead_s + 2 * self.settings.report_s and self.leadership.is_leader:
            self.task_updates.release(job, unplaced)
            del self.unplaced_since[job]

    def _place(self, job: Job, tasks: int, capacities: list[placement.FreeCapacity], now: float) -> bool:
        """Starts attempts at as many of the tasks as quota and capacities allow; whether there were any."""
        name = job.spec.id
        tasks = self._within_limits(job, tasks)
        usable = placement.eligible(name, capacities, self.gang_preemption.reservations, self.health)
        if job.spec.gang:
            if tasks != job.all_tasks:
                return False
            trial = [capacity.copy() for capacity in usable]
            if len(placement.pack_tasks(job, tasks, trial)) < job.spec.tasks:
                return False
        placed = placement.pack_tasks(job, tasks, usable)
        if not placed:
            return False
        self.unplaced_since[name] = now
        number = self._next_attempt_number()
        for index, capacity in placed:
            attempt = Attempt(name, index, number, job.spec, placed_at=now)
            self.registry.add_attempt(self.registry.machines[capacity.machine], attempt)
        if log.isEnabledFor(logging.DEBUG):
            self._log_placed(job, [capacity.machine for _, capacity in placed])
        return True

    def _within_limits(self, job: Job, tasks: int) -> int:
        """Those of the tasks that the team's quota allows now; of a faulty job, one."""
        tasks = taskset.lowest(
            tasks,
            quota.tasks_within_quota(
                job.spec, self.quota.allocation(job.spec.team), self.gang_preemption.usage_with_reservations(job)
            ),
        )
        if self.health.is_job_faulty(job.spec.id):
            tasks = taskset.lowest(tasks, 1)
        return tasks

    def _log_placed(self, job: Job, machines: list[str]) -> None:
        team = job.spec.team
        log.debug(
            "tasks placed: job=%s tasks=%d machines=%s team=%s usage=%s allocation=%s view=%d",
            job.spec.id,
            len(machines),
            set(machines),
            team,
            format_amount(self.quota.usage(team)),
            format_amount(self.quota.allocation(team)),
            self.leadership.view.number,
        )
        if job.spec.prerequisites and not job.progress.done:
            log.debug(
                "pipeline stage started: job=%s since_ready_s=%.2f",
                job.spec.id,
                (self.clock.wall_clock_ms() - job.ready_ms) / 1000,
            )

    def _next_attempt_number(self) -> int:
        """An attempt number that no other controller, and no other view, gives out."""
        self.attempts_started += 1
        members = [member for member, _ in self.leadership.view.members]
        position = members.index(self.settings.member)
        return (self.leadership.view.number << 28) + (position << 24) + self.attempts_started % (1 << 24)
