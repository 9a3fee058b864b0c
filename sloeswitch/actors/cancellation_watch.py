"""Cancelled tasks while no controller may answer machines: machines are inspected, and deleted if need be.

Owns the guard over cancelled tasks (core.cancellation_guard), and when any machine last reported. Called by the
machines actor at each tick and with the results of inspections.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from sloeswitch.actors.commands import CommandSender, InspectionReply
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.machine_termination import TerminationReason
from sloeswitch.core.cancellation_guard import OVERDUE_SHARE, CancellationGuard, is_cancellation_overdue
from sloeswitch.core.machine_registry import MachineRegistry

log = logging.getLogger("machines")


class CancellationWatch:
    """Finds machines that may hold cancelled tasks, while nobody may answer them, and has them deleted in time.

    Guards against a machine that hangs with a cancelled task, and whose owner restarted while the state service is
    down: that process knows of nothing, and the others' permission ends with its confirmations.
    """

    def __init__(
        self,
        context: ControllerContext,
        registry: MachineRegistry,
        commands: CommandSender,
        scale_in: Callable[[str], bool],
    ) -> None:
        self.settings = context.settings
        self.tables = context.tables
        self.leadership = context.leadership
        self.registry = registry
        self.commands = commands
        self.scale_in = scale_in
        self.guard = CancellationGuard(context.settings)
        # When any machine last reported, whether or not it could be answered, in seconds of the clock.
        self.any_heard_at = float("-inf")

    def inspect_suspects(self, now: float, wall_time_ms: int) -> None:
        """Has machines inspected, and deleted if need be, that may hold cancelled tasks while nobody may answer.

        Args:
            now: The clock's time in seconds.
            wall_time_ms: The time of day in milliseconds, as stored with cancellations.
        """
        self.guard.observe(self.tables, now)
        if not self.leadership.is_leaderless:
            self.guard.clear()
            return
        suspects = self.guard.suspects(self.tables, self.leadership.incarnation_id, now, wall_time_ms)
        suspects |= self._own_suspects(now, wall_time_ms)
        for name in self.guard.begin_inspections(suspects, now):
            self.commands.inspect(name, self._address(name))
        if self._all_machines_silent(now):
            return
        for name in self.guard.deletable():
            if self.scale_in(name):
                log.info(
                    "machine termination requested: machine=%s reason=%s",
                    name,
                    TerminationReason.CANCELLED_TASKS_LEADERLESS,
                )

    def apply_inspection(self, message: InspectionReply, now: float) -> None:
        """Records the answer of a machine that was inspected, or that there was none."""
        if message.report is None:
            self.guard.record_no_answer(message.machine, now)
        else:
            self.any_heard_at = now
            self.guard.record_answer(message.report, self.tables, now)

    def has_overdue(self, wall_time_ms: int) -> bool:
        """Whether a job that was cancelled longer ago than a part of the time allowed still has claims."""
        return any(
            is_cancellation_overdue(job, self.settings.cancel_s, wall_time_ms) for job in self.tables.jobs.values()
        )

    def _own_suspects(self, now: float, wall_time_ms: int) -> set[str]:
        """Machines of this controller that may hold tasks cancelled some time ago, or are known to."""
        overdue = self.has_overdue(wall_time_ms)
        return {
            machine.name
            for machine in self.registry.machines.values()
            if (overdue and not machine.reconciled)
            or (
                machine.cancelled_since is not None
                and now - machine.cancelled_since > OVERDUE_SHARE * self.settings.cancel_s
            )
        }

    def _address(self, machine: str) -> str:
        known = self.registry.machines.get(machine)
        return known.address if known is not None else self.tables.machines[machine].address

    def _all_machines_silent(self, now: float) -> bool:
        """Whether no machine at all reported for two leases though there are some.

        Our own network is the likely reason, and machines that do not answer may be well.
        """
        return len(self.tables.machines) > 3 and now - self.any_heard_at > 2 * self.settings.lease_s
