"""Idle capacity: how it is tracked, sent over the mesh, and requested by the coordinator."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.admission.frames import MeshIdleCapacityLink, pack_idle_capacity, unpack_idle_capacity
from sloeswitch.admission.idle_capacity import IdleCapacityTracker
from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.frame_link import FrameLink, NoAnswerError
from sloeswitch.mesh import ControllerStatus, Mesh, MeshCallbacks
from sloeswitch.mesh_frames import FrameError, FrameType
from sloeswitch.settings import Address
from tests.conftest import MACHINE_TYPE, Store
from tests.support.admission_cluster import ScriptedLink, overloaded_world
from tests.support.single_controller import advance_time
from tests.support.streams import connect_to


def test_the_age_of_idle_capacity_counts_from_when_its_kind_became_idle() -> None:
    tracker = IdleCapacityTracker()
    types = {MACHINE_TYPE.name: MACHINE_TYPE}
    capacity = FreeCapacity("vm-1", "small", "a", True, 4.0, 0.0, 16.0)
    full = FreeCapacity("vm-2", "small", "b", True, 0.0, 0.0, 16.0)
    tracker.observe([capacity, full], types, 10.0)
    tracker.observe([capacity, full], types, 13.0)
    assert tracker.report(14.0) == [IdleCapacity(InstanceKind("small", "a", True), 0.5, 4.0)]
    tracker.observe([], types, 15.0)
    tracker.observe([capacity], types, 16.0)
    assert tracker.report(16.0) == [IdleCapacity(InstanceKind("small", "a", True), 0.5, 0.0)]


def test_idle_capacity_frames_are_decoded_and_malformed_ones_rejected() -> None:
    capacities = [
        IdleCapacity(InstanceKind("small", "a", True), 0.5, 4.0),
        IdleCapacity(InstanceKind("größe", "", False), 12.25, 0.0),
    ]
    body = pack_idle_capacity(capacities)
    assert unpack_idle_capacity(body) == capacities and unpack_idle_capacity(pack_idle_capacity([])) == []
    for bad in (
        b"",
        b"\x00",
        body[:-1],
        body + b"x",
        body[:5],
        pack_idle_capacity([IdleCapacity(InstanceKind("a", "b", True), -1.0, 0.0)]),
    ):
        with pytest.raises(FrameError):
            unpack_idle_capacity(bad)


def test_a_sibling_answers_over_the_mesh_only_with_the_feature_enabled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reported = [IdleCapacity(InstanceKind("small", "a", True), 0.5, 4.0)]

    async def answer(_kind: int, _body: bytes) -> bytes:
        return pack_idle_capacity(reported)

    async def run() -> None:
        mesh = Mesh(
            (),
            1.0,
            lambda: 0.0,
            MeshCallbacks(lambda: ControllerStatus(1, True, 1, True, True), lambda _: None),
            CancellationLog(1, 1),
        )
        async with anyio.create_task_group() as group:

            async def connect(host: str, port: int) -> Any:
                return connect_to(mesh, group)

            monkeypatch.setattr(anyio, "connect_tcp", connect)
            link = MeshIdleCapacityLink(FrameLink("c1", (Address("peer", 1),), 5.0))
            with pytest.raises(NoAnswerError):
                await link.idle_capacity()
            mesh.handlers[FrameType.IDLE_CAPACITY_REQUEST] = answer
            assert await link.idle_capacity() == reported
            group.cancel_scope.cancel()

    anyio.run(run)


def test_only_the_coordinator_requests_idle_capacity_and_reports_expire(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    world, coordinator = overloaded_world(store, monkeypatch)
    link = ScriptedLink()
    coordinator.links = {"c1": link}
    anyio.run(coordinator.request_idle_capacity, "c1")
    advance_time(world, coordinator.limits.epoch_s)
    assert [capacity.age_s for capacity in coordinator._valid_idle_capacity()] == [1.0 + coordinator.limits.epoch_s]
    link.capacities = None
    with pytest.raises(NoAnswerError):
        anyio.run(coordinator.request_idle_capacity, "c1")
    advance_time(world, 3 * coordinator.limits.epoch_s)
    assert coordinator._valid_idle_capacity() == []
    store.put(keys.COORDINATOR_KEY, {"member": "c1", "boot": 9})
    anyio.run(coordinator.request_idle_capacity, "c1")
    assert link.asked == 2
