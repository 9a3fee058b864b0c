"""Which tasks a controller claims next: one pass over the queue against the free capacity of its machines.

The planner works on copies: it places on paper, and what it returns is only asked for. Called by the machines actor,
which sends the claims to the jobs actor.
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

# How many machines a processor core scans in a second, at the least, when work is placed on paper. A pass takes no
# more than a quarter of the time between two reports for it, once it has found all that one transaction can claim.
MACHINES_SCANNED_PER_CORE_S = 200_000
PASS_TIME_SHARE = 0.25
# A job of which nobody has claimed anything is left to the controller with its image for so many ticks.
IMAGE_AFFINITY_TICKS = 2


class PlacementShape(NamedTuple):
    """What decides whether one task of a job fits a machine."""

    cores: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool


def shape_of(spec: JobSpec) -> PlacementShape:
    """The shape of a job's tasks."""
    types = None if spec.types is None else tuple(spec.types)
    return PlacementShape(spec.cores, spec.gpus, spec.memory, types, spec.zone, spec.spot)


@dataclass(frozen=True)
class CapacitySnapshot:
    """What one controller has free and may use, as of one moment. The planner takes from `capacities`.

    Attributes:
        capacities: What its schedulable machines have free.
        team_usage: By team, what its tasks here use.
        available_quota: By team, the most that this controller could be allocated.
        quota_allocations: By team, what it is allocated now.
        idle_claims: The set of a job's tasks that this controller has claimed and not placed; a function, since it is
            asked for only as far as the pass gets.
        cores_ahead: Cores likely to fall free in the time that a claim takes.
        least_cores: The smallest amount that any job wants.
        reservations: By machine.
        reserved_usage: By job with a reservation, what of its team's limit is kept for it.
        health: The jobs' failures on machines.
        queued_since: When the jobs of the queue were first seen there, in seconds of the monotonic clock.
        has_image_affinity: Whether a job's image is one that this controller's machines are to have.
        now: Seconds of the monotonic clock.
    """

    capacities: list[placement.FreeCapacity]
    team_usage: Mapping[str, quota.ResourceUsage]
    available_quota: Mapping[str, quota.ResourceAmount]
    quota_allocations: Mapping[str, quota.ResourceAmount]
    idle_claims: Callable[[Job], int]
    cores_ahead: float
    least_cores: float
    reservations: Mapping[str, placement.Reservation]
    reserved_usage: Mapping[str, quota.ReservedQuota]
    health: Health
    queued_since: Mapping[str, float]
    has_image_affinity: Callable[[Job], bool]
    now: float


