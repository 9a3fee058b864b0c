"""What a controller of the cluster starts beside its actors: direct commands, and deletions at the cloud."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sloeswitch import wire
from sloeswitch.actors.commands import CommandReply, InspectionReply
from sloeswitch.actors.machine_messages import InstancesDeleted
from sloeswitch.core.machine import Machine

if TYPE_CHECKING:
    from tests.support.cluster_node import Node


class ScriptedTaskGroup:
    """Registrations are stored at once; direct commands arrive in a troubled world only."""

    # Draws below these are late, arrive, and are answered.
    late_share, arriving_share, answered_share = 0.2, 0.9, 0.8
    # Which part of the inspections is lost.
    lost_inspections = 0.1

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
        lost = worker is None or worker.hung or worker.deaf or self.node.world.rng.random() < self.lost_inspections
        self.node.inbox.append(InspectionReply(machine, None if lost or worker is None else worker.report()))

    def command(self, machine: Machine) -> None:
        """A direct command: carried out and answered, only carried out, carried out late, or lost."""
        node, world = self.node, self.node.world
        worker = world.worker(machine.name)
        commands = node.machines.commands
        commands.record_sending(machine)
        if worker is None or not node.leadership.may_answer_workers:
            return
        orders = node.machines.registry.commands(machine, node.tables, None) if machine.reconciled else []
        message = wire.WorkerCommands(node.leadership.view.number, orders, machine.agent_epoch or 1)
        world.recorder.record("command", node.settings.member, machine.name, wire.encode(message))
        # As at the end of a real one, which waits for an answer no longer than this.
        wait_s = min(2.0, node.settings.lease_s / 6)
        node.machines.commands.probe_at[machine.name] = world.clock.time + wait_s + node.settings.report_s / 4
        luck = world.rng.random()
        if luck < self.late_share or worker.hung:
            at = world.clock.time + 2 + 14 * world.rng.random()
            world.late.append((at, lambda: worker.command(message, late=True)))
        elif luck < self.arriving_share and not worker.deaf:
            worker.command(message)
            if luck < self.answered_share:
                node.inbox.append(CommandReply(worker.report()))
                return
        commands.record_failure(machine)


class ScriptedCloud:
    """Deletes machines for one controller, as its fleet would: only what is still its own, and while it may."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.returning: set[str] = set()

    def request_termination(self, machine: str, by_coordinator: bool = False, urgent: bool = False) -> bool:
        self.node.world.recorder.record("return", self.node.settings.member, machine, by_coordinator, urgent)
        if machine in self.returning:
            return False
        self.returning.add(machine)

        def delete() -> None:
            self.returning.discard(machine)
            node = self.node
            leadership = node.leadership
            ours = leadership.owner_of(machine) == node.settings.member
            if (ours and leadership.is_leader) or (
                urgent and (leadership.may_answer_workers or leadership.is_leaderless)
            ):
                node.world.delete(machine)
                node.inbox.append(InstancesDeleted([machine]))

        self.node.world.late.append((self.node.world.clock.time + self.node.world.rng.random(), delete))
        return True
