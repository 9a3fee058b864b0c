"""Termination of machines: their deletion is requested of the autoscaler, and confirmed by the cloud.

Called by the modules of the machines actor, and by the autoscaler for machines that are idle.
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
    # No answer to its probes either.
    SILENT = "silent"
    # For two leases no report came from it, or no answer reached it.
    UNREACHABLE = "unreachable"
    # Tasks failed on it again and again.
    FAULTY = "faulty"
    # It may hold tasks that were cancelled some time ago; the second: and no owner has accounted for it.
    CANCELLED_TASKS = "cancelled-tasks"
    CANCELLED_TASKS_UNACCOUNTED = "cancelled-tasks-unaccounted"


class MachineTermination:
    """Has machines deleted, and drops all trace of them once they are gone."""

    def __init__(self, shard: ShardState, commands: CommandSender, registration: Registration) -> None:
        self.tables = shard.context.tables
        self.registry = shard.registry
        self.health = shard.health
        self.commands = commands
        self.registration = registration
        # None while no cloud is attached: then nothing is deleted.
        self.autoscaler: InstanceTerminator | None = None

    def drain_and_scale_in(self, machine: Machine, reason: TerminationReason, pressing: bool = False) -> None:
        """Gives a machine no more tasks and has it deleted, for the reason that is logged.

        Args:
            machine: The machine, of this controller.
            reason: Why.
            pressing: Delete it also while this controller may only answer machines, or nobody may.
        """
        machine.draining = True
        if self.autoscaler is not None and self.autoscaler.scale_in(machine.name, pressing=pressing):
            log.info("machine termination requested: machine=%s reason=%s", machine.name, reason)

    def scale_in_urgently(self, machine: str) -> bool:
        """Has a machine deleted, whoever owns it and whether or not anybody may answer machines.

        Returns:
            Whether its deletion was not under way yet.
        """
        return self.autoscaler is not None and self.autoscaler.scale_in(machine, pressing=True)

    def apply_deleted(self, machines: list[str]) -> None:
        """The cloud confirmed that these machines are gone: their tasks are placed again, their rows removed."""
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
