"""Monitors machines: finds those that are silent, unreachable, faulty, or about to be preempted by the cloud.

Owns the time of the next check, and the time since which heartbeats have been answered without interruption. Called by
the machines actor at each tick.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from sloeswitch.actors.cancellation_watch import (
    NETWORK_FAULT_MIN_MACHINES,
    CancellationWatch,
    CancelledTaskWait,
    holds_cancelled_task,
)
from sloeswitch.actors.commands import CommandSender
from sloeswitch.actors.machine_termination import MachineTermination, TerminationReason
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core.machine import AttemptState, Machine

log = logging.getLogger("machines")

# If more than this share of the machines is out of contact at once, this controller's own network is the likely cause.
# Applies only to more than NETWORK_FAULT_MIN_MACHINES machines.
NETWORK_FAULT_SHARE = 0.75
# A silent machine is deleted only after this many direct commands in a row got no answer.
DELETE_AFTER_FAILED_COMMANDS = 2


class MachineMonitor:
    """Expires leases, probes machines that are out of contact, and has them deleted if they do not recover."""

    def __init__(
        self,
        shard: ShardState,
        commands: CommandSender,
        cancellations: CancellationWatch,
        termination: MachineTermination,
        wake: Callable[[], None],
    ) -> None:
        context = shard.context
        self.settings = context.settings
        self.leadership = context.leadership
        self.clock = context.clock
        self.registry = shard.registry
        self.health = shard.health
        self.commands = commands
        self.cancellations = cancellations
        self.termination = termination
        self.wake = wake
        # Limits before a machine is deleted: how long it may be silent, and how long messages may arrive in one
        # direction only.
        self.max_silence_s = context.settings.max_silence_s
        self.max_unreachable_s = 2 * context.settings.lease_s
        self.next_check_at = 0.0
        self.ticked_at = float("-inf")
        # The time since which heartbeats have been answered without interruption. Time out of contact before that does
        # not count against a machine, because the interruption can be the cause.
        self.answered_without_gap_since = float("-inf")
        # Whether any cancelled job is overdue, so that one of its tasks may still be on a machine.
        self.cancellation_overdue = False

    def begin_tick(self, now: float) -> None:
        """Detects interrupted answers: this controller may not answer machines, or its process was suspended."""
        if not self.leadership.may_answer_workers or now - self.ticked_at > self.settings.missed_report_s:
            self.answered_without_gap_since = now
        self.ticked_at = now

    def check_if_due(self, now: float) -> bool:
        """Checks all machines, four times per report interval; returns whether it checked them now."""
        if now < self.next_check_at:
            return False
        self.next_check_at = now + self.settings.report_s / 4
        self.cancellation_overdue = self.cancellations.refresh_overdue_jobs(self.clock.wall_clock_ms())
        for machine in list(self.registry.machines.values()):
            self.check_machine(machine, now)
        return True

    def check_machine(self, machine: Machine, now: float) -> None:
        """Checks one machine: its lease, its contact with this controller, and its preemption notice."""
        if now >= machine.lease_expires_at and (machine.reconciled or not machine.accounted_for):
            lost = self.registry.expire_lease(machine)
            log.info("machine lease expired: machine=%s tasks=%d", machine.name, len(lost))
        # The time since the machine last reported, was last answered, or was taken over.
        silent_s = now - max(
            machine.last_report_at, machine.answered_at, machine.lease_expires_at - self.settings.takeover_expiry_s
        )
        missed_report_s = self.settings.missed_report_s
        if (machine.reconciled and silent_s > missed_report_s) or not machine.is_recovered:
            self.commands.probe(machine, now)
        # The time without a heartbeat, although the machine may answer commands; and the time during which no message
        # to it is known to have arrived.
        no_heartbeat_s = undelivered_s = 0.0
        if machine.last_heartbeat_at is not None:
            no_heartbeat_s = now - max(machine.last_heartbeat_at, self.answered_without_gap_since)
        if machine.reconciled:
            undelivered_s = now - max(machine.reachable_at, self.answered_without_gap_since)
        out_of_contact = max(silent_s, no_heartbeat_s) > missed_report_s or not machine.reachable
        if out_of_contact and self.registry.remove_unsent(machine):
            self.wake()
        self._terminate_if_lost(machine, silent_s, max(no_heartbeat_s, undelivered_s), now)
        if machine.preemption_notice_s is not None:
            for attempt in list(machine.attempts.values()):
                if attempt.spec.checkpoint_s > 0 and attempt.state == AttemptState.RUNNING:
                    self.commands.kill(machine, attempt, attempt.spec.save_s)

    def _terminate_if_lost(self, machine: Machine, silent_s: float, unreachable_s: float, now: float) -> None:
        """Requests the machine's deletion if it is lost or faulty, or if a cancelled task on it is overdue.

        Args:
            machine: The machine.
            silent_s: The time since the machine last reported, was last answered, or was taken over.
            unreachable_s: The time without a heartbeat, or the time without a message known to have reached the
                machine; the longer of both.
            now: The clock's time in seconds.
        """
        silent = silent_s > self.max_silence_s
        wait = self._overdue_wait(machine, now)
        if wait is not None and self.leadership.may_answer_workers:
            # Deleting the machine ends its tasks in time, whether it hangs or is disconnected, also while the state
            # service is down. If it has another owner by now, that owner sees it as silent: work is lost, but no task
            # is started twice.
            self.termination.drain_and_terminate(machine, TerminationReason.CANCELLED_TASKS, urgent=True)
            self.cancellations.log_overdue(wait)
        failed_commands = self.commands.failures.get(machine.name, 0)
        if (
            silent
            and failed_commands >= DELETE_AFTER_FAILED_COMMANDS
            and self.leadership.is_leader
            and not self._most_machines_lost(now)
            and not self.cancellations.is_network_suspected(now)
        ):
            self.termination.drain_and_terminate(machine, TerminationReason.SILENT)
        elif unreachable_s > self.max_unreachable_s and self.leadership.is_leader and not self._most_machines_lost(now):
            # The machine reports but receives nothing, or it answers commands but cannot report. Its lease has expired
            # by now and no task runs on it, so that it would only cost money.
            self.termination.drain_and_terminate(machine, TerminationReason.UNREACHABLE)
        elif self.health.is_machine_quarantined(machine.name) and self.leadership.is_leader:
            machine.draining = True
            if not machine.attempts:
                self.termination.drain_and_terminate(machine, TerminationReason.FAULTY)

    def _overdue_wait(self, machine: Machine, now: float) -> CancelledTaskWait | None:
        """Returns the overdue cancelled task that is or may be on the machine, if any.

        The tasks on a machine that was taken over and does not respond are unknown, so any overdue task may be there.
        This covers a machine that hangs with a cancelled task while its owner changes.
        """
        if holds_cancelled_task(machine):
            overdue = self.cancellations.holds_overdue_task(machine, now)
            return self.cancellations.held_task_wait(machine, now) if overdue else None
        if not self.cancellation_overdue or machine.reconciled or not self._is_unresponsive(machine, now):
            return None
        if self.cancellations.is_network_suspected(now):
            return None
        return self.cancellations.unreconciled_wait(machine)

    def _is_unresponsive(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been without contact for `max_silence_s` since this controller became its owner.

        A view change does not reset this time. A machine whose first command is still waiting for a socket or for its
        answer does not count as unresponsive.
        """
        since = max(
            machine.last_report_at,
            machine.answered_at,
            machine.owned_since,
            self.commands.replied_at(machine.name),
            self.answered_without_gap_since,
        )
        return now - since > self.max_silence_s and not self.commands.awaits_first_answer(machine, now)

    def _most_machines_lost(self, now: float) -> bool:
        """Whether most machines are silent or unreachable at once.

        This controller's own network is then the likely cause. No machine is deleted for being silent or unreachable;
        the tasks on them end when their leases expire.
        """
        reconciled = [machine for machine in self.registry.machines.values() if machine.reconciled]
        lost = sum(
            now - min(machine.last_report_at, machine.last_heartbeat_at or 0.0) > self.settings.missed_report_s
            or not machine.reachable
            for machine in reconciled
        )
        return len(reconciled) > NETWORK_FAULT_MIN_MACHINES and lost > NETWORK_FAULT_SHARE * len(reconciled)
