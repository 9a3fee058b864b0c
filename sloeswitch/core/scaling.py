"""The decisions of the autoscaler: the demand of jobs, the supply of machines, and which machines to rent or return.

Demand is the number of tasks that should run at once so that jobs meet their targets. Supply is the number of machines
of each kind. Offers are the kinds of machine in the cloud's catalog. The functions read no clock and do no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from sloeswitch.core.job_queue import has_started_tasks
from sloeswitch.core.quota import ResourceAmount, ResourceUsage, fits_type, tasks_within_quota
from sloeswitch.core.records import Job
from sloeswitch.core.slo_targets import slo_targets
from sloeswitch.core.tables import Tables
from sloeswitch.core.zone_binding import ZoneLimits
from sloeswitch.settings import Settings
from sloeswitch.wire import MAX_TASKS_ON_MACHINE, JobSpec, MachineType

# The work of a job is spread over this share of the time left to its target. The rest is a margin for wrong estimates,
# lost machines and slow boots. Scale-in uses a smaller share, which demands more machines: this avoids returning and
# renting machines for every job, and a lack of machines while work waits.
SCALE_OUT_SPREAD = 0.5
SCALE_IN_SPREAD = 0.25
# The work of a job that has no target left is spread over the estimate of a task times this factor.
NO_TARGET_SPREAD = 2.0
# A kind of machine is rented when the demand fills at least this share of one machine.
MIN_FILL_TO_SCALE_OUT = 0.5
# Lower bounds for estimates and cores, which avoid division by zero.
MIN_ESTIMATE_S = 1e-3
MIN_CORES = 1e-3
# Fractions of tasks or machines up to this are treated as rounding errors.
ROUNDING_SLACK = 1e-6


class InstanceKind(NamedTuple):
    """A kind of machine that can be rented: the name of its type, its zone, and whether it is a spot machine."""

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
        """The price by which offers are compared."""
        return self.price / max(self.type.cores, MIN_CORES)

    def can_run(self, spec: JobSpec, bound_zone: str | None = None) -> bool:
        """Whether a task of the job may run on such a machine.

        Args:
            spec: The job.
            bound_zone: The zone to which the job is bound by its claimed tasks, if any.
        """
        return (
            fits_type(spec, self.type)
            and spec.zone in (None, self.kind.zone)
            and bound_zone in (None, self.kind.zone)
            and (spec.spot or not self.kind.spot)
        )


@dataclass
class Demand:
    """The number of tasks of a job that should run at once so that the job meets its target."""

    spec: JobSpec
    tasks: float
    # The zone to which the job is bound by its claimed tasks. Without it, the machines there would be returned because
    # other zones, which the job can't use, have free capacity.
    bound_zone: str | None = None
    # The limits by zone of a `spread` job. Without them, machines of one zone would count as supply for all its tasks.
    zone_limits: ZoneLimits | None = None

    def can_run_on(self, offer: InstanceOffer) -> bool:
        """Whether any of the tasks may run on machines of the offered kind."""
        return offer.can_run(self.spec, self.bound_zone) and (
            self.zone_limits is None or self.zone_limits.tasks_left(offer.kind.zone) > ROUNDING_SLACK
        )

    def tasks_on(self, offer: InstanceOffer) -> float:
        """How many of the tasks may run on machines of the offered kind, if any may."""
        if self.zone_limits is None:
            return self.tasks
        return min(self.tasks, self.zone_limits.tasks_left(offer.kind.zone))

    def copy(self) -> Demand:
        """A copy that can be packed without changing this one."""
        return replace(self, zone_limits=None if self.zone_limits is None else self.zone_limits.copy())

    def pack(self, offer: InstanceOffer, tasks: float) -> None:
        """Takes tasks off the demand that are packed onto machines of the offered kind."""
        self.tasks -= tasks
        if self.zone_limits is not None:
            self.zone_limits.count(offer.kind.zone, tasks)


class RemainingQuota:
    """The rest of each team's limit while demand is deducted from it."""

    def __init__(self, amounts: Mapping[str, ResourceAmount]) -> None:
        self._amounts = dict(amounts)

    @classmethod
    def from_settings(cls, settings: Settings) -> RemainingQuota:
        """Starts with the whole limit of each team."""
        return cls({name: ResourceAmount(team.cpus_max, team.gpus_max) for name, team in settings.teams.items()})

    def has_team(self, team: str) -> bool:
        """Whether the team is in the settings."""
        return team in self._amounts

    def tasks_within(self, spec: JobSpec) -> int:
        """How many tasks of the job the rest of its team's limit covers; the limit of an unknown team is zero."""
        return tasks_within_quota(spec, self._amounts.get(spec.team, ResourceAmount()), ResourceUsage())

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Deducts the resources of `tasks` tasks from the limit of the job's team."""
        if spec.team in self._amounts:
            remaining = self._amounts[spec.team]
            self._amounts[spec.team] = ResourceAmount(
                remaining.cores - tasks * spec.cores, remaining.gpus - tasks * spec.gpus
            )


