"""Which machines are deleted since a cancelled task may be on them: one rule, for whoever knows the cancellation.

A worker that merely hears nothing gives its tasks up when its lease ends; a machine that hangs keeps them until it goes
on. So a machine is deleted once half of the time is over in which the task must be gone, if it holds one, or if one may
be on it, its owner has not accounted for it, and it does not answer. The time counts from the cancellation alone: what
is known of machines that do not answer outlasts views, leases and changes of owner (see *Cancelled tasks on machines
that hang* in docs/design.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from sloeswitch.core import keys
from sloeswitch.core.machine import AttemptState, Machine
from sloeswitch.core.placement import MachineAttributes, satisfies_constraints
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import MalformedError, WorkerReport, split_task

# From this part of the time on in which a cancelled task must be gone, machines that may hold one are watched.
SUSPECT_SHARE = 0.25
# From this part on such a machine is deleted. By then a worker that merely hears nothing has given up by its lease; the
# rest is for the cloud's rate and retries.
OVERDUE_SHARE = 0.5
# From this part on a machine is inspected as soon as it is suspected, without leaving its owner the time for it.
PRESSING_SHARE = 0.6
# Inspections in a row without an answer after which a machine is deleted.
MAX_FAILED_INSPECTIONS = 2


class CancelledJob(NamedTuple):
    """A cancelled job of which tasks may exist.

    Attributes:
        job: The job's id.
        row: Its stored row; None where only a sibling reported the cancellation: then nothing is known of its claims.
        age_s: For how long it has been cancelled.
    """

    job: str
    row: Job | None
    age_s: float

    def may_be_on(self, machine: MachineAttributes, incarnation_id: str, formerly_owned: bool) -> bool:
        """Whether a task of it can be on a machine that nobody has accounted for, as far as stored claims tell.

        A task is claimed by the incarnation that owned its machine when it was started, until it is adopted.

        Args:
            machine: The machine.
            incarnation_id: The incarnation that asks.
            formerly_owned: Whether that incarnation has owned the machine under an earlier view.
        """
        if self.row is None:
            return True
        return satisfies_constraints(self.row.spec, machine) and any(
            formerly_owned or holder != incarnation_id for holder in self.row.progress.claims
        )


class OwnShard(NamedTuple):
    """What a controller knows of machines by owning them, or having owned them.

    Attributes:
        member: The controller.
        incarnation_id: Its present incarnation.
        machines: Those that it owns, by name.
        released: Names of those that this incarnation has owned and released.
    """

    member: str
    incarnation_id: str
    machines: dict[str, Machine]
    released: set[str]


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
    """Owns the inspections that are under way, and since when cancellations are known.

    Called by `actors.cancellation_watch` only. Has no clock: `now` is in seconds of the controller's monotonic clock.
    """

    settings: Settings
    # By machine.
    inspections: dict[str, Inspection] = field(default_factory=dict)
    # When a cancellation was first seen here, by job.
    _observed_at: dict[str, float] = field(default_factory=dict)
    # Since when each machine has been suspected without a break.
    _suspected_since: dict[str, float] = field(default_factory=dict)

    # -- cancelled jobs

    def observe(self, tables: Tables, now: float) -> None:
        """Notes since when each cancellation is known here whose tasks may exist.

        Guards against a stored time that is missing or in the future, and against a cancellation that is known from a
        sibling only: none of them may disarm the deadline.
        """
        known = set(tables.peer_cancellations)
        known.update(name for name, job in tables.jobs.items() if job.is_cancelled and job.progress.claims)
        self._observed_at = {job: self._observed_at.get(job, now) for job in known}

    def age_s(self, name: str, job: Job | None, now: float, wall_clock_ms: int) -> float:
        """For how long a job has been cancelled: by the stored time, or since it is known here if that is longer."""
        observed_s = now - self._observed_at.get(name, now)
        if job is None or job.cancelled_ms <= 0:
            return observed_s
        return max(observed_s, (wall_clock_ms - job.cancelled_ms) / 1000)

    def cancelled_jobs(self, tables: Tables, now: float, wall_clock_ms: int, share: float) -> list[CancelledJob]:
        """Jobs cancelled for longer than a share of the time in which their tasks must be gone, the longest first."""
        old: list[CancelledJob] = []
        for name, job in tables.jobs.items():
            if job.is_cancelled and job.progress.claims:
                old.append(CancelledJob(name, job, self.age_s(name, job, now, wall_clock_ms)))
        for name in tables.peer_cancellations:
            if name not in tables.jobs:
                old.append(CancelledJob(name, None, self.age_s(name, None, now, wall_clock_ms)))
        old = [each for each in old if each.age_s >= share * self.settings.cancel_s]
        return sorted(old, key=lambda each: -each.age_s)

    # -- machines that may hold cancelled tasks

    def suspects(self, tables: Tables, incarnation_id: str, now: float, wall_clock_ms: int) -> set[str]:
        """Machines whose tasks may include cancelled ones that are overdue, while nobody may answer machines.

        Only as far as that does not follow from this incarnation's own registry. What a controller that left the view
        had claimed may be on any machine.
        """
        incarnation_ids: set[str] = set()
        for each in self.cancelled_jobs(tables, now, wall_clock_ms, OVERDUE_SHARE):
            # Without a row nothing is known of its claims: any controller may have some.
            incarnation_ids.update(tables.view.incarnation_ids if each.row is None else each.row.progress.claims)
        incarnation_ids -= {incarnation_id}
        if not incarnation_ids:
            return set()
        if not incarnation_ids <= tables.view.incarnation_ids:
            return set(tables.machines)
        members = {
            name
            for name, incarnation in tables.view.members
            if keys.incarnation_id_of(name, incarnation) in incarnation_ids
        }
        return {name for name in tables.machines if tables.view.owner(name) in members}

    def unaccounted(
        self, tables: Tables, shard: OwnShard, cancelled_jobs: list[CancelledJob]
    ) -> dict[str, CancelledJob]:
        """Machines that their owners have not accounted for, with the job cancelled longest ago that may be there.

        Args:
            tables: The replicated tables, read afresh a short while ago.
            shard: What this controller knows of machines.
            cancelled_jobs: Those cancelled longest ago first.
        """
        if not cancelled_jobs:
            return {}
        found: dict[str, CancelledJob] = {}
        unrecovered = tables.unrecovered_members() - {shard.member}
        for name, row in tables.machines.items():
            own = shard.machines.get(name)
            if own is not None:
                unaccounted, formerly_owned = not own.reconciled, own.formerly_owned
            else:
                unaccounted, formerly_owned = tables.view.owner(name) in unrecovered, name in shard.released
            if not unaccounted:
                continue
            job = first_possible_job(cancelled_jobs, row, shard.incarnation_id, formerly_owned)
            if job is not None:
                found[name] = job
        return found

    def due_suspects(self, unaccounted: dict[str, CancelledJob], now: float) -> set[str]:
        """Machines to be inspected: their owners had the time of a report to account for them, or none is left."""
        self._suspected_since = {name: self._suspected_since.get(name, now) for name in unaccounted}
        pressing_s = PRESSING_SHARE * self.settings.cancel_s
        return {
            name
            for name, job in unaccounted.items()
            if job.age_s >= pressing_s or now - self._suspected_since[name] >= self.settings.missed_report_s
        }

    # -- inspections

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

    def is_inspected(self, machine: str) -> bool:
        """Whether the machine is suspected still."""
        return machine in self.inspections

    def is_deletable(self, machine: str) -> bool:
        """Whether the machine is to be deleted."""
        inspection = self.inspections.get(machine)
        return inspection is not None and inspection.deletable

    def suspend(self) -> None:
        """Who accounts for machines is not known here for now: what was found has to be confirmed once more."""
        for inspection in self.inspections.values():
            inspection.failures = min(inspection.failures, MAX_FAILED_INSPECTIONS - 1)
            inspection.deletable = False
            inspection.inspect_at = float("-inf")


def first_possible_job(
    cancelled_jobs: list[CancelledJob], machine: MachineAttributes, incarnation_id: str, formerly_owned: bool
) -> CancelledJob | None:
    """The first job of which a task may be on a machine that nobody has accounted for; see `may_be_on`."""
    return next((each for each in cancelled_jobs if each.may_be_on(machine, incarnation_id, formerly_owned)), None)


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
