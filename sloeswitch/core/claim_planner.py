"""Which tasks a controller claims next: one look over the line against the room on its machines."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from sloeswitch.core import job_queue, placement, quota, taskset
from sloeswitch.core.health import Health
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec

# How many machines a processor core looks at in a second, at the least, when work is placed on paper. A look takes no
# more than a quarter of the time between two reports for it, once it has found all that one transaction can claim.
ROOMS_PER_CORE_S = 200_000
LOOK_SHARE = 0.25
# A job that nobody has claimed of is left to the controller at which its image is for so many ticks.
HOME_TICKS = 2


Shape = tuple[float, float, float, tuple[str, ...] | None, str | None, bool]


def shape_of(spec: JobSpec) -> Shape:
    """What decides whether one task of a job fits a machine."""
    types = None if spec.types is None else tuple(spec.types)
    return spec.cores, spec.gpus, spec.memory, types, spec.zone, spec.spot


@dataclass(frozen=True)
class CapacitySnapshot:
    """What one controller has free and may use, as of one moment. The planner takes room on paper from `rooms`."""

    capacities: list[placement.FreeCapacity]
    # By team: what its tasks here use, the most that this controller could be allowed, and what it is allowed now.
    team_usage: Mapping[str, quota.ResourceUsage]
    available_quota: Mapping[str, tuple[float, float]]
    quota_allocations: Mapping[str, tuple[float, float]]
    # The set of a job's tasks that this controller has claimed and not placed: asked for only where the look gets to.
    idle_claims: Callable[[Job], int]
    # Cores likely to fall free in the time that a claim takes, and the smallest amount that any job wants.
    cores_ahead: float
    least_cores: float
    # Machines on which room is kept for a job, and what of their teams' limits is kept with it: job -> team, amounts.
    reservations: Mapping[str, tuple[str, float]]
    reserved_usage: Mapping[str, tuple[str, quota.ResourceUsage]]
    # The jobs' failures on machines.
    health: Health
    # When the jobs of the line were first seen there, and which of them have their images at home here.
    queued_since: Mapping[str, float]
    has_image_affinity: Callable[[Job], bool]
    now: float


@dataclass(frozen=True)
class PlanLimits:
    """How much one look may ask for, and how much it may take."""

    # Jobs of which one transaction can claim.
    max_jobs: int
    # Machines looked at, once that is reached.
    max_capacities_scanned: float
    # Seconds for which a new job is left to the controller at which its image is.
    affinity_s: float

    @staticmethod
    def of(settings: Settings, txn_ops: int, pace_s: float) -> PlanLimits:
        """The limits by the settings; `txn_ops`: the changes that a transaction takes now."""
        return PlanLimits(
            max_jobs=max(1, txn_ops // 2),
            max_capacities_scanned=LOOK_SHARE * ROOMS_PER_CORE_S * settings.controller_cores * settings.report_s,
            affinity_s=HOME_TICKS * pace_s,
        )


@dataclass
class ClaimPlan:
    """The claims to ask for."""

    # By job: how many tasks, the zone to be stored, and which tasks where these are bound to zones.
    task_counts: dict[str, int] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    zone_bound_tasks: dict[str, int] = field(default_factory=dict)
    # What each team could put to use on these machines: what runs, what waits, and what is open.
    usable_quota: dict[str, quota.ResourceUsage] = field(default_factory=dict)
    # What is left when everybody in the line has had a look; None if some had not.
    remaining_capacities: list[placement.FreeCapacity] | None = None


class ClaimPlanner:
    """Goes through the line once, taking room on paper as it goes.

    Some tasks are claimed ahead, in the order of the line, so that a machine which reports a completion gets the
    next task with the answer instead of after a write.
    """

    def __init__(self, picture: CapacitySnapshot, limits: PlanLimits, tables: Tables) -> None:
        self.picture = picture
        self.limits = limits
        self.tables = tables
        self.settled = tables.recovery_complete()
        self.capacities = picture.capacities
        self.ahead_cores = picture.cores_ahead
        self.capacities_scanned = 0
        # What fitted no machine on paper; room only becomes less.
        self.unplaceable_shapes: set[Shape] = set()
        # By job: what was placed on paper.
        self.planned_tasks: dict[str, int] = {}
        self.claims = ClaimPlan(
            usable_quota={team: quota.ResourceUsage(use.cores, use.gpus) for team, use in picture.team_usage.items()}
        )

    def plan(self, line: list[Job], controllers: int, turn: int) -> ClaimPlan:
        """The claims to ask for. `turn`: this controller's place among them, so that not all claim the same job."""
        for job in job_queue.deal(line, controllers, turn, self.picture.has_image_affinity):
            if not self.capacities and self.ahead_cores < self.picture.least_cores:
                self.claims.remaining_capacities = []
                break  # nobody further back can get anything: with a backlog the line is long, and looked at often
            if (
                len(self.claims.task_counts) >= self.limits.max_jobs
                and self.capacities_scanned > self.limits.max_capacities_scanned
            ):
                # Guards against a look that takes seconds: with thousands of machines empty and hundreds of jobs in
                # the line it outlasted the controller's lease.
                self._keep_allowances()
                break
            if job.spec.team in self.claims.usable_quota and not self._left_to_others(job):
                self._consider(job)
        else:
            self.claims.remaining_capacities = self.capacities
        for holder, (team, reserved) in self.picture.reserved_usage.items():
            if not self.planned_tasks.get(holder):
                # Not to be returned as surplus while it is waited for.
                use = self.claims.usable_quota[team]
                self.claims.usable_quota[team] = quota.ResourceUsage(
                    use.cores + reserved.cores, use.gpus + reserved.gpus
                )
        return self.claims

    def _keep_allowances(self) -> None:
        """What the teams have may be of use to jobs further back that are not looked at, as far as there is room."""
        free_cores = sum(room.cores for room in self.capacities)
        free_gpus = sum(room.gpus for room in self.capacities)
        for team, use in self.claims.usable_quota.items():
            cores, gpus = self.picture.quota_allocations[team]
            self.claims.usable_quota[team] = quota.ResourceUsage(
                max(use.cores, min(cores, use.cores + free_cores)), max(use.gpus, min(gpus, use.gpus + free_gpus))
            )

    def _left_to_others(self, job: Job) -> bool:
        """A new job is left to the controller at which its image is, for as long as a claim takes."""
        is_new = self.picture.now - self.picture.queued_since[job.spec.id] < self.limits.affinity_s
        return not job.progress.claims and is_new and not self.picture.has_image_affinity(job)

    def _consider(self, job: Job) -> None:
        spec = job.spec
        # One that stands in the line twice has had a part of its tasks already.
        had = self.planned_tasks.get(spec.id)
        idle = 0 if had else self.picture.idle_claims(job)
        open_tasks = self.tables.unclaimed_tasks(job, self.settled) & ~(had or 0)
        if not (open_tasks or idle) or self.picture.health.is_job_paused(spec.id, self.picture.now):
            return
        count = self._max_tasks(job, open_tasks.bit_count() + idle.bit_count(), first_place=had is None)
        if count == 0 or (spec.gang and count < spec.tasks):
            return
        usable = placement.eligible(spec.id, self.capacities, self.picture.reservations, self.picture.health)
        if spec.zone_bound and not self._choose_zone(job, usable):
            return  # nothing is claimed before its zone can be chosen
        placed = self._place(job, open_tasks, idle, count, usable)
        if spec.gang and placed.bit_count() < spec.tasks:
            return
        self.claims.usable_quota[spec.team].add(spec, placed.bit_count())
        self._claim(job, open_tasks, idle, count, placed)

    def _max_tasks(self, job: Job, count: int, first_place: bool) -> int:
        """How many of so many tasks may be taken now, by the job's health, its turn and its team's limit."""
        spec = job.spec
        if self.picture.health.is_job_faulty(spec.id):
            count = min(count, 1)
        elif job.starved and not spec.gang and first_place:
            count = min(count, math.ceil(job_queue.STARVED_SHARE * spec.tasks))
        use = self.claims.usable_quota[spec.team]
        for holder, (team, reserved) in self.picture.reserved_usage.items():
            if team == spec.team and holder != spec.id and not self.planned_tasks.get(holder):
                use = quota.ResourceUsage(use.cores + reserved.cores, use.gpus + reserved.gpus)
        return min(count, quota.tasks_within_quota(spec, self.picture.available_quota[spec.team], use))

    def _choose_zone(self, job: Job, usable: list[placement.FreeCapacity]) -> bool:
        """Chooses the zone of a job whose tasks are bound to one, if it has none yet; False when there is no room."""
        spec = job.spec
        if job.progress.zone is not None or spec.id in self.claims.zones:
            return True
        fitting = [room for room in usable if placement.satisfies_constraints(spec, room) and room.max_tasks(spec)]
        if not fitting:
            return False
        self.claims.zones[spec.id] = max(fitting, key=lambda room: room.max_tasks(spec)).zone
        return True

    def _place(self, job: Job, open_tasks: int, idle: int, count: int, usable: list[placement.FreeCapacity]) -> int:
        """Takes room for at most so many tasks, those claimed already included: the set of those that found it."""
        spec = job.spec
        trial = [placement.FreeCapacity(**vars(room)) for room in usable] if spec.gang else usable
        shape = shape_of(spec)
        if not trial or shape in self.unplaceable_shapes:
            self.planned_tasks.setdefault(spec.id, 0)
            return 0
        self.capacities_scanned += len(trial)
        # Where tasks are bound to zones it matters which ones: the oldest may have no room where others have.
        tasks = open_tasks if spec.zone_bound else taskset.lowest(open_tasks, max(0, count - idle.bit_count()))
        zone = self.claims.zones.get(spec.id)
        found = placement.pack_tasks(job, tasks | taskset.lowest(idle, count), trial, zone, count)
        placed = sum(1 << index for index, _ in found)
        if not found and len(trial) == len(self.capacities) and not spec.zone_bound:
            self.unplaceable_shapes.add(shape)
        self.planned_tasks[spec.id] = placed
        if placed:
            self.capacities = placement.without_full(self.capacities, self.picture.least_cores)
        return placed

    def _claim(self, job: Job, open_tasks: int, idle: int, count: int, placed: int) -> None:
        """Asks for the tasks that found room, and for some ahead."""
        spec = job.spec
        waiting = idle.bit_count()
        found = placed.bit_count()
        ahead = 0
        if not (spec.gang or spec.zone_bound):
            ahead = min(count - found, int(self.ahead_cores // max(spec.cores, quota.SLACK)))
            self.ahead_cores -= ahead * spec.cores
        want = min(open_tasks.bit_count(), max(0, found + ahead - waiting))
        worth_a_write = found > waiting or 2 * waiting < ahead
        claims = self.claims
        if not want or not worth_a_write or len(claims.task_counts) >= self.limits.max_jobs:
            return
        claims.task_counts[spec.id] = claims.task_counts.get(spec.id, 0) + want
        if spec.zone_bound:
            claims.zone_bound_tasks[spec.id] = claims.zone_bound_tasks.get(spec.id, 0) | placed & open_tasks
