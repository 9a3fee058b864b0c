"""Monitoring: machines that are silent, unreachable, faulty, or about to be preempted by the cloud.

Owns when machines are checked next, and since when heartbeats have been answered. Called by the machines actor at each
tick.
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

# With this part of more than so many machines out of contact at once, our own network is the likely reason.
NETWORK_FAULT_SHARE = 0.75
# A silent machine is deleted only after this many direct commands found no answer.
DELETE_AFTER_FAILED_COMMANDS = 2


class MachineMonitor:
    """Expires leases, probes machines that are out of contact, and has those deleted that do not recover."""

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
        # For so long a machine may be silent, or messages arrive in one direction only, before it is deleted.
        self.max_silence_s = context.settings.max_silence_s
        self.max_one_way_s = 2 * context.settings.lease_s
        self.next_check_at = 0.0
        self.ticked_at = float("-inf")
        # Since when heartbeats have been answered without a break: a machine that is out of contact for longer than
        # that may be well.
        self.answering_since = float("-inf")
        # Whether a task of a job that was cancelled some time ago may still be anywhere.
        self.cancellation_overdue = False

    def begin_tick(self, now: float) -> None:
        """Notes a break in the answers: by lack of permission, or because this process was suspended."""
        if not self.leadership.may_answer_workers or now - self.ticked_at > self.settings.missed_report_s:
            self.answering_since = now
        self.ticked_at = now

    def check_if_due(self, now: float) -> bool:
        """Checks all machines, four times in a report interval; whether it did so now."""
        if now < self.next_check_at:
            return False
        self.next_check_at = now + self.settings.report_s / 4
        self.cancellation_overdue = self.cancellations.refresh_overdue_jobs(self.clock.wall_clock_ms())
        for machine in list(self.registry.machines.values()):
            self.check_machine(machine, now)
        return True

    def check_machine(self, machine: Machine, now: float) -> None:
        """Does what the state of one machine calls for."""
        if now >= machine.lease_expires_at and (machine.reconciled or not machine.accounted_for):
            lost = self.registry.expire_lease(machine)
            log.info("machine lease expired: machine=%s tasks=%d", machine.name, len(lost))
        # It neither reported nor was answered for so long.
        silent_s = now - max(
            machine.last_report_at, machine.answered_at, machine.lease_expires_at - self.settings.takeover_expiry_s
        )
        missed_report_s = self.settings.missed_report_s
        if (machine.reconciled and silent_s > missed_report_s) or not machine.is_recovered:
            self.commands.probe(machine, now)
        # No heartbeat came, though it may answer commands; and nothing that was sent is seen to have arrived.
        no_report_s = unreachable_s = 0.0
        if machine.last_heartbeat_at is not None:
            no_report_s = now - max(machine.last_heartbeat_at, self.answering_since)
        if machine.reconciled:
            unreachable_s = now - max(machine.reachable_at, self.answering_since)
        out_of_contact = max(silent_s, no_report_s) > missed_report_s or not machine.reachable
        if out_of_contact and self.registry.remove_unsent(machine):
            self.wake()
        self._terminate_if_lost(machine, silent_s, max(no_report_s, unreachable_s), now)
        if machine.preemption_notice_s is not None:
            for attempt in list(machine.attempts.values()):
                if attempt.spec.checkpoint_s > 0 and attempt.state == AttemptState.RUNNING:
                    self.commands.kill(machine, attempt, attempt.spec.save_s)

    def _terminate_if_lost(self, machine: Machine, silent_s: float, one_way_s: float, now: float) -> None:
        """Has the machine deleted if that is called for.

        Args:
            machine: The machine.
            silent_s: For how long it has neither reported nor been answered.
            one_way_s: For how long messages have arrived in one direction only, at most.
            now: The clock's time in seconds.
        """
        silent = silent_s > self.max_silence_s
        wait = self._overdue_wait(machine, now)
        if wait is not None and self.leadership.may_answer_workers:
            # Whether it hangs, is cut off or receives nothing: its deletion ends what is on it in time, also while
            # the state service is down. Should it have got another owner after all, that one counts it as silent:
            # work is lost, nothing is started twice.
            self.termination.drain_and_scale_in(machine, TerminationReason.CANCELLED_TASKS, pressing=True)
            self.cancellations.log_overdue(wait)
        failed_commands = self.commands.failures.get(machine.name, 0)
        if (
            silent
            and failed_commands >= DELETE_AFTER_FAILED_COMMANDS
            and self.leadership.is_leader
            and not self._most_machines_lost(now)
            and not self.cancellations.is_network_suspected(now)
        ):
            self.termination.drain_and_scale_in(machine, TerminationReason.SILENT)
        elif one_way_s > self.max_one_way_s and self.leadership.is_leader and not self._most_machines_lost(now):
            # Its reports come and nothing reaches it, or it answers commands and cannot report: by now its lease is
            # over and it has nothing on it, and it would be paid for in vain for as long as that lasts.
            self.termination.drain_and_scale_in(machine, TerminationReason.UNREACHABLE)
        elif self.health.is_machine_quarantined(machine.name) and self.leadership.is_leader:
            machine.draining = True
            if not machine.attempts:
                self.termination.drain_and_scale_in(machine, TerminationReason.FAULTY)

    def _overdue_wait(self, machine: Machine, now: float) -> CancelledTaskWait | None:
        """The cancelled task that is on the machine, or may be, and must be gone soon.

        Nothing is known of what is on a machine that was taken over and does not respond. Guards against one that hangs
        with a cancelled task while its owner changes.
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
        """Whether the machine gave no sign of life for as long as it was ours, and had the time to.

        A change of the view does not begin this time anew. What waits for a socket has not been asked yet.
        """
        since = max(
            machine.last_report_at,
            machine.answered_at,
            machine.owned_since,
            self.commands.replied_at(machine.name),
            self.answering_since,
        )
        return now - since > self.max_silence_s and not self.commands.awaits_first_answer(machine, now)

    def _most_machines_lost(self, now: float) -> bool:
        """Whether most machines are silent or unreachable at once.

        That points to our own network: then none is deleted for it, and the machines' leases end what is on them.
        """
        reconciled = [machine for machine in self.registry.machines.values() if machine.reconciled]
        lost = sum(
            now - min(machine.last_report_at, machine.last_heartbeat_at or 0.0) > self.settings.missed_report_s
            or not machine.reachable
            for machine in reconciled
        )
        return len(reconciled) > NETWORK_FAULT_MIN_MACHINES and lost > NETWORK_FAULT_SHARE * len(reconciled)
