"""The mesh: the connections of this controller with its siblings, and what they said last."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from sloeswitch.core.cancellation_log import Cancellation, CancellationLog
from sloeswitch.mesh_frames import (
    ANSWER_TYPES,
    HEADER,
    MAGIC,
    MAX_BODY_BYTES,
    MAX_CANCELLATIONS,
    STATUS_REQUEST,
    TYPE_STATUS,
    TYPE_STATUS_REQUEST,
    TYPE_VIEW,
    TYPE_VIEW_REQUEST,
    UNCONFIRMING_VIEW_NUMBER,
    VERSION,
    VIEW,
    VIEW_REQUEST,
    FrameError,
    FrameReader,
    StatusFrame,
    check_header,
    pack_status_request,
    pack_view,
    pack_view_request,
)
from sloeswitch.settings import Sibling

log = logging.getLogger("mesh")

# Answers a frame by its type and body; None or FrameError: the connection is closed.
FrameHandler = Callable[[int, bytes], Awaitable[bytes | None]]


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
                    header = await reader.read_exactly(HEADER.size)
                    kind = HEADER.unpack(header)[2]
                    if kind in self.handlers:
                        body = await reader.read_exactly(check_header(header, kind))
                        answer = await self.handlers[kind](kind, body)
                        if answer is None or len(answer) > MAX_BODY_BYTES:
                            raise FrameError(f"no answer to a frame of type {kind}")
                        reply = HEADER.pack(MAGIC, VERSION, ANSWER_TYPES[kind], len(answer)) + answer
                    elif kind == TYPE_VIEW_REQUEST:
                        check_header(header, TYPE_VIEW_REQUEST, VIEW_REQUEST.size)
                        await reader.read_exactly(VIEW_REQUEST.size)
                        reply = pack_view(UNCONFIRMING_VIEW_NUMBER, self.status().state_reachable)
                    else:
                        check_header(header, TYPE_STATUS_REQUEST, STATUS_REQUEST.size)
                        reply = self.status_for(await reader.read_exactly(STATUS_REQUEST.size)).pack()
                    await stream.send(reply)
        except FrameError as error:
            log.error("%s", error)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            await anyio.aclose_forcefully(stream)

    def status_for(self, question: bytes) -> StatusFrame:
        _view, epoch, name, place = STATUS_REQUEST.unpack(question)
        known = self.status()
        extract = self.cancellations.since(epoch, name, place, MAX_CANCELLATIONS)
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
        # Whether it closed the connection on a status request, as an earlier version does.
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
                        again = await (self._request_view if earlier else self._request_status)(peer, stream, reader)
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

    async def _request_status(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        """Whether there is more to be asked for at once."""
        asked = self.now()
        known = self.status()
        await stream.send(pack_status_request(known.view_number, known.read_revision, peer.log_id, peer.log_position))
        length = check_header(await reader.read_exactly(HEADER.size), TYPE_STATUS)
        answer = StatusFrame.unpack(await reader.read_exactly(length))
        self.apply_status(peer, asked, answer)
        return answer.delta.more and bool(answer.delta.cancellations)

    async def _request_view(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        asked = self.now()
        await stream.send(pack_view_request(self.status().view_number))
        check_header(await reader.read_exactly(HEADER.size), TYPE_VIEW, VIEW.size)
        view, state_ok = VIEW.unpack(await reader.read_exactly(VIEW.size))
        peer.asked_at, peer.view_number, peer.state_reachable, peer.cancellations_complete = (
            asked,
            view,
            bool(state_ok),
            False,
        )
        return False
