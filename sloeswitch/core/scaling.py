"""What to rent and when to return it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from sloeswitch.core.job_queue import is_begun
from sloeswitch.core.quota import ResourceUsage, fits_type, tasks_within_quota
from sloeswitch.core.records import Job
from sloeswitch.core.slo_targets import slo_targets
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec, MachineType

InstanceKind = tuple[str, str, bool]  # type, zone, spot


@dataclass
class InstanceOffer:
    """One kind of machine that may be rented."""

    kind: InstanceKind
    type: MachineType

    @property
    def price(self) -> float:
        return self.type.spot_price if self.kind[2] else self.type.price

    def suits(self, spec: JobSpec, home: str | None = None) -> bool:
        """Whether a task of the job may run there. `home`: the zone to which its other tasks bind it."""
        _name, zone, spot = self.kind
        return (
            fits_type(spec, self.type)
            and spec.zone in (None, zone)
            and home in (None, zone)
            and (spec.spot or not spot)
        )


@dataclass
class Demand:
    """Tasks of a job that should run at once for it to be done in time."""

    spec: JobSpec
    tasks: float
    # The zone to which tasks that run, or will, bind the others. Guards against machines there that are let go for room
    # in other zones, which the job can't use.
    bound_zone: str | None = None

    def suits(self, offer: InstanceOffer) -> bool:
        """Whether such machines are of use."""
        return offer.suits(self.spec, self.bound_zone)


def bound_zone_of(job: Job) -> str | None:
    """The zone to which a job is bound by its tasks, if it is."""
    return job.progress.zone if job.spec.one_zone else None


# A job's work is spread over this part of the time left to its target; the rest is for what is not known:
# wrong estimates, lost machines, late boots. Machines are let go by a smaller part, so that they do not
# come and go with every job and none is missed while work waits.
SCALE_OUT_SPREAD = 0.5
SCALE_IN_SPREAD = 0.25
# Jobs without a target, and late ones, are spread over so many times a task's estimate.
NO_TARGET_SPREAD = 2.0


def parallel_tasks(job: Job, settings: Settings, wall_clock_ms: int, spread: float) -> int:
    """How many of the job's remaining tasks should run at a time."""
    spec = job.spec
    estimate = max(spec.estimate_s, 1e-3)
    age = (wall_clock_ms - job.submitted_ms) / 1000
    ahead = [target - age for target in slo_targets(job, settings.objectives) if target - age > estimate]
    span = spread * ahead[0] if ahead else NO_TARGET_SPREAD * estimate
    return min(job.remaining_tasks, math.ceil(job.remaining_tasks * estimate / max(span, estimate)))


def parallel_or_gang_tasks(job: Job, settings: Settings, wall_clock_ms: int, spread: float) -> int:
    """The same, where a gang needs all its tasks at a time."""
    return job.spec.tasks if job.spec.gang else parallel_tasks(job, settings, wall_clock_ms, spread)


def is_released_soon(job: Job, tables: Tables) -> bool:
    """Whether all that the job still waits for has begun and it may not use spot machines: of the others there are
    few, and one may be up by the time that it is released. The rest finds room; looked for ahead as well, it cost
    more than it gained (found on the bench)."""
    if job.spec.spot or not job.unfinished_prerequisites or job.prerequisite_cancelled:
        return False
    return all(is_begun(tables.jobs[name]) for name in job.spec.prerequisites if name in tables.jobs)


def demand_within_limits(
    jobs: Iterable[Job],
    settings: Settings,
    wall_clock_ms: int,
    spread: float,
    left: dict[str, list[float]],
    count: Callable[[Job, Settings, int, float], int] = parallel_tasks,
) -> list[Demand]:
    """What jobs need at once, within what is left of their teams' limits (cores, gpus by team), oldest first. Takes it
    from `left`. `count`: how many tasks of a job should run at a time."""
    found: list[Demand] = []
    for job in sorted(jobs, key=lambda job: job.ready_revision):
        limit = left.get(job.spec.team)
        if limit is None:
            continue
        spec = job.spec
        tasks = min(
            count(job, settings, wall_clock_ms, spread), tasks_within_quota(spec, (limit[0], limit[1]), ResourceUsage())
        )
        if tasks > 0:
            limit[0] -= tasks * spec.cores
            limit[1] -= tasks * spec.gpus
            found.append(Demand(spec, tasks, bound_zone_of(job)))
    return found


