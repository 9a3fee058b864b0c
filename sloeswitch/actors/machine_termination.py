"""Terminates machines: requests their deletion from the autoscaler, and removes them once the cloud confirms it.

Called by the modules of the machines actor, and by the autoscaler for idle machines.
"""

from __future__ import annotations

import logging
from enum import StrEnum

from sloeswitch.actors.commands import CommandSender
from sloeswitch.actors.machine_messages import InstanceTerminator
from sloeswitch.actors.registration import Registration
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core.machine import Machine

log = logging.getLogger("machines")


class TerminationReason(StrEnum):
    """Why a machine is deleted, as logged."""

    IDLE = "idle"
    # It does not report, is not being answered, and does not answer direct commands.
    SILENT = "silent"
    # For two lease periods, no heartbeat arrived from it or no message is known to have reached it.
    UNREACHABLE = "unreachable"
    # It is quarantined because tasks failed on it repeatedly.
    FAULTY = "faulty"
    # It holds or may hold cancelled tasks that are overdue.
    CANCELLED_TASKS = "cancelled-tasks"
    # The same, and no owner has accounted for the machine.
    CANCELLED_TASKS_UNACCOUNTED = "cancelled-tasks-unaccounted"


class MachineTermination:
    """Requests the deletion of machines, and removes their records once they are deleted."""

    def __init__(self, shard: ShardState, commands: CommandSender, registration: Registration) -> None:
        self.tables = shard.context.tables
        self.registry = shard.registry
        self.health = shard.health
        self.commands = commands
        self.registration = registration
        # None without a cloud; no machine is deleted then.
        self.autoscaler: InstanceTerminator | None = None

    def drain_and_terminate(self, machine: Machine, reason: TerminationReason, urgent: bool = False) -> None:
        """Stops placing tasks on a machine and requests its deletion; logs the reason.

        Args:
            machine: A machine of this controller.
            reason: The reason to log.
            urgent: Whether to delete it also without leadership (see `InstanceTerminator.request_termination`).
        """
        machine.draining = True
        if self.autoscaler is not None and self.autoscaler.request_termination(machine.name, urgent=urgent):
            log.info("machine termination requested: machine=%s reason=%s", machine.name, reason)

    def terminate_urgently(self, machine: str) -> bool:
        """Requests the deletion of a machine of any owner, even while no controller may answer machines.

        Returns:
            False if its urgent deletion was already requested, or if there is no cloud.
        """
        return self.autoscaler is not None and self.autoscaler.request_termination(machine, urgent=True)

    def apply_deleted(self, machines: list[str]) -> None:
        """Removes machines whose deletion the cloud confirmed.

        Their tasks can be placed again, and their rows in the tables are to be removed.
        """
        for name in machines:
            machine = self.registry.machines.get(name)
            if machine is not None:
                lost = self.registry.fail_machine(machine)
                if lost:
                    log.info("machine deleted with tasks on it: machine=%s tasks=%d", name, len(lost))
                del self.registry.machines[name]
            self.health.forget_machine(name)
            self.commands.forget(name)
            self.tables.deleted_machines.add(name)
            if name in self.tables.machines:
                self.registration.pending_removals.add(name)
