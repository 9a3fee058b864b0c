"""Decides which machines are deleted because a cancelled task may still be on them.

A cancelled task must have ended within `cancel_s` of its cancellation. A worker that is cut off from its controller
stops its tasks when its lease expires, but a hung machine keeps them until it resumes. A machine is therefore deleted
once half of `cancel_s` has passed if it holds a cancelled task, or if it may hold one, its owner has not accounted for
it, and it does not answer. Every controller that knows of the cancellation applies this rule.

The time counts from the cancellation alone. It does not restart when the view, the lease or the machine's owner changes
(see *Cancelled tasks on machines that hang* in docs/design.md).
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

# The shares of `cancel_s` after which the steps of the rule apply.
# After this share, machines that may hold a cancelled task are suspected and inspected.
SUSPECT_SHARE = 0.25
# After this share such a machine is deleted. By then the lease of a worker that is only cut off has expired. The
# remaining time is for the cloud's rate limit and for retries.
OVERDUE_SHARE = 0.5
# After this share a machine is inspected as soon as it is suspected, without giving its owner time to account for it.
URGENT_SHARE = 0.6
# The number of consecutive inspections without an answer after which a machine is deleted.
MAX_FAILED_INSPECTIONS = 2


class CancelledJob(NamedTuple):
    """A cancelled job whose tasks may still exist.

    Attributes:
        job: The job's id.
        row: The stored job; None if only a sibling reported the cancellation, so that the job's claims are unknown.
        age_s: The time since its cancellation.
    """

    job: str
    row: Job | None
    age_s: float

    def may_be_on(self, machine: MachineAttributes, incarnation_id: str, formerly_owned: bool) -> bool:
        """Whether the job's constraints and stored claims allow a task of it on a machine that is not accounted for.

        Until a task is adopted, it is claimed by the incarnation that owned its machine when the task was started.

        Args:
            machine: The machine.
            incarnation_id: The calling controller's incarnation.
            formerly_owned: Whether that incarnation has owned the machine under an earlier view.
        """
        if self.row is None:
            return True
        return satisfies_constraints(self.row.spec, machine) and any(
            formerly_owned or holder != incarnation_id for holder in self.row.progress.claims
        )


class OwnShard(NamedTuple):
    """The machines that a controller owns or has owned.

    Attributes:
        member: The controller's member name.
        incarnation_id: Its present incarnation.
        machines: The machines that it owns, by name.
        released_machines: Names of machines that this incarnation has owned and released.
    """

    member: str
    incarnation_id: str
    machines: dict[str, Machine]
    released_machines: set[str]


@dataclass
class Inspection:
    """The state of inspecting one suspected machine; an inspection asks it which tasks it holds.

    Attributes:
        failures: The number of inspections without an answer since the last answer.
        inspect_at: When it is to be inspected next, in seconds of the controller's monotonic clock.
        deletable: Whether it holds a cancelled task or does not answer.
    """

    failures: int = 0
    inspect_at: float = float("-inf")
    deletable: bool = False


@dataclass
class CancellationGuard:
    """Owns the inspections of suspected machines and the times at which cancellations were first observed.

    Called by `actors.cancellation_watch` only. Has no clock: `now` is in seconds of the controller's monotonic clock.
    """

    settings: Settings
    # By machine.
    inspections: dict[str, Inspection] = field(default_factory=dict)
    # When this process first observed each cancellation, by job.
    _observed_at: dict[str, float] = field(default_factory=dict)
    # Start of the time for which each machine has been suspected without interruption.
    _suspected_since: dict[str, float] = field(default_factory=dict)

    # -- cancelled jobs

    def observe_cancellations(self, tables: Tables, now: float) -> None:
        """Records when each cancellation whose tasks may still exist was first observed by this process.

        The deadline of a cancellation counts from this time if its stored time is missing or in the future, or if it is
        known only from a sibling. Without it, such a cancellation would have no deadline.
        """
        known = set(tables.peer_cancellations)
        known.update(name for name, job in tables.jobs.items() if job.is_cancelled and job.progress.claims)
        self._observed_at = {job: self._observed_at.get(job, now) for job in known}

    def age_s(self, name: str, job: Job | None, now: float, wall_clock_ms: int) -> float:
        """The time since a job's cancellation: by the stored time or since it was first observed, whichever is longer.

        Args:
            name: The job's id.
            job: The stored job, if it is known.
            now: The monotonic time.
            wall_clock_ms: The time of day, as stored with cancellations.
        """
        observed_s = now - self._observed_at.get(name, now)
        if job is None or job.cancelled_ms <= 0:
            return observed_s
        return max(observed_s, (wall_clock_ms - job.cancelled_ms) / 1000)

    def cancelled_jobs(self, tables: Tables, now: float, wall_clock_ms: int, share: float) -> list[CancelledJob]:
        """Jobs whose cancellation is at least the given share of `cancel_s` old, the oldest cancellation first."""
        candidates: list[CancelledJob] = []
        for name, job in tables.jobs.items():
            if job.is_cancelled and job.progress.claims:
                candidates.append(CancelledJob(name, job, self.age_s(name, job, now, wall_clock_ms)))
        for name in tables.peer_cancellations:
            if name not in tables.jobs:
                candidates.append(CancelledJob(name, None, self.age_s(name, None, now, wall_clock_ms)))
        candidates = [each for each in candidates if each.age_s >= share * self.settings.cancel_s]
        return sorted(candidates, key=lambda each: -each.age_s)

    # -- machines that may hold cancelled tasks

    def outage_suspects(self, tables: Tables, incarnation_id: str, now: float, wall_clock_ms: int) -> set[str]:
        """Machines that may hold overdue cancelled tasks while no controller may answer workers.

        These are the machines of the other incarnations that claim such tasks; for this incarnation's own machines, its
        registry is more precise. If an incarnation that claims a task has left the view, the task may be on any
        machine.
        """
        incarnation_ids: set[str] = set()
        for each in self.cancelled_jobs(tables, now, wall_clock_ms, OVERDUE_SHARE):
            # Without a row the job's claims are unknown: any controller may hold some.
            incarnation_ids.update(tables.view.incarnation_ids if each.row is None else each.row.progress.claims)
        incarnation_ids -= {incarnation_id}
        if not incarnation_ids:
            return set()
        if not incarnation_ids <= tables.view.incarnation_ids:
            return set(tables.machines)
        members = {
            name for name, lease_id in tables.view.members if keys.incarnation_id_of(name, lease_id) in incarnation_ids
        }
        return {name for name in tables.machines if tables.view.owner(name) in members}

    def unaccounted_machines(
        self, tables: Tables, shard: OwnShard, cancelled_jobs: list[CancelledJob]
    ) -> dict[str, CancelledJob]:
        """Machines that may hold a cancelled task and that their owners have not accounted for.

        Args:
            tables: The replicated tables, which must be recent.
            shard: The machines that this controller owns or has owned.
            cancelled_jobs: The cancelled jobs, the oldest cancellation first.

        Returns:
            For each machine, the job with the oldest cancellation that may have a task there.
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
                unaccounted, formerly_owned = tables.view.owner(name) in unrecovered, name in shard.released_machines
            if not unaccounted:
                continue
            job = first_possible_job(cancelled_jobs, row, shard.incarnation_id, formerly_owned)
            if job is not None:
                found[name] = job
        return found

    def due_for_inspection(self, unaccounted: dict[str, CancelledJob], now: float) -> set[str]:
        """Machines to inspect now.

        A machine's owner first gets `missed_report_s` to account for it, unless the deadline of the cancellation is
        near.
        """
        self._suspected_since = {name: self._suspected_since.get(name, now) for name in unaccounted}
        urgent_s = URGENT_SHARE * self.settings.cancel_s
        return {
            name
            for name, job in unaccounted.items()
            if job.age_s >= urgent_s or now - self._suspected_since[name] >= self.settings.missed_report_s
        }

    # -- inspections

    def begin_inspections(self, suspects: Iterable[str], now: float) -> list[str]:
        """The suspects whose next inspection is due; drops machines that are no longer suspected."""
        names = set(suspects)
        self.inspections = {name: each for name, each in self.inspections.items() if name in names}
        due: list[str] = []
        for name in sorted(names):
            inspection = self.inspections.setdefault(name, Inspection())
            if now >= inspection.inspect_at and not inspection.deletable:
                # Prevents a second inspection until the result of this one is recorded.
                inspection.inspect_at = now + self.settings.lease_s
                due.append(name)
        return due

    def record_answer(self, report: WorkerReport, tables: Tables, now: float) -> None:
        """Records a machine's answer to an inspection."""
        inspection = self.inspections.get(report.machine)
        if inspection is None:
            return
        inspection.failures = 0
        inspection.deletable = reports_cancelled_task(report, tables)
        inspection.inspect_at = now + self.settings.lease_s

    def record_no_answer(self, machine: str, now: float) -> None:
        """Records that a machine did not answer an inspection."""
        inspection = self.inspections.get(machine)
        if inspection is None:
            return
        inspection.failures += 1
        inspection.deletable = inspection.failures >= MAX_FAILED_INSPECTIONS
        inspection.inspect_at = now + self.settings.report_s

    def deletable(self) -> list[str]:
        """Machines that the inspections found to be deletable."""
        return [name for name, inspection in self.inspections.items() if inspection.deletable]

    def is_suspected(self, machine: str) -> bool:
        """Whether the machine is still suspected."""
        return machine in self.inspections

    def is_deletable(self, machine: str) -> bool:
        """Whether the inspections found the machine to be deletable."""
        inspection = self.inspections.get(machine)
        return inspection is not None and inspection.deletable

    def require_reinspection(self) -> None:
        """Requires a new inspection before any machine counts as deletable.

        Called while this controller cannot know which machines are accounted for.
        """
        for inspection in self.inspections.values():
            inspection.failures = min(inspection.failures, MAX_FAILED_INSPECTIONS - 1)
            inspection.deletable = False
            inspection.inspect_at = float("-inf")


def first_possible_job(
    cancelled_jobs: list[CancelledJob], machine: MachineAttributes, incarnation_id: str, formerly_owned: bool
) -> CancelledJob | None:
    """The first job that may have a task on a machine that is not accounted for; see `may_be_on`."""
    return next((each for each in cancelled_jobs if each.may_be_on(machine, incarnation_id, formerly_owned)), None)


def reports_cancelled_task(report: WorkerReport, tables: Tables) -> bool:
    """Whether the report lists a task of a cancelled job that has not ended."""
    return any(item.state != AttemptState.ENDED and _is_cancelled(item.task, tables) for item in report.tasks)


def _is_cancelled(task: str, tables: Tables) -> bool:
    """Whether the task's job is known to be cancelled; False if the task's name is malformed."""
    try:
        name, _index = split_task(task)
    except MalformedError:
        return False
    job = tables.jobs.get(name)
    if name in tables.peer_cancellations or (job is not None and job.is_cancelled):
        return True
    finished = tables.finished_jobs.get(name)
    return finished is not None and not finished.is_done
