"""Drains surplus machines: stops their last tasks, which save and move elsewhere, so that the machines can be deleted.

Called by the machines actor after each check of the machines. The autoscaler decides which machines are surplus.
"""

from __future__ import annotations

import logging

from sloeswitch.actors.commands import CommandSender
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.actors.task_placement import TaskPlacement
from sloeswitch.core import preemption

log = logging.getLogger("machines")

# Surplus machines are drained once no more than this share of their cores is in use.
DRAIN_UTILIZATION = 0.5


class SurplusDrain:
    """Moves the last tasks off surplus machines, if little work is lost by it."""

    def __init__(self, shard: ShardState, task_placement: TaskPlacement, commands: CommandSender) -> None:
        self.tables = shard.context.tables
        self.registry = shard.registry
        self.task_placement = task_placement
        self.commands = commands

    def drain(self, now: float) -> None:
        """Stops the tasks of surplus machines if all of them write checkpoints, are not new, and fit elsewhere.

        Otherwise one long task would keep a whole machine for minutes.
        """
        candidates = [
            machine
            for machine in self.registry.machines.values()
            if machine.surplus
            and machine.reachable
            and machine.attempts
            and machine.type in self.tables.machine_types
            and machine.usage.cores <= DRAIN_UTILIZATION * self.tables.machine_types[machine.type].cores
            and all(preemption.is_movable(attempt, now) for attempt in machine.attempts.values())
        ]
        if not candidates:
            return
        free_cores = sum(capacity.cores for capacity in self.task_placement.free_capacities(now))
        for machine in sorted(candidates, key=lambda machine: machine.usage.cores):
            free_cores -= machine.usage.cores
            if free_cores < 0:
                return
            log.info("surplus machine drained: machine=%s tasks=%d", machine.name, len(machine.attempts))
            for attempt in list(machine.attempts.values()):
                self.commands.kill(machine, attempt, attempt.spec.save_s)
