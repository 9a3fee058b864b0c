"""What the autoscaler decides by: what jobs demand, what machines supply, and what to rent or to return.

Demand is a number of tasks that should run at once, so that jobs meet their targets. Supply is a number of machines of
each kind. Offers are the kinds that the cloud's catalog has. Decisions only, without clock or I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from sloeswitch.core.job_queue import is_begun
from sloeswitch.core.quota import ResourceAmount, ResourceUsage, fits_type, tasks_within_quota
from sloeswitch.core.records import Job
from sloeswitch.core.slo_targets import slo_targets
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec, MachineType

# A job's work is spread over this part of the time left to its target; the rest is for what is not known: wrong
# estimates, lost machines, late boots. Machines are returned by a smaller part, so that they do not come and go with
# every job and none is missed while work waits.
SCALE_OUT_SPREAD = 0.5
SCALE_IN_SPREAD = 0.25
# Jobs without a target, and late ones, are spread over so many times a task's estimate.
NO_TARGET_SPREAD = 2.0
# A kind is rented when at least this part of one of its machines would be filled.
MIN_FILL_TO_SCALE_OUT = 0.5
# Estimates and cores below these count as these, so that nothing is divided by zero.
MIN_ESTIMATE_S = 1e-3
MIN_CORES = 1e-3
# Parts of tasks or machines up to this are rounding errors.
ROUNDING_SLACK = 1e-6


class InstanceKind(NamedTuple):
    """A kind of machine that may be rented: the type by name, the zone, and whether it is a spot machine."""

    type: str
    zone: str
    spot: bool


@dataclass
class InstanceOffer:
    """A kind of machine that the cloud's catalog offers, with its type."""

    kind: InstanceKind
    type: MachineType

    @property
    def price(self) -> float:
        """The price of such a machine, in the catalog's unit."""
        return self.type.spot_price if self.kind.spot else self.type.price

    @property
    def price_per_core(self) -> float:
        """What offers are compared by."""
        return self.price / max(self.type.cores, MIN_CORES)

    def suits(self, spec: JobSpec, bound_zone: str | None = None) -> bool:
        """Whether a task of the job may run there. `bound_zone`: the zone to which the job's other tasks bind it."""
        return (
            fits_type(spec, self.type)
            and spec.zone in (None, self.kind.zone)
            and bound_zone in (None, self.kind.zone)
            and (spec.spot or not self.kind.spot)
        )


@dataclass
class Demand:
    """Tasks of a job that should run at once for it to be done in time."""

    spec: JobSpec
    tasks: float
    # The zone to which tasks that run, or will, bind the others. Guards against machines there that are returned since
    # other zones have capacity, which the job can't use.
    bound_zone: str | None = None

    def suits(self, offer: InstanceOffer) -> bool:
        """Whether such machines are of use for the job."""
        return offer.suits(self.spec, self.bound_zone)


class RemainingQuota:
    """What is left of the teams' limits while demand is counted against them."""

    def __init__(self, amounts: Mapping[str, ResourceAmount]) -> None:
        self._amounts = dict(amounts)

    @classmethod
    def of(cls, settings: Settings) -> RemainingQuota:
        """The teams' whole limits."""
        return cls({name: ResourceAmount(team.cpus_max, team.gpus_max) for name, team in settings.teams.items()})

    def has_team(self, team: str) -> bool:
        """Whether the settings know the team."""
        return team in self._amounts

    def tasks_within(self, spec: JobSpec) -> int:
        """How many tasks of the job the remaining limit of its team covers; a team that is not known has none."""
        return tasks_within_quota(spec, self._amounts.get(spec.team, ResourceAmount()), ResourceUsage())

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Takes what so many tasks use from the limit of the job's team."""
        if spec.team in self._amounts:
            remaining = self._amounts[spec.team]
            self._amounts[spec.team] = ResourceAmount(
                remaining.cores - tasks * spec.cores, remaining.gpus - tasks * spec.gpus
            )


# -- demand


def bound_zone_of(job: Job) -> str | None:
    """The zone to which a job is bound by its tasks, if it is."""
    return job.progress.zone if job.spec.one_zone else None


def parallel_tasks(job: Job, settings: Settings, wall_clock_ms: int, spread: float) -> int:
    """How many of the job's remaining tasks should run at a time.

    `spread`: the part of the time left to the job's next target that its work is spread over.
    """
    estimate_s = max(job.spec.estimate_s, MIN_ESTIMATE_S)
    age_s = (wall_clock_ms - job.submitted_ms) / 1000
    ahead_s = [target - age_s for target in slo_targets(job, settings.objectives) if target - age_s > estimate_s]
    span_s = spread * ahead_s[0] if ahead_s else NO_TARGET_SPREAD * estimate_s
    return min(job.remaining_tasks, math.ceil(job.remaining_tasks * estimate_s / max(span_s, estimate_s)))


def parallel_or_gang_tasks(job: Job, settings: Settings, wall_clock_ms: int, spread: float) -> int:
    """As `parallel_tasks`, where a gang needs all its tasks at a time."""
    return job.spec.tasks if job.spec.gang else parallel_tasks(job, settings, wall_clock_ms, spread)


def is_released_soon(job: Job, tables: Tables) -> bool:
    """Whether all that the job still waits for has begun and it may not use spot machines.

    Of the other machines there are few, and one may be up by the time that the job is released. Other jobs find
    capacity; counting them ahead as well costs more than it gains.
    """
    if job.spec.spot or not job.unfinished_prerequisites or job.prerequisite_cancelled:
        return False
    return all(is_begun(tables.jobs[name]) for name in job.spec.prerequisites if name in tables.jobs)


