"""Several controllers from the real core and actors in a scripted world: a state service that loses answers and carries
writes out late, workers with leases, messages that are lost or late, controllers that end, come back, or are refused by
the state service. After each step the rules of the protocol are checked.

A troubled world has, besides, machines that hang, hear nothing or cannot report, direct commands that are carried out
late, and a cloud that deletes machines."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.commands import CommandReply, InspectionReply
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import ClaimRequest, Jobs, TaskUpdates
from sloeswitch.actors.leadership import Leadership
from sloeswitch.actors.machine_messages import HeartbeatRequest, InstancesDeleted, MachinesMessage
from sloeswitch.actors.machines import Machines
from sloeswitch.actors.membership import Membership, ShardRecovered
from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.machine import Machine
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.mesh import Mesh, MeshCallbacks
from sloeswitch.mesh_frames import HEADER, StatusFrame, StatusRequest
from sloeswitch.replica import Replica
from sloeswitch.settings import parse
from sloeswitch.state_client import StateClient, TransactionOutcome, TransactionResult
from tests.conftest import SETTINGS, Store, spec
from tests.support.recorder import TraceRecorder

MEMBERS = ("c0", "c1")
MACHINES = 4
CORES = 8.0


def settings_text(member: str, members: tuple[str, ...], text: str = SETTINGS) -> str:
    """One controller's settings; its siblings are the other members."""
    head, _, rest = text.partition("[[siblings]]")
    _, _, tail = rest.partition("[outside]")
    siblings = "".join(
        f'[[siblings]]\nmember = "{other}"\nzone = "a"\naddress = "127.0.0.1:{8082 + number}"\n'
        for number, other in enumerate(each for each in members if each != member)
    )
    whole = head.replace('member = "c0"', f'member = "{member}"') + siblings + "[outside]" + tail
    return whole.replace("count = 2", f"count = {len(members)}")


class Clock:
    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        return self.time

    def wall_clock_ms(self) -> int:
        """The time of day: the same time, which began at the epoch."""
        return int(self.time * 1000)


class ScriptedState(StateClient):
    """A state service of a dictionary: commits are checked and applied, or lost as the test says."""

    store: Store
    lose_answers = 0
    late: list[tuple[dict[str, int], dict[str, Any], list[str]]]
    # What it takes now, which may be less than what the settings tell.
    most_changes_now: int | None = None
    most_bytes_now: int | None = None

    async def acquire_changes(self, changes: int, priority: Any) -> None:
        return None

    async def compare_and_swap(
        self,
        transaction: Transaction,
        priority: Any,
        *,
        leases: dict[str, int] | None = None,
        acquired_changes: int = 0,
    ) -> TransactionResult:
        conditions, writes, drops = transaction.conditions, transaction.writes, transaction.deletes
        if self.lose_answers:
            self.lose_answers -= 1
            self.late.append((conditions, writes, drops))
            return TransactionResult(TransactionOutcome.UNKNOWN, 0)
        sizes = [len(wire.encode(value)) for value in writes.values()]
        if (self.most_changes_now is not None and len(writes) + len(drops) > self.most_changes_now) or (
            self.most_bytes_now is not None and max(sizes, default=0) > self.most_bytes_now
        ):
            self._lower_limits(transaction)
            return TransactionResult(TransactionOutcome.REJECTED, 0)
        return self.apply(conditions, writes, drops)

    def apply(self, conditions: dict[str, int], writes: dict[str, Any], drops: list[str]) -> TransactionResult:
        tables = self.store.tables
        # What the state service would refuse (protocol).
        assert len(writes) + len(drops) <= self.settings.txn_ops
        assert len(conditions) <= 4 * self.settings.txn_ops
        assert len(wire.commit_body(conditions, writes, drops, {})) <= wire.MAX_BODY_BYTES
        assert all(len(wire.encode(value)) <= self.settings.value_kb * 1024 for value in writes.values())
        if any(tables.mod_revision(key) != stamp for key, stamp in conditions.items()):
            return TransactionResult(TransactionOutcome.CONFLICT, self.store.epoch)
        for key, value in writes.items():
            self.store.put(key, value)
        for key in drops:
            self.store.put(key, None)
        return TransactionResult(TransactionOutcome.COMMITTED, self.store.epoch)


