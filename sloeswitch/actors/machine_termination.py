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
from sloeswitch.core.machine_registry import Machine

log = logging.getLogger("machines")


class TerminationReason(StrEnum):
    """Why a machine is deleted, as logged."""

    IDLE = "idle"
    SILENT = "silent"
    UNREACHED = "unreached"
    FAULTY = "faulty"
    CANCELLED_TASKS = "cancelled tasks may be on it"


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

    def drain_and_scale_in(self, machine: Machine, why: TerminationReason, pressing: bool = False) -> None:
        """Gives a machine no more tasks and has it deleted, for the reason that is logged.

        Args:
            machine: The machine, of this controller.
            why: The reason.
            pressing: Delete it also while this controller may only answer machines, or nobody may.
        """
        machine.draining = True
        if self.autoscaler is not None and self.autoscaler.scale_in(machine.name, pressing=pressing):
            log.info("%s goes back: %s", machine.name, why)

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
                    log.info("%s is deleted: %d tasks come back", name, len(lost))
                del self.registry.machines[name]
            self.health.forget_machine(name)
            self.commands.forget(name)
            self.tables.deleted_machines.add(name)
            if name in self.tables.machines:
                self.registration.pending_removals.add(name)