# -- demand


def bound_zone_of(job: Job) -> str | None:
    """The zone to which a `one_zone` job is bound by its claimed tasks, if any."""
    return job.progress.zone if job.spec.one_zone else None


def parallel_tasks(job: Job, settings: Settings, wall_clock_ms: int, spread: float) -> int:
    """How many of the job's remaining tasks should run at once.

    Args:
        job: The job.
        settings: The settings.
        wall_clock_ms: The time in milliseconds since the Unix epoch.
        spread: The share of the time left to the job's next target over which its work is spread.
    """
    estimate_s = max(job.spec.estimate_s, MIN_ESTIMATE_S)
    age_s = (wall_clock_ms - job.submitted_ms) / 1000
    remaining_s = [target - age_s for target in slo_targets(job, settings.objectives) if target - age_s > estimate_s]
    span_s = spread * remaining_s[0] if remaining_s else NO_TARGET_SPREAD * estimate_s
    return min(job.remaining_tasks, math.ceil(job.remaining_tasks * estimate_s / max(span_s, estimate_s)))


def parallel_or_gang_tasks(job: Job, settings: Settings, wall_clock_ms: int, spread: float) -> int:
    """Like `parallel_tasks`, except that a gang needs all its tasks at once."""
    return job.spec.tasks if job.spec.gang else parallel_tasks(job, settings, wall_clock_ms, spread)


def is_runnable_soon(job: Job, tables: Tables) -> bool:
    """Whether all unfinished prerequisites of the job have started and the job may not use spot machines.

    There are few machines that are not spot machines, so one is rented early and may be up when the job becomes
    runnable. Other jobs find capacity anyway; renting early for them as well would cost more than it gains.
    """
    if job.spec.spot or not job.unfinished_prerequisites or job.prerequisite_cancelled:
        return False
    return all(has_started_tasks(tables.jobs[name]) for name in job.spec.prerequisites if name in tables.jobs)


def demand_within_quota(
    jobs: Iterable[Job], quota: RemainingQuota, tasks_at_once: Callable[[Job], int]
) -> list[Demand]:
    """The demand of jobs, the oldest first, within the rest of their teams' limits.

    Jobs of unknown teams have no demand.

    Args:
        jobs: The jobs.
        quota: The rest of the teams' limits; the demand is deducted from it.
        tasks_at_once: Returns how many tasks of a job should run at once.
    """
    found: list[Demand] = []
    for job in sorted(jobs, key=lambda job: job.ready_revision):
        spec = job.spec
        if not quota.has_team(spec.team):
            continue
        tasks = min(tasks_at_once(job), quota.tasks_within(spec))
        if tasks > 0:
            quota.take(spec, tasks)
            found.append(Demand(spec, tasks, bound_zone_of(job), ZoneLimits.of_job(job)))
    return found


def current_demand(tables: Tables, settings: Settings, wall_clock_ms: int, spread: float) -> list[Demand]:
    """The demand of jobs that are runnable, or soon will be, within the teams' limits, the oldest first."""
    jobs = (job for job in tables.jobs.values() if job.is_runnable or is_runnable_soon(job, tables))
    return demand_within_quota(
        jobs,
        RemainingQuota.from_settings(settings),
        lambda job: parallel_or_gang_tasks(job, settings, wall_clock_ms, spread),
    )


# -- supply and offers


def machines_needed(spec: JobSpec, tasks: int, machine_type: MachineType) -> float:
    """How many machines of the type the tasks would fill; may be fractional."""
    shares = [spec.cores / machine_type.cores if machine_type.cores else 0.0]
    shares.append(spec.memory / machine_type.memory if machine_type.memory else 0.0)
    shares.append(spec.gpus / machine_type.gpus if machine_type.gpus else 0.0)
    shares.append(1 / MAX_TASKS_ON_MACHINE)
    return tasks * max(shares)


