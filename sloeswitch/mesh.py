"""The mesh: this controller's connections to its siblings, and the last status received from each.

Each controller polls all others. As long as they all confirm its view, it may go on answering the reports of workers
while it cannot use the state service (see actors.leadership). The frames are described in mesh_frames.
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

# Time limits in poll intervals: for the answer to a poll, and for the next request on an accepted connection.
ANSWER_TIMEOUT_POLL_INTERVALS = 2
IDLE_TIMEOUT_POLL_INTERVALS = 20

# Returns the answer's body to a frame of an optional feature, given the frame's type and body. If it returns None or
# raises FrameError, the connection is closed.
FrameHandler = Callable[[int, bytes], Awaitable[bytes | None]]


@dataclass(frozen=True)
class PeerStatus:
    """The status that a controller reports to its siblings.

    Attributes:
        view_number: The highest view number that the controller knows; 0 if it knows none yet.
        state_reachable: Whether the controller reaches the state service.
        read_revision: The revision up to which the controller has read all changes; 0 before the first read.
        fully_read: Whether the controller has read all tables since it started. Before that it may not know of
            cancellations that its previous process confirmed to users.
        layout_complete: Whether every configured controller has run a version that supports status frames, as the
            recorded versions of the layout show.
    """

    view_number: int
    state_reachable: bool
    read_revision: int
    fully_read: bool
    layout_complete: bool


@dataclass(frozen=True)
class MeshCallbacks:
    """What the mesh needs from its controller.

    Attributes:
        status: Returns the controller's current status.
        apply_cancellations: Applies cancellations that a sibling sent; called before the sibling's status is recorded.
    """

    status: Callable[[], PeerStatus]
    apply_cancellations: Callable[[list[Cancellation]], None]


@dataclass
class Peer:
    """The last status received from a sibling.

    Attributes:
        requested_at: When the request for this status was sent, in seconds of the monotonic clock.
        view_number: The highest view number that the sibling knew.
        state_reachable: Whether the sibling reached the state service.
        cancellations_complete: Whether this controller knows all cancellations that the sibling may have confirmed to
            users.
        log_id: The identifier of the sibling's cancellation log; 0 if none was read yet.
        log_position: The position up to which this controller has read that log.
        uses_earlier_frames: Whether the sibling is polled with frames of earlier versions, because it closed a
            connection after a status request, or because not every controller has run a version with status frames yet.
    """

    requested_at: float = float("-inf")
    view_number: int = 0
    state_reachable: bool = False
    cancellations_complete: bool = False
    log_id: int = 0
    log_position: int = 0
    uses_earlier_frames: bool = False


class Mesh:
    """Owns the connections to the siblings and the last status of each.

    Attributes:
        poll_interval_s: The time between two polls of a sibling.
        now: The monotonic clock, in seconds.
        callbacks: The functions of the controller that the mesh calls.
        cancellations: The log of cancellations that siblings read.
        peers: The last status of each sibling, by member name.
        handlers: The handlers of the enabled features, by the type of the frames that they answer.
    """

    def __init__(
        self,
        siblings: tuple[Sibling, ...],
        poll_interval_s: float,
        now: Callable[[], float],
        callbacks: MeshCallbacks,
        cancellations: CancellationLog,
    ) -> None:
        self.poll_interval_s = poll_interval_s
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
                with anyio.fail_after(IDLE_TIMEOUT_POLL_INTERVALS * self.poll_interval_s):
                    await stream.send(await self._answer_next(reader))
        except FrameError as error:
            log.error("connection closed on a frame: error=%s", error)
        except CONNECTION_ERRORS:
            pass  # the sibling reconnects
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
            raise FrameError(f"the answer to a frame of type {frame_type} is missing or too long")
        return pack_frame(ANSWER_TYPES[frame_type], answer)

    def status_for(self, request: StatusRequest) -> StatusFrame:
        """Returns the answer to a sibling's status request."""
        status = self.callbacks.status()
        delta = self.cancellations.since(
            request.applied_revision, request.log_id, request.log_position, MAX_CANCELLATIONS
        )
        return StatusFrame(
            status.view_number, status.state_reachable, status.fully_read, self.cancellations.log_id, delta
        )

    # -- polling siblings

    async def poll_forever(self, sibling: Sibling) -> None:
        """Polls one sibling, and reconnects whenever the connection ends."""
        while True:
            await self._poll_connection(sibling, self.peers[sibling.member])
            await anyio.sleep(self.poll_interval_s)

    async def _poll_connection(self, sibling: Sibling, peer: Peer) -> None:
        """Polls over one connection until it ends, or until status requests can be tried again."""
        stream: SocketStream | None = None
        answered = False
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_POLL_INTERVALS * self.poll_interval_s):
                stream = await anyio.connect_tcp(sibling.address.host, sibling.address.port)
            reader = FrameReader(stream)
            peer.uses_earlier_frames = peer.uses_earlier_frames or not self._layout_complete
            while not (peer.uses_earlier_frames and answered and self._layout_complete):
                request = self._request_view if peer.uses_earlier_frames else self._request_status
                with anyio.fail_after(ANSWER_TIMEOUT_POLL_INTERVALS * self.poll_interval_s):
                    has_more = await request(peer, stream, reader)
                answered = True
                if not has_more:
                    await anyio.sleep(self.poll_interval_s)
            peer.uses_earlier_frames = False
        except FrameError as error:
            log.error("connection closed on a frame: sibling=%s error=%s", sibling.member, error)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            # An earlier version closes the connection when it receives a frame type that it does not know. If a status
            # request got no answer, view requests are tried next.
            peer.uses_earlier_frames = not peer.uses_earlier_frames and not answered
        except CONNECTION_ERRORS:
            pass  # poll_forever() reconnects
        finally:
            if stream is not None:
                await anyio.aclose_forcefully(stream)

    @property
    def _layout_complete(self) -> bool:
        return self.callbacks.status().layout_complete

    async def _request_status(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        """Polls with a status request; returns whether the next request should follow at once."""
        requested_at = self.now()
        status = self.callbacks.status()
        request = StatusRequest(status.view_number, status.read_revision, peer.log_id, peer.log_position)
        await stream.send(request.pack())
        answer = StatusFrame.unpack(await reader.read_body(await reader.read_header(), FrameType.STATUS))
        self.apply_status(peer, requested_at, answer)
        return answer.delta.more and bool(answer.delta.cancellations)

    def apply_status(self, peer: Peer, requested_at: float, answer: StatusFrame) -> None:
        """Applies the cancellations that a sibling sent, and then records its status."""
        if answer.delta.cancellations:
            self.callbacks.apply_cancellations(answer.delta.cancellations)
        peer.log_id, peer.log_position = answer.log_id, answer.delta.position
        peer.requested_at = requested_at
        peer.view_number, peer.state_reachable = answer.view_number, answer.state_reachable
        peer.cancellations_complete = answer.fully_read and not answer.delta.more

    async def _request_view(self, peer: Peer, stream: SocketStream, reader: FrameReader) -> bool:
        """Polls with a view request of earlier versions, whose answer confirms nothing; returns False."""
        requested_at = self.now()
        await stream.send(pack_view_request(self.callbacks.status().view_number))
        body = await reader.read_body(await reader.read_header(), FrameType.VIEW, VIEW.size)
        view_number, state_reachable = VIEW.unpack(body)
        peer.requested_at = requested_at
        peer.view_number, peer.state_reachable = view_number, bool(state_reachable)
        peer.cancellations_complete = False
        return False
