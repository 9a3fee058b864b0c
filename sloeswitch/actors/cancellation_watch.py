"""Inspects machines that may hold cancelled tasks, and has them deleted before the tasks exceed their deadline.

Owns the cancellation guard (core.cancellation_guard) and the time of the last contact with any machine. Called by the
machines actor at each tick and with the results of inspections, and by the monitor of this controller's machines.
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

# Job name in logs and metrics when the cancelled task on a machine is no longer recorded.
UNKNOWN_JOB = "unknown"
# With more machines than this and no contact with any of them, this controller's own network is the likely cause.
NETWORK_FAULT_MIN_MACHINES = 3


class CancelledTaskWait(NamedTuple):
    """A machine that holds or may hold a cancelled task.

    Attributes:
        machine: The machine's name.
        job: The cancelled job whose task is or may be there.
        cancelled_s: The time since that job's cancellation.
    """

    machine: str
    job: str
    cancelled_s: float


class CancellationWatch:
    """Finds machines that may hold cancelled tasks and that no owner accounts for, and has them deleted in time.

    This covers a hung machine that holds a cancelled task while its owner changes repeatedly. Each new owner is a
    process without knowledge of the machine's tasks. While the state service is down, the machine may have no active
    owner at all.
    """

    def __init__(
        self,
        context: ControllerContext,
        registry: MachineRegistry,
        commands: CommandSender,
        request_termination: Callable[[str], bool],
    ) -> None:
        self.settings = context.settings
        self.tables = context.tables
        self.leadership = context.leadership
        self.clock = context.clock
        self.registry = registry
        self.commands = commands
        self.request_termination = request_termination
        self.guard = CancellationGuard(context.settings)
        # When any machine last sent a report, answered or not, or answered a request, in seconds of the clock.
        self.last_machine_contact_at = float("-inf")
        # Machines that may hold a cancelled task and that no owner has accounted for, as of the last tick.
        self.unaccounted_machines: dict[str, CancelledJob] = {}
        # Overdue cancelled jobs as of the last check of this controller's machines, the oldest cancellation first.
        self._overdue_jobs: list[CancelledJob] = []
        # Machines whose overdue tasks have been logged.
        self._logged: set[str] = set()

    # -- machines of any owner

    def inspect_suspects(self, now: float, wall_time_ms: int) -> None:
        """Inspects machines that may hold cancelled tasks and are not accounted for; has them deleted once overdue.

        Args:
            now: The clock's time in seconds.
            wall_time_ms: The time of day in milliseconds, as stored with cancellations.
        """
        self.guard.observe_cancellations(self.tables, now)
        self._logged &= self.tables.machines.keys()
        leaderless = self.leadership.is_leaderless
        if not leaderless and not self.leadership.is_leader:
            # This controller cannot know which machines are accounted for.
            self.unaccounted_machines = {}
            self.guard.require_reinspection()
            return
        self.unaccounted_machines = self._find_unaccounted(now, wall_time_ms)
        suspects = self.guard.due_for_inspection(self.unaccounted_machines, now)
        if leaderless:
            suspects |= self.guard.outage_suspects(self.tables, self.leadership.incarnation_id, now, wall_time_ms)
            suspects |= self._machines_holding_overdue_tasks(now)
        for name in self.guard.begin_inspections(suspects, now):
            self.commands.inspect(name, self._address(name), self.guard.is_suspected)
        if self.is_network_suspected(now):
            return
        for name in self.guard.deletable():
            self._delete_if_overdue(name, now)

    def apply_inspection(self, message: InspectionReply, now: float) -> None:
        """Records the result of an inspection; an answer from another machine counts as no answer."""
        if message.report is None or message.report.machine != message.machine:
            self.guard.record_no_answer(message.machine, now)
        else:
            self.last_machine_contact_at = now
            self.guard.record_answer(message.report, self.tables, now)

    def is_deletable(self, machine: str) -> bool:
        """Whether this controller may delete a machine because of a cancelled task, regardless of its owner."""
        return self.guard.is_deletable(machine)

    def _find_unaccounted(self, now: float, wall_time_ms: int) -> dict[str, CancelledJob]:
        cancelled_jobs = self.guard.cancelled_jobs(self.tables, now, wall_time_ms, SUSPECT_SHARE)
        shard = OwnShard(
            self.settings.member,
            self.leadership.incarnation_id,
            self.registry.machines,
            self.registry.released_machines,
        )
        return self.guard.unaccounted_machines(self.tables, shard, cancelled_jobs)

    def _machines_holding_overdue_tasks(self, now: float) -> set[str]:
        """This controller's machines that hold an overdue cancelled task."""
        return {machine.name for machine in self.registry.machines.values() if self.holds_overdue_task(machine, now)}

    def _delete_if_overdue(self, name: str, now: float) -> None:
        """Has a deletable machine deleted if the cancellation that it is suspected for is overdue."""
        machine = self.registry.machines.get(name)
        if machine is not None and self.holds_overdue_task(machine, now):
            self._terminate(self.held_task_wait(machine, now))
            return
        cancelled = self.unaccounted_machines.get(name) or self._oldest_overdue(now)
        if cancelled is not None and cancelled.age_s >= OVERDUE_SHARE * self.settings.cancel_s:
            self._terminate(CancelledTaskWait(name, cancelled.job, cancelled.age_s))

    def _terminate(self, wait: CancelledTaskWait) -> None:
        if self.request_termination(wait.machine):
            reason = TerminationReason.CANCELLED_TASKS_UNACCOUNTED
            log.info("machine termination requested: machine=%s reason=%s", wait.machine, reason)
        self.log_overdue(wait)

    def log_overdue(self, wait: CancelledTaskWait) -> None:
        """Logs why a machine is deleted, once per machine."""
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
        """The overdue job with the oldest cancellation; used for suspects whose cancelled job is not known."""
        overdue = self.guard.cancelled_jobs(self.tables, now, self.clock.wall_clock_ms(), OVERDUE_SHARE)
        return overdue[0] if overdue else None

    def _address(self, machine: str) -> str:
        known = self.registry.machines.get(machine)
        return known.address if known is not None else self.tables.machines[machine].address

    def age_s(self, job: Job, now: float) -> float:
        """The time since the job's cancellation."""
        return self.guard.age_s(job.spec.id, job, now, self.clock.wall_clock_ms())

    # -- this controller's own machines

    def refresh_overdue_jobs(self, wall_time_ms: int) -> bool:
        """Updates the overdue cancelled jobs; returns whether there are any."""
        now = self.clock.now()
        self._overdue_jobs = self.guard.cancelled_jobs(self.tables, now, wall_time_ms, OVERDUE_SHARE)
        return bool(self._overdue_jobs)

    def unreconciled_wait(self, machine: Machine) -> CancelledTaskWait | None:
        """The oldest overdue cancellation that may have a task on a machine that is not reconciled, if any.

        Uses the jobs found by the last call of `refresh_overdue_jobs`.
        """
        found = first_possible_job(self._overdue_jobs, machine, self.leadership.incarnation_id, machine.formerly_owned)
        return None if found is None else CancelledTaskWait(machine.name, found.job, found.age_s)

    def holds_overdue_task(self, machine: Machine, now: float) -> bool:
        """Whether the machine holds a cancelled task that is overdue."""
        since = machine.cancelled_since
        return since is not None and now - since > OVERDUE_SHARE * self.settings.cancel_s

    def waits(self, now: float) -> list[CancelledTaskWait]:
        """Machines known to this controller that hold or may hold a cancelled task, the oldest cancellation first."""
        waits = [
            CancelledTaskWait(name, cancelled.job, cancelled.age_s)
            for name, cancelled in self.unaccounted_machines.items()
            if self.guard.is_suspected(name)
        ]
        waits += [
            self.held_task_wait(machine, now)
            for machine in self.registry.machines.values()
            if holds_cancelled_task(machine)
        ]
        return sorted(waits, key=lambda wait: -wait.cancelled_s)

    def held_task_wait(self, machine: Machine, now: float) -> CancelledTaskWait:
        """The wait of a machine of this controller that holds a cancelled task."""
        stopped = [attempt.job for attempt in machine.attempts.values() if attempt.kill_grace_s is not None]
        since = now if machine.cancelled_since is None else machine.cancelled_since
        return CancelledTaskWait(machine.name, stopped[0] if stopped else UNKNOWN_JOB, now - since)

    # -- this controller's own network

    def is_network_suspected(self, now: float) -> bool:
        """Whether there was no contact with any machine for `max_silence_s`, although there are several.

        This controller's own network is then the likely cause, and machines that do not answer may be healthy.
        """
        silent_s = now - self.last_machine_contact_at
        return len(self.tables.machines) > NETWORK_FAULT_MIN_MACHINES and silent_s > self.settings.max_silence_s


def holds_cancelled_task(machine: Machine) -> bool:
    """Whether the machine had a cancelled task whose end no report has shown yet."""
    return machine.cancelled_since is not None