def demand_within_quota(
    jobs: Iterable[Job], quota: RemainingQuota, tasks_at_once: Callable[[Job], int]
) -> list[Demand]:
    """What jobs demand, the oldest first, within what is left of their teams' limits; it is taken from these.

    `tasks_at_once`: how many tasks of a job should run at a time. Jobs of teams that are not known demand nothing.
    """
    found: list[Demand] = []
    for job in sorted(jobs, key=lambda job: job.ready_revision):
        spec = job.spec
        if not quota.has_team(spec.team):
            continue
        tasks = min(tasks_at_once(job), quota.tasks_within(spec))
        if tasks > 0:
            quota.take(spec, tasks)
            found.append(Demand(spec, tasks, bound_zone_of(job)))
    return found


def current_demand(tables: Tables, settings: Settings, wall_clock_ms: int, spread: float) -> list[Demand]:
    """What the jobs demand that are released, or soon will be, within the teams' limits, the oldest first."""
    jobs = (job for job in tables.jobs.values() if job.is_runnable or is_released_soon(job, tables))
    return demand_within_quota(
        jobs, RemainingQuota.of(settings), lambda job: parallel_tasks(job, settings, wall_clock_ms, spread)
    )


# -- supply and offers


def machines_needed(spec: JobSpec, tasks: int, kind: MachineType) -> float:
    """How many machines of the type the tasks would fill, as a fraction."""
    shares = [spec.cores / kind.cores if kind.cores else 0.0]
    shares.append(spec.memory / kind.memory if kind.memory else 0.0)
    shares.append(spec.gpus / kind.gpus if kind.gpus else 0.0)
    return tasks * max(shares)


def instance_offers(types: dict[str, MachineType]) -> list[InstanceOffer]:
    """All kinds of a catalog, the cheapest by the core first."""
    found = [
        InstanceOffer(InstanceKind(kind.name, zone, spot), kind)
        for kind in types.values()
        for zone in kind.zones
        for spot in (True, False)
    ]
    found.sort(key=lambda offer: offer.price_per_core)
    return found


class PackedDemand(NamedTuple):
    """Demand put on the machines at hand."""

    # Machines that are left over, by kind, as fractions.
    unused: dict[InstanceKind, float]
    # What found no machine.
    unmet: list[Demand]


def pack_demand(
    demand: list[Demand], supply: Mapping[InstanceKind, float], offers: list[InstanceOffer]
) -> PackedDemand:
    """Puts demand on the machines at hand, in the order of the offers, which is the cheapest first."""
    unused = {offer.kind: float(supply.get(offer.kind, 0)) for offer in offers}
    unmet: list[Demand] = []
    for wanted in demand:
        tasks = float(wanted.tasks)
        for offer in offers:
            if tasks <= 0:
                break
            if unused[offer.kind] > 0 and wanted.suits(offer):
                share = machines_needed(wanted.spec, 1, offer.type)
                packed = min(tasks, unused[offer.kind] / share) if share > 0 else tasks
                unused[offer.kind] -= packed * share
                tasks -= packed
        if tasks > ROUNDING_SLACK:
            unmet.append(Demand(wanted.spec, tasks, wanted.bound_zone))
    return PackedDemand(unused, unmet)


# -- plans


@dataclass
class ScaleOutPlan:
    """So many machines of one kind to rent."""

    kind: InstanceKind
    count: int


def plan_scale_out(
    demand: list[Demand],
    supply: dict[InstanceKind, int],
    types: dict[str, MachineType],
    refused: set[InstanceKind],
    max_count: int,
) -> ScaleOutPlan | None:
    """What to rent next, or None when the machines at hand, up or on their way, have capacity for all.

    Of the kinds that are worth a machine the cheapest by the core, and of equal ones that of which there are fewest.
    `refused`: kinds that the cloud did not have a short while ago.
    """
    offers = instance_offers(types)
    unmet = pack_demand(demand, supply, offers).unmet
    # Guards against a small job for which there is no machine at all: worth none by its size, it was never
    # started, for example tasks that may not use spot machines, once the last other machine is returned.
    without_machine = [
        wanted for wanted in unmet if not any(supply.get(offer.kind, 0) > 0 and wanted.suits(offer) for offer in offers)
    ]
    worthwhile: list[tuple[InstanceOffer, float]] = []
    for offer in offers:
        if offer.kind in refused:
            continue
        machines = sum(
            machines_needed(wanted.spec, 1, offer.type) * wanted.tasks for wanted in unmet if wanted.suits(offer)
        )
        if machines >= MIN_FILL_TO_SCALE_OUT or any(wanted.suits(offer) for wanted in without_machine):
            worthwhile.append((offer, machines))
    if not worthwhile:
        return None
    offer, machines = min(worthwhile, key=lambda pair: (pair[0].price_per_core, supply.get(pair[0].kind, 0)))
    return ScaleOutPlan(offer.kind, min(max_count, max(1, math.floor(machines))))


def plan_scale_in(
    demand: list[Demand], supply: dict[InstanceKind, int], types: dict[str, MachineType]
) -> dict[InstanceKind, int]:
    """How many machines of each kind are surplus: what demand leaves over, the dearest first.

    One machine more is kept, of the cheapest kind that is left over. Nothing is surplus while some demand is unmet.
    """
    offers = instance_offers(types)
    packed = pack_demand(demand, supply, offers)
    if packed.unmet:
        return {}
    surplus = {offer.kind: math.floor(packed.unused[offer.kind] + ROUNDING_SLACK) for offer in offers}
    for offer in offers:
        if surplus[offer.kind]:
            surplus[offer.kind] -= 1
            break
    return {kind: count for kind, count in surplus.items() if count}