def instance_offers(types: dict[str, MachineType]) -> list[InstanceOffer]:
    """All kinds of machine in a catalog, the lowest price per core first."""
    found = [
        InstanceOffer(InstanceKind(machine_type.name, zone, spot), machine_type)
        for machine_type in types.values()
        for zone in machine_type.zones
        for spot in (True, False)
    ]
    found.sort(key=lambda offer: offer.price_per_core)
    return found


class PackedDemand(NamedTuple):
    """The result of packing demand onto the supplied machines."""

    # By kind: how many machines are left over; may be fractional.
    unused: dict[InstanceKind, float]
    # The demand that no machine was left for.
    unmet: list[Demand]


def pack_demand(
    demand: list[Demand], supply: Mapping[InstanceKind, float], offers: list[InstanceOffer]
) -> PackedDemand:
    """Packs demand onto the supplied machines in the order of the offers, the lowest price per core first."""
    unused = {offer.kind: float(supply.get(offer.kind, 0)) for offer in offers}
    unmet: list[Demand] = []
    for wanted in demand:
        rest = wanted.copy()
        for offer in offers:
            if rest.tasks <= 0:
                break
            if unused[offer.kind] > 0 and rest.can_run_on(offer):
                share = machines_needed(rest.spec, 1, offer.type)
                packed = min(rest.tasks_on(offer), unused[offer.kind] / share)
                unused[offer.kind] -= packed * share
                rest.pack(offer, packed)
        if rest.tasks > ROUNDING_SLACK:
            unmet.append(rest)
    return PackedDemand(unused, unmet)


# -- plans


@dataclass
class ScaleOutPlan:
    """The kind and the number of machines to rent."""

    kind: InstanceKind
    count: int


def plan_scale_out(
    demand: list[Demand],
    supply: dict[InstanceKind, int],
    types: dict[str, MachineType],
    refused: set[InstanceKind],
    max_count: int,
) -> ScaleOutPlan | None:
    """Chooses which machines to rent next.

    Of the kinds for which there is enough unmet demand, chooses the one with the lowest price per core, and of equally
    priced kinds the one with the fewest machines.

    Args:
        demand: The demand of the jobs.
        supply: By kind, the number of machines that are up or booting.
        types: The catalog of machine types.
        refused: The kinds for which the cloud had no capacity a short while ago.
        max_count: The largest number of machines to rent.

    Returns:
        The plan; None when the supply meets the demand, or when no kind has enough unmet demand.
    """
    offers = instance_offers(types)
    unmet = pack_demand(demand, supply, offers).unmet
    # A job that can run on no supplied machine gets one even if it would fill only a small part of it. Otherwise a
    # small job would never start: for example a job that may not use spot machines, when only spot machines are left.
    without_machine = [
        wanted
        for wanted in unmet
        if not any(supply.get(offer.kind, 0) > 0 and wanted.can_run_on(offer) for offer in offers)
    ]
    worthwhile: list[tuple[InstanceOffer, float]] = []
    for offer in offers:
        if offer.kind in refused:
            continue
        machines = sum(
            machines_needed(wanted.spec, 1, offer.type) * wanted.tasks_on(offer)
            for wanted in unmet
            if wanted.can_run_on(offer)
        )
        if machines >= MIN_FILL_TO_SCALE_OUT or any(wanted.can_run_on(offer) for wanted in without_machine):
            worthwhile.append((offer, machines))
    if not worthwhile:
        return None
    offer, machines = min(worthwhile, key=lambda pair: (pair[0].price_per_core, supply.get(pair[0].kind, 0)))
    return ScaleOutPlan(offer.kind, min(max_count, max(1, math.floor(machines))))


def plan_scale_in(
    demand: list[Demand], supply: dict[InstanceKind, int], types: dict[str, MachineType]
) -> dict[InstanceKind, int]:
    """How many machines of each kind the demand leaves unused, so that they can be returned.

    Demand is packed onto the cheapest machines first, so that the most expensive ones are left unused. One unused
    machine, of the cheapest kind that has any, is kept as a reserve. Nothing is returned while some demand is unmet.
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
