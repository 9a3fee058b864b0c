"""What controllers say to each other: one question, packed by hand.

A frame is a header (magic, version, type, length of the rest) and a body. INQUIRE carries the view number the asker
acts under, the epoch up to which it has read everything, and its place in the answerer's log of cancellations; INFORM
carries the highest view number that the answerer knows (0: none yet), flags, the name of its log, the place up to
which the asker now has it, and the cancellations that the asker lacks. Only an INFORM that leaves nothing out
confirms that the asker may go on answering machines without the state service.

ASK and TELL are those of earlier versions, which close a connection on any other frame. They know nothing of
cancellations, so that they confirm nothing: what is told to an ASK is a view that nobody acts under. Frames of another
version, type or length close the connection only.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from anyio.abc import SocketStream

from sloeswitch.core.cancellation_log import Cancellation, CancellationDelta

HEADER = struct.Struct("!4sBBH")
ASK = struct.Struct("!Q")
TELL = struct.Struct("!QB")
INQUIRE = struct.Struct("!QQQQ")
INFORM = struct.Struct("!QBQQH")
ENTRY = struct.Struct("!QB")
MAGIC, VERSION = b"sloe", 1
TYPE_ASK, TYPE_TELL, TYPE_INQUIRE, TYPE_INFORM = 1, 2, 3, 4
# Between cells (see cells.frames): requests, and the types of their answers.
TYPE_CELL_REQUEST, TYPE_CELL_ANSWER, TYPE_SUMMARY_REQUEST, TYPE_SUMMARY = 5, 6, 7, 8
# Room that no admitted job could take (see admission.frames).
TYPE_IDLE_ROOM_REQUEST, TYPE_IDLE_ROOM = 9, 10
# Frames of features, which are served only where the feature is on, and the types of their answers.
ANSWER_TYPES = {
    TYPE_CELL_REQUEST: TYPE_CELL_ANSWER,
    TYPE_SUMMARY_REQUEST: TYPE_SUMMARY,
    TYPE_IDLE_ROOM_REQUEST: TYPE_IDLE_ROOM,
}
MAX_BODY = 0xFFFF
FLAG_STATE_REACHABLE, FLAG_COMPLETE, FLAG_MORE = 1, 2, 4
# Later than any view: an earlier version takes it for a reason to stop.
NO_CONFIRMATION = (1 << 64) - 1
# Cancellations in one frame, so that it keeps within its length whatever they are called.
MOST_ENTRIES = (MAX_BODY - INFORM.size) // (ENTRY.size + 255)


class FrameError(Exception):
    """The bytes are not a frame that may come here; the connection is to be closed."""


def pack_ask(view: int) -> bytes:
    """The whole frame by which an earlier version asks for a view number."""
    return HEADER.pack(MAGIC, VERSION, TYPE_ASK, ASK.size) + ASK.pack(view)


def pack_tell(view: int, state_ok: bool) -> bytes:
    """The whole frame by which an earlier version answers with its view number."""
    return HEADER.pack(MAGIC, VERSION, TYPE_TELL, TELL.size) + TELL.pack(view, state_ok)


@dataclass(frozen=True)
class StatusFrame:
    """An INFORM."""

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
        body = INFORM.pack(self.view_number, flags, self.log_id, self.delta.position, len(entries))
        for entry in entries:
            name = entry.job.encode()
            body += ENTRY.pack(entry.revision, len(name)) + name
        return HEADER.pack(MAGIC, VERSION, TYPE_INFORM, len(body)) + body

    @staticmethod
    def unpack(body: bytes) -> StatusFrame:
        """The status in a body; raises FrameError."""
        try:
            view, flags, log, upto, count = INFORM.unpack_from(body)
            entries: list[Cancellation] = []
            at = INFORM.size
            for _ in range(count):
                stamp, length = ENTRY.unpack_from(body, at)
                at += ENTRY.size
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


def pack_inquire(view: int, epoch: int, log: int, place: int) -> bytes:
    """The whole frame by which a status is asked for."""
    return HEADER.pack(MAGIC, VERSION, TYPE_INQUIRE, INQUIRE.size) + INQUIRE.pack(view, epoch, log, place)


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

    async def exactly(self, size: int) -> bytes:
        """The next bytes of the stream, exactly so many."""
        while len(self.data) < size:
            self.data += await self.stream.receive()
        part, self.data = self.data[:size], self.data[size:]
        return part
