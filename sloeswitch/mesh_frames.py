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

from anyio.abc import SocketStream

from sloeswitch.core.cancellation_log import Cancellation, CancellationDelta

HEADER = struct.Struct("!4sBBH")
VIEW_REQUEST = struct.Struct("!Q")
VIEW = struct.Struct("!QB")
STATUS_REQUEST = struct.Struct("!QQQQ")
STATUS = struct.Struct("!QBQQH")
CANCELLATION = struct.Struct("!QB")
MAGIC, VERSION = b"sloe", 1
TYPE_VIEW_REQUEST, TYPE_VIEW, TYPE_STATUS_REQUEST, TYPE_STATUS = 1, 2, 3, 4
# Between cells (see cells.frames): requests, and the types of their answers.
TYPE_CELL_REQUEST, TYPE_CELL_ANSWER, TYPE_SUMMARY_REQUEST, TYPE_SUMMARY = 5, 6, 7, 8
# Room that no admitted job could take (see admission.frames).
TYPE_IDLE_CAPACITY_REQUEST, TYPE_IDLE_CAPACITY = 9, 10
# Frames of features, which are served only where the feature is on, and the types of their answers.
ANSWER_TYPES = {
    TYPE_CELL_REQUEST: TYPE_CELL_ANSWER,
    TYPE_SUMMARY_REQUEST: TYPE_SUMMARY,
    TYPE_IDLE_CAPACITY_REQUEST: TYPE_IDLE_CAPACITY,
}
MAX_BODY_BYTES = 0xFFFF
FLAG_STATE_REACHABLE, FLAG_COMPLETE, FLAG_MORE = 1, 2, 4
# Later than any view: an earlier version takes it for a reason to stop.
UNCONFIRMING_VIEW_NUMBER = (1 << 64) - 1
# Cancellations in one frame, so that it keeps within its length whatever they are called.
MAX_CANCELLATIONS = (MAX_BODY_BYTES - STATUS.size) // (CANCELLATION.size + 255)


class FrameError(Exception):
    """The bytes are not a frame that may come here; the connection is to be closed."""


def pack_view_request(view: int) -> bytes:
    """The whole frame by which an earlier version asks for a view number."""
    return HEADER.pack(MAGIC, VERSION, TYPE_VIEW_REQUEST, VIEW_REQUEST.size) + VIEW_REQUEST.pack(view)


def pack_view(view: int, state_ok: bool) -> bytes:
    """The whole frame by which an earlier version answers with its view number."""
    return HEADER.pack(MAGIC, VERSION, TYPE_VIEW, VIEW.size) + VIEW.pack(view, state_ok)


@dataclass(frozen=True)
class StatusFrame:
    """A status."""

    view_number: int
    state_reachable: bool
    fully_read: bool
    log_id: int
    delta: CancellationDelta

    def pack(self) -> bytes:
        """The whole frame."""
        flags = (
            FLAG_STATE_REACHABLE * self.state_reachable | FLAG_COMPLETE * self.fully_read | FLAG_MORE * self.delta.more
        )
        entries = self.delta.cancellations
        body = STATUS.pack(self.view_number, flags, self.log_id, self.delta.position, len(entries))
        for entry in entries:
            name = entry.job.encode()
            body += CANCELLATION.pack(entry.revision, len(name)) + name
        return HEADER.pack(MAGIC, VERSION, TYPE_STATUS, len(body)) + body

    @staticmethod
    def unpack(body: bytes) -> StatusFrame:
        """The status in a body; raises FrameError."""
        try:
            view, flags, log, upto, count = STATUS.unpack_from(body)
            entries: list[Cancellation] = []
            at = STATUS.size
            for _ in range(count):
                stamp, length = CANCELLATION.unpack_from(body, at)
                at += CANCELLATION.size
                if at + length > len(body):
                    raise FrameError("a name is cut off")
                entries.append(Cancellation(body[at : at + length].decode(), stamp))
                at += length
        except (struct.error, UnicodeDecodeError) as error:
            raise FrameError(str(error)) from None
        if at != len(body):
            raise FrameError(f"{len(body) - at} bytes too many")
        return StatusFrame(
            view,
            bool(flags & FLAG_STATE_REACHABLE),
            bool(flags & FLAG_COMPLETE),
            log,
            CancellationDelta(entries, upto, bool(flags & FLAG_MORE)),
        )


def pack_status_request(view: int, epoch: int, log: int, place: int) -> bytes:
    """The whole frame by which a status is asked for."""
    return HEADER.pack(MAGIC, VERSION, TYPE_STATUS_REQUEST, STATUS_REQUEST.size) + STATUS_REQUEST.pack(
        view, epoch, log, place
    )


def check_header(header: bytes, kind: int, size: int | None = None) -> int:
    """The length of the body that follows."""
    magic, version, got, length = HEADER.unpack(header)
    if magic != MAGIC or version != VERSION or got != kind or (size is not None and length != size):
        raise FrameError(f"frame {header!r}")
    return int(length)


class FrameReader:
    """Reads exact numbers of bytes from a stream."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.data = b""

    async def read_exactly(self, size: int) -> bytes:
        """The next bytes of the stream, exactly so many."""
        while len(self.data) < size:
            self.data += await self.stream.receive()
        part, self.data = self.data[:size], self.data[size:]
        return part
