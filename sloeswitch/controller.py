"""Builds a controller from its components and runs it.

Only the command line calls `run`; no other module knows how the components are connected.
"""

from __future__ import annotations

import importlib
import logging
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import anyio
import anyio.to_thread
from anyio.abc import SocketListener, TaskGroup

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.leadership import Leadership
from sloeswitch.actors.machines import Machines
from sloeswitch.actors.membership import Membership
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.actors.scale_out import ScaleOut
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

# The log of cancellations can hold every cancellation that the state service can store during this many worker leases.
# This is longer than the longest outage of the state service that machines survive.
CANCELLATION_LOG_WORKER_LEASES = 16
# An idle connection is closed after this many worker leases.
IDLE_CONNECTION_WORKER_LEASES = 6
# The fraction of all sockets that users and workers may use; the others are for the state service, the cloud, siblings
# and commands sent directly to workers.
SERVER_SOCKETS_SHARE = 0.7


@dataclass(frozen=True)
class Controller:
    """The components of one controller, connected to each other; their loops are started by `start_loops`."""

    settings: Settings
    replica: Replica
    mesh: Mesh
    membership: Membership
    jobs: Jobs
    machines: Machines
    scale_in: ScaleIn
    scale_out: ScaleOut
    server: Server

    def start_loops(self, group: TaskGroup) -> None:
        """Starts the loops of all components; they run until the group is cancelled."""
        self.machines.group = group
        self.replica.start(group)
        for sibling in self.settings.siblings:
            group.start_soon(self.mesh.poll_forever, sibling)
        for loop in (
            self.membership.run,
            self.membership.keep_lease,
            self.membership.coordinate,
            self.jobs.run,
            self.jobs.commit_forever,
            self.jobs.collect_garbage_forever,
            self.machines.run,
            self.machines.tick_forever,
            self.machines.registration.unregister_forever,
            self.scale_in.terminate_forever,
            self.scale_out.scale_out_forever,
            self.scale_in.scale_in_idle_forever,
            self.server.sweep_forever,
        ):
            group.start_soon(loop)


def build_controller(settings: Settings) -> Controller:
    """Creates the components of a controller, without any I/O."""
    context, mesh = build_context(settings)
    membership = Membership(context)
    jobs = Jobs(context)
    machines = Machines(context, jobs, membership)
    cloud = CloudClient(settings, lambda: context.leadership.is_coordinator, CLOCK.now)
    scale_in = ScaleIn(context, cloud)
    scale_out = ScaleOut(context, cloud, scale_in)
    machines.termination.autoscaler, scale_in.machines = scale_in, machines
    server = Server(
        Users(context, jobs, machines, metrics_renderer(context, machines)).handle,
        idle_timeout_s=IDLE_CONNECTION_WORKER_LEASES * settings.lease_s,
        request_timeout_s=settings.lease_s / 2,
        max_connections=int(SERVER_SOCKETS_SHARE * settings.fd_limit),
        now=CLOCK.now,
    )
    return Controller(settings, context.replica, mesh, membership, jobs, machines, scale_in, scale_out, server)


def metrics_renderer(context: ControllerContext, machines: Machines) -> Callable[[], Awaitable[bytes]]:
    """Returns a function that renders the metrics; its first call imports the metrics library.

    A controller whose metrics are never requested thus does not load the library.
    """
    # Holds the renderer after the first call.
    renderers: list[Callable[[], bytes]] = []

    async def render() -> bytes:
        if not renderers:
            # Imported in a thread, because the import would delay heartbeats for too long.
            module = await anyio.to_thread.run_sync(importlib.import_module, "sloeswitch.metrics")
            renderers[:] = [module.ControllerMetrics(context, machines).render]
        return renderers[0]()

    return render


def build_context(settings: Settings) -> tuple[ControllerContext, Mesh]:
    """Creates the context that all actors share, and the mesh that brings the status of siblings to the leadership."""
    log_size = int(CANCELLATION_LOG_WORKER_LEASES * settings.lease_s * settings.state_write_rps)
    cancellations = CancellationLog(log_size, 1 + secrets.randbits(63))
    tables = Tables(cancellations)
    client = StateClient(settings, lambda: len(tables.view.members) or settings.controller_count, CLOCK.now)
    replica = Replica(client, tables, CLOCK.now)
    leadership = Leadership(settings, tables, replica, CLOCK.now)
    leadership.mesh = mesh = Mesh(
        settings.siblings,
        settings.controller_lease_s / 4,
        CLOCK.now,
        MeshCallbacks(leadership.peer_status, leadership.apply_peer_cancellations),
        cancellations,
    )
    return ControllerContext(settings, client, replica, leadership, CLOCK), mesh


