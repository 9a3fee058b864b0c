"""Which machines have to be deleted while no controller may answer machines: those that may hold cancelled tasks.

When a controller restarts while the state service is down, it confirms nothing to its siblings, so that nobody may
answer machines any more (see *Cancellations in an outage* in docs/design.md). Workers then drop their tasks when their
leases end, but a machine that hangs keeps what is on it until it goes on. Any controller that knows of the cancellation
asks such machines what they hold, and has those deleted that still hold it or do not answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sloeswitch.core import keys
from sloeswitch.core.machine import AttemptState
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import MalformedError, WorkerReport, split_task

# A machine on which a cancelled task may be is deleted after this part of the time in which the task must be gone.
# By then a worker that merely hears nothing has given up by its lease; the rest is for the cloud's rate and retries.
OVERDUE_SHARE = 0.5
# Inspections in a row without an answer after which a machine is deleted.
MAX_FAILED_INSPECTIONS = 2


def is_cancellation_overdue(job: Job, cancel_s: float, wall_clock_ms: int) -> bool:
    """Whether the job was cancelled longer ago than a part of the time allowed, and still has claims.

    Args:
        job: Any job.
        cancel_s: The time in which a cancelled task must be gone.
        wall_clock_ms: The time of day, which the stored time of the cancellation is compared with.
    """
    latest_ms = wall_clock_ms - 1000 * OVERDUE_SHARE * cancel_s
    return job.is_cancelled and bool(job.progress.claims) and 0 < job.cancelled_ms < latest_ms


@dataclass
class Inspection:
    """What is known of one machine that is asked for its tasks.

    Attributes:
        failures: Inspections without an answer since the last answer.
        inspect_at: When it is to be asked (again), in seconds of the controller's monotonic clock.
        deletable: Whether it holds a cancelled task, or does not answer.
    """

    failures: int = 0
    inspect_at: float = float("-inf")
    deletable: bool = False


@dataclass
class CancellationGuard:
    """Owns the inspections that are under way; called by `actors.cancellation_watch` only.

    Has no clock: `now` is in seconds of the controller's monotonic clock.
    """

    settings: Settings
    # By machine.
    inspections: dict[str, Inspection] = field(default_factory=dict)
    # When a cancellation whose time is not stored was first seen here, by job.
    _observed_at: dict[str, float] = field(default_factory=dict)

    def observe(self, tables: Tables, now: float) -> None:
        """Notes since when cancellations are known that no row dates: those learnt from a sibling."""
        undated = set(tables.peer_cancellations)
        self._observed_at = {job: self._observed_at.get(job, now) for job in undated}

    def suspects(self, tables: Tables, incarnation_id: str, now: float, wall_clock_ms: int) -> set[str]:
        """Machines whose tasks may include cancelled ones that are overdue.

        Only as far as that does not follow from this incarnation's own registry. What a controller that left the view
        had claimed may be on any machine.
        """
        incarnation_ids = self._suspected_incarnations(tables, now, wall_clock_ms) - {incarnation_id}
        if not incarnation_ids <= tables.view.incarnation_ids:
            return set(tables.machines)
        members = {
            name
            for name, incarnation in tables.view.members
            if keys.incarnation_id_of(name, incarnation) in incarnation_ids
        }
        return {name for name in tables.machines if tables.view.owner(name) in members} if members else set()

    def _suspected_incarnations(self, tables: Tables, now: float, wall_clock_ms: int) -> set[str]:
        """Incarnations of controllers that hold claims of overdue cancelled jobs."""
        cancel_s = self.settings.cancel_s
        incarnation_ids: set[str] = set()
        for job in tables.jobs.values():
            if is_cancellation_overdue(job, cancel_s, wall_clock_ms):
                incarnation_ids.update(job.progress.claims)
        for name, observed_at in self._observed_at.items():
            if now - observed_at < OVERDUE_SHARE * cancel_s:
                continue
            job_row = tables.jobs.get(name)
            # Without a row nothing is known of its claims: any controller may have some.
            incarnation_ids.update(tables.view.incarnation_ids if job_row is None else job_row.progress.claims)
        return incarnation_ids

    def begin_inspections(self, suspects: Iterable[str], now: float) -> list[str]:
        """Those of the suspects that are to be asked now; forgets machines that are suspected no more."""
        names = set(suspects)
        self.inspections = {name: each for name, each in self.inspections.items() if name in names}
        due: list[str] = []
        for name in sorted(names):
            inspection = self.inspections.setdefault(name, Inspection())
            if now >= inspection.inspect_at and not inspection.deletable:
                # Until the answer, or its absence, is recorded.
                inspection.inspect_at = now + self.settings.lease_s
                due.append(name)
        return due

    def record_answer(self, report: WorkerReport, tables: Tables, now: float) -> None:
        """A machine said what it holds."""
        inspection = self.inspections.get(report.machine)
        if inspection is None:
            return
        inspection.failures = 0
        inspection.deletable = holds_cancelled(report, tables)
        inspection.inspect_at = now + self.settings.lease_s

    def record_no_answer(self, machine: str, now: float) -> None:
        """A machine did not answer."""
        inspection = self.inspections.get(machine)
        if inspection is None:
            return
        inspection.failures += 1
        inspection.deletable = inspection.failures >= MAX_FAILED_INSPECTIONS
        inspection.inspect_at = now + self.settings.report_s

    def deletable(self) -> list[str]:
        """Machines that are to be deleted."""
        return [name for name, inspection in self.inspections.items() if inspection.deletable]

    def clear(self) -> None:
        """Somebody may answer machines again, and decides for those that are its own."""
        self.inspections.clear()


def holds_cancelled(report: WorkerReport, tables: Tables) -> bool:
    """Whether a task of a cancelled job is on the machine."""
    return any(item.state != AttemptState.ENDED and _is_cancelled(item.task, tables) for item in report.tasks)


def _is_cancelled(task: str, tables: Tables) -> bool:
    """Whether the task's job is known to be cancelled; not if the task's name is none."""
    try:
        name, _index = split_task(task)
    except MalformedError:
        return False
    job = tables.jobs.get(name)
    if name in tables.peer_cancellations or (job is not None and job.is_cancelled):
        return True
    finished = tables.finished_jobs.get(name)
    return finished is not None and not finished.is_done
