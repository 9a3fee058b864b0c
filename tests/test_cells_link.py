"""Cells: the link over the mesh, and the encoding of its frames."""

from __future__ import annotations

from functools import partial
from typing import Any

import anyio
import pytest

from sloeswitch.cells.frames import CellAnswer, CellRequest, Offer, pack_summary, unpack_summary
from sloeswitch.cells.link import MeshLink, answer_frame
from sloeswitch.cells.messages import Answer, HandoffId, Request, RequestMessage
from sloeswitch.cells.summary import Summary
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.features import PeerCell
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.mesh import ControllerStatus, Mesh, MeshCallbacks
from sloeswitch.mesh_frames import FrameError, FrameType
from sloeswitch.settings import Address
from tests.conftest import spec
from tests.support.cells import CellWorld
from tests.support.streams import connect_to

JOB = "wk-000001"


def test_a_link_exchanges_frames_with_the_mesh_of_another_cell(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request without an answer closes the connection, and the next request goes to the next controller."""
    world = CellWorld(1, faults_enabled=False)
    south = world.cells["south"]
    south.renew()
    target = south.controllers["c0"].target
    connected_ports: list[int] = []

    async def run() -> None:
        for controller in south.controllers.values():
            await controller.origin.record_member()
        mesh = Mesh(
            (),
            1.0,
            world.clock.now,
            MeshCallbacks(lambda: ControllerStatus(1, True, 1, True, True), lambda _: None),
            CancellationLog(1, 1),
        )
        async with anyio.create_task_group() as group:

            async def connect(host: str, port: int) -> Any:
                connected_ports.append(port)
                if port == 1:
                    raise OSError("refused")
                return connect_to(mesh, group)

            monkeypatch.setattr(anyio, "connect_tcp", connect)
            link = MeshLink("north", PeerCell("south", (Address("peer", 1), Address("peer", 2))), 5.0)
            with pytest.raises(NoAnswerError):
                await link.summary()
            with pytest.raises(NoAnswerError):
                await link.summary()  # without a handler, as with the feature off, the mesh closes the connection
            mesh.handlers[FrameType.SUMMARY_REQUEST] = mesh.handlers[FrameType.CELL_REQUEST] = partial(
                answer_frame, target
            )
            with pytest.raises(NoAnswerError):
                await link.summary()
            summary = await link.summary()
            assert summary is not None and summary.cell == "south"
            query = RequestMessage(HandoffId("north", JOB, 5), Request.QUERY)
            assert (await link.request(CellRequest(query, 1))).answer is Answer.UNKNOWN
            assert connected_ports == [1, 2, 1, 2], "the last connection was kept"
            group.cancel_scope.cancel()

    anyio.run(run)


def test_frames_round_trip_and_invalid_frames_are_refused() -> None:
    handoff = HandoffId("north", JOB, 77)
    request = CellRequest(RequestMessage(handoff, Request.OFFER), 3, Offer(spec(JOB), 1234))
    assert CellRequest.unpack(request.pack()) == request
    for answer in (*Answer, None):
        assert CellAnswer.unpack(CellAnswer(3, answer).pack()) == CellAnswer(3, answer)
    summary = Summary("south", 1, 2)
    assert unpack_summary(pack_summary(summary)) == summary and unpack_summary(b"") is None
    packed = request.pack()
    for broken in (packed[:-1], packed + b"x", packed[:5], b"", packed[:24] + b"\x99" + packed[25:]):
        with pytest.raises(FrameError):
            CellRequest.unpack(broken)
    for broken in (b"", b"\x00" * 8 + b"\x63"):
        with pytest.raises(FrameError):
            CellAnswer.unpack(broken)
    with pytest.raises(FrameError):
        unpack_summary(b'{"cell":1}')
