"""Assigns tasks to machines: constraints, ranking and bin packing over free capacity.

The functions keep no state and reduce the `FreeCapacity` objects that they are given. The machines actor places tasks
with them; the claim planner and gang preemption try out placements on their own copies.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from sloeswitch.core import taskset, zone_binding
from sloeswitch.core.health import Health
from sloeswitch.core.quota import ROUNDING_TOLERANCE, fits_type
from sloeswitch.core.records import Job
from sloeswitch.core.taskset import TaskSet
from sloeswitch.wire import MAX_TASKS, MAX_TASKS_ON_MACHINE, JobSpec, MachineType


class Reservation(NamedTuple):
    """Reserves the free capacity of a machine for a job; `until` is in seconds of the controller's monotonic clock."""

    job: str
    until: float


@dataclass
class FreeCapacity:
    """The free capacity of a machine. Placement reduces it.

    Attributes:
        machine: The name of the machine.
        type: The name of its machine type.
        zone: Its zone.
        spot: Whether it is a spot machine.
        cores: Its free cores.
        gpus: Its free GPUs.
        memory_gb: Its free memory in GB.
        images: The images that it has cached or is fetching.
        scarce: Whether some live job fits machines of this type but not those of some other type.
        task_slots: How many more tasks the machine can report (`wire.MAX_TASKS_ON_MACHINE`).
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
    task_slots: int = MAX_TASKS_ON_MACHINE

    def max_tasks(self, spec: JobSpec) -> int:
        """How many tasks of the job fit by their resources, without regard to its constraints."""
        count = min(spec.tasks, self.task_slots)
        if spec.cores > 0:
            count = min(count, int((self.cores + ROUNDING_TOLERANCE) // spec.cores))
        if spec.gpus > 0:
            count = min(count, int((self.gpus + ROUNDING_TOLERANCE) // spec.gpus))
        if spec.memory > 0:
            count = min(count, int((self.memory_gb + ROUNDING_TOLERANCE) // spec.memory))
        return max(0, count)

    def take(self, spec: JobSpec, count: int = 1) -> None:
        """Takes the resources of `count` tasks; a negative count returns them."""
        self.cores -= count * spec.cores
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory
        self.task_slots -= count
        self.images.add(spec.image)

    def copy(self) -> FreeCapacity:
        """Returns a copy whose resources can be taken without changing this object. The set of images is shared."""
        return FreeCapacity(**vars(self))


class Placement(NamedTuple):
    """One task of a job, by its index, and the machine that it is placed on."""

    task_index: int
    capacity: FreeCapacity


class MachineAttributes(Protocol):
    """The attributes of a machine that the constraints of a job refer to."""

    @property
    def type(self) -> str:
        """The name of the machine's type."""

    @property
    def zone(self) -> str:
        """The zone of the machine."""

    @property
    def spot(self) -> bool:
        """Whether it is a spot machine, which the cloud may reclaim."""


def satisfies_constraints(spec: JobSpec, machine: MachineAttributes) -> bool:
    """Whether the machine's type, zone and spot attribute meet the constraints of the job."""
    return (
        (spec.types is None or machine.type in spec.types)
        and (spec.zone is None or spec.zone == machine.zone)
        and (spec.spot or not machine.spot)
    )


def eligible(
    job: str, capacities: list[FreeCapacity], reservations: Mapping[str, Reservation], health: Health, now: float
) -> list[FreeCapacity]:
    """The machines that a job may use: without those reserved for another job and those that it avoids.

    Args:
        job: The job's id.
        capacities: The free capacity of machines.
        reservations: The reservations, by machine.
        health: The failures of jobs on machines.
        now: The time, in seconds of the controller's monotonic clock.
    """
    if reservations:
        capacities = [
            capacity
            for capacity in capacities
            if capacity.machine not in reservations or reservations[capacity.machine].job == job
        ]
    if job not in health.jobs:
        return capacities
    return [capacity for capacity in capacities if not health.is_machine_avoided(job, capacity.machine, now)]


def without_full(capacities: list[FreeCapacity], min_task_cores: float) -> list[FreeCapacity]:
    """Drops the machines that have fewer free cores than a task of any job needs."""
    return [capacity for capacity in capacities if capacity.cores + ROUNDING_TOLERANCE >= min_task_cores]


def rank_capacities(spec: JobSpec, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
    """The machines with capacity for a task of the job, the best first.

    Sort criteria, the most significant first: types that are not scarce, since some job fits only the scarce ones;
    machines that have the job's image, which saves fetching it; spot machines; the fewest free cores. The last two keep
    expensive and empty machines free of tasks, so that they can be returned to the cloud.
    """
    # Like max_tasks() > 0, except for task slots, without a call for each of the thousands of machines scanned.
    min_cores, min_gpus, min_memory_gb = (
        amount - ROUNDING_TOLERANCE if amount > 0 else -math.inf for amount in (spec.cores, spec.gpus, spec.memory)
    )
    candidates = [
        capacity
        for capacity in capacities
        if capacity.cores >= min_cores
        and capacity.memory_gb >= min_memory_gb
        and capacity.gpus >= min_gpus
        and satisfies_constraints(spec, capacity)
    ]
    candidates.sort(key=lambda each: (each.scarce, spec.image not in each.images, not each.spot, each.cores))
    return candidates


def scarce_types(specs: Iterable[JobSpec], types: dict[str, MachineType]) -> set[str]:
    """The machine types that fit some job which does not fit all types.

    Other jobs use these types last. Otherwise many small tasks would fill the only machines that are large enough for
    another job.
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
    """Places tasks of the job, the best machines first, and takes their capacity. Leaves out tasks that do not fit.

    Args:
        job: The job.
        tasks: The set of its tasks to place (see `core.taskset`).
        capacities: The machines that the job may use.
        zone: The zone to assume for the job if none is stored yet.
        max_count: The largest number of tasks to place.
    """
    spec = job.spec
    job_zone = job.progress.zone or zone
    placements: list[Placement] = []
    allowed_by_zone: dict[str, TaskSet] = {}
    # Placed after those that have no other zone to run in.
    unrestricted = zone_binding.unrestricted_tasks(spec, job.progress.done)
    for capacity in rank_capacities(spec, capacities):
        if not tasks:
            break
        count = capacity.max_tasks(spec)
        allowed = tasks
        if spec.zone_bound:
            if capacity.zone not in allowed_by_zone:
                allowed_by_zone[capacity.zone] = zone_binding.tasks_allowed_in_zone(
                    spec, capacity.zone, job_zone, job.progress.done
                )
            allowed &= allowed_by_zone[capacity.zone]
        count = min(count, max_count - len(placements))
        chosen = taskset.lowest(allowed & ~unrestricted if unrestricted else allowed, count)
        if unrestricted:
            chosen |= taskset.lowest(allowed & unrestricted, count - chosen.bit_count())
        if chosen:
            capacity.take(spec, chosen.bit_count())
            placements += [Placement(index, capacity) for index in taskset.task_numbers(chosen)]
            tasks &= ~chosen
    return placements