async def serve(settings: Settings, features: Features) -> None:
    """Runs one controller until it is killed."""
    controller = build_controller(settings)
    machines, mesh = controller.machines, controller.mesh
    listener = await SocketListener.from_socket(listener_socket(settings.http_address, settings.fd_limit))
    mesh_listener = await SocketListener.from_socket(
        listener_socket(settings.mesh_address, 4 * settings.controller_count)
    )
    log.info(
        "controller started: member=%s zone=%s address=%s:%d",
        settings.member,
        settings.zone,
        settings.http_address.host,
        settings.http_address.port,
    )
    async with anyio.create_task_group() as group:
        controller.start_loops(group)
        if features.cells is not None:
            start_cells(group, settings, features.cells, machines, mesh)
        if features.admission is not None:
            start_admission(group, settings, features.admission, machines, mesh)
        group.start_soon(listener.serve, controller.server.serve)
        group.start_soon(mesh_listener.serve, mesh.serve)


def start_cells(group: TaskGroup, settings: Settings, features: CellFeatures, machines: Machines, mesh: Mesh) -> None:
    """Starts the loops that hand off jobs to other cells, and registers the handlers that accept jobs from them."""
    # Imported here, so that a controller without the feature does not load its modules.
    from sloeswitch.cells.link import MeshLink, answer_frame
    from sloeswitch.cells.origin import CellOrigin, Link
    from sloeswitch.cells.target import CellTarget

    context = machines.shard.context
    target = CellTarget(context, features, machines.jobs)
    for kind in (FrameType.CELL_REQUEST, FrameType.SUMMARY_REQUEST):
        mesh.handlers[kind] = partial(answer_frame, target)
    links: dict[str, Link] = {
        peer.name: MeshLink(features.name, peer, settings.controller_lease_s) for peer in features.peers
    }
    origin = CellOrigin(context, features, machines.queue.waiting_jobs, links)
    group.start_soon(origin.select_moves_forever)
    for peer in features.peers:
        group.start_soon(origin.poll_peer_forever, peer.name)


def start_admission(
    group: TaskGroup, settings: Settings, features: AdmissionFeatures, machines: Machines, mesh: Mesh
) -> None:
    """Starts admission control, which defers jobs under overload."""
    from sloeswitch.admission.coordinator import AdmissionCoordinator
    from sloeswitch.admission.decision_log import DecisionLog
    from sloeswitch.admission.frames import MeshIdleCapacityLink, pack_idle_capacity
    from sloeswitch.admission.gate import AdmissionGate
    from sloeswitch.admission.idle_capacity import IdleCapacityTracker
    from sloeswitch.frame_link import FrameLink

    idle = IdleCapacityTracker()

    async def answer(_kind: int, _body: bytes) -> bytes | None:
        return pack_idle_capacity(idle.report(CLOCK.now()))

    coordinator = AdmissionCoordinator(
        machines.shard.context,
        features,
        lambda: idle.report(CLOCK.now()),
        {
            sibling.member: MeshIdleCapacityLink(
                FrameLink(sibling.member, (sibling.address,), settings.controller_lease_s)
            )
            for sibling in settings.siblings
        },
    )
    machines.queue.admission = AdmissionGate(machines.tables, DecisionLog(), lambda: coordinator.switched_on)
    machines.claims.on_remaining_capacities = lambda capacities, now: idle.observe(
        capacities, machines.tables.machine_types, now
    )
    mesh.handlers[FrameType.IDLE_CAPACITY_REQUEST] = answer
    group.start_soon(coordinator.coordinate_forever)
    for sibling in settings.siblings:
        group.start_soon(coordinator.request_idle_capacity_forever, sibling.member)


def run(settings: Settings, features: Features) -> None:
    """Runs one controller in a new event loop."""
    # A third of the processing time of a heartbeat is spent in asyncio's event loop; uvloop takes half as long.
    anyio.run(serve, settings, features, backend_options={"use_uvloop": True})