class ScriptedReplica(Replica):
    """Knows all that is stored at once."""

    @property
    def applied_revision(self) -> int:
        return self.client.store.epoch  # type: ignore[attr-defined, no-any-return]

    @applied_revision.setter
    def applied_revision(self, epoch: int) -> None:
        pass


class World:
    """Time, what is stored, the workers, and the rules."""

    def __init__(
        self,
        seed: int,
        troubled: bool = False,
        members: tuple[str, ...] = MEMBERS,
        machines: int = MACHINES,
        text: str = SETTINGS,
    ) -> None:
        self.troubled = troubled
        self.recorder = TraceRecorder()
        self.members = members
        self.text = text
        # How likely a running task ends in a step.
        self.task_ends = 0.06
        # All jobs that were submitted, whether or not they were accepted.
        self.specs: dict[str, wire.JobSpec] = {}
        self.happened = Counter[str]()
        self.finished: set[str] = set()
        self.sizes: dict[str, int] = {}
        self.starts = 0
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.store = Store()
        self.store.types()
        self.store.upgraded()
        self.log: list[tuple[str, Any, int]] = [(key, *row) for key, row in self.store.rows.items()]
        put = self.store.put

        def logged(key: str, value: Any) -> int:
            epoch = put(key, value)
            self.log.append((key, value, epoch))
            return epoch

        self.store.put = logged  # type: ignore[method-assign]
        self.outage = False
        self.late: list[tuple[float, Callable[[], object]]] = []
        self.boots = 0
        self.nodes: dict[str, Node] = {name: self.new_node(name) for name in members}
        self.leases: dict[tuple[str, int], float] = {}
        self.workers = [Worker(self, f"vm-{number}") for number in range(machines)]
        self.machines_made = len(self.workers)
        self.number = 0
        self.told: dict[str, float] = {}
        self.done: set[str] = set()
        self.answered = Counter[str]()

    def new_node(self, name: str) -> Node:
        """A new process of a controller."""
        return Node(self, name)

    def coordinate(self) -> None:
        """What the coordinator does: a view of those whose lease lives, however that ended."""
        if self.outage:
            # After an outage every lease has its full time again.
            self.leases = {key: self.clock.time for key in self.leases}
            return
        span = self.nodes[self.members[0]].settings.controller_lease_s
        for (name, boot), at in list(self.leases.items()):
            if self.clock.time > at + span:
                del self.leases[name, boot]
                row = self.store.tables.members.get(name)
                if row is not None and row.incarnation == boot:
                    self.store.put(keys.member_key(name), None)
        members = tuple(sorted((name, row.incarnation) for name, row in self.store.tables.members.items()))
        if members and members != self.store.tables.view.members:
            self.store.view(self.store.tables.view.number + 1, *members)

    def present(self, leased: bool = False) -> list[tuple[str, str]]:
        """Tasks and the machines on which they are; `leased`: without machines that hang past the end of their lease,
        which give their tasks up before they go on."""
        workers = [worker for worker in self.workers if not (leased and worker.lease_over)]
        return [(task, w.name) for w in workers for (task, _), (state, _) in w.tasks.items() if state != "ended"]

    def worker(self, name: str) -> Worker | None:
        return next((worker for worker in self.workers if worker.name == name), None)

    def delete(self, name: str) -> None:
        """The cloud deletes a machine, and another one comes up."""
        worker = self.worker(name)
        if worker is not None:
            self.happened["deleted"] += 1
            self.workers.remove(worker)
            self.workers.append(Worker(self, f"vm-{self.machines_made}"))
            self.machines_made += 1

    def end_troubles(self) -> None:
        self.outage = False
        for node in self.nodes.values():
            node.refused = False
        for worker in self.workers:
            worker.hung_until = worker.deaf_until = worker.mute_until = self.clock.time

    def unfinished(self) -> set[str]:
        """Accepted jobs that no controller knows as done or cancelled."""
        final = (wire.JobStatus.DONE, wire.JobStatus.CANCELLED)
        return {job for job in self.sizes if all(node.jobs.status(job) not in final for node in self.nodes.values())}

    def cancel(self, job: str, node: Node) -> None:
        """A user cancels a job at one of the controllers."""
        if node.replica.loaded and anyio.run(node.jobs.cancel, job) == wire.JobStatus.CANCELLED:
            self.told.setdefault(job, self.clock.time)

    def trouble(self, node: Node) -> None:
        """A machine hangs, hears nothing or cannot report for a while. A job on one that hangs is cancelled, and the
        machine goes on long after its tasks must be gone."""
        worker = self.rng.choice(self.workers)
        kind = self.rng.choice(("hung", "deaf", "mute"))
        until = self.clock.time + 25 * self.rng.random()
        self.happened[kind] += 1
        running = [task for (task, _), (state, _) in worker.tasks.items() if state != "ended"]
        if kind == "hung" and running:
            self.happened["cancelled on a hung machine"] += 1
            self.cancel(running[0].partition("/")[0], node)
            until = self.clock.time + 60
        setattr(worker, kind + "_until", until)

    def check_start(self, worker: Worker, task: str) -> None:
        self.starts += 1
        present = self.present(leased=True)
        assert task not in [there for there, _ in present], f"ran_twice: {task}"
        team = self.specs[task.partition("/")[0]].team
        limit = self.nodes[self.members[0]].settings.teams[team].cpus_max
        assert self.used(team, [there for there, _ in present] + [task]) <= limit, f"quota: {team}"
        job = task.partition("/")[0]
        if job in self.told:
            assert self.clock.time <= self.told[job] + 30.0, f"ran_cancelled: {task}"

    def used(self, team: str, tasks: list[str]) -> float:
        """Cores that the team's among these tasks use."""
        specs = (self.specs[task.partition("/")[0]] for task in tasks)
        return sum(spec.cores for spec in specs if spec.team == team)

    def check(self) -> None:
        for task, machine in self.present():
            job = task.partition("/")[0]
            assert job not in self.told or self.clock.time <= self.told[job] + 30.0, f"ran_cancelled: {task} {machine}"
        finished = Counter(task.partition("/")[0] for task in self.finished)
        for node in self.nodes.values():
            for name, size in self.sizes.items():
                status = node.jobs.status(name)
                if status == wire.JobStatus.DONE:
                    assert finished[name] == size, f"not_done: {name}"
                    assert name not in self.told, f"went_back: {name}"
                    self.done.add(name)
                assert not (name in self.done and status == wire.JobStatus.CANCELLED), f"went_back: {name}"

    # -- steps

    def start(self) -> None:
        """All controllers join."""
        for node in self.nodes.values():
            node.read()
            node.renew()
        self.coordinate()

    def submit(self, node: Node, job: wire.JobSpec) -> bool:
        """A user submits a job; whether it is accepted. One that is not may be stored late all the same."""
        self.specs[job.id] = job
        if not node.replica.loaded or anyio.run(node.jobs.submit, job) is None:
            return False
        self.sizes[job.id] = job.tasks
        return True

    def happen(self, luck: float, node: Node) -> None:
        """What happens in a step: something breaks or heals, or a user comes."""
        if luck < 0.01:
            self.outage = not self.outage
        elif luck < 0.03:
            node.refused = not node.refused
        elif luck < 0.037:
            # A new process; the former lease ends by itself.
            self.nodes[node.settings.member] = self.new_node(node.settings.member)
        elif luck < 0.1 and len(self.sizes) < 40:
            self.number += 1
            self.submit(node, spec(f"wk-{self.number:06d}", visits=self.rng.randint(1, 5)))
        elif luck < 0.14 and self.sizes:
            self.cancel(self.rng.choice(list(self.sizes)), node)
        elif luck < 0.3:
            self.ask_sibling(node)

    def ask_sibling(self, node: Node) -> None:
        """A question over the mesh, and its answer."""
        others = [member for member in self.members if member != node.settings.member]
        other = self.nodes[others[0] if len(others) == 1 else self.rng.choice(others)]
        peer = node.mesh.peers[other.settings.member]
        question = StatusRequest(1, node.replica.applied_revision, peer.log_id, peer.log_position)
        frame = other.mesh.status_for(question).pack()
        body = question.pack()[HEADER.size :]
        self.recorder.record("frames", node.settings.member, body, other.settings.member, frame)
        answer = StatusFrame.unpack(frame[HEADER.size :])
        node.mesh.apply_status(peer, self.clock.time, answer)

    def step(self, calm: bool = False) -> None:
        """About a sixth of a second; in calm times only siblings ask."""
        rng = self.rng
        self.clock.time += 0.3 * rng.random()
        for item in [item for item in self.late if item[0] <= self.clock.time]:
            self.late.remove(item)
            item[1]()
        luck = 0.2 if calm else rng.random()
        node = self.nodes[rng.choice(self.members)]
        self.happen(luck, node)
        for each in self.nodes.values():
            if rng.random() < 0.4:
                each.renew()
            if rng.random() < 0.5:
                each.tick()
        self.coordinate()
        if self.troubled and not calm and rng.random() < 0.015:
            self.trouble(node)
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


