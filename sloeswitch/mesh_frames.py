"""The frames of the mesh, over which controllers speak with each other: their types, layouts and codecs.

A frame is a header (magic, version, type, length of the body) and a body, in network byte order. A status request
carries the view number under which the requester acts, the revision up to which it has read everything, and its
position in the answerer's log of cancellations. A status carries the highest view number that the answerer knows (0:
none yet), flags, the identifier of its log of cancellations, the position up to which the requester now has that log,
and the cancellations that the requester lacks. Only a status that leaves nothing out confirms that the requester may go
on answering machines without the state service.

A view request and its answer are frames of earlier versions, which close a connection on any other frame. Earlier
versions know nothing of cancellations, so that their frames confirm nothing: the answer to a view request names a view
that nobody acts under. A frame of another version, type or length closes its connection and nothing else.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum, IntFlag

import anyio
from anyio.abc import SocketStream

from sloeswitch.core.cancellation_log import Cancellation, CancellationDelta

MAGIC = b"sloe"
VERSION = 1


class FrameType(IntEnum):
    """The type byte of a frame. Bodies of cells' frames: cells.frames; of idle capacity: admission.frames."""

    VIEW_REQUEST = 1
    VIEW = 2
    STATUS_REQUEST = 3
    STATUS = 4
    CELL_REQUEST = 5
    CELL_ANSWER = 6
    SUMMARY_REQUEST = 7
    SUMMARY = 8
    IDLE_CAPACITY_REQUEST = 9
    IDLE_CAPACITY = 10


# The types of requests that are served only where a feature is on, and the types of their answers.
ANSWER_TYPES: dict[int, FrameType] = {
    FrameType.CELL_REQUEST: FrameType.CELL_ANSWER,
    FrameType.SUMMARY_REQUEST: FrameType.SUMMARY,
    FrameType.IDLE_CAPACITY_REQUEST: FrameType.IDLE_CAPACITY,
}


class StatusFlag(IntFlag):
    """The flags of a status."""

    STATE_REACHABLE = 1
    FULLY_READ = 2
    MORE_CANCELLATIONS = 4


# Magic, version, type, length of the body.
HEADER = struct.Struct("!4sBBH")
# The requester's view number.
VIEW_REQUEST = struct.Struct("!Q")
# The answerer's view number, and whether it reaches the state service.
VIEW = struct.Struct("!QB")
# View number, applied revision, log identifier, log position.
STATUS_REQUEST = struct.Struct("!QQQQ")
# View number, flags, log identifier, log position, number of cancellations that follow.
STATUS = struct.Struct("!QBQQH")
# Revision and length of the job's name, which follows.
CANCELLATION = struct.Struct("!QB")

MAX_BODY_BYTES = 0xFFFF
MAX_NAME_BYTES = 255
# The most cancellations in one frame, so that it keeps within its length whatever the jobs are called.
MAX_CANCELLATIONS = (MAX_BODY_BYTES - STATUS.size) // (CANCELLATION.size + MAX_NAME_BYTES)
# Later than any view: an earlier version takes it for a reason to stop.
UNCONFIRMING_VIEW_NUMBER = (1 << 64) - 1


class FrameError(Exception):
    """The bytes are not a frame that may come here; the connection is to be closed."""


@dataclass(frozen=True)
class StatusRequest:
    """Asks a sibling for its status and for the cancellations that this controller lacks.

    Attributes:
        view_number: The view under which the requester acts.
        applied_revision: Up to where the requester has read everything.
        log_id: The log of cancellations that the requester last read from the sibling; 0: none.
        log_position: Up to where the requester has that log.
    """

    view_number: int
    applied_revision: int
    log_id: int
    log_position: int

    def pack(self) -> bytes:
        """The whole frame."""
        body = STATUS_REQUEST.pack(self.view_number, self.applied_revision, self.log_id, self.log_position)
        return pack_frame(FrameType.STATUS_REQUEST, body)

    @staticmethod
    def unpack(body: bytes) -> StatusRequest:
        """The request in a body, whose length was checked with its header."""
        return StatusRequest(*STATUS_REQUEST.unpack(body))


