"""Decides which tasks a controller claims next, in one pass over the queue and the free capacity of its machines.

The planner works on a copy of the free capacity: it places tasks on that copy and returns the claims to request. The
machines actor calls it and sends the claims to the jobs actor.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sloeswitch.core import claim_order, job_queue, placement, quota, taskset
from sloeswitch.core.health import Health
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec

# A lower bound on how many machines one processor core scans per second when the planner places tasks.
MACHINES_SCANNED_PER_CORE_S = 200_000
# Once a pass has claims for as many jobs as fit in one transaction, it ends when its scans have taken this share of the
# report interval, at the above rate.
MAX_SCAN_TIME_SHARE = 0.25
# For this many ticks a new job without claimed tasks is left to the controller that its image has affinity to.
IMAGE_AFFINITY_TICKS = 2


class PlacementShape(NamedTuple):
    """The requirements that decide whether a task of a job fits a machine."""

    cores: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool


def placement_shape(spec: JobSpec) -> PlacementShape:
    """The placement requirements of the tasks of a job."""
    types = None if spec.types is None else tuple(spec.types)
    return PlacementShape(spec.cores, spec.gpus, spec.memory, types, spec.zone, spec.spot)


@dataclass(frozen=True)
class CapacitySnapshot:
    """The free capacity and the quota of one controller at one moment. The planner changes `capacities`.

    Attributes:
        capacities: The free capacity of the controller's schedulable machines.
        team_usage: By team, the usage of its tasks that are on these machines or may be on machines that this
            controller handed off.
        available_quota: By team, the largest allocation that this controller could get.
        quota_allocations: By team, the current allocation of this controller.
        unplaced_tasks: Returns the set of a job's tasks that this controller has claimed but not placed. A function, so
            that it is computed only for the jobs that the pass reaches.
        expected_free_cores: The number of cores that are expected to become free in the time that a claim takes.
        min_task_cores: The smallest number of cores that a task of any job needs.
        reservations: The reservations, by machine.
        reserved_usage: By job with a reservation, the part of its team's limit that is reserved for it.
        health: The failures of jobs on machines.
        queued_since: When each job of the queue was first seen there, in seconds of the monotonic clock.
        has_image_affinity: Whether a job's image is assigned to the machines of this controller.
        now: The time of the snapshot, in seconds of the monotonic clock.
    """

    capacities: list[placement.FreeCapacity]
    team_usage: Mapping[str, quota.ResourceUsage]
    available_quota: Mapping[str, quota.ResourceAmount]
    quota_allocations: Mapping[str, quota.ResourceAmount]
    unplaced_tasks: Callable[[Job], int]
    expected_free_cores: float
    min_task_cores: float
    reservations: Mapping[str, placement.Reservation]
    reserved_usage: Mapping[str, quota.ReservedQuota]
    health: Health
    queued_since: Mapping[str, float]
    has_image_affinity: Callable[[Job], bool]
    now: float


@dataclass(frozen=True)
class PlanLimits:
    """Limits on the claims that one pass requests and on the machines that it scans.

    Attributes:
        max_jobs: The number of jobs from which one transaction can claim tasks.
        max_capacities_scanned: The number of scanned machines above which a pass with claims for `max_jobs` jobs ends.
        affinity_s: For how long a new job is left to the controller that its image has affinity to.
    """

    max_jobs: int
    max_capacities_scanned: float
    affinity_s: float

    @staticmethod
    def from_settings(settings: Settings, max_transaction_changes: int, tick_interval_s: float) -> PlanLimits:
        """Computes the limits.

        Args:
            settings: The settings.
            max_transaction_changes: The maximum number of changes in a transaction at present.
            tick_interval_s: The time between two ticks, in seconds.
        """
        return PlanLimits(
            max_jobs=max(1, max_transaction_changes // 2),
            max_capacities_scanned=MAX_SCAN_TIME_SHARE
            * MACHINES_SCANNED_PER_CORE_S
            * settings.controller_cores
            * settings.report_s,
            affinity_s=IMAGE_AFFINITY_TICKS * tick_interval_s,
        )


@dataclass
class ClaimPlan:
    """The claims that a pass requests.

    Attributes:
        task_counts: By job, the number of tasks to claim.
        zones: By job, the zone to store as the zone that its tasks are bound to.
        zone_bound_tasks: By job whose tasks are bound to zones, the set of tasks to claim.
        usable_quota: By team, the usage that is possible on these machines: running, claimed and unclaimed tasks.
        remaining_capacities: The capacity that the whole queue leaves unused; None if the pass ended at its limits.
    """

    task_counts: dict[str, int] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    zone_bound_tasks: dict[str, int] = field(default_factory=dict)
    usable_quota: dict[str, quota.ResourceUsage] = field(default_factory=dict)
    remaining_capacities: list[placement.FreeCapacity] | None = None


def _sum(usage: quota.ResourceUsage, more: quota.ResourceUsage) -> quota.ResourceUsage:
    return quota.ResourceUsage(usage.cores + more.cores, usage.gpus + more.gpus)


class ClaimPlanner:
    """Goes through the queue once and assigns free capacity to jobs. An instance is used for one pass only.

    It also claims some tasks ahead, in the order of the queue, for capacity that is not free yet. A machine that
    reports a completion then gets its next task with the answer to that report instead of after another write.
    """

    def __init__(self, snapshot: CapacitySnapshot, limits: PlanLimits, tables: Tables) -> None:
        self.snapshot = snapshot
        self.limits = limits
        self.tables = tables
        self.recovery_complete = tables.recovery_complete()
        self.capacities = snapshot.capacities
        self.remaining_expected_cores = snapshot.expected_free_cores
        self.capacities_scanned = 0
        # Shapes that fitted no machine. They need not be tried again, since capacity only shrinks during the pass.
        self.unplaceable_shapes: set[PlacementShape] = set()
        # By job: the set of tasks that this pass has placed.
        self.planned_tasks: dict[str, int] = {}
        self.claims = ClaimPlan(
            usable_quota={
                team: quota.ResourceUsage(usage.cores, usage.gpus) for team, usage in snapshot.team_usage.items()
            }
        )

    def plan(self, queue: list[Job], controller_count: int, position: int) -> ClaimPlan:
        """Returns the claims to request.

        Args:
            queue: The jobs in the order in which they get capacity.
            controller_count: The number of controllers that claim tasks.
            position: The index of this controller among them; it keeps controllers from all claiming the same job.
        """
        for job in claim_order.order_by_affinity(queue, controller_count, position, self.snapshot.has_image_affinity):
            if not self.capacities and self.remaining_expected_cores < self.snapshot.min_task_cores:
                self.claims.remaining_capacities = []
                break  # no later job can get capacity; with a backlog the queue is long and is scanned often
            if (
                len(self.claims.task_counts) >= self.limits.max_jobs
                and self.capacities_scanned > self.limits.max_capacities_scanned
            ):
                # With thousands of empty machines and hundreds of queued jobs a full pass takes seconds, which can be
                # longer than the controller's lease.
                self._keep_allocations()
                break
            if job.spec.team in self.claims.usable_quota and not self._is_left_to_others(job):
                self._consider(job)
        else:
            self.claims.remaining_capacities = self.capacities
        for holder, reserved in self.snapshot.reserved_usage.items():
            if not self.planned_tasks.get(holder):
                # Counts as usable, so that it is not returned as surplus while the job waits for its machine.
                usage = self.claims.usable_quota[reserved.team]
                self.claims.usable_quota[reserved.team] = _sum(usage, reserved.usage)
        return self.claims

    def _keep_allocations(self) -> None:
        """Counts allocations as usable as far as there is free capacity: later jobs that were skipped may need them."""
        free_cores = sum(capacity.cores for capacity in self.capacities)
        free_gpus = sum(capacity.gpus for capacity in self.capacities)
        for team, usage in self.claims.usable_quota.items():
            allocated = self.snapshot.quota_allocations[team]
            self.claims.usable_quota[team] = quota.ResourceUsage(
                max(usage.cores, min(allocated.cores, usage.cores + free_cores)),
                max(usage.gpus, min(allocated.gpus, usage.gpus + free_gpus)),
            )

    def _is_left_to_others(self, job: Job) -> bool:
        """Whether the job is new and unclaimed, and its image has affinity to another controller."""
        is_new = self.snapshot.now - self.snapshot.queued_since[job.spec.id] < self.limits.affinity_s
        return not job.progress.claims and is_new and not self.snapshot.has_image_affinity(job)

    def _consider(self, job: Job) -> None:
        """Places as many tasks of a job as possible and adds the claims for them."""
        spec = job.spec
        # In the second turn of a job that is listed in the queue twice: the tasks that its first turn placed. None if
        # the first turn ended before placement.
        planned_before = self.planned_tasks.get(spec.id)
        unplaced = 0 if planned_before else self.snapshot.unplaced_tasks(job)
        unclaimed = self.tables.unclaimed_tasks(job, self.recovery_complete) & ~(planned_before or 0)
        if not (unclaimed or unplaced) or self.snapshot.health.is_job_paused(spec.id, self.snapshot.now):
            return
        count = self._max_tasks(job, unclaimed.bit_count() + unplaced.bit_count(), is_first=planned_before is None)
        if count == 0 or (spec.gang and count < spec.tasks):
            return
        candidates = placement.eligible(
            spec.id, self.capacities, self.snapshot.reservations, self.snapshot.health, self.snapshot.now
        )
        if spec.zone_bound and not self._choose_zone(job, candidates):
            return  # no task is claimed until a zone can be chosen
        placed = self._place(job, unclaimed, unplaced, count, candidates)
        if spec.gang and placed.bit_count() < spec.tasks:
            return
        self.claims.usable_quota[spec.team].add(spec, placed.bit_count())
        self._claim(job, unclaimed, unplaced, count, placed)

    def _max_tasks(self, job: Job, count: int, is_first: bool) -> int:
        """Limits a number of tasks by the job's health, its starvation and the quota of its team.

        Args:
            job: The job.
            count: How many of its tasks could be placed.
            is_first: Whether this is the first turn of the job in this pass.
        """
        spec = job.spec
        if self.snapshot.health.is_job_faulty(spec.id):
            count = min(count, 1)
        elif job.starved and not spec.gang and is_first:
            count = min(count, math.ceil(job_queue.STARVED_SHARE * spec.tasks))
        usage = self.claims.usable_quota[spec.team]
        for holder, reserved in self.snapshot.reserved_usage.items():
            if reserved.team == spec.team and holder != spec.id and not self.planned_tasks.get(holder):
                usage = _sum(usage, reserved.usage)
        return min(count, quota.tasks_within_quota(spec, self.snapshot.available_quota[spec.team], usage))

    def _choose_zone(self, job: Job, candidates: list[placement.FreeCapacity]) -> bool:
        """Chooses a zone for a zone-bound job that has none yet; returns False when no zone has capacity for it."""
        spec = job.spec
        if job.progress.zone is not None or spec.id in self.claims.zones:
            return True
        fitting = [each for each in candidates if placement.satisfies_constraints(spec, each) and each.max_tasks(spec)]
        if not fitting:
            return False
        self.claims.zones[spec.id] = max(fitting, key=lambda each: each.max_tasks(spec)).zone
        return True

    def _place(
        self, job: Job, unclaimed: int, unplaced: int, count: int, candidates: list[placement.FreeCapacity]
    ) -> int:
        """Places at most `count` tasks, those claimed already included; returns the set of placed tasks."""
        spec = job.spec
        # A gang is tried on copies: if it does not fit as a whole, it takes no capacity.
        capacities = [each.copy() for each in candidates] if spec.gang else candidates
        shape = placement_shape(spec)
        if not capacities or shape in self.unplaceable_shapes:
            self.planned_tasks.setdefault(spec.id, 0)
            return 0
        self.capacities_scanned += len(capacities)
        # The zone of a zone-bound task depends on its index, so the lowest-numbered tasks may not fit where others do.
        tasks = unclaimed if spec.zone_bound else taskset.lowest(unclaimed, max(0, count - unplaced.bit_count()))
        zone = self.claims.zones.get(spec.id)
        placements = placement.pack_tasks(job, tasks | taskset.lowest(unplaced, count), capacities, zone, count)
        placed = taskset.from_numbers(each.task_index for each in placements)
        if not placements and len(capacities) == len(self.capacities) and not spec.zone_bound:
            self.unplaceable_shapes.add(shape)
        self.planned_tasks[spec.id] = placed
        if placed:
            self.capacities = placement.without_full(self.capacities, self.snapshot.min_task_cores)
        return placed

    def _claim(self, job: Job, unclaimed: int, unplaced: int, count: int, placed: int) -> None:
        """Adds claims for the tasks that were placed, and for some ahead."""
        spec = job.spec
        unplaced_count = unplaced.bit_count()
        placed_count = placed.bit_count()
        ahead = 0
        if not (spec.gang or spec.zone_bound):
            ahead = min(
                count - placed_count, int(self.remaining_expected_cores // max(spec.cores, quota.ROUNDING_TOLERANCE))
            )
            self.remaining_expected_cores -= ahead * spec.cores
        wanted = min(unclaimed.bit_count(), max(0, placed_count + ahead - unplaced_count))
        is_worth_a_write = placed_count > unplaced_count or 2 * unplaced_count < ahead
        claims = self.claims
        if not wanted or not is_worth_a_write or len(claims.task_counts) >= self.limits.max_jobs:
            return
        claims.task_counts[spec.id] = claims.task_counts.get(spec.id, 0) + wanted
        if spec.zone_bound:
            claims.zone_bound_tasks[spec.id] = claims.zone_bound_tasks.get(spec.id, 0) | placed & unclaimed
