"""Room by kind of machine: what admitted work leaves of it, and what of that a job may take."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sloeswitch.core import scaling
from sloeswitch.core.records import Job
from sloeswitch.core.scaling import InstanceKind, InstanceOffer
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec

# Less than this of a machine is nothing.
LEAST_MACHINES = 1e-6


@dataclass(frozen=True)
class IdleCapacity:
    """Room of one kind that no admitted job could take, as its owner told, in machines, and for how many seconds."""

    kind: InstanceKind
    machines: float
    age_s: float


# Needs are spread over the whole time to the next target: what is in time is no overload.
SPREAD_ADMITTED = 1.0


class Capacity:
    """Room on paper: by kind of machine, and by team."""

    def __init__(
        self,
        tables: Tables,
        settings: Settings,
        admitted: Iterable[Job],
        idle: Iterable[IdleCapacity],
        wall_clock_ms: int,
        surplus: float,
    ) -> None:
        self.offers: list[InstanceOffer] = scaling.instance_offers(tables.machine_types)
        self.limits = scaling.RemainingQuota.of(settings)
        supply: dict[InstanceKind, float] = {}
        for row in tables.machines.values():
            kind = InstanceKind(row.type, row.zone, row.spot)
            supply[kind] = supply.get(kind, 0.0) + 1.0
        self.cores = sum(
            tables.machine_types[kind[0]].cores * count
            for kind, count in supply.items()
            if kind[0] in tables.machine_types
        )
        released = (job for job in admitted if job.is_runnable)
        needs = scaling.demand_within_quota(
            released,
            self.limits,
            lambda job: scaling.parallel_or_gang_tasks(job, settings, wall_clock_ms, SPREAD_ADMITTED),
        )
        self.left, short = scaling.pack_demand(needs, _with_surplus(supply, surplus), self.offers)
        # Whether what should run at once finds no machine.
        self.overloaded = bool(short)
        told: dict[InstanceKind, float] = {}
        for room in idle:
            told[room.kind] = told.get(room.kind, 0.0) + room.machines
        for kind, machines in told.items():
            if kind in self.left:
                self.left[kind] = max(self.left[kind], machines)

    @property
    def any_left(self) -> bool:
        """Whether anything is left to be taken."""
        return any(machines > LEAST_MACHINES for machines in self.left.values())

    def tasks_that_fit(self, spec: JobSpec, most: int) -> int:
        """How many of so many tasks find room now, by machines and by the team's limit."""
        most = min(most, self.limits.tasks_within(spec))
        found = 0.0
        for offer in self.offers:
            if found >= most:
                break
            if self.left[offer.kind] > LEAST_MACHINES and offer.suits(spec):
                found += self._tasks_in(spec, offer)
        return min(most, int(found + LEAST_MACHINES))

    def _tasks_in(self, spec: JobSpec, offer: InstanceOffer) -> float:
        part = scaling.machines_needed(spec, 1, offer.type)
        # Less room than one task takes is none.
        return self.left[offer.kind] // part if part > LEAST_MACHINES else float(spec.tasks)

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Takes room for so many tasks, as far as there is."""
        self.limits.take(spec, tasks)
        for offer in self.offers:
            if tasks <= 0:
                return
            if self.left[offer.kind] > LEAST_MACHINES and offer.suits(spec):
                part = scaling.machines_needed(spec, 1, offer.type)
                count = min(tasks, int(self._tasks_in(spec, offer) + LEAST_MACHINES))
                self.left[offer.kind] -= count * part
                tasks -= count


def _with_surplus(supply: Mapping[InstanceKind, float], surplus: float) -> dict[InstanceKind, float]:
    return {kind: (1 + surplus) * count for kind, count in supply.items()}
