"""Reconciliation of a worker's report with the attempts that this controller knows on the machine.

These rules for reports prevent a task from running twice (the rules for ownership are in `core.machine_registry`):
- A report is applied only if it is newer than the last applied one and carries a fencing token that no earlier owner
  issued.
- A start command counts as not executed only when a later *heartbeat* does not list the attempt. The worker's reply to
  a direct command does not show this: it may arrive before the worker has received the heartbeat answer with the start.
- A report of an agent epoch whose lease has certainly expired is ignored, however late it arrives.
- Attempts of an earlier owner are adopted only from the first report of a machine that was taken over.

A report lists every task of its machine. Usually none has changed, and the report then costs one look-up per task.
Called by the machines actor only.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from sloeswitch.core.machine import REPORTED_STATES, Attempt, AttemptKey, AttemptState, EndCause, Machine, TaskId
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.wire import MalformedError, ReportedTask, WorkerReport, split_task


class ReceivedReport(NamedTuple):
    """A report with the circumstances of its receipt.

    Attributes:
        report: The message.
        is_heartbeat: Whether the worker sent it as a heartbeat rather than in answer to a direct command.
        received_at: Seconds of the controller's monotonic clock.
        fencing_token: The present view's token. A valid report carries no higher one.
    """

    report: WorkerReport
    is_heartbeat: bool
    received_at: float
    fencing_token: int


class TaskOnMachine(NamedTuple):
    """A task that ended, and the machine on which it ran."""

    task: TaskId
    machine: str


class ForeignReason(StrEnum):
    """Why an unknown attempt is killed, as logged."""

    UNKNOWN_JOB = "unknown-job"
    DONE = "done"
    # The task is on another machine of this controller.
    PLACED = "placed"
    UNCLAIMED = "unclaimed"
    # The machine was already accounted for without the attempt.
    LATE = "late"


class ForeignAttempt(NamedTuple):
    """A reported attempt that is killed; the team is None and the cores are 0 if its job is unknown."""

    team: str | None
    cores: float
    reason: ForeignReason


@dataclass
class ReconcileResult:
    """The result of reconciling one report.

    Attributes:
        accepted: Whether the report was applied; if not, nothing has changed.
        done: Tasks that completed; each is listed once, for the first report that shows its end.
        failed: Tasks that ended by a fault of the machine or of the job; each is listed once, like those in `done`.
        adopted: Tasks of an earlier owner, including completed ones, that this controller claims from now on.
        foreign: Attempts to kill that were not foreign attempts in the previous report.
        capacity_freed: Whether capacity that was in use became free.
    """

    accepted: bool = False
    done: list[TaskOnMachine] = field(default_factory=list)
    failed: list[TaskOnMachine] = field(default_factory=list)
    adopted: list[TaskId] = field(default_factory=list)
    foreign: list[ForeignAttempt] = field(default_factory=list)
    capacity_freed: bool = False


def reconcile(registry: MachineRegistry, machine: Machine, received: ReceivedReport, tables: Tables) -> ReconcileResult:
    """Updates the registry from a report of one of its machines.

    Raises:
        MalformedError: The report contains an unknown state or an invalid task name. Nothing has changed then.
    """
    report = received.report
    if is_outdated(machine, report) or not _is_fenced(machine, received):
        return ReconcileResult()
    differing = _differing_tasks(machine, report)
    if not differing and _is_unchanged(machine, report):
        _record_contact(machine, received)
        return ReconcileResult(accepted=True)
    return _Reconciliation(registry, machine, received, tables).apply(differing)


def is_outdated(machine: Machine, report: WorkerReport) -> bool:
    """Whether a report at least as new was already applied, or the lease of the report's agent epoch has expired."""
    return report.agent_epoch <= machine.expired_agent_epoch or (report.agent_epoch, report.sequence) <= (
        machine.agent_epoch,
        machine.report_sequence,
    )


def _is_fenced(machine: Machine, received: ReceivedReport) -> bool:
    """Whether the worker has received a fencing token of the present ownership.

    A worker that has not may still execute commands of an earlier owner.
    """
    return machine.owned_since_token <= received.report.fencing_token <= received.fencing_token


def _is_restarted(machine: Machine, report: WorkerReport) -> bool:
    """Whether the worker's lease expired after its last applied report, which ended all its tasks."""
    return report.agent_epoch > machine.agent_epoch > 0


