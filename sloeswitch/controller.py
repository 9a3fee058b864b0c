"""Puts a controller together and runs it."""

from __future__ import annotations

import logging
import secrets
from functools import partial

import anyio
from anyio.abc import SocketListener, TaskGroup

from sloeswitch.actors.autoscaler import Autoscaler
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.leadership import Leadership
from sloeswitch.actors.machines import Machines
from sloeswitch.actors.membership import Membership
from sloeswitch.actors.users import Users
from sloeswitch.clock import SystemClock
from sloeswitch.cloud import CloudClient
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.tables import Tables
from sloeswitch.features import AdmissionFeatures, CellFeatures, Features
from sloeswitch.http import Server, listener_socket
from sloeswitch.mesh import Mesh, MeshCallbacks
from sloeswitch.mesh_frames import FrameType
from sloeswitch.replica import Replica
from sloeswitch.settings import Settings
from sloeswitch.state_client import StateClient

log = logging.getLogger("controller")

CLOCK = SystemClock()


async def serve(settings: Settings, features: Features) -> None:
    """Runs one controller until it is killed."""
    # More than the state service takes in the longest spell that machines outlive.
    cancellations = CancellationLog(int(16 * settings.lease_s * settings.state_write_rps), 1 + secrets.randbits(63))
    tables = Tables(cancellations)
    client = StateClient(settings, lambda: len(tables.view.members) or settings.count, CLOCK.now)
    replica = Replica(client, tables, CLOCK.now)
    leadership = Leadership(settings, tables, replica, CLOCK.now)
    leadership.mesh = mesh = Mesh(
        settings.siblings,
        settings.controller_lease_s / 4,
        CLOCK.now,
        MeshCallbacks(leadership.peer_status, leadership.apply_peer_cancellations),
        cancellations,
    )
    context = ControllerContext(settings, client, replica, leadership, CLOCK)
    membership = Membership(context)
    jobs = Jobs(context)
    machines = Machines(context, jobs, membership)
    autoscaler = Autoscaler(context, CloudClient(settings, lambda: leadership.is_coordinator, CLOCK.now))
    machines.termination.autoscaler, autoscaler.machines = autoscaler, machines
    users = Users(context, jobs, machines)
    # Some sockets are kept for the state service, the cloud, the siblings and direct commands.
    server = Server(
        users.handle,
        idle_s=6 * settings.lease_s,
        request_s=settings.lease_s / 2,
        max_connections=int(0.7 * settings.fd_limit),
        now=CLOCK.now,
    )
    listener = await SocketListener.from_socket(listener_socket(settings.bind, settings.fd_limit))
    mesh_listener = await SocketListener.from_socket(listener_socket(settings.mesh, 4 * settings.count))
    log.info("%s in %s serves %s:%d", settings.member, settings.zone, settings.bind.host, settings.bind.port)
    async with anyio.create_task_group() as group:
        machines.group = group
        replica.start(group)
        for sibling in settings.siblings:
            group.start_soon(mesh.poll_forever, sibling)
        for loop in (
            membership.run,
            membership.keep_lease,
            membership.coordinate,
            jobs.run,
            jobs.commit_forever,
            jobs.collect_garbage_forever,
            machines.run,
            machines.tick_forever,
            machines.registration.unregister_forever,
            autoscaler.terminate_forever,
            autoscaler.scale_out_forever,
            autoscaler.scale_in_idle_forever,
            server.sweep_forever,
        ):
            group.start_soon(loop)
        if features.cells is not None:
            start_cells(group, settings, features.cells, machines, mesh)
        if features.admission is not None:
            start_admission(group, settings, features.admission, machines, mesh)
        group.start_soon(listener.serve, server.serve)
        group.start_soon(mesh_listener.serve, mesh.serve)


def start_cells(group: TaskGroup, settings: Settings, features: CellFeatures, machines: Machines, mesh: Mesh) -> None:
    """Starts what hands jobs over to other cells, and takes theirs."""
    # Imported late, so that a controller without the feature loads none of it.
    from sloeswitch.cells.link import MeshLink, answer_frame
    from sloeswitch.cells.origin import CellOrigin, Link
    from sloeswitch.cells.target import CellTarget

    client, replica, leadership = machines.client, machines.replica, machines.leadership
    target = CellTarget(settings, features, client, replica, leadership, machines.jobs)
    for kind in (FrameType.CELL_REQUEST, FrameType.SUMMARY_REQUEST):
        mesh.handlers[kind] = partial(answer_frame, target)
    links: dict[str, Link] = {
        peer.name: MeshLink(features.name, peer, settings.controller_lease_s) for peer in features.peers
    }
    origin = CellOrigin(settings, features, client, replica, leadership, machines.queue.waiting_jobs, links, CLOCK)
    group.start_soon(origin.select_forever)
    for peer in features.peers:
        group.start_soon(origin.talk_forever, peer.name)


def start_admission(
    group: TaskGroup, settings: Settings, features: AdmissionFeatures, machines: Machines, mesh: Mesh
) -> None:
    """Starts what defers jobs under overload."""
    from sloeswitch.admission.coordinator import AdmissionCoordinator
    from sloeswitch.admission.decision_log import DecisionLog
    from sloeswitch.admission.frames import MeshIdleCapacityLink, pack_idle_room
    from sloeswitch.admission.gate import AdmissionGate
    from sloeswitch.admission.idle_capacity import IdleCapacityTracker
    from sloeswitch.frame_link import FrameLink

    idle = IdleCapacityTracker()

    async def answer(_kind: int, _body: bytes) -> bytes | None:
        return pack_idle_room(idle.report(CLOCK.now()))

    coordinator = AdmissionCoordinator(
        settings,
        features,
        machines.client,
        machines.replica,
        machines.leadership,
        lambda: idle.report(CLOCK.now()),
        {
            sibling.member: MeshIdleCapacityLink(
                FrameLink(sibling.member, (sibling.address,), settings.controller_lease_s)
            )
            for sibling in settings.siblings
        },
        CLOCK,
    )
    machines.queue.admission = AdmissionGate(machines.tables, DecisionLog(), lambda: coordinator.switched_on)
    machines.claims.on_remaining_capacities = lambda rooms, at: idle.observe(rooms, machines.tables.machine_types, at)
    mesh.handlers[FrameType.IDLE_CAPACITY_REQUEST] = answer
    group.start_soon(coordinator.coordinate_forever)
    for sibling in settings.siblings:
        group.start_soon(coordinator.ask_forever, sibling.member)


def run(settings: Settings, features: Features) -> None:
    # The event loop takes a third of what a report costs; uvloop's takes half of that.
    anyio.run(serve, settings, features, backend_options={"use_uvloop": True})
