"""The mesh: the connections of this controller with its siblings, and what they said last.

Each controller polls all others. Their answers let a controller go on answering machines while the state service
refuses it (see actors.leadership); the frames are described in mesh_frames.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from sloeswitch.core.cancellation_log import Cancellation, CancellationLog
from sloeswitch.mesh_frames import (
    ANSWER_TYPES,
    CONNECTION_ERRORS,
    MAX_BODY_BYTES,
    MAX_CANCELLATIONS,
    STATUS_REQUEST,
    UNCONFIRMING_VIEW_NUMBER,
    VIEW,
    VIEW_REQUEST,
    FrameError,
    FrameReader,
    FrameType,
    StatusFrame,
    StatusRequest,
    frame_type_of,
    pack_frame,
    pack_view,
    pack_view_request,
)
from sloeswitch.settings import Sibling

log = logging.getLogger("mesh")

# In pauses between polls: how long an answer is waited for, and how long a connection may be silent.
ANSWER_TIMEOUT_PAUSES = 2
SILENCE_TIMEOUT_PAUSES = 20

# Answers a frame of a feature, given its type and body. None or a FrameError: the connection is closed.
FrameHandler = Callable[[int, bytes], Awaitable[bytes | None]]


@dataclass(frozen=True)
class PeerStatus:
    """What a controller says of itself.

    Attributes:
        view_number: The highest view number that it knows; 0: none yet.
        state_reachable: Whether it reaches the state service.
        read_revision: Up to where it has read everything; 0 before the first reading.
        fully_read: Whether it has read the tables since it started. Before that it may have told its users of
            cancellations, as a former process, that it does not know.
        layout_complete: Whether every configured controller has run with a layout whose frames are these.
    """

    view_number: int
    state_reachable: bool
    read_revision: int
    fully_read: bool
    layout_complete: bool


@dataclass(frozen=True)
class MeshCallbacks:
    """What the mesh needs from the controller that it belongs to.

    Attributes:
        status: The controller's present status.
        apply_cancellations: Takes in cancellations that a sibling sent, before its status counts.
    """

    status: Callable[[], PeerStatus]
    apply_cancellations: Callable[[list[Cancellation]], None]


@dataclass
class Peer:
    """What a sibling said last.

    Attributes:
        asked_at: When the request that it answered was sent.
        view_number: The highest view number that it knew.
        state_reachable: Whether it reached the state service.
        cancellations_complete: Whether all cancellations that it may have told its users are known here by now.
        log_id: Its log of cancellations.
        log_position: Up to where that log is known here.
        is_earlier_version: Whether it is polled with frames of earlier versions, because it closed a connection on a
            status request, or because not every controller has run with these frames yet.
    """

    asked_at: float = float("-inf")
    view_number: int = 0
    state_reachable: bool = False
    cancellations_complete: bool = False
    log_id: int = 0
    log_position: int = 0
    is_earlier_version: bool = False


class Mesh:
    """Owns the connections to the siblings, and what they said last.

    Attributes:
        pause_s: The time between polls of a sibling.
        peers: What each sibling said last, by member name.
        handlers: The handlers of features that are on, by the types of the frames that they answer.
    """

    def __init__(
        self,
        siblings: tuple[Sibling, ...],
        pause_s: float,
        now: Callable[[], float],
        callbacks: MeshCallbacks,
        cancellations: CancellationLog,
    ) -> None:
        self.pause_s = pause_s
        self.now = now
        self.callbacks = callbacks
        self.cancellations = cancellations
        self.peers = {sibling.member: Peer() for sibling in siblings}
        self.handlers: dict[int, FrameHandler] = {}

    # -- answering siblings

    async def serve(self, stream: SocketStream) -> None:
        """Answers the frames of one accepted connection until it ends, and closes it."""
        reader = FrameReader(stream)
        try:
            while True:
                with anyio.fail_after(SILENCE_TIMEOUT_PAUSES * self.pause_s):
                    await stream.send(await self._answer_next(reader))
        except FrameError as error:
            log.error("connection closed on a frame: error=%s", error)
        except CONNECTION_ERRORS:
            pass  # the sibling connects again
        finally:
            await anyio.aclose_forcefully(stream)

    async def _answer_next(self, reader: FrameReader) -> bytes:
        header = await reader.read_header()
        frame_type = frame_type_of(header)
        if frame_type in self.handlers:
            return await self._answer_feature(frame_type, await reader.read_body(header, frame_type))
        if frame_type == FrameType.VIEW_REQUEST:
            await reader.read_body(header, FrameType.VIEW_REQUEST, VIEW_REQUEST.size)
            return pack_view(UNCONFIRMING_VIEW_NUMBER, self.callbacks.status().state_reachable)
        body = await reader.read_body(header, FrameType.STATUS_REQUEST, STATUS_REQUEST.size)
        return self.status_for(StatusRequest.unpack(body)).pack()

    async def _answer_feature(self, frame_type: int, body: bytes) -> bytes:
        answer = await self.handlers[frame_type](frame_type, body)
        if answer is None or len(answer) > MAX_BODY_BYTES:
            raise FrameError(f"no answer to a frame of type {frame_type}")
        return pack_frame(ANSWER_TYPES[frame_type], answer)

    def status_for(self, request: StatusRequest) -> StatusFrame:
        """The answer to a sibling's status request."""
        status = self.callbacks.status()
        delta = self.cancellations.since(
            request.applied_revision, request.log_id, request.log_position, MAX_CANCELLATIONS
        )
        return StatusFrame(
            status.view_number, status.state_reachable, status.fully_read, self.cancellations.log_id, delta
        )

    # -- polling siblings

    async def poll_forever(self, sibling: Sibling) -> None:
        """Polls one sibling, and connects to it again whenever the connection ends."""
        while True:
            await self._poll_connection(sibling, self.peers[sibling.member])
            await anyio.sleep(self.pause_s)

    async def _poll_connection(self, sibling: Sibling, peer: Peer) -> None:
        """Polls over one connection until it ends, or until frames of this version may be tried again."""
        stream: SocketStream | None = None
        answered = False
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_PAUSES * self.pause_s):
                stream = await anyio.connect_tcp(sibling.address.host, sibling.address.port)
            reader = FrameReader(stream)
            peer.is_earlier_version = peer.is_earlier_version or not self._layout_complete
            while not (peer.is_earlier_version and answered and self._layout_complete):
                request = self._request_view if peer.is_earlier_version else self._request_status
                with anyio.fail_after(ANSWER_TIMEOUT_PAUSES * self.pause_s):
                    has_more = await request(peer, stream, reader)
                answered = True
                if not has_more:
                    await anyio.sleep(self.pause_s)
            peer.is_earlier_version = False
        except FrameError as error:
            log.error("connection closed on a frame: sibling=%s error=%s", sibling.member, error)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            # An earlier version closes the connection on a frame that it does not know.
            peer.is_earlier_version = not peer.is_earlier_version and not answered
        except CONNECTION_ERRORS:
            pass  # connected to again after a pause
        finally:
            if stream is not None:
                await anyio.aclose_forcefully(stream)

    @property
    def _layout_complete(self) -> bool:
        return self.callbacks.status().layout_complete

    async def _request_status(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        """Polls with a frame of this version; returns whether there is more to be asked for at once."""
        asked_at = self.now()
        status = self.callbacks.status()
        request = StatusRequest(status.view_number, status.read_revision, peer.log_id, peer.log_position)
        await stream.send(request.pack())
        answer = StatusFrame.unpack(await reader.read_body(await reader.read_header(), FrameType.STATUS))
        self.apply_status(peer, asked_at, answer)
        return answer.delta.more and bool(answer.delta.cancellations)

    def apply_status(self, peer: Peer, asked_at: float, answer: StatusFrame) -> None:
        """Takes in a sibling's status. Its cancellations are known here before the status counts for anything."""
        if answer.delta.cancellations:
            self.callbacks.apply_cancellations(answer.delta.cancellations)
        peer.log_id, peer.log_position = answer.log_id, answer.delta.position
        peer.asked_at = asked_at
        peer.view_number, peer.state_reachable = answer.view_number, answer.state_reachable
        peer.cancellations_complete = answer.fully_read and not answer.delta.more

    async def _request_view(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        """Polls with a frame of earlier versions, whose answer confirms nothing; there is never more to ask for."""
        asked_at = self.now()
        await stream.send(pack_view_request(self.callbacks.status().view_number))
        body = await reader.read_body(await reader.read_header(), FrameType.VIEW, VIEW.size)
        view_number, state_reachable = VIEW.unpack(body)
        peer.asked_at = asked_at
        peer.view_number, peer.state_reachable = view_number, bool(state_reachable)
        peer.cancellations_complete = False
        return False