class Client(StateClient):
    """Transactions against what is stored. Some answers are lost, and some of these are carried out late."""

    node: Node

    @property
    def is_reachable(self) -> bool:
        return self.node.reaches

    async def acquire_changes(self, changes: int, priority: Any) -> None:
        return None

    async def compare_and_swap(
        self,
        transaction: Transaction,
        priority: Any,
        *,
        leases: dict[str, int] | None = None,
        acquired_changes: int = 0,
    ) -> TransactionResult:
        conditions, writes, drops = transaction.conditions, transaction.writes, transaction.deletes
        world = self.node.world
        world.recorder.transaction(self.node.settings.member, conditions, writes, drops, leases)
        if not self.node.reaches:
            return TransactionResult(TransactionOutcome.REJECTED, 0)

        def carry_out() -> TransactionResult:
            stored = world.store.tables
            if any(stored.mod_revision(key) != stamp for key, stamp in conditions.items()):
                return TransactionResult(TransactionOutcome.CONFLICT, world.store.epoch)
            # One transaction, one revision.
            world.store.epoch += 1
            for key, value in [*writes.items(), *((key, None) for key in drops)]:
                world.store.epoch -= 1
                world.store.put(key, value)
            return TransactionResult(TransactionOutcome.COMMITTED, world.store.epoch)

        luck = world.rng.random()
        if luck < 0.04:
            world.late.append((world.clock.time + 10 * world.rng.random(), carry_out))
            return TransactionResult(TransactionOutcome.UNKNOWN, 0)
        outcome = carry_out()
        return TransactionResult(TransactionOutcome.UNKNOWN) if luck < 0.08 else outcome