@dataclass(frozen=True)
class StatusFrame:
    """A controller's status, and the cancellations that the requester lacks.

    Attributes:
        view_number: The highest view number that the answerer knows; 0: none yet.
        state_reachable: Whether it reaches the state service.
        fully_read: Whether it has read the tables since it started.
        log_id: Identifies its log of cancellations.
        delta: The cancellations, and the position in the log up to which the requester then has it.
    """

    view_number: int
    state_reachable: bool
    fully_read: bool
    log_id: int
    delta: CancellationDelta

    def pack(self) -> bytes:
        """The whole frame."""
        flags = (
            StatusFlag.STATE_REACHABLE * self.state_reachable
            | StatusFlag.FULLY_READ * self.fully_read
            | StatusFlag.MORE_CANCELLATIONS * self.delta.more
        )
        entries = self.delta.cancellations
        body = STATUS.pack(self.view_number, flags, self.log_id, self.delta.position, len(entries))
        for entry in entries:
            name = entry.job.encode()
            body += CANCELLATION.pack(entry.revision, len(name)) + name
        return pack_frame(FrameType.STATUS, body)

    @staticmethod
    def unpack(body: bytes) -> StatusFrame:
        """The status in a body.

        Raises:
            FrameError: The body is cut off, goes on after its end, or a name is not UTF-8.
        """
        try:
            view_number, flags, log_id, position, count = STATUS.unpack_from(body)
            cancellations, end = _unpack_cancellations(body, STATUS.size, count)
        except (struct.error, UnicodeDecodeError) as error:
            raise FrameError(str(error)) from None
        if end != len(body):
            raise FrameError(f"{len(body) - end} bytes too many")
        return StatusFrame(
            view_number,
            bool(flags & StatusFlag.STATE_REACHABLE),
            bool(flags & StatusFlag.FULLY_READ),
            log_id,
            CancellationDelta(cancellations, position, bool(flags & StatusFlag.MORE_CANCELLATIONS)),
        )


def _unpack_cancellations(body: bytes, offset: int, count: int) -> tuple[list[Cancellation], int]:
    """The cancellations from an offset on, and the offset of their end."""
    cancellations: list[Cancellation] = []
    for _ in range(count):
        revision, length = CANCELLATION.unpack_from(body, offset)
        offset += CANCELLATION.size
        if offset + length > len(body):
            raise FrameError("a name is cut off")
        cancellations.append(Cancellation(body[offset : offset + length].decode(), revision))
        offset += length
    return cancellations, offset


def pack_frame(frame_type: int, body: bytes) -> bytes:
    """A header and the body."""
    return HEADER.pack(MAGIC, VERSION, frame_type, len(body)) + body


def pack_view_request(view_number: int) -> bytes:
    """The whole frame by which an earlier version asks for a view number."""
    return pack_frame(FrameType.VIEW_REQUEST, VIEW_REQUEST.pack(view_number))


def pack_view(view_number: int, state_reachable: bool) -> bytes:
    """The whole frame by which an earlier version answers with its view number."""
    return pack_frame(FrameType.VIEW, VIEW.pack(view_number, state_reachable))


def frame_type_of(header: bytes) -> int:
    """The type byte of a header, which need not be a known type."""
    return int(HEADER.unpack(header)[2])


def check_header(header: bytes, frame_type: int, body_bytes: int | None = None) -> int:
    """The length of the body that follows, in bytes.

    Args:
        header: The header of a frame.
        frame_type: The type that it must have.
        body_bytes: The length that its body must have; None: any.

    Raises:
        FrameError: It is a frame of another kind, or none.
    """
    magic, version, actual_type, length = HEADER.unpack(header)
    if (magic, version, actual_type) != (MAGIC, VERSION, frame_type):
        raise FrameError(f"frame {header!r}")
    if body_bytes is not None and length != body_bytes:
        raise FrameError(f"frame {header!r}")
    return int(length)


class FrameReader:
    """Reads exact numbers of bytes from a stream."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._received = b""

    async def read_exactly(self, size_bytes: int) -> bytes:
        """The next bytes of the stream, exactly so many.

        Raises:
            anyio.EndOfStream: The stream ends before.
        """
        while len(self._received) < size_bytes:
            self._received += await self.stream.receive()
        part, self._received = self._received[:size_bytes], self._received[size_bytes:]
        return part

    async def read_header(self) -> bytes:
        """The header of the next frame."""
        return await self.read_exactly(HEADER.size)

    async def read_body(self, header: bytes, frame_type: int, body_bytes: int | None = None) -> bytes:
        """The body that follows a header, which must have the given type and length; see check_header()."""
        return await self.read_exactly(check_header(header, frame_type, body_bytes))


# What ends a connection without anything being wrong with the frames on it.
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
