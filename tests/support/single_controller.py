"""One controller with fake external services, and helpers with which tests drive it."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.lowlevel

from sloeswitch import mesh_frames, wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.leadership import Leadership
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.actors.machines import Machines
from sloeswitch.actors.membership import Membership
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.actors.users import Users
from sloeswitch.controller import metrics_renderer
from sloeswitch.core import job_queue, keys
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.http import Answer, Request
from sloeswitch.mesh import ControllerStatus, Mesh, MeshCallbacks
from sloeswitch.mesh_frames import StatusFrame, StatusRequest
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec, submission, worker_report
from tests.support.clock import Clock
from tests.support.scripted_state import ScriptedReplica, ScriptedState

JOB = "wk-000001"


class World:
    """Controller c0.1, alone in view 3, with the state service replaced by a Store."""

    def __init__(self, store: Store, text: str = SETTINGS) -> None:
        self.store = store
        self.clock = Clock()
        self.settings = parse(text)
        self.client = ScriptedState(self.settings, lambda: 1, self.clock.now)
        self.client.store = store
        self.client.lost_transactions = []
        self.replica = ScriptedReplica(self.client, store.tables, self.clock.now)
        self.replica.loaded = self.replica.fully_read = True
        self.replica.read_linearizable = self.read  # type: ignore[method-assign]
        self.leadership = Leadership(self.settings, store.tables, self.replica, self.clock.now)
        self.leadership.incarnation = 1
        self.leadership.lease_renewed_at = self.replica.linearizable_at = self.clock.time
        self.context = ControllerContext(self.settings, self.client, self.replica, self.leadership, self.clock)
        self.membership = Membership(self.context)
        self.jobs = Jobs(self.context)
        self.machines = Machines(self.context, self.jobs, self.membership)
        store.view(3, ("c0", 1))
        store.member("c0", 1, recovered_view=3)

    async def read(self, timeout_s: float) -> None:
        return None

    def heartbeat(self, report: wire.WorkerReport) -> wire.WorkerCommands:
        """Sends a heartbeat that acknowledges the previous answer; returns the commands of the answer."""
        message = HeartbeatRequest(report=report, last_answer_received=True)
        anyio.run(self.machines.handle, message)
        assert message.answer.status == 200, message.answer
        return wire.decode(message.answer.body, wire.WorkerCommands)

    def send_task_updates(self, updates: TaskUpdates) -> None:
        """Lets the jobs actor handle task updates; `commit_and_place` stores them."""
        anyio.run(self.jobs.handle, updates)

    def commit_and_place(self, request: ClaimRequest | None = None) -> None:
        """Runs a commit of the jobs actor, with a claim request if given, and places the claimed tasks."""

        async def once() -> None:
            if request is not None:
                await self.jobs.handle(request)
            await self.jobs._commit_round()

        anyio.run(once)
        self.machines.queue.rebuild()
        self.machines.task_placement.place_unplaced()

    def claim_requests(self) -> list[ClaimRequest]:
        """Returns the claim requests that the machines actor would send to the jobs actor now."""
        requests: list[ClaimRequest] = []

        async def ask(request: ClaimRequest) -> None:
            requests.append(request)
            self.machines.claims.claim_in_flight = False

        self.machines.claims._await_claims = ask  # type: ignore[method-assign]

        async def once() -> None:
            async with anyio.create_task_group() as group:
                self.machines.group = group
                self.machines.claims.request_claims()

        anyio.run(once)
        return requests


def attach_mesh(world: World) -> Mesh:
    """Gives the controller a mesh, in which no sibling has sent a status yet."""
    world.leadership.mesh = Mesh(
        world.settings.siblings,
        1.0,
        world.clock.now,
        MeshCallbacks(world.leadership.peer_status, world.leadership.apply_peer_cancellations),
        world.store.tables.cancellations,
    )
    return world.leadership.mesh


def register_machine(world: World) -> None:
    """Stores the row of machine vm-1 and sends its reports 1 and 2, after which it is reconciled."""
    world.store.put(keys.machine_key("vm-1"), {"a": "127.0.0.1:9000", "t": "small", "z": "a", "s": True})
    world.heartbeat(worker_report(1, 0))
    world.heartbeat(worker_report(2, 3))


def heartbeat(world: World, report: wire.WorkerReport, received: bool = True) -> Any:
    message = HeartbeatRequest(report=report, last_answer_received=received)
    anyio.run(world.machines.handle, message)
    return message.answer


def advance_time(world: World, seconds: float) -> None:
    """Advances the clock and renews the controller's lease."""
    world.clock.time += seconds
    world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time


def command_verbs(answer: Any) -> list[str]:
    return [command.verb for command in wire.decode(answer.body, wire.WorkerCommands).commands]


def start_task(world: World) -> tuple[str, int]:
    """Starts a job's only task on vm-1, which reports it as running; returns the task and its attempt."""
    world.store.job(spec(visits=1))
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    start = world.heartbeat(worker_report(3, 3)).commands[0]
    world.heartbeat(worker_report(4, 3, (start.task, start.attempt, "running")))
    return start.task, start.attempt