class Reading(Replica):
    """Reads what is stored, in order, while the state service can be reached."""

    node: Node

    async def read_linearizable(self, timeout_s: float) -> None:
        self.node.read()


class Group:
    """Registrations are stored at once; direct commands arrive in a troubled world only."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.pending: list[tuple[Any, tuple[Any, ...]]] = []

    def start_soon(self, call: Any, *args: Any) -> None:
        if call.__name__ == "store":
            self.pending.append((call, args))
        elif call.__name__ == "_command" and self.node.world.troubled:
            self.command(args[0])
        elif call.__name__ == "_inspect":
            self.inspect(args[0])

    def inspect(self, machine: str) -> None:
        """A question for a machine's tasks: answered, or lost. It changes nothing there."""
        worker = self.node.world.worker(machine)
        self.node.world.recorder.record("inspection", self.node.settings.member, machine)
        lost = worker is None or worker.hung or worker.deaf or self.node.world.rng.random() < 0.1
        self.node.inbox.append(InspectionReply(machine, None if lost or worker is None else worker.report()))

    def command(self, machine: Machine) -> None:
        """A direct command: carried out and answered, only carried out, carried out late, or lost."""
        node, world = self.node, self.node.world
        worker = world.worker(machine.name)
        commands = node.machines.commands
        commands.record_begun(machine)
        if worker is None or not node.leadership.may_answer_workers:
            return
        orders = node.machines.registry.commands(machine, node.tables, None) if machine.reconciled else []
        message = wire.WorkerCommands(node.leadership.view.number, orders, machine.agent_epoch or 1)
        world.recorder.record("command", node.settings.member, machine.name, wire.encode(message))
        # As at the end of a real one, which waits for an answer no longer than this.
        wait_s = min(2.0, node.settings.lease_s / 6)
        node.machines.commands.probe_at[machine.name] = world.clock.time + wait_s + node.settings.report_s / 4
        luck = world.rng.random()
        if luck < 0.2 or worker.hung:
            at = world.clock.time + 2 + 14 * world.rng.random()
            world.late.append((at, lambda: worker.command(message, late=True)))
        elif luck < 0.9 and not worker.deaf:
            worker.command(message)
            if luck < 0.8:
                node.inbox.append(CommandReply(worker.report()))
                return
        commands.record_failure(machine)


