"""Machines that may hold cancelled tasks: they are asked what they hold, and deleted in time if need be.

Owns the guard over cancelled tasks (core.cancellation_guard), and when any machine last gave a sign of life. Called by
the machines actor at each tick and with the results of inspections, and by the monitor of this controller's machines.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from sloeswitch.actors.commands import CommandSender, InspectionReply
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.machine_termination import TerminationReason
from sloeswitch.core.cancellation_guard import (
    OVERDUE_SHARE,
    SUSPECT_SHARE,
    CancellationGuard,
    CancelledJob,
    OwnShard,
    first_possible_job,
)
from sloeswitch.core.machine import Machine
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.records import Job

log = logging.getLogger("machines")

# Named where a machine held a cancelled task of which no record is left.
UNKNOWN_JOB = "unknown"
# With more machines than this and no sign of life of any, our own network is the likely reason.
NETWORK_FAULT_MIN_MACHINES = 3


class CancelledTaskWait(NamedTuple):
    """A machine that waits for its deletion, or for the end of a cancelled task.

    Attributes:
        machine: Its name.
        job: The cancelled job of which a task is or may be there.
        cancelled_s: For how long that job has been cancelled.
    """

    machine: str
    job: str
    cancelled_s: float


class CancellationWatch:
    """Finds machines that may hold cancelled tasks and that nobody accounts for, and has them deleted in time.

    Guards against a machine that hangs with a cancelled task while its owner changes again and again, each time to a
    process that knows nothing of it, or to none at all while the state service is down.
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
        self.clock = context.clock
        self.registry = registry
        self.commands = commands
        self.scale_in = scale_in
        self.guard = CancellationGuard(context.settings)
        # When any machine last reported, whether or not it could be answered, or answered a request, in seconds of
        # the clock.
        self.any_heard_at = float("-inf")
        # Machines that may hold a cancelled task and that nobody has accounted for, as of the last look.
        self.unaccounted: dict[str, CancelledJob] = {}
        # Cancelled jobs that were overdue when the own machines were checked last, the oldest first.
        self._overdue: list[CancelledJob] = []
        # Machines whose overdue tasks were logged.
        self._logged: set[str] = set()

    # -- machines of any owner

    def inspect_suspects(self, now: float, wall_time_ms: int) -> None:
        """Has machines inspected, and deleted if need be, that may hold cancelled tasks and are not accounted for.

        Args:
            now: The clock's time in seconds.
            wall_time_ms: The time of day in milliseconds, as stored with cancellations.
        """
        self.guard.observe(self.tables, now)
        self._logged &= self.tables.machines.keys()
        leaderless = self.leadership.is_leaderless
        if not leaderless and not self.leadership.is_leader:
            # Who accounts for which machine is not known here.
            self.unaccounted = {}
            self.guard.suspend()
            return
        self.unaccounted = self._find_unaccounted(now, wall_time_ms)
        suspects = self.guard.due_suspects(self.unaccounted, now)
        if leaderless:
            suspects |= self.guard.suspects(self.tables, self.leadership.incarnation_id, now, wall_time_ms)
            suspects |= self._own_holders(now)
        for name in self.guard.begin_inspections(suspects, now):
            self.commands.inspect(name, self._address(name), self.guard.is_inspected)
        if self.is_network_suspected(now):
            return
        for name in self.guard.deletable():
            self._delete_if_overdue(name, now)

    def apply_inspection(self, message: InspectionReply, now: float) -> None:
        """Records the answer of a machine that was inspected, or that there was none: another one's is none."""
        if message.report is None or message.report.machine != message.machine:
            self.guard.record_no_answer(message.machine, now)
        else:
            self.any_heard_at = now
            self.guard.record_answer(message.report, self.tables, now)

    def is_deletable(self, machine: str) -> bool:
        """Whether a machine may be deleted here for a cancelled task whoever owns it."""
        return self.guard.is_deletable(machine)

    def _find_unaccounted(self, now: float, wall_time_ms: int) -> dict[str, CancelledJob]:
        cancelled_jobs = self.guard.cancelled_jobs(self.tables, now, wall_time_ms, SUSPECT_SHARE)
        shard = OwnShard(
            self.settings.member, self.leadership.incarnation_id, self.registry.machines, self.registry.released
        )
        return self.guard.unaccounted(self.tables, shard, cancelled_jobs)

    def _own_holders(self, now: float) -> set[str]:
        """Machines of this controller that are known to hold tasks cancelled some time ago."""
        return {machine.name for machine in self.registry.machines.values() if self.is_holding_overdue(machine, now)}

    def _delete_if_overdue(self, name: str, now: float) -> None:
        """Has a machine deleted that holds a cancelled task or does not answer, once that is overdue."""
        machine = self.registry.machines.get(name)
        if machine is not None and self.is_holding_overdue(machine, now):
            self._scale_in(self.holder_wait(machine, now))
            return
        cancelled = self.unaccounted.get(name) or self._oldest_overdue(now)
        if cancelled is not None and cancelled.age_s >= OVERDUE_SHARE * self.settings.cancel_s:
            self._scale_in(CancelledTaskWait(name, cancelled.job, cancelled.age_s))

    def _scale_in(self, wait: CancelledTaskWait) -> None:
        if self.scale_in(wait.machine):
            reason = TerminationReason.CANCELLED_TASKS_UNACCOUNTED
            log.info("machine termination requested: machine=%s reason=%s", wait.machine, reason)
        self.log_overdue(wait)

    def log_overdue(self, wait: CancelledTaskWait) -> None:
        """Logs why a machine is deleted, once for each machine."""
        if wait.machine not in self._logged:
            self._logged.add(wait.machine)
            owner = self.leadership.owner_of(wait.machine)
            log.info(
                "cancelled task overdue: machine=%s owner=%s job=%s cancelled_s=%.1f",
                wait.machine,
                owner,
                wait.job,
                wait.cancelled_s,
            )

    def _oldest_overdue(self, now: float) -> CancelledJob | None:
        """What machines are suspected for that are suspected by stored claims alone."""
        overdue = self.guard.cancelled_jobs(self.tables, now, self.clock.wall_clock_ms(), OVERDUE_SHARE)
        return overdue[0] if overdue else None

    def _address(self, machine: str) -> str:
        known = self.registry.machines.get(machine)
        return known.address if known is not None else self.tables.machines[machine].address

    def age_s(self, job: Job, now: float) -> float:
        """For how long the job has been cancelled."""
        return self.guard.age_s(job.spec.id, job, now, self.clock.wall_clock_ms())

    # -- this controller's own machines

    def has_overdue(self, wall_time_ms: int) -> bool:
        """Whether a job that was cancelled longer ago than a part of the time allowed still has claims."""
        now = self.clock.now()
        self._overdue = self.guard.cancelled_jobs(self.tables, now, wall_time_ms, OVERDUE_SHARE)
        return bool(self._overdue)

    def unreconciled_wait(self, machine: Machine) -> CancelledTaskWait | None:
        """The oldest overdue cancellation of which a task may be on a machine that is not reconciled, if any.

        By what `has_overdue` found last.
        """
        found = first_possible_job(self._overdue, machine, self.leadership.incarnation_id, machine.formerly_owned)
        return None if found is None else CancelledTaskWait(machine.name, found.job, found.age_s)

    def is_holding_overdue(self, machine: Machine, now: float) -> bool:
        """Whether the machine is known to have held a cancelled task, for longer than a part of the time allowed."""
        since = machine.cancelled_since
        return since is not None and now - since > OVERDUE_SHARE * self.settings.cancel_s

    def waits(self, now: float) -> list[CancelledTaskWait]:
        """Machines on which a cancelled task is or may be, as far as known here; the longest cancelled first."""
        waits = [
            CancelledTaskWait(name, cancelled.job, cancelled.age_s)
            for name, cancelled in self.unaccounted.items()
            if self.guard.is_inspected(name)
        ]
        waits += [self.holder_wait(machine, now) for machine in self.registry.machines.values() if is_holder(machine)]
        return sorted(waits, key=lambda wait: -wait.cancelled_s)

    def holder_wait(self, machine: Machine, now: float) -> CancelledTaskWait:
        """Since when a machine of this controller has held a cancelled task, and of which job as far as known."""
        stopped = [attempt.job for attempt in machine.attempts.values() if attempt.kill_grace_s is not None]
        since = now if machine.cancelled_since is None else machine.cancelled_since
        return CancelledTaskWait(machine.name, stopped[0] if stopped else UNKNOWN_JOB, now - since)

    # -- our own network

    def is_network_suspected(self, now: float) -> bool:
        """Whether no machine at all gave a sign of life for as long as one may be silent, though there are some.

        Our own network is the likely reason, and machines that do not answer may be well.
        """
        silent_s = now - self.any_heard_at
        return len(self.tables.machines) > NETWORK_FAULT_MIN_MACHINES and silent_s > self.settings.max_silence_s


def is_holder(machine: Machine) -> bool:
    """Whether a cancelled task was seen on the machine, and no report since then lacks it."""
    return machine.cancelled_since is not None
