"""Fakes for what a controller's actors start in the background: direct commands, inspections and cloud deletions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sloeswitch import wire
from sloeswitch.actors.commands import CommandReply, InspectionReply
from sloeswitch.actors.machine_messages import InstancesDeleted
from sloeswitch.core.machine import Machine
from sloeswitch.core.worker_commands import direct_commands

if TYPE_CHECKING:
    from tests.support.cluster_node import Node


class ScriptedTaskGroup:
    """Replaces the machines actor's task group.

    Registrations are kept in `pending`; the node runs them after its tick. Direct commands are sent only in simulations
    with extra faults.
    """

    # Thresholds for a random number that is drawn for each command: below the first the command arrives late, below
    # the second it arrives at once, below the third the answer to it arrives as well.
    late_below, arriving_below, answered_below = 0.2, 0.9, 0.8
    # Probability that an inspection gets no answer.
    inspection_loss = 0.1

    def __init__(self, node: Node) -> None:
        self.node = node
        self.pending: list[tuple[Any, tuple[Any, ...]]] = []

    def start_soon(self, call: Any, *args: Any) -> None:
        if call.__name__ == "store":
            self.pending.append((call, args))
        elif call.__name__ == "_command" and self.node.world.extra_faults:
            self.command(args[0])
        elif call.__name__ == "_inspect":
            self.inspect(args[0])

    def inspect(self, machine: str) -> None:
        """Asks a machine for its tasks, without side effects; the request may be lost."""
        worker = self.node.world.worker(machine)
        self.node.world.recorder.record("inspection", self.node.settings.member, machine)
        lost = worker is None or worker.hung or worker.deaf or self.node.world.rng.random() < self.inspection_loss
        self.node.inbox.append(InspectionReply(machine, None if lost or worker is None else worker.report()))

    def command(self, machine: Machine) -> None:
        """Sends a direct command: executed and answered, executed without an answer, executed late, or lost."""
        node, world = self.node, self.node.world
        worker = world.worker(machine.name)
        commands = node.machines.commands
        commands.record_sending(machine)
        if worker is None or not node.leadership.may_answer_workers:
            return
        worker_commands = direct_commands(machine) if machine.reconciled else []
        message = wire.WorkerCommands(node.leadership.view.number, worker_commands, machine.agent_epoch or 1)
        world.recorder.record("command", node.settings.member, machine.name, wire.encode(message))
        # The next probe is due as after a real command, which ends when its timeout expires at the latest.
        wait_s = min(2.0, node.settings.lease_s / 6)
        node.machines.commands.probe_at[machine.name] = world.clock.time + wait_s + node.settings.report_s / 4
        draw = world.rng.random()
        if draw < self.late_below or worker.hung:
            at = world.clock.time + 2 + 14 * world.rng.random()
            world.delayed_calls.append((at, lambda: worker.command(message, late=True)))
        elif draw < self.arriving_below and not worker.deaf:
            worker.command(message)
            if draw < self.answered_below:
                node.inbox.append(CommandReply(worker.report()))
                return
        commands.record_failure(machine)


class ScriptedCloud:
    """Deletes machines for one controller under the conditions of the real scale-in.

    A leader deletes machines that it owns. An urgent deletion of any machine is also allowed while the controller may
    answer workers, or while no controller may as far as it can tell.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.deleting: set[str] = set()

    def request_termination(self, machine: str, by_coordinator: bool = False, urgent: bool = False) -> bool:
        self.node.world.recorder.record("return", self.node.settings.member, machine, by_coordinator, urgent)
        if machine in self.deleting:
            return False
        self.deleting.add(machine)

        def delete() -> None:
            self.deleting.discard(machine)
            node = self.node
            leadership = node.leadership
            is_owner = leadership.owner_of(machine) == node.settings.member
            if (is_owner and leadership.is_leader) or (
                urgent and (leadership.may_answer_workers or leadership.is_leaderless)
            ):
                node.world.delete(machine)
                node.inbox.append(InstancesDeleted([machine]))

        self.node.world.delayed_calls.append((self.node.world.clock.time + self.node.world.rng.random(), delete))
        return True