def team_limits_of(settings: Settings) -> dict[str, list[float]]:
    """The teams' whole limits, for needs_of to take from."""
    return {name: [team.cpus_max, team.gpus_max] for name, team in settings.teams.items()}


def current_demand(tables: Tables, settings: Settings, wall_clock_ms: int, spread: float) -> list[Demand]:
    """What the jobs need that are released, or soon will be, within the teams' limits, oldest first."""
    jobs = (job for job in tables.jobs.values() if job.is_runnable or is_released_soon(job, tables))
    return demand_within_limits(jobs, settings, wall_clock_ms, spread, team_limits_of(settings))


def machines_needed(spec: JobSpec, tasks: int, kind: MachineType) -> float:
    """How many machines of the type the tasks would fill, as a fraction."""
    shares = [spec.cores / kind.cores if kind.cores else 0.0]
    shares.append(spec.memory / kind.memory if kind.memory else 0.0)
    shares.append(spec.gpus / kind.gpus if kind.gpus else 0.0)
    return tasks * max(shares)


def instance_offers(types: dict[str, MachineType]) -> list[InstanceOffer]:
    """All kinds, the cheapest by the core first."""
    found = [
        InstanceOffer((kind.name, zone, spot), kind)
        for kind in types.values()
        for zone in kind.zones
        for spot in (True, False)
    ]
    found.sort(key=lambda offer: offer.price / max(offer.type.cores, 1e-3))
    return found


def pack_demand(
    wanted: list[Demand], supply: Mapping[InstanceKind, float], found: list[InstanceOffer]
) -> tuple[dict[InstanceKind, float], list[Demand]]:
    """Puts the needs on the machines at hand, the cheapest first: machines left over of each kind, and
    needs for which there is none."""
    left = {offer.kind: float(supply.get(offer.kind, 0)) for offer in found}
    short: list[Demand] = []
    for need in wanted:
        tasks = float(need.tasks)
        for offer in found:
            if tasks <= 0:
                break
            if left[offer.kind] > 0 and need.suits(offer):
                part = machines_needed(need.spec, 1, offer.type)
                taken = min(tasks, left[offer.kind] / part) if part > 0 else tasks
                left[offer.kind] -= taken * part
                tasks -= taken
        if tasks > 1e-6:
            short.append(Demand(need.spec, tasks, need.bound_zone))
    return left, short


@dataclass
class ScaleOutPlan:
    kind: InstanceKind
    count: int


# A kind is rented when at least this part of one of its machines would be filled.
MIN_FILL_TO_SCALE_OUT = 0.5


def plan_scale_out(
    wanted: list[Demand],
    supply: dict[InstanceKind, int],
    types: dict[str, MachineType],
    refused: set[InstanceKind],
    most: int,
) -> ScaleOutPlan | None:
    """The next booking, or None when the machines at hand, up or on their way, have room for all."""
    found = instance_offers(types)
    _left, short = pack_demand(wanted, supply, found)
    # Guards against a small job for which there is no machine at all: worth none by its size, it was never
    # started (found on the bench: three tasks that may not use spot machines, when the last other was returned).
    lone = [need for need in short if not any(supply.get(offer.kind, 0) > 0 and need.suits(offer) for offer in found)]
    best: tuple[float, int, InstanceKind, int] | None = None
    for offer in found:
        if offer.kind in refused:
            continue
        machines = sum(machines_needed(need.spec, 1, offer.type) * need.tasks for need in short if need.suits(offer))
        if machines < MIN_FILL_TO_SCALE_OUT and not any(need.suits(offer) for need in lone):
            continue
        price = offer.price / max(offer.type.cores, 1e-3)
        candidate = (price, supply.get(offer.kind, 0), offer.kind, min(most, max(1, math.floor(machines))))
        if best is None or candidate[:2] < best[:2]:
            best = candidate
    return ScaleOutPlan(best[2], best[3]) if best is not None else None


def plan_scale_in(
    wanted: list[Demand], supply: dict[InstanceKind, int], types: dict[str, MachineType]
) -> dict[InstanceKind, int]:
    """Machines, by kind, that the needs leave over, but for a margin of one, the cheapest: the dearest
    are let run empty first."""
    found = instance_offers(types)
    left, short = pack_demand(wanted, supply, found)
    if short:
        return {}
    spared = {offer.kind: math.floor(left[offer.kind] + 1e-6) for offer in found}
    for offer in found:
        if spared[offer.kind]:
            spared[offer.kind] -= 1
            break
    return {kind: count for kind, count in spared.items() if count}
