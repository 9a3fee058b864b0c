"""Tracks the idle capacity of the machines that this controller owns.

Idle capacity is what remains free after every queued job was considered for placement; only admitted jobs are queued.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sloeswitch.admission.capacity import MIN_MACHINES, IdleCapacity
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.wire import MAX_TASKS_ON_MACHINE, MachineType


def free_fraction(capacity: FreeCapacity, machine_type: MachineType) -> float:
    """Returns the free fraction of a machine, by its scarcest resource; its task slots are one of them."""
    pairs = (
        (capacity.cores, machine_type.cores),
        (capacity.gpus, machine_type.gpus),
        (capacity.memory_gb, machine_type.memory),
        (capacity.task_slots, MAX_TASKS_ON_MACHINE),
    )
    return max(0.0, min((free / whole for free, whole in pairs if whole > 0), default=0.0))


class IdleCapacityTracker:
    """Records how much capacity of each kind of machine is idle, and since when."""

    def __init__(self) -> None:
        self._machines: dict[InstanceKind, float] = {}
        self._since: dict[InstanceKind, float] = {}

    def observe(self, capacities: Iterable[FreeCapacity], types: Mapping[str, MachineType], now: float) -> None:
        """Takes in the capacity that a planning pass over the whole queue left free."""
        machines_by_kind: dict[InstanceKind, float] = {}
        for capacity in capacities:
            machine_type = types.get(capacity.type)
            if machine_type is not None:
                kind = InstanceKind(capacity.type, capacity.zone, capacity.spot)
                machines_by_kind[kind] = machines_by_kind.get(kind, 0.0) + free_fraction(capacity, machine_type)
        self._machines = {kind: machines for kind, machines in machines_by_kind.items() if machines > MIN_MACHINES}
        self._since = {kind: self._since.get(kind, now) for kind in self._machines}

    def report(self, now: float) -> list[IdleCapacity]:
        """Returns the idle capacity by kind of machine, for the coordinator."""
        return [
            IdleCapacity(kind, machines, now - self._since[kind]) for kind, machines in sorted(self._machines.items())
        ]
