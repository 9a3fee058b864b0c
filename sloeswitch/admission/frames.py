"""Encoding of the mesh frames by which machine owners report idle capacity to the coordinator.

A request has no body. An answer is a count, followed by one entry for each kind of machine: the lengths of the names of
its type and zone in bytes, a flag for spot machines, the idle capacity in machines, its age in seconds, and the names.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import Protocol

from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.frame_link import FrameLink, NoAnswerError
from sloeswitch.mesh_frames import MAX_BODY_BYTES, FrameError, FrameType

COUNT = struct.Struct("!H")
ENTRY = struct.Struct("!BB?df")
# The length of a name is stored in one byte.
MAX_NAME_BYTES = 255
MAX_ENTRIES = (MAX_BODY_BYTES - COUNT.size) // (ENTRY.size + 2 * MAX_NAME_BYTES)


class IdleCapacityLink(Protocol):
    """The connection to a sibling, which is another controller of this deployment."""

    async def idle_capacity(self) -> list[IdleCapacity]:
        """Asks for the sibling's idle capacity; raises NoAnswerError if there is no answer."""


def pack_idle_capacity(capacities: Iterable[IdleCapacity]) -> bytes:
    """Packs the body of an answer. Entries that do not fit are left out; this only affects when jobs are admitted."""
    entries: list[bytes] = []
    for entry in capacities:
        type_name, zone, spot = entry.kind
        names = type_name.encode(), zone.encode()
        if max(map(len, names)) <= MAX_NAME_BYTES and len(entries) < MAX_ENTRIES:
            header = ENTRY.pack(len(names[0]), len(names[1]), spot, entry.machines, entry.age_s)
            entries.append(header + names[0] + names[1])
    return COUNT.pack(len(entries)) + b"".join(entries)


def unpack_idle_capacity(body: bytes) -> list[IdleCapacity]:
    """Unpacks the body of an answer; raises FrameError if it is malformed."""
    try:
        (count,) = COUNT.unpack_from(body)
        offset = COUNT.size
        capacities: list[IdleCapacity] = []
        for _ in range(count):
            type_length, zone_length, spot, machines, age_s = ENTRY.unpack_from(body, offset)
            offset += ENTRY.size
            end = offset + type_length + zone_length
            names = body[offset : offset + type_length].decode(), body[offset + type_length : end].decode()
            if end > len(body) or not (machines >= 0 and age_s >= 0):
                raise FrameError(f"idle capacity answer: invalid entry at byte {offset}")
            offset = end
            capacities.append(IdleCapacity(InstanceKind(*names, spot), machines, age_s))
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(f"idle capacity answer: {error!r}") from None
    if offset != len(body):
        raise FrameError(f"idle capacity answer: {len(body) - offset} bytes after the last entry")
    return capacities


class MeshIdleCapacityLink:
    """Asks a sibling over the mesh."""

    def __init__(self, frames: FrameLink) -> None:
        self.frames = frames

    async def idle_capacity(self) -> list[IdleCapacity]:
        """Returns the sibling's idle capacity; raises NoAnswerError if there is no valid answer."""
        try:
            return unpack_idle_capacity(await self.frames.exchange(FrameType.IDLE_CAPACITY_REQUEST, b""))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None