class ScriptedCloud:
    """Deletes machines for one controller, as its fleet would: only what is still its own, and while it may."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.returning: set[str] = set()

    def scale_in(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        self.node.world.recorder.record("return", self.node.settings.member, machine, listed, pressing)
        if machine in self.returning:
            return False
        self.returning.add(machine)

        def delete() -> None:
            self.returning.discard(machine)
            node = self.node
            leadership = node.leadership
            ours = leadership.owner_of(machine) == node.settings.member
            if (ours and leadership.is_leader) or (
                pressing and (leadership.may_answer_workers or leadership.is_leaderless)
            ):
                node.world.delete(machine)
                node.inbox.append(InstancesDeleted([machine]))

        self.node.world.late.append((self.node.world.clock.time + self.node.world.rng.random(), delete))
        return True


class Node:
    """One process of a controller."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.settings = parse(settings_text(name, world.members, world.text))
        clock = world.clock
        self.refused = False
        self.place = 0
        self.tables = Tables(CancellationLog(50, world.rng.getrandbits(40) + 1))
        self.client = Client(self.settings, lambda: len(world.members), clock.now)
        self.client.node = self
        self.replica = Reading(self.client, self.tables, clock.now)
        self.replica.node = self
        self.leadership = Leadership(self.settings, self.tables, self.replica, clock.now)
        self.mesh = Mesh(
            self.settings.siblings,
            1.0,
            clock.now,
            MeshCallbacks(self.leadership.peer_status, self.leadership.apply_peer_cancellations),
            self.tables.cancellations,
        )
        self.leadership.mesh = self.mesh
        self.context = ControllerContext(self.settings, self.client, self.replica, self.leadership, clock)
        self.membership = Membership(self.context)
        self.jobs = Jobs(self.context)
        self.machines = Machines(self.context, self.jobs, self.membership)
        # Pauses would be real ones.
        self.machines.claims.tick_interval_s = self.machines.registration.pace_s = self.jobs.batch_s = 0.0
        self.inbox: list[MachinesMessage] = []
        if world.troubled:
            self.machines.termination.autoscaler = ScriptedCloud(self)
        self.group = Group(self)
        self.machines.group = self.group  # type: ignore[assignment]
        self.asked: list[ClaimRequest] = []

        async def ask_for(request: ClaimRequest) -> None:
            raise AssertionError("taken from the group")

        self.machines.claims._await_claims = ask_for  # type: ignore[method-assign]

    @property
    def reaches(self) -> bool:
        return not self.refused and not self.world.outage

    def read(self) -> None:
        """All changes since the last reading, sent now and answered at once; and the lease is renewed."""
        if not self.reaches:
            return
        while self.place < len(self.world.log):
            key, value, stamp = self.world.log[self.place]
            self.tables.apply(key, value, stamp)
            self.place += 1
        self.replica.applied_revision = self.world.store.epoch
        self.replica.loaded = self.replica.fully_read = True
        self.replica.linearizable_at = self.world.clock.time

    def renew(self) -> None:
        if not self.reaches:
            return
        name, now = self.settings.member, self.world.clock.time
        if not self.leadership.incarnation or (name, self.leadership.incarnation) not in self.world.leases:
            self.world.boots += 1
            self.leadership.incarnation = self.world.boots
            self.membership.recovered_view = 0
            self.world.store.member(name, self.leadership.incarnation)
        self.world.leases[name, self.leadership.incarnation] = now
        self.leadership.lease_renewed_at = now
        self.read()
        anyio.run(self.membership._write_member)

    def tick(self) -> None:
        """A look round, a round of storing, and what was asked for."""
        for message in self.inbox:
            anyio.run(self.machines.handle, message)
        self.inbox.clear()
        group = self.group
        start_soon = group.start_soon
        asked: list[ClaimRequest] = []

        def take(call: Any, *args: Any) -> None:
            if call is self.machines.claims._await_claims:
                asked.append(args[0])
            else:
                start_soon(call, *args)

        group.start_soon = take  # type: ignore[method-assign]
        self.machines._tick()
        group.start_soon = start_soon  # type: ignore[method-assign]

        async def follow() -> None:
            for call, args in group.pending:
                await call(*args)
            group.pending.clear()
            while self.membership._inbox:
                message = self.membership._inbox.popleft()
                assert isinstance(message, ShardRecovered)
                await self.membership.handle(message)
            while self.jobs._inbox:
                updates = self.jobs._inbox.popleft()
                assert isinstance(updates, TaskUpdates)
                await self.jobs.handle(updates)
            for request in asked:
                await self.jobs.handle(request)
                await self.jobs._commit_round()
                for name, tasks in request.granted.items():
                    if name in self.machines.task_updates.unstored_releases:
                        self.machines.task_updates.unstored_releases[name] &= ~tasks
            if not asked:
                await self.jobs._commit_round()

        anyio.run(follow)
        self.machines.claims.claim_in_flight = False


