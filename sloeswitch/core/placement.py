"""Which machine takes which task: constraints, ranking and bin packing over free capacity.

Functions that take from the `FreeCapacity` objects they are given and own nothing; the machines actor places with them,
and the claim planner and gang preemption try placements on capacity that nobody else sees.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from sloeswitch.core import taskset
from sloeswitch.core.health import Health
from sloeswitch.core.quota import ROUNDING_TOLERANCE, fits_type
from sloeswitch.core.records import Job
from sloeswitch.wire import MAX_TASKS, JobSpec, MachineType


class Reservation(NamedTuple):
    """Free capacity of one machine that is kept for a job; `until`: seconds of the controller's monotonic clock."""

    job: str
    until: float


@dataclass
class FreeCapacity:
    """What a machine has free. Placement takes from it.

    Attributes:
        machine: The machine's name; `type`, `zone` and `spot` are its own.
        images: Images that it has or fetches.
        scarce: Whether some live job fits machines of this type and not others.
    """

    machine: str
    type: str
    zone: str
    spot: bool
    cores: float
    gpus: float
    memory_gb: float
    images: set[str] = field(default_factory=set)
    scarce: bool = False

    def max_tasks(self, spec: JobSpec) -> int:
        """How many tasks of the job fit, whatever its constraints."""
        count = spec.tasks
        if spec.cores > 0:
            count = min(count, int((self.cores + ROUNDING_TOLERANCE) // spec.cores))
        if spec.gpus > 0:
            count = min(count, int((self.gpus + ROUNDING_TOLERANCE) // spec.gpus))
        if spec.memory > 0:
            count = min(count, int((self.memory_gb + ROUNDING_TOLERANCE) // spec.memory))
        return max(0, count)

    def take(self, spec: JobSpec, count: int = 1) -> None:
        """Takes so many tasks' resources; a negative count returns them."""
        self.cores -= count * spec.cores
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory
        self.images.add(spec.image)

    def trial(self) -> FreeCapacity:
        """A copy whose resources can be taken without effect on this one. The set of images is shared."""
        return FreeCapacity(**vars(self))


class Placement(NamedTuple):
    """One task of a job, by its index, and the machine that it is placed on."""

    task_index: int
    capacity: FreeCapacity


class MachineAttributes(Protocol):
    """What jobs choose machines by."""

    @property
    def type(self) -> str:
        """The name of the machine's type."""

    @property
    def zone(self) -> str:
        """The zone that it is in."""

    @property
    def spot(self) -> bool:
        """Whether the cloud may take it back."""


def satisfies_constraints(spec: JobSpec, machine: MachineAttributes) -> bool:
    """Whether the job may run on such a machine, by the types, the zone and the spot machines that it accepts."""
    return (
        (spec.types is None or machine.type in spec.types)
        and (spec.zone is None or spec.zone == machine.zone)
        and (spec.spot or not machine.spot)
    )


def eligible(
    job: str, capacities: list[FreeCapacity], reservations: Mapping[str, Reservation], health: Health
) -> list[FreeCapacity]:
    """The machines that a job may use: not those reserved for another one, nor those on which it failed.

    Args:
        job: The job's id.
        capacities: What machines have free.
        reservations: By machine.
        health: The failures of jobs on machines.
    """
    if reservations:
        capacities = [
            capacity
            for capacity in capacities
            if capacity.machine not in reservations or reservations[capacity.machine].job == job
        ]
    if job not in health.jobs:
        return capacities
    return [capacity for capacity in capacities if not health.has_failed_on(job, capacity.machine)]


def without_full(capacities: list[FreeCapacity], least_cores: float) -> list[FreeCapacity]:
    """Without the machines on which fewer cores are free than any job wants."""
    return [capacity for capacity in capacities if capacity.cores + ROUNDING_TOLERANCE >= least_cores]


def satisfies_zone_binding(spec: JobSpec, task_index: int, zone: str, job_zone: str | None) -> bool:
    """Whether a task of a zone-bound job may run in a zone, given the job's stored one; nowhere before there is one.

    `one_zone`: all in that zone. `spread`: the lower half of the tasks, rounded up, in it, the others anywhere else;
    fixed by task index, so that controllers need not count each other's tasks.
    """
    if spec.one_zone:
        return zone == job_zone
    return job_zone is not None and (zone == job_zone) == (task_index < (spec.tasks + 1) // 2)


def rank_capacities(spec: JobSpec, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
    """Machines with capacity for the job, best first.

    Those that no other job needs more, those that have its image, so that it is not fetched again, then spot machines
    and the fullest ones, so that the expensive and the empty can be returned to the cloud.
    """
    # The same as max_tasks() > 0, without a call for each machine: thousands are looked at for each job.
    least_cores, least_gpus, least_memory_gb = (
        amount - ROUNDING_TOLERANCE if amount > 0 else -math.inf for amount in (spec.cores, spec.gpus, spec.memory)
    )
    candidates = [
        capacity
        for capacity in capacities
        if capacity.cores >= least_cores
        and capacity.memory_gb >= least_memory_gb
        and capacity.gpus >= least_gpus
        and satisfies_constraints(spec, capacity)
    ]
    candidates.sort(key=lambda each: (each.scarce, spec.image not in each.images, not each.spot, each.cores))
    return candidates


def scarce_types(specs: Iterable[JobSpec], types: dict[str, MachineType]) -> set[str]:
    """Types that some of the jobs fit while they do not fit others: tasks that fit any machine go there last.

    Guards against many small tasks in the capacity of the only machines that are large enough for another job.
    """
    found: set[str] = set()
    for spec in specs:
        fitting_types = {machine_type.name for machine_type in types.values() if fits_type(spec, machine_type)}
        if len(fitting_types) < len(types):
            found |= fitting_types
    return found


def pack_tasks(
    job: Job, tasks: int, capacities: list[FreeCapacity], zone: str | None = None, max_count: int = MAX_TASKS
) -> list[Placement]:
    """Places tasks of the job on the best machines first, taking their capacity. What does not fit stays out.

    Args:
        job: The job.
        tasks: The set of its tasks that are to be placed (see `core.taskset`).
        capacities: The machines that it may use.
        zone: What would be stored as the job's zone, if none is yet.
        max_count: How many tasks at most.
    """
    spec = job.spec
    job_zone = job.progress.zone or zone
    placements: list[Placement] = []
    for capacity in rank_capacities(spec, capacities):
        if not tasks:
            break
        count = capacity.max_tasks(spec)
        allowed = tasks
        if spec.zone_bound:
            allowed = sum(
                1 << index
                for index in taskset.task_numbers(tasks)
                if satisfies_zone_binding(spec, index, capacity.zone, job_zone)
            )
        chosen = taskset.lowest(allowed, min(count, max_count - len(placements)))
        if chosen:
            capacity.take(spec, chosen.bit_count())
            placements += [Placement(index, capacity) for index in taskset.task_numbers(chosen)]
            tasks &= ~chosen
    return placements
