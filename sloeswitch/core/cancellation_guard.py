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
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import MalformedError, WorkerReport, split_task

# A machine on which a cancelled task may be is deleted after this part of the time in which the task must be gone.
# By then a worker that merely hears nothing has given up by its lease; the rest is for the cloud's rate and retries.
OVERDUE_SHARE = 0.5
# Inspections without an answer after which a machine is deleted.
MOST_FAILURES = 2


def overdue_job(job: Job, cancel_s: float, wall_clock_ms: int) -> bool:
    """Whether the job was cancelled longer ago than a part of the time allowed, and still has claims."""
    latest_ms = wall_clock_ms - 1000 * OVERDUE_SHARE * cancel_s
    return job.is_cancelled and bool(job.progress.claims) and 0 < job.cancelled_ms < latest_ms


@dataclass
class Inspection:
    """What is known of one machine that is asked for its tasks."""

    failures: int = 0
    ask_at: float = float("-inf")
    deletable: bool = False


@dataclass
class CancellationGuard:
    """Owns the inspections that are under way. Clock-free: the time is an argument."""

    settings: Settings
    inspections: dict[str, Inspection] = field(default_factory=dict)
    # When a cancellation whose time is not stored was first seen here.
    _observed_at: dict[str, float] = field(default_factory=dict)

    def observe(self, tables: Tables, now: float) -> None:
        """Notes since when cancellations are known whose rows do not tell it: a sibling told of them."""
        undated = set(tables.peer_cancellations)
        self._observed_at = {name: self._observed_at.get(name, now) for name in undated}

    def suspects(self, tables: Tables, tag: str, now: float, wall_clock_ms: int) -> set[str]:
        """Machines whose tasks may include cancelled ones that are overdue, as far as that does not follow from this
        run's own books. What a controller that left the view had claimed may be on any machine."""
        tags = self._suspected_incarnations(tables, now, wall_clock_ms) - {tag}
        if not tags <= tables.view.incarnation_ids:
            return set(tables.machines)
        members = {name for name, boot in tables.view.members if keys.incarnation_id_of(name, boot) in tags}
        return {name for name in tables.machines if tables.view.owner(name) in members} if members else set()

    def _suspected_incarnations(self, tables: Tables, now: float, wall_clock_ms: int) -> set[str]:
        """Controllers' runs that hold claims of overdue cancelled jobs."""
        cancel_s = self.settings.cancel_s
        tags: set[str] = set()
        for job in tables.jobs.values():
            if overdue_job(job, cancel_s, wall_clock_ms):
                tags.update(job.progress.claims)
        for name, learnt_at in self._observed_at.items():
            if now - learnt_at < OVERDUE_SHARE * cancel_s:
                continue
            job_row = tables.jobs.get(name)
            # Without a row nothing is known of its claims: any controller may have some.
            tags.update(tables.view.incarnation_ids if job_row is None else job_row.progress.claims)
        return tags

    def due(self, suspects: Iterable[str], now: float) -> list[str]:
        """Those of the suspects that are to be asked now; forgets machines that are suspected no more."""
        names = set(suspects)
        self.inspections = {name: each for name, each in self.inspections.items() if name in names}
        found: list[str] = []
        for name in sorted(names):
            inspection = self.inspections.setdefault(name, Inspection())
            if now >= inspection.ask_at and not inspection.deletable:
                # Until the answer, or its absence, is told.
                inspection.ask_at = now + self.settings.lease_s
                found.append(name)
        return found

    def record_answer(self, report: WorkerReport, tables: Tables, now: float) -> None:
        """A machine told what it holds."""
        inspection = self.inspections.get(report.machine)
        if inspection is None:
            return
        inspection.failures = 0
        inspection.deletable = holds_cancelled(report, tables)
        inspection.ask_at = now + self.settings.lease_s

    def record_no_answer(self, machine: str, now: float) -> None:
        """A machine did not answer."""
        inspection = self.inspections.get(machine)
        if inspection is None:
            return
        inspection.failures += 1
        inspection.deletable = inspection.failures >= MOST_FAILURES
        inspection.ask_at = now + self.settings.report_s

    def deletable(self) -> list[str]:
        """Machines that are to be deleted."""
        return [name for name, inspection in self.inspections.items() if inspection.deletable]

    def clear(self) -> None:
        """Somebody may answer machines again, and decides for those that are its own."""
        self.inspections.clear()


def holds_cancelled(report: WorkerReport, tables: Tables) -> bool:
    """Whether a task of a cancelled job is on the machine."""
    for item in report.tasks:
        try:
            name, _index = split_task(item.task)
        except MalformedError:
            continue
        job = tables.jobs.get(name)
        cancelled = name in tables.peer_cancellations or (job is not None and job.is_cancelled)
        over = tables.finished_jobs.get(name)
        if item.state != "ended" and (cancelled or (over is not None and not over.is_done)):
            return True
    return False