@dataclass(frozen=True)
class PlanLimits:
    """How much one pass may ask for, and how much it may scan.

    Attributes:
        max_jobs: Jobs of which one transaction can claim.
        max_capacities_scanned: Machines scanned, once that is reached.
        affinity_s: For how long a new job is left to the controller that has its image.
    """

    max_jobs: int
    max_capacities_scanned: float
    affinity_s: float

    @staticmethod
    def of(settings: Settings, txn_ops: int, pace_s: float) -> PlanLimits:
        """The limits by the settings; `txn_ops`: the changes that a transaction takes now."""
        return PlanLimits(
            max_jobs=max(1, txn_ops // 2),
            max_capacities_scanned=PASS_TIME_SHARE
            * MACHINES_SCANNED_PER_CORE_S
            * settings.controller_cores
            * settings.report_s,
            affinity_s=IMAGE_AFFINITY_TICKS * pace_s,
        )


@dataclass
class ClaimPlan:
    """The claims to ask for.

    Attributes:
        task_counts: By job, how many tasks.
        zones: By job, the zone to be stored.
        zone_bound_tasks: By job whose tasks are bound to zones, the set of those wanted.
        usable_quota: What each team could put to use on these machines: what runs, what waits, and what is unclaimed.
        remaining_capacities: What is left when all jobs of the queue have been considered; None if some were not.
    """

    task_counts: dict[str, int] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    zone_bound_tasks: dict[str, int] = field(default_factory=dict)
    usable_quota: dict[str, quota.ResourceUsage] = field(default_factory=dict)
    remaining_capacities: list[placement.FreeCapacity] | None = None


def _sum(usage: quota.ResourceUsage, more: quota.ResourceUsage) -> quota.ResourceUsage:
    return quota.ResourceUsage(usage.cores + more.cores, usage.gpus + more.gpus)


class ClaimPlanner:
    """Goes through the queue once, taking capacity on paper as it goes. A planner plans once.

    Some tasks are claimed ahead, in the order of the queue, so that a machine which reports a completion gets the
    next task with the answer instead of after a write.
    """

    def __init__(self, snapshot: CapacitySnapshot, limits: PlanLimits, tables: Tables) -> None:
        self.snapshot = snapshot
        self.limits = limits
        self.tables = tables
        self.recovery_complete = tables.recovery_complete()
        self.capacities = snapshot.capacities
        self.ahead_cores = snapshot.cores_ahead
        self.capacities_scanned = 0
        # What fitted no machine on paper; capacity only becomes less.
        self.unplaceable_shapes: set[PlacementShape] = set()
        # By job: the set of tasks that was placed on paper.
        self.planned_tasks: dict[str, int] = {}
        self.claims = ClaimPlan(
            usable_quota={
                team: quota.ResourceUsage(usage.cores, usage.gpus) for team, usage in snapshot.team_usage.items()
            }
        )

    def plan(self, queue: list[Job], controller_count: int, position: int) -> ClaimPlan:
        """The claims to ask for.

        Args:
            queue: The jobs in the order in which they get capacity.
            controller_count: How many controllers claim.
            position: This controller's place among them, so that not all claim the same job.
        """
        for job in claim_order.deal(queue, controller_count, position, self.snapshot.has_image_affinity):
            if not self.capacities and self.ahead_cores < self.snapshot.least_cores:
                self.claims.remaining_capacities = []
                break  # nobody further back can get anything: with a backlog the queue is long, and scanned often
            if (
                len(self.claims.task_counts) >= self.limits.max_jobs
                and self.capacities_scanned > self.limits.max_capacities_scanned
            ):
                # Guards against a pass that takes seconds: with thousands of machines empty and hundreds of jobs in
                # the queue it outlasted the controller's lease.
                self._keep_allocations()
                break
            if job.spec.team in self.claims.usable_quota and not self._is_left_to_others(job):
                self._consider(job)
        else:
            self.claims.remaining_capacities = self.capacities
        for holder, reserved in self.snapshot.reserved_usage.items():
            if not self.planned_tasks.get(holder):
                # Not to be returned as surplus while it is waited for.
                usage = self.claims.usable_quota[reserved.team]
                self.claims.usable_quota[reserved.team] = _sum(usage, reserved.usage)
        return self.claims

    def _keep_allocations(self) -> None:
        """What the teams have may be of use to jobs further back that are not considered, as far as capacity goes."""
        free_cores = sum(capacity.cores for capacity in self.capacities)
        free_gpus = sum(capacity.gpus for capacity in self.capacities)
        for team, usage in self.claims.usable_quota.items():
            allocated = self.snapshot.quota_allocations[team]
            self.claims.usable_quota[team] = quota.ResourceUsage(
                max(usage.cores, min(allocated.cores, usage.cores + free_cores)),
                max(usage.gpus, min(allocated.gpus, usage.gpus + free_gpus)),
            )

    def _is_left_to_others(self, job: Job) -> bool:
        """Whether a new job is left to the controller at which its image is, for as long as a claim takes."""
        is_new = self.snapshot.now - self.snapshot.queued_since[job.spec.id] < self.limits.affinity_s
        return not job.progress.claims and is_new and not self.snapshot.has_image_affinity(job)

    def _consider(self, job: Job) -> None:
        """Places what it can of a job on paper, and asks for it."""
        spec = job.spec
        # One that stands in the queue twice has had a part of its tasks already.
        planned_before = self.planned_tasks.get(spec.id)
        idle = 0 if planned_before else self.snapshot.idle_claims(job)
        unclaimed = self.tables.unclaimed_tasks(job, self.recovery_complete) & ~(planned_before or 0)
        if not (unclaimed or idle) or self.snapshot.health.is_job_paused(spec.id, self.snapshot.now):
            return
        count = self._max_tasks(job, unclaimed.bit_count() + idle.bit_count(), is_first=planned_before is None)
        if count == 0 or (spec.gang and count < spec.tasks):
            return
        candidates = placement.eligible(spec.id, self.capacities, self.snapshot.reservations, self.snapshot.health)
        if spec.zone_bound and not self._choose_zone(job, candidates):
            return  # nothing is claimed before its zone can be chosen
        placed = self._place(job, unclaimed, idle, count, candidates)
        if spec.gang and placed.bit_count() < spec.tasks:
            return
        self.claims.usable_quota[spec.team].add(spec, placed.bit_count())
        self._claim(job, unclaimed, idle, count, placed)

    def _max_tasks(self, job: Job, count: int, is_first: bool) -> int:
        """How many of so many tasks may be taken now, by the job's health, its starvation and its team's limit."""
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
        """Chooses the zone of a job whose tasks are bound to one, if it has none yet; False when none has capacity."""
        spec = job.spec
        if job.progress.zone is not None or spec.id in self.claims.zones:
            return True
        fitting = [each for each in candidates if placement.satisfies_constraints(spec, each) and each.max_tasks(spec)]
        if not fitting:
            return False
        self.claims.zones[spec.id] = max(fitting, key=lambda each: each.max_tasks(spec)).zone
        return True

    def _place(self, job: Job, unclaimed: int, idle: int, count: int, candidates: list[placement.FreeCapacity]) -> int:
        """Takes capacity for at most so many tasks, idle claims included; returns the set of those that found it."""
        spec = job.spec
        # A gang that does not fit whole takes nothing.
        capacities = [each.trial() for each in candidates] if spec.gang else candidates
        shape = shape_of(spec)
        if not capacities or shape in self.unplaceable_shapes:
            self.planned_tasks.setdefault(spec.id, 0)
            return 0
        self.capacities_scanned += len(capacities)
        # Where tasks are bound to zones it matters which ones: the oldest may have no capacity where others have.
        tasks = unclaimed if spec.zone_bound else taskset.lowest(unclaimed, max(0, count - idle.bit_count()))
        zone = self.claims.zones.get(spec.id)
        placements = placement.pack_tasks(job, tasks | taskset.lowest(idle, count), capacities, zone, count)
        placed = sum(1 << each.task_index for each in placements)
        if not placements and len(capacities) == len(self.capacities) and not spec.zone_bound:
            self.unplaceable_shapes.add(shape)
        self.planned_tasks[spec.id] = placed
        if placed:
            self.capacities = placement.without_full(self.capacities, self.snapshot.least_cores)
        return placed

    def _claim(self, job: Job, unclaimed: int, idle: int, count: int, placed: int) -> None:
        """Asks for the tasks that found capacity, and for some ahead."""
        spec = job.spec
        idle_count = idle.bit_count()
        placed_count = placed.bit_count()
        ahead = 0
        if not (spec.gang or spec.zone_bound):
            ahead = min(count - placed_count, int(self.ahead_cores // max(spec.cores, quota.ROUNDING_TOLERANCE)))
            self.ahead_cores -= ahead * spec.cores
        wanted = min(unclaimed.bit_count(), max(0, placed_count + ahead - idle_count))
        is_worth_a_write = placed_count > idle_count or 2 * idle_count < ahead
        claims = self.claims
        if not wanted or not is_worth_a_write or len(claims.task_counts) >= self.limits.max_jobs:
            return
        claims.task_counts[spec.id] = claims.task_counts.get(spec.id, 0) + wanted
        if spec.zone_bound:
            claims.zone_bound_tasks[spec.id] = claims.zone_bound_tasks.get(spec.id, 0) | placed & unclaimed