class Worker:
    """A worker as the protocol tells it, of eight cores; images are there."""

    def __init__(self, world: World, name: str, kind: str = "small", zone: str = "a", spot: bool = True) -> None:
        self.world = world
        self.name = name
        self.kind = kind
        self.zone = zone
        self.spot = spot
        self.target = world.members[0]
        self.session, self.serial, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], tuple[str, str | None]] = {}
        self.finished: set[str] = set()
        self.renewed_at = world.clock.time
        self.flight: list[tuple[float, float, int, bytes]] = []
        self.heard_answer = False
        self.copies: list[wire.WorkerReport] = []
        self.hung_until = self.deaf_until = self.mute_until = float("-inf")

    @property
    def hung(self) -> bool:
        """Whether it does nothing at all, and keeps what is on it until it goes on."""
        return self.world.clock.time < self.hung_until

    @property
    def deaf(self) -> bool:
        """Whether neither answers nor commands reach it."""
        return self.world.clock.time < self.deaf_until

    @property
    def mute(self) -> bool:
        """Whether it reaches no controller."""
        return self.world.clock.time < self.mute_until

    def command(self, message: wire.WorkerCommands, late: bool = False) -> None:
        """A direct command: carried out if token and session still match."""
        if self.hung or message.fencing_token < self.token or message.agent_epoch != self.session:
            return
        self.token = message.fencing_token
        self.world.happened["late command" if late else "command"] += 1
        for order in message.commands:
            self.carry_out(order)

    @property
    def lease_over(self) -> bool:
        return self.world.clock.time - self.renewed_at > 10.0

    def expire(self) -> None:
        if self.lease_over:
            self.tasks.clear()
            self.session += 1
            self.renewed_at = self.world.clock.time

    def report(self) -> wire.WorkerReport:
        self.serial += 1
        items = [wire.ReportedTask(task, number, state, cause) for (task, number), (state, cause) in self.tasks.items()]
        return wire.WorkerReport(
            self.name, "127.0.0.1:9000", self.kind, self.zone, self.spot, self.session, self.serial, self.token, items
        )

    def heartbeat(self) -> None:
        """A report to the controller of which the worker thinks, or to the next one; the answer may be late or lost."""
        world, rng, sent = self.world, self.world.rng, self.world.clock.time
        if any(sent - earlier <= 4.0 for _, earlier, _, _ in self.flight):
            return  # one report in flight at a time; an answer is waited for so long
        self.flight.clear()
        report = self.report()
        if self.mute:
            self.target = rng.choice(world.members)
            return
        if rng.random() < 0.1:
            self.copies.append(report)
        if self.copies and rng.random() < 0.1:
            copy = self.copies.pop(rng.randrange(len(self.copies)))
            message = HeartbeatRequest(report=copy, last_answer_received=False)
            anyio.run(world.nodes[rng.choice(world.members)].machines.handle, message)
            world.recorder.record("heartbeat copy", self.name, message.answer.status, message.answer.body)
        if rng.random() < 0.05:
            return  # never arrives
        message = HeartbeatRequest(report=report, last_answer_received=self.heard_answer)
        anyio.run(world.nodes[self.target].machines.handle, message)
        answer, self.heard_answer = message.answer, False
        world.answered[str(answer.status)] += 1
        world.recorder.record("heartbeat", self.name, self.target, answer.status, answer.body)
        if answer.status == 421:
            to = wire.decode(answer.body, dict[str, Any]).get("foreman")
            self.target = to or rng.choice(world.members)
        elif answer.status != 200:
            self.target = rng.choice(world.members)
        elif rng.random() > 0.05 and not self.deaf:
            delay = 0.0 if rng.random() < 0.8 else 5 * rng.random()
            self.flight.append((world.clock.time + delay, sent, self.session, answer.body))

    def receive(self) -> None:
        now = self.world.clock.time
        for at, sent, session, body in [item for item in self.flight if item[0] <= now]:
            self.flight.remove((at, sent, session, body))
            orders = wire.decode(body, wire.WorkerCommands)
            if now - sent > 4.0 or session != self.session or orders.fencing_token < self.token:
                continue
            self.token = orders.fencing_token
            self.renewed_at = max(self.renewed_at, sent)
            self.heard_answer = True
            for order in orders.commands:
                self.carry_out(order)

    def carry_out(self, order: wire.WorkerCommand) -> None:
        key = (order.task, order.attempt)
        if order.verb == "start" and key not in self.tasks:
            live = [task for (task, _), (state, _) in self.tasks.items() if state != "ended"]
            if order.task in live:
                self.tasks[key] = ("ended", "busy")
            elif sum(self.world.specs[task.partition("/")[0]].cores for task in [*live, order.task]) > CORES:
                self.tasks[key] = ("ended", "no_room")
            else:
                self.world.check_start(self, order.task)
                self.tasks[key] = ("running", None)
        elif order.verb == "kill" and self.tasks.get(key, ("ended", None))[0] != "ended":
            self.tasks[key] = ("ended", "halted")
        elif order.verb == "clear":
            self.tasks.pop(key, None)

    def work(self) -> None:
        for key, (state, _cause) in list(self.tasks.items()):
            if state == "running" and self.world.rng.random() < self.world.task_ends:
                self.tasks[key] = ("ended", "done")
                self.world.finished.add(key[0])


def play(seed: int, steps: int, troubled: bool = False, calm_steps: int = 0) -> World:
    """Plays a world, checking the rules after each step; in the calm steps at its end nothing more goes wrong."""
    world = World(seed, troubled)
    world.start()
    for step in range(steps + calm_steps):
        if step == steps:
            world.end_troubles()
        world.step(calm=step >= steps)
    return world
