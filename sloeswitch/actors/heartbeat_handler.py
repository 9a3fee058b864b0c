"""Handles heartbeats: reconciles each machine's report with the registry and answers it with commands.

Owns the machine types and machines whose faulty reports were already logged. Called by the machines actor only.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from sloeswitch import wire
from sloeswitch.actors.commands import CommandSender
from sloeswitch.actors.machine_ownership import MachineOwnership
from sloeswitch.actors.quota_log import log_foreign
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.actors.task_placement import TaskPlacement
from sloeswitch.core.machine import Machine
from sloeswitch.core.reconciliation import ReceivedReport, ReconcileResult, is_outdated, reconcile
from sloeswitch.core.worker_commands import heartbeat_commands
from sloeswitch.http import Answer, retry_later

log = logging.getLogger("machines")


class HeartbeatHandler:
    """Answers heartbeats, and applies the replies of machines to direct commands."""

    def __init__(
        self,
        shard: ShardState,
        ownership: MachineOwnership,
        task_placement: TaskPlacement,
        commands: CommandSender,
        wake: Callable[[], None],
    ) -> None:
        context = shard.context
        self.settings = context.settings
        self.tables = context.tables
        self.leadership = context.leadership
        self.now = context.clock.now
        self.registry = shard.registry
        self.health = shard.health
        self.task_updates = shard.task_updates
        self.ownership = ownership
        self.task_placement = task_placement
        self.commands = commands
        self.wake = wake
        # Unknown machine types, and machines with malformed reports; each is logged once.
        self.unknown_types: set[str] = set()
        self.malformed_reporters: set[str] = set()

    def answer(self, report: wire.WorkerReport, last_answer_received: bool) -> Answer:
        """Reconciles a heartbeat with the registry, and answers it with the commands for its machine.

        Returns:
            200 with commands; 400 for a malformed report; 421 with the owner if another controller owns the machine;
            503 if this controller may not answer now, so that the machine retries.
        """
        refusal = self._refusal(report)
        if refusal is not None:
            return refusal
        view_number = self.leadership.view.number
        now = self.now()
        machine = self.registry.machines.get(report.machine)
        if machine is None:
            machine = self._add_machine(report, now)
        elif is_outdated(machine, report):
            # A duplicate or delayed report does not show that the machine is alive, and an answer could renew its
            # lease. A live machine sends a newer report next.
            return retry_later(1)
        was_reconciled = machine.reconciled
        try:
            result = reconcile(self.registry, machine, ReceivedReport(report, True, now, view_number), self.tables)
        except wire.MalformedError as error:
            self._log_malformed(report.machine, error)
            return Answer(400)
        commands: list[wire.WorkerCommand] = []
        if result.accepted:
            # Reports can arrive although no answer reaches the machine. It gets no start commands until it is known to
            # have received an answer; otherwise a task would wait there until the machine's lease expires.
            machine.reachable = last_answer_received
            if last_answer_received or not was_reconciled:
                machine.reachable_at = now
            self._apply_reconciled(machine, result)
            self.task_placement.fill_machine(machine)
            commands = heartbeat_commands(machine, self.tables, report.sequence)
        machine.answered_at = now
        # Until the machine is recovered, a lease from an earlier owner's answer may last longer than this one.
        machine.lease_expires_at = max(
            machine.lease_expires_at if not machine.is_recovered else 0.0, now + self.settings.worker_expiry_s
        )
        return Answer(200, wire.encode(wire.WorkerCommands(view_number, commands)))

    def _refusal(self, report: wire.WorkerReport) -> Answer | None:
        """Returns the refusal for a machine that this controller may not answer now; None if it may.

        The current view has been applied when None is returned.
        """
        leadership = self.leadership
        if not leadership.may_answer_workers:
            return retry_later(1)
        owner = leadership.owner_of(report.machine)
        if owner != self.settings.member:
            return Answer(421, wire.redirect_reply(owner))
        self.ownership.follow_view()
        # A larger token is from a newer view than the one that this controller has read.
        if report.fencing_token > leadership.view.number or report.machine in self.tables.deleted_machines:
            return retry_later(1)
        return None

    def apply_command_reply(self, report: wire.WorkerReport) -> None:
        """Reconciles a machine's reply to a direct command with the registry.

        The report is ignored while the registry does not yet follow the current view.
        """
        self.commands.record_reply_received(report.machine)
        machine = self.registry.machines.get(report.machine)
        followed_view = self.ownership.followed_view
        if machine is None or followed_view != self.leadership.view.number:
            return
        try:
            received = ReceivedReport(report, False, self.now(), followed_view)
            result = reconcile(self.registry, machine, received, self.tables)
        except wire.MalformedError as error:
            self._log_malformed(report.machine, error)
            return
        if result.accepted:
            # The reply shows that the machine received the command.
            machine.reachable, machine.reachable_at = True, self.now()
            self._apply_reconciled(machine, result)

    def _add_machine(self, report: wire.WorkerReport, now: float) -> Machine:
        """Adds a machine that was never registered, so that no controller can have started a task on it."""
        machine = self.registry.add_machine(
            Machine(
                report.machine,
                report.address,
                report.type,
                report.zone,
                report.spot,
                owned_since_token=self.leadership.view.number,
                owned_since=now,
                lease_expires_at=now + self.settings.worker_expiry_s,
            )
        )
        machine.accounted_for = True
        types = self.tables.machine_types
        if types and report.type not in types and report.type not in self.unknown_types:
            self.unknown_types.add(report.type)
            log.error("unknown machine type, gets no tasks: machine=%s type=%s", report.machine, report.type)
        return machine

    def _apply_reconciled(self, machine: Machine, result: ReconcileResult) -> None:
        """Forwards the completions, failures and adoptions that a report showed, and logs its foreign attempts."""
        now = self.now()
        self.commands.reset_failures(machine.name)
        for (job, index), name in result.done:
            self.health.record_success(job, name)
            self.task_updates.record_done(job, index)
        for (job, index), name in result.failed:
            was_quarantined = self.health.is_machine_quarantined(name)
            self.health.record_failure(job, name, now)
            log.info("task failed: task=%s machine=%s", wire.task_name(job, index), name)
            if not was_quarantined and self.health.is_machine_quarantined(name):
                log.info("machine quarantined: machine=%s", name)
        if result.foreign:
            log_foreign(machine.name, result.foreign, self.ownership.followed_view)
        for job, index in result.adopted:
            self.task_updates.record_adopted(job, index)
        self.task_updates.send()
        if result.capacity_freed or result.done:
            self.wake()

    def _log_malformed(self, machine: str, error: wire.MalformedError) -> None:
        """Logs a malformed report, once per machine: a faulty worker repeats it with every report."""
        if machine not in self.malformed_reporters and len(self.malformed_reporters) < self.settings.fd_limit:
            self.malformed_reporters.add(machine)
            log.error("malformed report: machine=%s error=%s", machine, error)
