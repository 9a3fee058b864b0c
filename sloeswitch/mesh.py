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

import logging
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from sloeswitch.core.cancellation_log import Cancellation, CancellationDelta, CancellationLog
from sloeswitch.settings import Sibling

log = logging.getLogger("mesh")

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


# Answers a frame by its type and body; None or FrameError: the connection is closed.
FrameHandler = Callable[[int, bytes], Awaitable[bytes | None]]


class FrameError(Exception):
    pass


def pack_ask(view: int) -> bytes:
    return HEADER.pack(MAGIC, VERSION, TYPE_ASK, ASK.size) + ASK.pack(view)


def pack_tell(view: int, state_ok: bool) -> bytes:
    return HEADER.pack(MAGIC, VERSION, TYPE_TELL, TELL.size) + TELL.pack(view, state_ok)


@dataclass(frozen=True)
class PeerStatus:
    """What a controller tells of itself."""

    view_number: int
    state_reachable: bool
    # Up to where it has read everything; 0 before the first reading.
    read_revision: int
    # Whether it has read the tables since it started. Before that it may have told its users of cancellations, as a
    # former process, that it does not know.
    fully_read: bool
    # Whether every configured controller has run with a layout whose frames are these.
    layout_complete: bool


@dataclass(frozen=True)
class StatusFrame:
    """An INFORM."""

    view_number: int
    state_reachable: bool
    fully_read: bool
    log_id: int
    delta: CancellationDelta

    def pack(self) -> bytes:
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
        while len(self.data) < size:
            self.data += await self.stream.receive()
        part, self.data = self.data[:size], self.data[size:]
        return part


@dataclass
class Peer:
    """What a sibling last told. `asked_at` is when the question was sent."""

    asked_at: float = float("-inf")
    view_number: int = 0
    state_reachable: bool = False
    # Whether all the cancellations that it may have told its users are known here by now.
    cancellations_complete: bool = False
    # Its log of cancellations, and up to where we have it.
    log_id: int = 0
    log_position: int = 0


class Mesh:
    """Owns the connections to the siblings and what they told."""

    def __init__(
        self,
        siblings: tuple[Sibling, ...],
        pause_s: float,
        now: Callable[[], float],
        known: Callable[[], PeerStatus],
        cancellations: CancellationLog,
        learn: Callable[[list[Cancellation]], None],
    ) -> None:
        self.siblings = siblings
        self.pause_s = pause_s
        self.now = now
        self.status = known
        self.cancellations = cancellations
        self.apply_cancellations = learn
        self.peers = {sibling.member: Peer() for sibling in siblings}
        # Features that are on, by the types of frames that they answer.
        self.handlers: dict[int, FrameHandler] = {}

    async def serve(self, stream: SocketStream) -> None:
        reader = FrameReader(stream)
        try:
            while True:
                with anyio.fail_after(20 * self.pause_s):
                    header = await reader.exactly(HEADER.size)
                    kind = HEADER.unpack(header)[2]
                    if kind in self.handlers:
                        body = await reader.exactly(check_header(header, kind))
                        answer = await self.handlers[kind](kind, body)
                        if answer is None or len(answer) > MAX_BODY:
                            raise FrameError(f"no answer to a frame of type {kind}")
                        reply = HEADER.pack(MAGIC, VERSION, ANSWER_TYPES[kind], len(answer)) + answer
                    elif kind == TYPE_ASK:
                        check_header(header, TYPE_ASK, ASK.size)
                        await reader.exactly(ASK.size)
                        reply = pack_tell(NO_CONFIRMATION, self.status().state_reachable)
                    else:
                        check_header(header, TYPE_INQUIRE, INQUIRE.size)
                        reply = self.status_for(await reader.exactly(INQUIRE.size)).pack()
                    await stream.send(reply)
        except FrameError as error:
            log.error("%s", error)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            await anyio.aclose_forcefully(stream)

    def status_for(self, question: bytes) -> StatusFrame:
        _view, epoch, name, place = INQUIRE.unpack(question)
        known = self.status()
        extract = self.cancellations.since(epoch, name, place, MOST_ENTRIES)
        return StatusFrame(
            known.view_number, known.state_reachable, known.fully_read, self.cancellations.log_id, extract
        )

    def apply_status(self, peer: Peer, asked: float, answer: StatusFrame) -> None:
        """A sibling's answer. What it tells is known here before the answer counts for anything."""
        if answer.delta.cancellations:
            self.apply_cancellations(answer.delta.cancellations)
        peer.log_id, peer.log_position = answer.log_id, answer.delta.position
        peer.asked_at, peer.view_number, peer.state_reachable = asked, answer.view_number, answer.state_reachable
        peer.cancellations_complete = answer.fully_read and not answer.delta.more

    async def poll_forever(self, sibling: Sibling) -> None:
        peer = self.peers[sibling.member]
        # Whether it closed the connection on an INQUIRE, as an earlier version does.
        earlier = False
        while True:
            stream = None
            answered = False
            try:
                with anyio.fail_after(2 * self.pause_s):
                    stream = await anyio.connect_tcp(sibling.address.host, sibling.address.port)
                reader = FrameReader(stream)
                earlier = earlier or not self.status().layout_complete
                while not (earlier and answered and self.status().layout_complete):
                    with anyio.fail_after(2 * self.pause_s):
                        again = await (self._ask if earlier else self._inquire)(peer, stream, reader)
                    answered = True
                    if not again:
                        await anyio.sleep(self.pause_s)
                earlier = False
            except FrameError as error:
                log.error("from %s: %s", sibling.member, error)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                earlier = not earlier and not answered
            except (OSError, TimeoutError, anyio.ClosedResourceError):
                pass
            finally:
                if stream is not None:
                    await anyio.aclose_forcefully(stream)
            await anyio.sleep(self.pause_s)

    async def _inquire(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        """Whether there is more to be asked for at once."""
        asked = self.now()
        known = self.status()
        await stream.send(pack_inquire(known.view_number, known.read_revision, peer.log_id, peer.log_position))
        length = check_header(await reader.exactly(HEADER.size), TYPE_INFORM)
        answer = StatusFrame.unpack(await reader.exactly(length))
        self.apply_status(peer, asked, answer)
        return answer.delta.more and bool(answer.delta.cancellations)

    async def _ask(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        asked = self.now()
        await stream.send(pack_ask(self.status().view_number))
        check_header(await reader.exactly(HEADER.size), TYPE_TELL, TELL.size)
        view, state_ok = TELL.unpack(await reader.exactly(TELL.size))
        peer.asked_at, peer.view_number, peer.state_reachable, peer.cancellations_complete = (
            asked,
            view,
            bool(state_ok),
            False,
        )
        return False
