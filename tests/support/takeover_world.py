"""A simulated cluster in which a machine hangs with a cancelled task while its owner changes repeatedly.

The seed selects how owners change and how often. There are no other faults, so no machine but the one that hangs may be
deleted.

    python3 -m tests.support.takeover_world 1 201          # seeds 1 to 200
"""

from __future__ import annotations

import sys
from enum import StrEnum
from typing import Any

from sloeswitch import wire
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.core.machine import Machine
from tests.conftest import spec
from tests.support.cluster import World
from tests.support.cluster_cloud import ScriptedTaskGroup
from tests.support.cluster_node import Node
from tests.support.cluster_worker import Worker
from tests.support.seeds import run_seeds

MEMBERS = ("c0", "c1", "c2")
MACHINES = 12
JOBS = 12
# Steps before a machine hangs, after which all controllers have joined and machines run tasks.
WARM_UP_STEPS = 120
# How long the simulation runs after the cancellation, and how long the machine hangs, in seconds.
SIMULATED_S = 40.0
HANG_S = 200.0
# The shortest and the longest time between two changes of owners, in seconds.
MIN_INTERVAL_S, MAX_INTERVAL_S = 0.3, 6.0
# How long the state service rejects a controller that is to lose its lease, in seconds.
REFUSED_S = 4.0


class TakeoverKind(StrEnum):
    """How the hung machine changes owners."""

    # The owner restarts, with no downtime.
    OWNER_RESTARTS = "owner restarts"
    # All controllers restart, one after the other.
    EACH_RESTARTS = "each restarts"
    # The state service rejects the owner until its lease expires; the process continues.
    OWNER_LOSES_LEASE = "owner loses its lease"
    # Each change is one of the three kinds above, drawn at random.
    MIXED = "mixed"
    # The owner restarts once, 12 to 28.5 s after the cancellation; the task must be gone after 30 s.
    ONCE_LATE = "once, late"
    # The owner restarts while the state service is down.
    RESTART_IN_OUTAGE = "restart in an outage"


class ReliableTaskGroup(ScriptedTaskGroup):
    """Delivers all commands and inspections; every machine that does not hang answers at once."""

    late_below, arriving_below, answered_below = 0.0, 1.0, 1.0
    inspection_loss = 0.0

    def command(self, machine: Machine) -> None:
        """Sends a command; one that is dropped because the controller may not answer workers ends at once."""
        super().command(machine)
        if not self.node.leadership.may_answer_workers:
            self.node.machines.commands.record_ended(machine)


