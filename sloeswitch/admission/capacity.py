"""Free capacity by kind of machine: what admitted work leaves of the machines, and what a job may take of it.

Capacity is counted in machines, as fractions, without assigning tasks to particular machines. The jobs that an epoch
admits take it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sloeswitch.core import scaling
from sloeswitch.core.records import Job
from sloeswitch.core.scaling import InstanceKind, InstanceOffer
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec

# A smaller fraction of a machine counts as none; it may be a rounding error.
MIN_MACHINES = 1e-6


@dataclass(frozen=True)
class IdleCapacity:
    """Free capacity that no admitted job could use, as reported by the machines' owner.

    Attributes:
        kind: The kind of machine.
        machines: How much, as a fractional number of machines.
        age_s: For how long it has been left unused.
    """

    kind: InstanceKind
    machines: float
    age_s: float


# The fraction of the time left to a job's next target over which its work is spread. It is the whole time, so that a
# job that still meets its target is no overload.
ADMITTED_SPREAD = 1.0


class Capacity:
    """Free capacity by kind of machine and remaining quota by team, while jobs are admitted."""

    def __init__(
        self,
        tables: Tables,
        settings: Settings,
        admitted: Iterable[Job],
        idle: Iterable[IdleCapacity],
        wall_clock_ms: int,
        overcommit: float,
    ) -> None:
        self.offers: list[InstanceOffer] = scaling.instance_offers(tables.machine_types)
        self.quota = scaling.RemainingQuota.from_settings(settings)
        supply: dict[InstanceKind, float] = {}
        for row in tables.machines.values():
            kind = InstanceKind(row.type, row.zone, row.spot)
            supply[kind] = supply.get(kind, 0.0) + 1.0
        self.total_cores = sum(
            tables.machine_types[kind[0]].cores * count
            for kind, count in supply.items()
            if kind[0] in tables.machine_types
        )
        released = (job for job in admitted if job.is_runnable)
        needs = scaling.demand_within_quota(
            released,
            self.quota,
            lambda job: scaling.parallel_or_gang_tasks(job, settings, wall_clock_ms, ADMITTED_SPREAD),
        )
        # `free`: how many machines of each kind, as fractions, the admitted work leaves of the overcommitted supply.
        self.free, unmet = scaling.pack_demand(needs, _overcommitted(supply, overcommit), self.offers)
        # Whether the machines cannot take all tasks that should run concurrently.
        self.overloaded = bool(unmet)
        reported: dict[InstanceKind, float] = {}
        for entry in idle:
            reported[entry.kind] = reported.get(entry.kind, 0.0) + entry.machines
        # Capacity that is reported idle counts as free, even if admitted work should take it: that work cannot use it,
        # for example after failures, or without a quota allocation at the machines' owner.
        for kind, machines in reported.items():
            if kind in self.free:
                self.free[kind] = max(self.free[kind], machines)

    @property
    def has_free_capacity(self) -> bool:
        """Whether any machine has free capacity."""
        return any(machines > MIN_MACHINES for machines in self.free.values())

    def tasks_that_fit(self, spec: JobSpec, limit: int) -> int:
        """Returns how many tasks, up to `limit`, fit the free capacity and the team's limit."""
        limit = min(limit, self.quota.tasks_within(spec))
        tasks = 0.0
        for offer in self.offers:
            if tasks >= limit:
                break
            if self.free[offer.kind] > MIN_MACHINES and offer.can_run(spec):
                tasks += self._whole_tasks_in(spec, offer)
        return min(limit, int(tasks + MIN_MACHINES))

    def _whole_tasks_in(self, spec: JobSpec, offer: InstanceOffer) -> float:
        machines_per_task = scaling.machines_needed(spec, 1, offer.type)
        # Only whole tasks count.
        return self.free[offer.kind] // machines_per_task if machines_per_task > MIN_MACHINES else float(spec.tasks)

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Takes the capacity of this many tasks, or of as many as fit."""
        self.quota.take(spec, tasks)
        for offer in self.offers:
            if tasks <= 0:
                return
            if self.free[offer.kind] > MIN_MACHINES and offer.can_run(spec):
                machines_per_task = scaling.machines_needed(spec, 1, offer.type)
                count = min(tasks, int(self._whole_tasks_in(spec, offer) + MIN_MACHINES))
                self.free[offer.kind] -= count * machines_per_task
                tasks -= count


def _overcommitted(supply: Mapping[InstanceKind, float], overcommit: float) -> dict[InstanceKind, float]:
    return {kind: (1 + overcommit) * count for kind, count in supply.items()}
