"""Room that no admitted job could take, as the owner of the machines sees it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sloeswitch.admission.capacity import LEAST_MACHINES, IdleCapacity
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.wire import MachineType


def free_part(room: FreeCapacity, kind: MachineType) -> float:
    """The part of a machine that is free, by what is scarcest on it."""
    pairs = ((room.cores, kind.cores), (room.gpus, kind.gpus), (room.memory_gb, kind.memory))
    return max(0.0, min((free / whole for free, whole in pairs if whole > 0), default=0.0))


class IdleCapacityTracker:
    """Since when room of each kind was left over after every admitted job had a look."""

    def __init__(self) -> None:
        self._machines: dict[InstanceKind, float] = {}
        self._since: dict[InstanceKind, float] = {}

    def observe(self, rooms: Iterable[FreeCapacity], types: Mapping[str, MachineType], now: float) -> None:
        """What is left after a look in which the whole line was considered."""
        found: dict[InstanceKind, float] = {}
        for room in rooms:
            kind = types.get(room.type)
            if kind is not None:
                key = InstanceKind(room.type, room.zone, room.spot)
                found[key] = found.get(key, 0.0) + free_part(room, kind)
        self._machines = {key: machines for key, machines in found.items() if machines > LEAST_MACHINES}
        self._since = {key: self._since.get(key, now) for key in self._machines}

    def report(self, now: float) -> list[IdleCapacity]:
        """What the coordinator is told."""
        return [
            IdleCapacity(kind, machines, now - self._since[kind]) for kind, machines in sorted(self._machines.items())
        ]