class Cloud:
    """A cloud that accepts all deletions and records them."""

    def __init__(self) -> None:
        self.deleted: list[str] = []

    async def delete_instances(self, machines: list[str]) -> None:
        self.deleted += machines


def world_with_scale_in(store: Store) -> World:
    """Returns a controller with one machine and a scale-in whose cloud accepts all deletions."""
    world = World(store)
    register_machine(world)
    cloud: Any = Cloud()
    scale_in = ScaleIn(world.context, cloud)
    world.machines.termination.autoscaler, scale_in.machines = scale_in, world.machines
    return world


def run_deletions(world: World, scale_in: ScaleIn) -> list[str]:
    """Sends the deletions that are due; returns all machines whose deletion the cloud has received."""

    async def run() -> None:
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(scale_in.terminate_forever)
                await anyio.wait_all_tasks_blocked()
                scope.cancel()

    anyio.run(run)
    assert isinstance(scale_in.cloud, Cloud)
    return scale_in.cloud.deleted


def apply_sibling_status(
    log: CancellationLog, world: World, fully_read: bool = True, view_number: int = 3
) -> StatusFrame:
    """Applies the status answer of sibling c1, which has this cancellation log, as encoded for the wire; returns it."""
    sibling = Mesh(
        (),
        1.0,
        world.clock.now,
        MeshCallbacks(lambda: ControllerStatus(view_number, False, 0, fully_read, True), lambda entries: None),
        log,
    )
    peer = attach_mesh(world).peers["c1"] if world.leadership.mesh is None else world.leadership.mesh.peers["c1"]
    request = StatusRequest(3, world.replica.applied_revision, peer.log_id, peer.log_position)
    frame = sibling.status_for(request).pack()
    length = mesh_frames.check_header(frame[: mesh_frames.HEADER.size], mesh_frames.FrameType.STATUS)
    answer = StatusFrame.unpack(frame[mesh_frames.HEADER.size :])
    assert length == len(frame) - mesh_frames.HEADER.size
    assert world.leadership.mesh is not None
    world.leadership.mesh.apply_status(peer, world.clock.time, answer)
    return answer


def state_outage(world: World) -> None:
    """Advances the clock until the lease and the last linearizable read have expired without an answer since."""
    world.clock.time += world.settings.controller_lease_s
    world.client.failing_since = world.clock.time - world.settings.controller_lease_s


def queued_names(store: Store, wall_clock_ms: int = 0, text: str = SETTINGS) -> list[str]:
    return [job.spec.id for job in job_queue.queue_order(store.tables, parse(text), wall_clock_ms)]


def store_done(store: Store, name: str, at_ms: int = 0) -> None:
    store.put(keys.job_key(name), {"s": JobState.DONE, "n": 4, "t": at_ms})


def ask(world: World, method: str, path: str, body: Any = None) -> Answer:
    users = Users(world.context, world.jobs, world.machines, metrics_renderer(world.context, world.machines))

    async def handle() -> Answer:
        return await users.handle(Request(method, path, wire.encode(body) if body is not None else b""))

    return anyio.run(handle)


def submit(world: World, name: str, *awaits: str, **changes: Any) -> int:
    return ask(world, "POST", "/submissions", submission(name, awaits=list(awaits), **changes)).status


def status(world: World, name: str) -> Any:
    return wire.decode(ask(world, "GET", f"/submissions/{name}").body, dict)["status"]


def status_code(world: World, name: str) -> int:
    return ask(world, "GET", f"/submissions/{name}").status


NEXT_LIMITS = "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0\n"

SETTINGS_WITH_NEXT_LIMITS = SETTINGS.replace("[deployment.cloud]", NEXT_LIMITS + "[deployment.cloud]")


def record_writes(world: World) -> dict[str, Any]:
    """Returns a dict that collects the rows written from now on; asserts that each is within the value size limit."""
    written: dict[str, Any] = {}
    put = world.store.put

    def record(key: str, value: Any) -> int:
        if value is not None:
            assert len(wire.encode(value)) <= world.settings.value_kb * 1024
            written[key] = value
        return put(key, value)

    world.store.put = record  # type: ignore[method-assign]
    return written


def heartbeat_and_register(world: World, count: int) -> None:
    for number in range(count):
        name = f"vm-{number:06d}"
        world.heartbeat(worker_report(1, 0, name=name))
        world.heartbeat(worker_report(2, 3, name=name))

    async def register(machines: Machines) -> None:
        while len(world.store.tables.machines) < count:
            async with anyio.create_task_group() as group:
                machines.group = group
                machines._register()

    world.machines.registration.write_pause_s = 0.0
    anyio.run(register, world.machines)


def unregister(world: World, *names: str) -> None:
    async def run() -> None:
        world.machines.registration.pending_removals |= set(names)
        turns = 0
        with anyio.CancelScope() as scope:

            async def pause(seconds: float) -> None:
                nonlocal turns
                turns += 1
                if turns > 12:
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            world.machines.registration.sleep = pause
            await world.machines.registration.unregister_forever()

    anyio.run(run)
