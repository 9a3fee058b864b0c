"""Tests of the mesh between controllers of this version and of earlier versions."""

from __future__ import annotations

from collections.abc import Iterator

import anyio
import pytest

from sloeswitch import mesh_frames
from tests.conftest import Store
from tests.support.single_controller import World, attach_mesh, register_machine, state_outage


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    register_machine(world)
    yield world


def test_view_requests_and_views_do_not_allow_a_controller_to_answer_workers(world: World) -> None:
    answers: list[bytes] = []
    leadership = world.leadership
    mesh = attach_mesh(world)

    class Stream:
        def __init__(self, *frames: bytes) -> None:
            self.frames = list(frames)

        async def receive(self) -> bytes:
            if not self.frames:
                raise anyio.EndOfStream
            return self.frames.pop(0)

        async def send(self, data: bytes) -> None:
            answers.append(data)

        async def aclose(self) -> None:
            pass

    async def exchange_frames() -> None:
        await mesh.serve(Stream(mesh_frames.pack_view_request(3)))  # type: ignore[arg-type]
        stream = Stream(mesh_frames.pack_view(3, False))
        await mesh._request_view(mesh.peers["c1"], stream, mesh_frames.FrameReader(stream))  # type: ignore[arg-type]

    state_outage(world)
    anyio.run(exchange_frames)
    assert answers[0] == mesh_frames.pack_view(mesh_frames.UNCONFIRMING_VIEW_NUMBER, False)
    assert mesh.peers["c1"].view_number == 3 and not leadership.may_answer_workers


@pytest.mark.parametrize("upgraded", [False, True])
def test_an_earlier_version_is_polled_with_view_requests(
    world: World, upgraded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An earlier version closes the connection on a status request, and is then polled with a view request.

    Before the layout is recorded as complete, no status request is sent.
    """
    if upgraded:
        world.store.put_complete_layout()
    frame_types: list[int] = []

    class EarlierVersion:
        def __init__(self) -> None:
            self.reply = b""

        async def send(self, data: bytes) -> None:
            frame_type = mesh_frames.frame_type_of(data[: mesh_frames.HEADER.size])
            frame_types.append(frame_type)
            if len(frame_types) == 5:
                raise KeyboardInterrupt  # ends the polling
            self.reply = mesh_frames.pack_view(3, True) if frame_type == mesh_frames.FrameType.VIEW_REQUEST else b""

        async def receive(self) -> bytes:
            if not self.reply:
                raise anyio.EndOfStream
            reply, self.reply = self.reply, b""
            return reply

        async def aclose(self) -> None:
            pass

    async def connect(host: str, port: int) -> EarlierVersion:
        return EarlierVersion()

    mesh = attach_mesh(world)
    mesh.poll_interval_s = 0.01
    monkeypatch.setattr(anyio, "connect_tcp", connect)
    with pytest.raises(KeyboardInterrupt):
        anyio.run(mesh.poll_forever, world.settings.siblings[0])
    status, view = mesh_frames.FrameType.STATUS_REQUEST, mesh_frames.FrameType.VIEW_REQUEST
    assert frame_types == ([status, view, status, view, status] if upgraded else [view] * 5)