class TakeoverNode(Node):
    """A controller whose commands and inspections are not lost or late."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.group = ReliableTaskGroup(self)
        self.machines.group = self.group  # type: ignore[assignment]


class PromptWorker(Worker):
    """A worker whose reports are answered at once."""

    def heartbeat(self) -> None:
        world, sent = self.world, self.world.clock.time
        message = HeartbeatRequest(report=self.report(), last_answer_received=self.last_answer_received)
        world.deliver(self.target, message)
        answer = message.answer
        self.last_answer_received = answer.status == 200
        if answer.status == 200:
            self.answers_in_flight.append((sent, sent, self.agent_epoch, answer.body))
            return
        named_owner = wire.decode(answer.body, dict[str, Any]).get("foreman") if answer.status == 421 else None
        self.target = named_owner or world.rng.choice(world.members)


class TakeoverWorld(World):
    """A cluster of healthy machines and one that hangs, with changes of owners selected by the seed."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, extra_faults=True, members=MEMBERS, machines=MACHINES)
        self.task_end_probability = 0.004
        self.kind = self.rng.choice(list(TakeoverKind))
        self.interval_s = self.rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
        self.next_change_at = float("inf")
        self.restart_count = 0
        self.hung_machine: Worker | None = None
        self.cancelled_job = ""

    def new_node(self, name: str) -> Node:
        return TakeoverNode(self, name)

    def new_worker(self, name: str) -> Worker:
        return PromptWorker(self, name)

    def begin_machine_fault(self, node: Node) -> None:
        """Does nothing: no machine fails except the one that hangs."""

    def perform_event(self, draw: float, node: Node) -> None:
        if self.hung_machine is None:
            if len(self.accepted_jobs) < JOBS:
                self.last_job_number += 1
                self.submit(node, spec(f"wk-{self.last_job_number:06d}", visits=self.rng.randint(2, 4), cores=0.5))
        elif self.clock.time >= self.next_change_at and self.is_cancellation_read():
            self.next_change_at = self.clock.time + self.interval_s
            self.change_owner(self.kind)
        self.request_peer_statuses()

    def request_peer_statuses(self) -> None:
        """Lets every controller request the status of one of the others."""
        for node in self.nodes.values():
            self.request_peer_status(node)

    def hang_machine(self) -> bool:
        """Cancels the job of a running task and makes its machine hang.

        Returns False if no machine runs a task or the cancellation fails.
        """
        running = [worker for worker in self.workers if any(state == "running" for state, _ in worker.tasks.values())]
        if not running:
            return False
        worker = self.rng.choice(running)
        task = next(task for (task, _), (state, _) in worker.tasks.items() if state == "running")
        self.cancelled_job = task.partition("/")[0]
        self.cancel(self.cancelled_job, self.nodes[self.rng.choice(MEMBERS)])
        if self.cancelled_job not in self.cancelled_at:
            return False
        worker.hung_until = self.clock.time + HANG_S
        self.hung_machine = worker
        self.next_change_at = self.first_change_at()
        return True

    def first_change_at(self) -> float:
        """Returns the time of the first change of owners; for ONCE_LATE also disables later changes."""
        if self.kind is not TakeoverKind.ONCE_LATE:
            return self.clock.time + self.interval_s * self.rng.random()
        self.interval_s = float("inf")
        return self.clock.time + 30.0 * self.rng.uniform(0.4, 0.95)

    def owner(self) -> str:
        """Returns the owner of the hung machine by the stored view."""
        assert self.hung_machine is not None
        return self.store.tables.view.owner(self.hung_machine.name) or MEMBERS[0]

    def is_cancellation_read(self) -> bool:
        """Whether each controller has read the cancellation.

        A cancellation is lost until the state service returns if only a process that ends during the outage has read
        it (docs/design.md, "Limits known"), so the owner restarts in an outage only after every controller has read it.
        """
        if self.kind is not TakeoverKind.RESTART_IN_OUTAGE:
            return True
        rows = [node.tables.jobs.get(self.cancelled_job) for node in self.nodes.values()]
        return all(row is None or row.is_cancelled for row in rows)

    def change_owner(self, kind: TakeoverKind) -> None:
        self.event_counts[str(kind)] += 1
        if kind is TakeoverKind.MIXED:
            kinds = (TakeoverKind.OWNER_RESTARTS, TakeoverKind.EACH_RESTARTS, TakeoverKind.OWNER_LOSES_LEASE)
            kind = self.rng.choice(kinds)
        if kind is TakeoverKind.EACH_RESTARTS:
            self.restart(MEMBERS[self.restart_count % len(MEMBERS)])
        elif kind is TakeoverKind.OWNER_LOSES_LEASE:
            self.refuse(self.nodes[self.owner()])
        elif kind is TakeoverKind.RESTART_IN_OUTAGE:
            self.outage = True
            self.restart(self.owner())
            self.next_change_at = float("inf")
        else:
            self.restart(self.owner())

    def restart(self, name: str) -> None:
        """Replaces a controller's process by a new one."""
        self.restart_count += 1
        self.nodes[name] = self.new_node(name)

    def refuse(self, node: Node) -> None:
        node.refused = True
        self.delayed_calls.append((self.clock.time + REFUSED_S, lambda: setattr(node, "refused", False)))

    def delete(self, name: str) -> None:
        worker = self.worker(name)
        assert worker is None or worker.hung, f"a healthy machine is deleted: {name}"
        super().delete(name)


def simulate(seed: int) -> TakeoverWorld:
    """Runs the simulation of a seed until after the cancelled task must be gone, checking the invariants each step."""
    world = TakeoverWorld(seed)
    world.start()
    for _ in range(WARM_UP_STEPS):
        world.step()
    while not world.hang_machine():
        world.step()
    end = world.clock.time + SIMULATED_S
    while world.clock.time < end:
        world.step()
    return world


if __name__ == "__main__":
    sys.exit(run_seeds(simulate, int(sys.argv[1]), int(sys.argv[2])))
