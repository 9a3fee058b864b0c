"""Which machine takes which task."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sloeswitch.core import taskset
from sloeswitch.core.health import Health
from sloeswitch.core.quota import SLACK, fits_type
from sloeswitch.core.records import Job
from sloeswitch.wire import MAX_TASKS, JobSpec, MachineType


class Reservation(NamedTuple):
    """Free capacity of one machine that is kept for a job; `until`: seconds of the controller's monotonic clock."""

    job: str
    until: float


@dataclass
class FreeCapacity:
    """What a machine has free. Placement takes from it."""

    machine: str
    type: str
    zone: str
    spot: bool
    cores: float
    gpus: float
    memory_gb: float
    images: set[str] = field(default_factory=set)
    # Whether some live job fits such machines and not others.
    scarce: bool = False

    def max_tasks(self, spec: JobSpec) -> int:
        """How many tasks of the job fit."""
        most = spec.tasks
        if spec.cores > 0:
            most = min(most, int((self.cores + SLACK) // spec.cores))
        if spec.gpus > 0:
            most = min(most, int((self.gpus + SLACK) // spec.gpus))
        if spec.memory > 0:
            most = min(most, int((self.memory_gb + SLACK) // spec.memory))
        return max(0, most)

    def take(self, spec: JobSpec, count: int = 1) -> None:
        self.cores -= count * spec.cores
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory
        self.images.add(spec.image)


class Placement(NamedTuple):
    """One task of a job, by its index, and the machine that it is placed on."""

    task_index: int
    capacity: FreeCapacity


def satisfies_constraints(spec: JobSpec, room: FreeCapacity) -> bool:
    return (
        (spec.types is None or room.type in spec.types)
        and (spec.zone is None or spec.zone == room.zone)
        and (spec.spot or not room.spot)
    )


def eligible(
    job: str, rooms: list[FreeCapacity], held: Mapping[str, Reservation], health: Health
) -> list[FreeCapacity]:
    """The machines that a job may use: not those on which room is kept for another one (`held`: machine -> job, and
    until when), nor those on which it failed."""
    if held:
        rooms = [room for room in rooms if room.machine not in held or held[room.machine].job == job]
    if job not in health.jobs:
        return rooms
    return [room for room in rooms if not health.has_failed_on(job, room.machine)]


def without_full(rooms: list[FreeCapacity], least_cores: float) -> list[FreeCapacity]:
    """Without the machines that are full by now."""
    return [room for room in rooms if room.cores + SLACK >= least_cores]


def satisfies_zone_binding(spec: JobSpec, index: int, zone: str, home: str | None) -> bool:
    """The zone rules of a job's tasks against each other, by the job's stored zone; nowhere before there is one.
    `together`: all in that zone. `spread`: the lower half of the tasks, rounded up, in it, the others anywhere else;
    fixed by task number, so that controllers need not count each other's tasks."""
    if spec.one_zone:
        return zone == home
    return home is not None and (zone == home) == (index < (spec.tasks + 1) // 2)


def rank_capacities(spec: JobSpec, rooms: list[FreeCapacity]) -> list[FreeCapacity]:
    """Machines with room for the job, best first: those that no other job needs more, those that have its image,
    so that it is not fetched again, then spot machines and the fullest ones, so that the dear and the empty can be
    returned."""
    # The same as Room.count() > 0, without a call for each machine: thousands are looked at for each job.
    least_cores, least_gpus, least_memory = (
        amount - SLACK if amount > 0 else -math.inf for amount in (spec.cores, spec.gpus, spec.memory)
    )
    found = [
        room
        for room in rooms
        if room.cores >= least_cores
        and room.memory_gb >= least_memory
        and room.gpus >= least_gpus
        and satisfies_constraints(spec, room)
    ]
    found.sort(key=lambda room: (room.scarce, spec.image not in room.images, not room.spot, room.cores))
    return found


def scarce_types(specs: Iterable[JobSpec], types: dict[str, MachineType]) -> set[str]:
    """Types that some of the jobs fit while they do not fit others: tasks that fit any machine go there last.
    Guards against many small tasks in the room of the only machines that are large enough for another job."""
    found: set[str] = set()
    for spec in specs:
        fitting_types = {kind.name for kind in types.values() if fits_type(spec, kind)}
        if len(fitting_types) < len(types):
            found |= fitting_types
    return found


def pack_tasks(
    job: Job, tasks: int, rooms: list[FreeCapacity], zone: str | None = None, most: int = MAX_TASKS
) -> list[Placement]:
    """Puts tasks (a set) of the job on machines, taking their room. What does not fit stays out. `zone`: what would
    be stored as the job's zone, if none is yet. `most`: how many tasks at most."""
    spec = job.spec
    home = job.progress.zone or zone
    placed: list[Placement] = []
    for room in rank_capacities(spec, rooms):
        if not tasks:
            break
        count = room.max_tasks(spec)
        choice = tasks
        if spec.zone_bound:
            choice = sum(
                1 << index for index in taskset.members(tasks) if satisfies_zone_binding(spec, index, room.zone, home)
            )
        chosen = taskset.lowest(choice, min(count, most - len(placed)))
        if chosen:
            room.take(spec, chosen.bit_count())
            placed += [Placement(index, room) for index in taskset.members(chosen)]
            tasks &= ~chosen
    return placed
