"""The types, layouts and codecs of the frames that controllers exchange over the mesh.

A frame is a header (magic, version, type, length of the body) and a body, in network byte order.

A status request carries the view number under which the requester acts, the revision up to which it has read all
changes, and its position in the responder's log of cancellations. A status carries the highest view number that the
responder knows (0 for none), flags, the identifier of the responder's log of cancellations, the position in that log
that the requester has reached with this answer, and the cancellations that the requester lacks. Only a status whose
list of cancellations is complete confirms that the requester may go on answering workers without the state service.

Earlier versions send view requests and views instead, and close the connection when they receive any other frame. They
do not know of cancellations, so neither frame confirms anything: a controller of this version answers a view request
with a view number that no controller acts under. A frame with an unexpected version, type or length closes only its
connection.
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
    """The type byte of a frame.

    The bodies of the cell and summary frames are defined in cells.frames, those of idle capacity in admission.frames.
    """

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


# The types of the requests that belong to optional features, with the types of their answers.
ANSWER_TYPES: dict[int, FrameType] = {
    FrameType.CELL_REQUEST: FrameType.CELL_ANSWER,
    FrameType.SUMMARY_REQUEST: FrameType.SUMMARY,
    FrameType.IDLE_CAPACITY_REQUEST: FrameType.IDLE_CAPACITY,
}


class StatusFlag(IntFlag):
    """The bits of the flags byte in a status."""

    STATE_REACHABLE = 1
    FULLY_READ = 2
    MORE_CANCELLATIONS = 4


# Magic, version, type, length of the body.
HEADER = struct.Struct("!4sBBH")
# The requester's view number.
VIEW_REQUEST = struct.Struct("!Q")
# The responder's view number, and whether it reaches the state service.
VIEW = struct.Struct("!QB")
# View number, applied revision, log identifier, log position.
STATUS_REQUEST = struct.Struct("!QQQQ")
# View number, flags, log identifier, log position, number of cancellations that follow.
STATUS = struct.Struct("!QBQQH")
# The revision, and the length of the job name, which follows.
CANCELLATION = struct.Struct("!QB")

MAX_BODY_BYTES = 0xFFFF
MAX_NAME_BYTES = 255
# The most cancellations in one frame: a frame with this many job names of maximum length still fits the body limit.
MAX_CANCELLATIONS = (MAX_BODY_BYTES - STATUS.size) // (CANCELLATION.size + MAX_NAME_BYTES)
# Higher than the number of any view, so that a controller of an earlier version stops answering workers.
UNCONFIRMING_VIEW_NUMBER = (1 << 64) - 1


class FrameError(Exception):
    """The received bytes are not a valid frame of the expected type; the connection has to be closed."""


@dataclass(frozen=True)
class StatusRequest:
    """Asks a sibling for its status and for the cancellations that this controller lacks.

    Attributes:
        view_number: The number of the view under which the requester acts.
        applied_revision: The revision up to which the requester has read all changes.
        log_id: The identifier of the sibling's cancellation log that the requester last read; 0 if it read none.
        log_position: The position up to which the requester has read that log.
    """

    view_number: int
    applied_revision: int
    log_id: int
    log_position: int

    def pack(self) -> bytes:
        """Returns the whole frame."""
        body = STATUS_REQUEST.pack(self.view_number, self.applied_revision, self.log_id, self.log_position)
        return pack_frame(FrameType.STATUS_REQUEST, body)

    @staticmethod
    def unpack(body: bytes) -> StatusRequest:
        """Decodes a body whose length was already checked against the header."""
        return StatusRequest(*STATUS_REQUEST.unpack(body))


@dataclass(frozen=True)
class StatusFrame:
    """A controller's status, and the cancellations that the requester lacks.

    Attributes:
        view_number: The highest view number that the responder knows; 0 if it knows none yet.
        state_reachable: Whether the responder reaches the state service.
        fully_read: Whether the responder has read all tables since it started.
        log_id: The identifier of the responder's log of cancellations.
        delta: The cancellations, and the position in the log that the requester has reached with them.
    """

    view_number: int
    state_reachable: bool
    fully_read: bool
    log_id: int
    delta: CancellationDelta

    def pack(self) -> bytes:
        """Returns the whole frame."""
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
        """Decodes the body of a status.

        Raises:
            FrameError: The body is truncated, has extra bytes at its end, or a job name is not UTF-8.
        """
        try:
            view_number, flags, log_id, position, count = STATUS.unpack_from(body)
            cancellations, end = _unpack_cancellations(body, STATUS.size, count)
        except (struct.error, UnicodeDecodeError) as error:
            raise FrameError(str(error)) from None
        if end != len(body):
            raise FrameError(f"status has {len(body) - end} bytes after its last cancellation")
        return StatusFrame(
            view_number,
            bool(flags & StatusFlag.STATE_REACHABLE),
            bool(flags & StatusFlag.FULLY_READ),
            log_id,
            CancellationDelta(cancellations, position, bool(flags & StatusFlag.MORE_CANCELLATIONS)),
        )


def _unpack_cancellations(body: bytes, offset: int, count: int) -> tuple[list[Cancellation], int]:
    """Decodes `count` cancellations from an offset on; returns them and the offset of their end."""
    cancellations: list[Cancellation] = []
    for _ in range(count):
        revision, length = CANCELLATION.unpack_from(body, offset)
        offset += CANCELLATION.size
        if offset + length > len(body):
            raise FrameError("status ends within the name of a cancelled job")
        cancellations.append(Cancellation(body[offset : offset + length].decode(), revision))
        offset += length
    return cancellations, offset


def pack_frame(frame_type: int, body: bytes) -> bytes:
    """Returns a whole frame: the header and the body."""
    return HEADER.pack(MAGIC, VERSION, frame_type, len(body)) + body


def pack_view_request(view_number: int) -> bytes:
    """Returns a whole view request, the frame by which earlier versions poll."""
    return pack_frame(FrameType.VIEW_REQUEST, VIEW_REQUEST.pack(view_number))


def pack_view(view_number: int, state_reachable: bool) -> bytes:
    """Returns a whole view, the answer to a view request."""
    return pack_frame(FrameType.VIEW, VIEW.pack(view_number, state_reachable))


def frame_type_of(header: bytes) -> int:
    """Returns the type byte of a header, which may be an unknown type."""
    return int(HEADER.unpack(header)[2])


def check_header(header: bytes, frame_type: int, body_bytes: int | None = None) -> int:
    """Checks a header and returns the length of the body that follows, in bytes.

    Args:
        header: The header of a frame.
        frame_type: The expected type.
        body_bytes: The expected length of the body, or None for any length.

    Raises:
        FrameError: The magic, version, type or length differs from the expected one.
    """
    magic, version, actual_type, length = HEADER.unpack(header)
    if (magic, version, actual_type) != (MAGIC, VERSION, frame_type):
        raise FrameError(f"unexpected magic, version or type in header {header!r}")
    if body_bytes is not None and length != body_bytes:
        raise FrameError(f"unexpected body length in header {header!r}")
    return int(length)


class FrameReader:
    """Reads frames from a stream."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._received = b""

    async def read_exactly(self, size_bytes: int) -> bytes:
        """Returns the next `size_bytes` bytes of the stream.

        Raises:
            anyio.EndOfStream: The stream ended first.
        """
        while len(self._received) < size_bytes:
            self._received += await self.stream.receive()
        part, self._received = self._received[:size_bytes], self._received[size_bytes:]
        return part

    async def read_header(self) -> bytes:
        """Returns the header of the next frame."""
        return await self.read_exactly(HEADER.size)

    async def read_body(self, header: bytes, frame_type: int, body_bytes: int | None = None) -> bytes:
        """Checks a header as check_header() does, and returns the body that follows it."""
        return await self.read_exactly(check_header(header, frame_type, body_bytes))


# The exceptions raised when a connection ends or times out; invalid bytes raise FrameError instead.
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
