"""The mesh frame by which owners tell idle room: packed by hand, as all that controllers say to each other.

A request has no body. An answer is a count, then for each kind of machine the lengths of its type's and zone's names, a
flag for spot machines, how much is free in machines, since how many seconds, and the names.
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
# Names have one byte for their length.
LONGEST_NAME = 255
MOST_ENTRIES = (MAX_BODY_BYTES - COUNT.size) // (ENTRY.size + 2 * LONGEST_NAME)


class IdleCapacityLink(Protocol):
    """The way to another controller."""

    async def idle_capacity(self) -> list[IdleCapacity]:
        """Asks for its idle room; NoAnswerError when there is no answer."""


def pack_idle_capacity(rooms: Iterable[IdleCapacity]) -> bytes:
    """The body of an answer. What would not fit is left out: it costs order only."""
    entries: list[bytes] = []
    for room in rooms:
        kind, zone, spot = room.kind
        names = kind.encode(), zone.encode()
        if max(map(len, names)) <= LONGEST_NAME and len(entries) < MOST_ENTRIES:
            fixed = ENTRY.pack(len(names[0]), len(names[1]), spot, room.machines, room.age_s)
            entries.append(fixed + names[0] + names[1])
    return COUNT.pack(len(entries)) + b"".join(entries)


def unpack_idle_capacity(body: bytes) -> list[IdleCapacity]:
    """Raises FrameError for what is no answer."""
    try:
        (count,) = COUNT.unpack_from(body)
        at = COUNT.size
        found: list[IdleCapacity] = []
        for _ in range(count):
            kind_length, zone_length, spot, machines, age_s = ENTRY.unpack_from(body, at)
            at += ENTRY.size
            end = at + kind_length + zone_length
            names = body[at : at + kind_length].decode(), body[at + kind_length : end].decode()
            if end > len(body) or not (machines >= 0 and age_s >= 0):
                raise FrameError(f"idle room: entry at {at}")
            at = end
            found.append(IdleCapacity(InstanceKind(*names, spot), machines, age_s))
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(f"idle room: {error!r}") from None
    if at != len(body):
        raise FrameError(f"idle room: {len(body) - at} bytes too many")
    return found


class MeshIdleCapacityLink:
    """Asks a sibling over the mesh."""

    def __init__(self, frames: FrameLink) -> None:
        self.frames = frames

    async def idle_capacity(self) -> list[IdleCapacity]:
        """Its idle room; NoAnswerError when there is no answer."""
        try:
            return unpack_idle_capacity(await self.frames.exchange(FrameType.IDLE_CAPACITY_REQUEST, b""))
        except FrameError as error:
            raise NoAnswerError(str(error)) from None
