"""Places the tasks that this controller has claimed on its machines.

Owns the list of jobs with claimed tasks that are not placed, and the numbers of attempts. The machines actor calls this
module at each tick and each heartbeat; other modules only read the free capacity.
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
from sloeswitch.wire import MAX_TASKS_ON_MACHINE

log = logging.getLogger("machines")

# Tasks are claimed about this fraction of a worker lease before they can start.
CLAIM_AHEAD_SHARE = 0.2


class TaskPlacement:
    """Places claimed tasks within quotas, and releases those that have waited too long for free capacity."""

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
        # As of the last tick: the jobs with claimed tasks that are not placed, in the order of the queue.
        self.unplaced_jobs: list[Job] = []
        # By job, since when it has had claimed tasks that are not placed. Each placement of its tasks resets the time.
        self.unplaced_since: dict[str, float] = {}
        self.attempts_started = 0
        self.claim_ahead_s = CLAIM_AHEAD_SHARE * context.settings.lease_s

    def free_capacities(self, now: float) -> list[placement.FreeCapacity]:
        """The free capacity of each machine that may get tasks and may have enough cores for a queued one."""
        capacities = (self._free_capacity(machine, now) for machine in self.registry.machines.values())
        return [capacity for capacity in capacities if capacity is not None]

    def place_unplaced(self) -> None:
        """Places claimed tasks on machines, also those that ran on lost machines; runs before new tasks are claimed."""
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
                capacities = placement.without_full(capacities, self.queue.min_task_cores)
                unplaced = self.task_updates.unplaced_tasks(job)
            if unplaced:
                self.unplaced_jobs.append(job)
                self._release_after_wait(name, unplaced, now)

    def fill_machine(self, machine: Machine) -> None:
        """Places claimed tasks on one machine, to be started with the answer to its heartbeat."""
        if not self.unplaced_jobs:
            return
        now = self.clock.now()
        capacity = self._free_capacity(machine, now)
        if capacity is None:
            return
        # Jobs whose image is on the machine go first, which saves fetching an image. This changes the order of a few
        # tasks only, as few are claimed ahead. It does not apply across priorities above standard; otherwise an urgent
        # pipeline stage would wait while the machines have only images of other jobs.
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
                continue  # placed on a scarce type at the next tick if no other machine has free capacity
            if capacity.max_tasks(job.spec) and job.is_runnable and not job.spec.gang:
                unplaced = self.task_updates.unplaced_tasks(job)
                if unplaced and not self.health.is_job_paused(job.spec.id, now):
                    self._place(job, unplaced, [capacity], now)

    def _free_capacity(self, machine: Machine, now: float) -> placement.FreeCapacity | None:
        """The free capacity of the machine; None if no task may be placed there or none would fit."""
        machine_type = self.tables.machine_types.get(machine.type)
        if (
            machine_type is None
            or self.registry.free_cores(machine, machine_type) + quota.ROUNDING_TOLERANCE < self.queue.min_task_cores
            or machine.listed_attempts >= MAX_TASKS_ON_MACHINE
            or not self.registry.is_schedulable(machine)
            # A machine whose reports are late gets no new tasks. Otherwise a machine that answers commands but cannot
            # report would get tasks again and again: they start only with the answer to a report, and are removed.
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
        """Releases claimed tasks that have waited for a machine much longer than tasks claimed ahead do."""
        since = self.unplaced_since.setdefault(job, now)
        if now - since > self.claim_ahead_s + 2 * self.settings.report_s and self.leadership.is_leader:
            self.task_updates.release(job, unplaced)
            del self.unplaced_since[job]

    def _place(self, job: Job, tasks: int, capacities: list[placement.FreeCapacity], now: float) -> bool:
        """Creates attempts for as many of the tasks as quota and capacities allow; returns whether it created any."""
        name = job.spec.id
        tasks = self._within_limits(job, tasks)
        usable = placement.eligible(name, capacities, self.gang_preemption.reservations, self.health, now)
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
        """Returns the subset of the tasks that the team's quota currently allows; at most one task of a faulty job."""
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
        """Returns an attempt number that is unique across controllers and views."""
        self.attempts_started += 1
        members = [member for member, _ in self.leadership.view.members]
        position = members.index(self.settings.member)
        return (self.leadership.view.number << 28) + (position << 24) + self.attempts_started % (1 << 24)
