"""A seeded simulation of a cluster: several controllers run the real core and actors against fakes.

Faults of every simulation: the state service loses answers, commits transactions late, has outages and rejects single
controllers; controllers restart; heartbeats are lost, late or duplicated; workers lose their leases. The invariants of
the protocol are checked after each step.

With extra faults there are also machines that hang, receive nothing or cannot report, direct commands that are
executed late, and a cloud that deletes machines.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar, TypeVarTuple

import anyio

from sloeswitch import wire
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.core import keys
from sloeswitch.mesh_frames import HEADER, StatusFrame, StatusRequest
from tests.conftest import SETTINGS, Store, spec
from tests.support.clock import Clock
from tests.support.cluster_node import Node
from tests.support.cluster_worker import Worker
from tests.support.recorder import TraceRecorder
from tests.support.settings_text import MEMBERS

MACHINES = 4

Args = TypeVarTuple("Args")
Result = TypeVar("Result")


class World:
    """A simulated cluster: its clock, the stored rows, controllers and workers, and the checks of the invariants."""

    def __init__(
        self,
        seed: int,
        extra_faults: bool = False,
        members: tuple[str, ...] = MEMBERS,
        machines: int = MACHINES,
        text: str = SETTINGS,
    ) -> None:
        self.extra_faults = extra_faults
        self.recorder = TraceRecorder()
        self.members = members
        self.text = text
        # Probability that a running task completes in a step.
        self.task_end_probability = 0.06
        # All submitted jobs, accepted or not.
        self.specs: dict[str, wire.JobSpec] = {}
        # Numbers of faults and other events by kind.
        self.event_counts = Counter[str]()
        # Tasks that completed on a machine.
        self.completed_tasks: set[str] = set()
        # Accepted jobs with their numbers of tasks.
        self.accepted_jobs: dict[str, int] = {}
        # Number of times that a machine started a task.
        self.starts = 0
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.store = Store()
        self.store.put_machine_types()
        self.store.put_complete_layout()
        self.log: list[tuple[str, Any, int]] = [(key, *row) for key, row in self.store.rows.items()]
        put = self.store.put

        def logged(key: str, value: Any) -> int:
            revision = put(key, value)
            self.log.append((key, value, revision))
            return revision

        self.store.put = logged  # type: ignore[method-assign]
        self.outage = False
        # Calls that are made when the clock has reached their time.
        self.delayed_calls: list[tuple[float, Callable[[], object]]] = []
        self.incarnations = 0
        self.nodes: dict[str, Node] = {name: self.new_node(name) for name in members}
        self.leases: dict[tuple[str, int], float] = {}
        self.workers = [self.new_worker(f"vm-{number}") for number in range(machines)]
        self.machines_made = len(self.workers)
        self.last_job_number = 0
        # When the cancellation of a job was first confirmed.
        self.cancelled_at: dict[str, float] = {}
        # Jobs that a controller has reported as done.
        self.done_jobs: set[str] = set()
        # Numbers of heartbeat answers by HTTP status.
        self.answer_counts = Counter[str]()

    def new_node(self, name: str) -> Node:
        """Returns a new process of a controller."""
        return Node(self, name)

    def new_worker(self, name: str) -> Worker:
        """Returns a new worker."""
        return Worker(self, name)

    def run(self, call: Callable[[*Args], Awaitable[Result]], *args: *Args) -> Result:
        """Runs a coroutine function of an actor until it returns."""
        return anyio.run(call, *args)

    def deliver(self, member: str, message: HeartbeatRequest) -> bool:
        """Delivers a heartbeat to a controller; returns whether it was answered."""
        self.run(self.nodes[member].machines.handle, message)
        return True

    def coordinate(self) -> None:
        """Does the coordinator's work: removes members whose lease expired and stores a view of the others."""
        if self.outage:
            # The state service extends every lease to its full length after an outage.
            self.leases = {key: self.clock.time for key in self.leases}
            return
        lease_s = self.nodes[self.members[0]].settings.controller_lease_s
        for (name, boot), at in list(self.leases.items()):
            if self.clock.time > at + lease_s:
                del self.leases[name, boot]
                row = self.store.tables.members.get(name)
                if row is not None and row.lease_id == boot:
                    self.store.put(keys.member_key(name), None)
        members = tuple(sorted((name, row.lease_id) for name, row in self.store.tables.members.items()))
        if members and members != self.store.tables.view.members:
            self.store.view(self.store.tables.view.number + 1, *members)

    def elect_coordinator(self) -> bool:
        """Deletes the coordinator's row when its lease is gone; returns whether a member of the view then became it."""
        tables = self.store.tables
        if tables.coordinator is not None and tables.coordinator not in self.leases:
            self.store.put(keys.COORDINATOR_KEY, None)
        present = [pair for pair in tables.view.members if pair in self.leases]
        if tables.coordinator is not None or not present:
            return False
        member, boot = self.rng.choice(present)
        self.store.put(keys.COORDINATOR_KEY, {"member": member, "boot": boot})
        return True

    def present_tasks(self, leased: bool = False) -> list[tuple[str, str]]:
        """Returns the tasks that have not ended, each with its machine.

        `leased` leaves out machines whose lease expired while they hang: they drop their tasks before they go on.
        """
        workers = [worker for worker in self.workers if not (leased and worker.lease_expired)]
        return [(task, w.name) for w in workers for (task, _), (state, _) in w.tasks.items() if state != "ended"]

    def worker(self, name: str) -> Worker | None:
        return next((worker for worker in self.workers if worker.name == name), None)

    def delete(self, name: str) -> None:
        """Deletes a machine at the cloud; a new machine replaces it."""
        worker = self.worker(name)
        if worker is not None:
            self.event_counts["deleted"] += 1
            self.workers.remove(worker)
            self.workers.append(self.new_worker(f"vm-{self.machines_made}"))
            self.machines_made += 1

    def end_faults(self) -> None:
        self.outage = False
        for node in self.nodes.values():
            node.refused = False
        for worker in self.workers:
            worker.hung_until = worker.deaf_until = worker.mute_until = self.clock.time

    def unfinished(self) -> set[str]:
        """Returns the accepted jobs that no controller reports as done or cancelled."""
        final = (wire.JobStatus.DONE, wire.JobStatus.CANCELLED)
        return {
            job for job in self.accepted_jobs if all(node.jobs.status(job) not in final for node in self.nodes.values())
        }

    def cancel(self, job: str, node: Node) -> None:
        """Cancels a job at one of the controllers, as a user does."""
        if node.replica.loaded and self.run(node.jobs.cancel, job) == wire.JobStatus.CANCELLED:
            self.cancelled_at.setdefault(job, self.clock.time)

    def begin_machine_fault(self, node: Node) -> None:
        """Makes a machine hang, receive nothing or be unable to report for a while.

        If a machine with tasks hangs, one of their jobs is cancelled, and the machine hangs for longer than the time
        in which the cancelled task must be gone.
        """
        worker = self.rng.choice(self.workers)
        kind = self.rng.choice(("hung", "deaf", "mute"))
        until = self.clock.time + 25 * self.rng.random()
        self.event_counts[kind] += 1
        running = [task for (task, _), (state, _) in worker.tasks.items() if state != "ended"]
        if kind == "hung" and running:
            self.event_counts["cancelled on a hung machine"] += 1
            self.cancel(running[0].partition("/")[0], node)
            until = self.clock.time + 60
        setattr(worker, kind + "_until", until)

    def check_start(self, worker: Worker, task: str) -> None:
        self.starts += 1
        present = self.present_tasks(leased=True)
        assert task not in [there for there, _ in present], f"ran_twice: {task}"
        team = self.specs[task.partition("/")[0]].team
        limit = self.nodes[self.members[0]].settings.teams[team].cpus_max
        assert self.used(team, [there for there, _ in present] + [task]) <= limit, f"quota: {team}"
        job = task.partition("/")[0]
        if job in self.cancelled_at:
            assert self.clock.time <= self.cancelled_at[job] + 30.0, f"ran_cancelled: {task}"

    def used(self, team: str, tasks: list[str]) -> float:
        """Returns the cores that a team's tasks use, of the given tasks."""
        specs = (self.specs[task.partition("/")[0]] for task in tasks)
        return sum(spec.cores for spec in specs if spec.team == team)

    def check(self) -> None:
        for task, machine in self.present_tasks():
            job = task.partition("/")[0]
            assert job not in self.cancelled_at or self.clock.time <= self.cancelled_at[job] + 30.0, (
                f"ran_cancelled: {task} {machine}"
            )
        finished = Counter(task.partition("/")[0] for task in self.completed_tasks)
        for node in self.nodes.values():
            for name, size in self.accepted_jobs.items():
                status = node.jobs.status(name)
                if status == wire.JobStatus.DONE:
                    assert finished[name] == size, f"not_done: {name}"
                    assert name not in self.cancelled_at, f"went_back: {name}"
                    self.done_jobs.add(name)
                assert not (name in self.done_jobs and status == wire.JobStatus.CANCELLED), f"went_back: {name}"

    # -- steps

    def start(self) -> None:
        """Lets all controllers join."""
        for node in self.nodes.values():
            node.read()
            node.renew()
        self.coordinate()

    def submit(self, node: Node, job: wire.JobSpec) -> bool:
        """Submits a job; returns whether it is accepted. One that is not may still be stored later."""
        self.specs[job.id] = job
        if not node.replica.loaded or self.run(node.jobs.submit, job) is None:
            return False
        self.accepted_jobs[job.id] = job.tasks
        return True

    def perform_event(self, draw: float, node: Node) -> None:
        """Performs the random event of a step: a fault begins or ends, a user's request, or a status request."""
        if draw < 0.01:
            self.outage = not self.outage
        elif draw < 0.03:
            node.refused = not node.refused
        elif draw < 0.037:
            # Restarts the controller; the lease of the previous process expires.
            self.nodes[node.settings.member] = self.new_node(node.settings.member)
        elif draw < 0.1 and len(self.accepted_jobs) < 40:
            self.last_job_number += 1
            self.submit(node, spec(f"wk-{self.last_job_number:06d}", visits=self.rng.randint(1, 5)))
        elif draw < 0.14 and self.accepted_jobs:
            self.cancel(self.rng.choice(list(self.accepted_jobs)), node)
        elif draw < 0.3:
            self.request_peer_status(node)

    def request_peer_status(self, node: Node) -> None:
        """Requests another controller's status over the mesh and applies the answer."""
        others = [member for member in self.members if member != node.settings.member]
        other = self.nodes[others[0] if len(others) == 1 else self.rng.choice(others)]
        peer = node.mesh.peers[other.settings.member]
        question = StatusRequest(1, node.replica.applied_revision, peer.log_id, peer.log_position)
        frame = other.mesh.status_for(question).pack()
        body = question.pack()[HEADER.size :]
        self.recorder.record("frames", node.settings.member, body, other.settings.member, frame)
        answer = StatusFrame.unpack(frame[HEADER.size :])
        node.mesh.apply_status(peer, self.clock.time, answer)

    def step(self, fault_free: bool = False) -> None:
        """Advances the simulation by 0.15 s on average; without faults the only event is a status request."""
        rng = self.rng
        self.clock.time += 0.3 * rng.random()
        for item in [item for item in self.delayed_calls if item[0] <= self.clock.time]:
            self.delayed_calls.remove(item)
            item[1]()
        draw = 0.2 if fault_free else rng.random()
        node = self.nodes[rng.choice(self.members)]
        self.perform_event(draw, node)
        for each in self.nodes.values():
            if rng.random() < 0.4:
                each.renew()
            if rng.random() < 0.5:
                each.tick()
        self.coordinate()
        if self.extra_faults and not fault_free and rng.random() < 0.015:
            self.begin_machine_fault(node)
        for worker in list(self.workers):
            if worker.hung:
                continue
            worker.expire()
            worker.receive()
            worker.work()
            if rng.random() < 0.35:
                worker.heartbeat()
            worker.receive()
        self.check()


def run_steps(world: World, steps: int, fault_free_steps: int = 0) -> None:
    """Runs a simulation and checks the invariants after each step; the fault-free steps come last."""
    world.start()
    for step in range(steps + fault_free_steps):
        if step == steps:
            world.end_faults()
        world.step(fault_free=step >= steps)


def simulate(seed: int, steps: int, extra_faults: bool = False, fault_free_steps: int = 0) -> World:
    """Runs the simulation of a seed; see `run_steps`."""
    world = World(seed, extra_faults)
    run_steps(world, steps, fault_free_steps)
    return world