def _differing_tasks(machine: Machine, report: WorkerReport) -> list[ReportedTask]:
    """The reported tasks that are unknown or whose state differs from the known state."""
    # Looked up by a plain tuple, which equals the AttemptKey: constructing one would cost more than the look-up.
    known = machine.attempts_by_key
    return [
        item
        for item in report.tasks
        if (attempt := known.get((item.task, item.attempt))) is None
        or not attempt.reported
        or item.state != attempt.state
    ]


def _is_unchanged(machine: Machine, report: WorkerReport) -> bool:
    """Whether a report without differing tasks leaves the machine's records unchanged.

    That requires that no attempt is missing from it and that no record is waiting to be cleared by a report.
    """
    return (
        len(report.tasks) == len(machine.attempts)
        and not machine.ended_attempts
        and not machine.foreign_attempts
        and machine.cancelled_since is None
        and not _is_restarted(machine, report)
    )


def _record_contact(machine: Machine, received: ReceivedReport) -> None:
    """Records the receipt of the report and its data on the machine itself."""
    report = received.report
    machine.agent_epoch, machine.report_sequence = report.agent_epoch, report.sequence
    machine.reconciled, machine.accounted_for = True, True
    machine.last_report_at = received.received_at
    if received.is_heartbeat or machine.last_heartbeat_at is None:
        machine.last_heartbeat_at = received.received_at
    machine.preemption_notice_s = report.preemption_notice_s
    machine.address = report.address


class _Reconciliation:
    """Applies one report that differs from the machine's records."""

    def __init__(self, registry: MachineRegistry, machine: Machine, received: ReceivedReport, tables: Tables) -> None:
        self.registry = registry
        self.machine = machine
        self.received = received
        self.tables = tables
        self.result = ReconcileResult(accepted=True)
        # Known attempts that are reported in another state or for the first time.
        self.changed: list[tuple[Attempt, ReportedTask]] = []
        # Unknown attempts, with the job and the index of their tasks.
        self.unknown: list[tuple[str, int, ReportedTask]] = []

    def apply(self, differing: list[ReportedTask]) -> ReconcileResult:
        """Applies the whole report, or raises MalformedError before changing anything."""
        machine, report = self.machine, self.received.report
        is_restarted = _is_restarted(machine, report)
        # After a restart every reported task counts as unknown, even under the identifier of a known attempt.
        self._classify(report.tasks if is_restarted else differing, is_restarted)
        if is_restarted:
            self.registry.fail_machine(machine)
            self.result.capacity_freed = True
        is_first_report = not machine.is_recovered
        _record_contact(machine, self.received)
        if is_restarted or len(report.tasks) - len(differing) != len(machine.attempts):
            self._apply_known()
        if machine.ended_attempts:
            # The worker has cleared the ended attempts that it no longer lists.
            for key in machine.ended_attempts.keys() - self._reported_keys():
                del machine.ended_attempts[key]
        if machine.cancelled_since is not None and all(a.kill_grace_s is None for a in machine.attempts.values()):
            machine.cancelled_since = None
        known_foreign = set(machine.foreign_attempts)
        machine.foreign_attempts.clear()
        for job, index, item in self.unknown:
            self._apply_unknown(job, index, item, is_first_report, known_foreign)
        return self.result

    def _classify(self, differing: list[ReportedTask], is_restarted: bool) -> None:
        """Sorts the differing tasks into changed and unknown attempts; skips those already recorded as ended."""
        for item in differing:
            if item.state not in REPORTED_STATES:
                raise MalformedError(f"task state {item.state!r}")
            key = (item.task, item.attempt)
            attempt = None if is_restarted else self.machine.attempts_by_key.get(key)
            if attempt is not None:
                self.changed.append((attempt, item))
            elif is_restarted or key not in self.machine.ended_attempts:
                self.unknown.append((*split_task(item.task), item))

    def _apply_known(self) -> None:
        reported_keys = self._reported_keys()
        for attempt in list(self.machine.attempts.values()):
            if attempt.key not in reported_keys:
                self._apply_missing(attempt)
        for attempt, item in self.changed:
            self._apply_changed(attempt, REPORTED_STATES[item.state], item.cause)

    def _reported_keys(self) -> set[AttemptKey]:
        return {AttemptKey(item.task, item.attempt) for item in self.received.report.tasks}

    def _apply_missing(self, attempt: Attempt) -> None:
        """Handles a known attempt that the report does not list: it ended, or its start was not executed."""
        received = self.received
        if attempt.reported:
            self.registry.remove_attempt(self.machine, attempt)
            self.result.capacity_freed = True
        elif (
            received.is_heartbeat
            and attempt.sent_sequence is not None
            and received.report.sequence > attempt.sent_sequence
        ):
            attempt.sent_sequence = None  # the answer with the start command was lost; send it again
            if attempt.kill_grace_s is not None:
                self.registry.remove_attempt(self.machine, attempt)

    def _apply_changed(self, attempt: Attempt, state: AttemptState, cause: str | None) -> None:
        """Updates a known attempt that is reported for the first time or in another state."""
        attempt.reported = True
        attempt.state = state
        if state == AttemptState.RUNNING and attempt.running_at is None:
            attempt.running_at = self.received.received_at
        if state != AttemptState.FETCHING:
            self._record_image_use(attempt.spec.image)
        if state == AttemptState.ENDED:
            self.registry.remove_attempt(self.machine, attempt)
            self.result.capacity_freed = True
            self._record_ended(attempt.key, attempt.task, cause)

    def _record_image_use(self, image: str) -> None:
        self.machine.images.pop(image, None)
        self.machine.images[image] = None

    def _record_ended(self, key: AttemptKey, task: TaskId, cause: str | None) -> None:
        self.machine.ended_attempts[key] = cause == EndCause.DONE
        if cause == EndCause.DONE:
            self.result.done.append(TaskOnMachine(task, self.machine.name))
        elif cause in (EndCause.ERROR, EndCause.NO_SUCH_TASK):
            self.result.failed.append(TaskOnMachine(task, self.machine.name))

    def _apply_unknown(
        self, job: str, index: int, item: ReportedTask, is_first_report: bool, known_foreign: set[AttemptKey]
    ) -> None:
        """Adopts or rejects an attempt that this controller does not know, or records its end.

        An earlier owner of the machine usually started it. It is adopted only from the first report of a machine that
        was taken over. When a later report lists it, the machine was already accounted for without it, so the task may
        have been started elsewhere.
        """
        state = REPORTED_STATES[item.state]
        key = AttemptKey(item.task, item.attempt)
        record = self.tables.jobs.get(job)
        if state == AttemptState.ENDED:
            task = TaskId(job, index)
            self._record_ended(key, task, item.cause)
            if is_first_report and item.cause == EndCause.DONE and self._foreign_reason(record, index) is None:
                self.registry.adopt_completion(task)
                self.result.adopted.append(task)
            return
        reason = self._foreign_reason(record, index) if is_first_report else ForeignReason.LATE
        if reason is not None or record is None:
            self.machine.foreign_attempts[key] = None
            if reason is not None and key not in known_foreign:
                self.result.foreign.append(_foreign_attempt(record, reason))
            return
        spec = record.spec
        now = self.received.received_at
        attempt = Attempt(job, index, item.attempt, spec, state, reported=True, placed_at=now)
        if state == AttemptState.RUNNING:
            attempt.running_at = now
        self.registry.adopt_attempt(self.machine, attempt)
        self.result.adopted.append(attempt.task)

    def _foreign_reason(self, record: Job | None, index: int) -> ForeignReason | None:
        """Why an unknown attempt of a task may not continue on the machine; None if it may.

        A task is rejected if it is done, if its job is unknown, if it is on another machine of this controller, or if
        no stored claim covers it.
        """
        if record is None or index >= record.spec.tasks:
            return ForeignReason.UNKNOWN_JOB
        if record.progress.done >> index & 1:
            return ForeignReason.DONE
        if self.registry.placed_tasks.get(record.spec.id, 0) >> index & 1:
            return ForeignReason.PLACED
        if not record.progress.claimed_tasks() >> index & 1:
            return ForeignReason.UNCLAIMED
        return None


def _foreign_attempt(record: Job | None, reason: ForeignReason) -> ForeignAttempt:
    if record is None:
        return ForeignAttempt(None, 0.0, reason)
    return ForeignAttempt(record.spec.team, record.spec.cores, reason)
