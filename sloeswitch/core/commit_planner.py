"""Plans one transaction of the jobs actor: completions, releases, adoptions, claims and quota allocations.

Pure: no I/O and no clock. The actor takes a `CommitSnapshot`, has `plan_commit` compute a `CommitPlan` from it, and
commits the plan's transaction. A conflict means that another controller was quicker; the next plan starts from the
tables as they are then.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from sloeswitch import wire
from sloeswitch.core import keys, taskset
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaChanges, QuotaDecrease, QuotaRowChange
from sloeswitch.core.records import Job, JobState, Progress
from sloeswitch.core.row_codec import encode_finished_job, encode_job_links, encode_progress
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.core.uncommitted_updates import JobUpdates
from sloeswitch.settings import Team


@dataclass(frozen=True)
class RequestedClaims:
    """The tasks to claim and the quota allocations to change, as the machines actor asks for them."""

    # How many tasks to claim of each job.
    task_counts: Mapping[str, int] = field(default_factory=dict)
    quota_increases: Mapping[str, ResourceAmount] = field(default_factory=dict)
    quota_decreases: Mapping[str, QuotaDecrease] = field(default_factory=dict)
    # The zone that each job whose tasks are bound to one zone gets with its first claim.
    zones: Mapping[str, str] = field(default_factory=dict)
    # Which tasks of a zone-bound job fit the free capacity of its zone, as a set.
    zone_bound_tasks: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class CommitLimits:
    """What one transaction may contain."""

    # Changes that the write rate allows now.
    changes: int
    # Changes that the state service takes in one transaction.
    transaction_changes: int
    value_bytes: int
    # Once the values are larger than this together, another one may not fit into the transaction.
    total_bytes: int


@dataclass(frozen=True)
class CommitSnapshot:
    """All that a plan depends on. The tables and the updates must not change while the plan is made."""

    tables: Tables
    teams: Mapping[str, Team]
    incarnation_id: str
    updates: Mapping[str, JobUpdates]
    limits: CommitLimits
    # Whether this controller is the leader of its machines, so that it may claim tasks and void others' claims.
    is_leader: bool
    # Whether every machine was reconciled under the present view: claims of departed incarnations are void from then.
    recovery_complete: bool
    # The condition that the view is still the present one.
    view_conditions: Mapping[str, int]
    # The revision that the tables were read at.
    applied_revision: int
    wall_clock_ms: int
    # The number of this incarnation's next row of adoptions.
    adoption_number: int = 0
    # None: nothing is requested, or this controller may not claim now.
    claims: RequestedClaims | None = None
    # Teams whose row is written even if it stays the same, so that an earlier write of it fails for certain.
    forced_rewrites: Set[str] = frozenset()

    @property
    def groups_adoptions(self) -> bool:
        """Whether adoptions of many jobs are written as one row: all controllers read it, and it has a place.

        The row takes a change and a team's allocation another one, besides the decreases of allocations.
        """
        decreases = 0 if self.claims is None else len(self.claims.quota_decreases)
        return self.tables.layout_complete and decreases + 2 <= self.limits.transaction_changes


@dataclass(frozen=True)
class CommitPlan:
    """One transaction, and what it means to this controller."""

    transaction: Transaction
    # The tasks that it claims, as sets by job.
    granted: Mapping[str, int]
    # Whether it is only right under the present view; the transaction has the condition then.
    relies_on_view: bool
    # The number of this incarnation's next row of adoptions.
    adoption_number: int
    # Jobs whose progress is larger than a value may be, and which are left out.
    oversized_jobs: Sequence[str]
    # How the allocations of teams change with it.
    quota_changes: Sequence[QuotaRowChange] = ()


class _Adoption(NamedTuple):
    """Adopted tasks of one job, and their form in the row of adoptions."""

    tasks: int
    packed: list[int | str]


def plan_commit(snapshot: CommitSnapshot, due_jobs: Sequence[str]) -> CommitPlan:
    """Plans the next transaction.

    Args:
        snapshot: The state to plan from.
        due_jobs: The jobs to be written, the most urgent first (see `core.commit_schedule`). Those that do not fit
            into the transaction are left for the next one.
    """
    return _CommitPlanner(snapshot).plan(due_jobs)


class _CommitPlanner:
    """Builds one plan; used once."""

    def __init__(self, snapshot: CommitSnapshot) -> None:
        self._snapshot = snapshot
        self._tables = snapshot.tables
        self._limits = snapshot.limits
        self._incarnation_id = snapshot.incarnation_id
        self._transaction = Transaction()
        self._quota = QuotaChanges(snapshot.tables, snapshot.incarnation_id, snapshot.recovery_complete)
        self._adoption_number = snapshot.adoption_number
        # Jobs whose adoptions are in the row of adoptions.
        self._grouped_jobs: Set[str] = frozenset()
        self._granted: dict[str, int] = {}
        self._oversized_jobs: list[str] = []
        self._relies_on_view = False
        self._changes_left = self._limits.changes
        self._total_bytes = 0

    def plan(self, due_jobs: Sequence[str]) -> CommitPlan:
        """The plan for these jobs, the most urgent first."""
        if self._snapshot.groups_adoptions:
            self._group_adoptions()
        if self._snapshot.claims is not None:
            self._change_quotas(self._snapshot.claims)
        self._changes_left -= len(self._quota)
        for name in due_jobs:
            job = self._tables.jobs.get(name)
            if job is not None and not self._add_job(job):
                break
        if self._quota.write_rows(self._transaction, self._snapshot.forced_rewrites):
            self._relies_on_view = True
        if self._relies_on_view and self._transaction.writes:
            self._transaction.conditions.update(self._snapshot.view_conditions)
        return CommitPlan(
            self._transaction,
            self._granted,
            self._relies_on_view,
            self._adoption_number,
            self._oversized_jobs,
            self._quota.row_changes(),
        )

    # -- adoptions of many jobs, and quota allocations

    def _group_adoptions(self) -> None:
        """Writes adoptions of many jobs as one row.

        After a crash of all controllers a change for each job and controller would take much of the state service's
        rate, and free capacity would wait for it. The row counts in addition to the jobs' own
        rows, by the revision that these contain (see `core.tables`). Its key is written once, and is kept while this
        incarnation is in the view that the write is conditional on: carried out late, it fails.
        """
        adoptions: dict[str, list[int | str]] = {}
        bytes_left = self._limits.value_bytes - len('{"m":{}}')
        for job in self._jobs_with_adoptions():
            if self._quota and not self._has_change_for(job.spec.team):
                break
            tasks = self._snapshot.updates[job.spec.id].adopted & ~job.progress.done
            # The first job's tasks are parted until they fit, so that every row has some.
            adoption = self._pack_adoption(job, tasks, None if adoptions else bytes_left)
            bytes_left -= _adoption_bytes(job, adoption.packed)
            if bytes_left < 0:
                break
            if adoption.tasks:
                adoptions[job.spec.id] = adoption.packed
                self._move_quota(job, adoption.tasks)
        # A write without an answer is tried again under its own key, unless it was carried out.
        if keys.adoption_key(self._incarnation_id, self._adoption_number) in self._tables.adoption_keys:
            self._adoption_number += 1
        if adoptions:
            key = keys.adoption_key(self._incarnation_id, self._adoption_number)
            self._transaction.writes[key], self._transaction.conditions[key] = {"m": adoptions}, 0
            self._grouped_jobs = adoptions.keys()
            self._relies_on_view = True

    def _jobs_with_adoptions(self) -> list[Job]:
        """Known jobs with adopted tasks, those of one team together: they share the change of its allocation."""
        known = self._tables.jobs
        adopting = [
            known[name] for name, updates in self._snapshot.updates.items() if updates.adopted and name in known
        ]
        return sorted(adopting, key=lambda job: job.spec.team)

    def _move_quota(self, job: Job, adopted: int) -> None:
        """Moves the quota of adopted tasks from their former holders, but for those that completed.

        Guards against tasks that are not covered: a former holder has used a completed task's part of its allocation
        for another one, which is adopted elsewhere and brings that part along.
        """
        running = adopted & ~self._snapshot.updates[job.spec.id].done
        if running:
            self._quota.move_with_adoption(job, running)

    def _has_change_for(self, team: str) -> bool:
        """Whether the team's allocation may change besides the row of adoptions and the allocations changed so far."""
        return team in self._quota or len(self._quota) + 1 < self._limits.changes

    @staticmethod
    def _pack_adoption(job: Job, tasks: int, most_bytes: int | None) -> _Adoption:
        """The tasks, or as many of them as fit `most_bytes`, by halves."""
        packed = taskset.pack_dense(tasks)
        while most_bytes is not None and tasks and _adoption_bytes(job, packed) > most_bytes:
            tasks = taskset.lowest(tasks, tasks.bit_count() // 2)
            packed = taskset.pack_dense(tasks)
        return _Adoption(tasks, packed)

    def _change_quotas(self, claims: RequestedClaims) -> None:
        for team, wanted in claims.quota_increases.items():
            # Where adoptions leave no change for the team's row, the machines actor asks for it again.
            if not self._grouped_jobs or self._has_change_for(team):
                self._quota.increase(self._snapshot.teams[team], wanted)
        for team, decrease in claims.quota_decreases.items():
            self._quota.decrease(team, decrease)

    # -- one job

    def _add_job(self, job: Job) -> bool:
        """Adds the job's changes; returns False if they do not fit into the transaction any more."""
        adopted = self._single_adoption(job)
        allocation_changes = 1 if adopted and job.spec.team not in self._quota else 0
        if (
            len(self._transaction.writes) + 1 + allocation_changes > self._changes_left
            or self._total_bytes > self._limits.total_bytes
        ):
            return False
        voids_claims = (
            self._snapshot.recovery_complete and self._snapshot.is_leader and bool(self._tables.void_claim_holders(job))
        )
        progress = self._progress_after(job, voids_claims)
        claims_tasks = self._claim(job, progress)
        if not progress.claims:
            # None of its tasks is anywhere, so that none binds the others to a zone. Guards against a job that
            # waits for ever in a zone whose machines are gone.
            progress.zone = None
        if not self._write_job(job, progress):
            return True
        if adopted:
            # The tasks' part of the limit comes with them, in the same transaction.
            self._changes_left -= allocation_changes
            self._move_quota(job, adopted)
        if adopted or voids_claims or claims_tasks:
            self._relies_on_view = True
        return True

    def _single_adoption(self, job: Job) -> int:
        """The adopted tasks that are written with the job's own row; none if it ends with this transaction."""
        updates = self._snapshot.updates.get(job.spec.id)
        if updates is None or job.spec.id in self._grouped_jobs:
            return 0
        return 0 if job.progress.done | updates.done == job.all_tasks else updates.adopted

    def _progress_after(self, job: Job, voids_claims: bool) -> Progress:
        """The job's progress with its uncommitted updates, and without void claims if these are to go."""
        progress = job.progress.copy()
        if voids_claims:
            for holder in self._tables.void_claim_holders(job):
                del progress.claims[holder]
        updates = self._snapshot.updates.get(job.spec.id)
        if updates is None:
            return progress
        progress.done |= updates.done & job.all_tasks
        adopted = updates.adopted & ~progress.done & job.all_tasks
        for holder in list(progress.claims):
            tasks = progress.claims[holder] & ~progress.done
            progress.claims[holder] = tasks & ~(updates.released if holder == self._incarnation_id else adopted)
        if adopted:
            progress.claims[self._incarnation_id] = progress.claims.get(self._incarnation_id, 0) | adopted
        progress.claims = {holder: tasks for holder, tasks in progress.claims.items() if tasks}
        return progress

    def _claim(self, job: Job, progress: Progress) -> bool:
        """Claims the requested tasks in the job's progress; returns whether there are any."""
        claims = self._snapshot.claims
        count = 0 if claims is None else claims.task_counts.get(job.spec.id, 0)
        if claims is None or not count or not job.is_runnable:
            return False
        granted = taskset.lowest(self._claimable_tasks(job, progress, claims), count)
        if not granted:
            return False
        progress.claims[self._incarnation_id] = progress.claims.get(self._incarnation_id, 0) | granted
        self._granted[job.spec.id] = granted
        if progress.zone is None:
            progress.zone = claims.zones.get(job.spec.id)
        return True

    def _claimable_tasks(self, job: Job, progress: Progress, claims: RequestedClaims) -> int:
        """The tasks of the job that this controller may claim now, as a set."""
        name = job.spec.id
        updates = self._snapshot.updates.get(name)
        # What is being released is for other controllers to claim.
        released = 0 if updates is None else updates.released
        free = job.all_tasks & ~progress.done & ~progress.claimed_tasks() & ~released
        if job.spec.gang and claims.task_counts[name] < free.bit_count():
            return 0
        if not job.spec.zone_bound:
            return free
        if progress.zone is None and (name not in claims.zones or progress.claims):
            # Guards against tasks claimed ahead of any capacity: without a stored zone they would be placed in any.
            # Those that an earlier version claimed so are to be gone before there is one.
            return 0
        return free & claims.zone_bound_tasks.get(name, 0)

    # -- rows

    def _write_job(self, job: Job, progress: Progress) -> bool:
        """Adds the job's row or its progress, whichever changes; returns whether one does and fits a value.

        The progress of a job that ends is deleted later (see `actors.garbage_collection`): its end should be one
        change.
        """
        job_key, progress_key = keys.job_key(job.spec.id), keys.progress_key(job.spec.id)
        end = _final_state(job, progress)
        if end is not None:
            self._transaction.writes[job_key] = encode_finished_job(
                end, job.spec, self._snapshot.wall_clock_ms
            ) | encode_job_links(job, over=True)
        else:
            value = self._encode_changed_progress(job, progress)
            if value is None:
                return False
            size_bytes = len(wire.encode(value))
            if size_bytes > self._limits.value_bytes:
                self._oversized_jobs.append(job.spec.id)
                return False
            self._transaction.writes[progress_key] = value
            self._total_bytes += size_bytes
        self._transaction.conditions[job_key] = job.mod_revision
        self._transaction.conditions[progress_key] = job.progress_revision
        return True

    def _encode_changed_progress(self, job: Job, progress: Progress) -> dict[str, Any] | None:
        """The value of the job's progress row; None if it stays the same."""
        dense = self._tables.layout_complete
        value = encode_progress(progress, dense)
        if value == encode_progress(job.progress, dense):
            return None
        if self._tables.adoption_keys:
            # Right after a first reading the job's row may be newer than all that is surely known.
            value["e"] = max(self._snapshot.applied_revision, job.progress.adoption_revision)
        return value


def _adoption_bytes(job: Job, packed: list[int | str]) -> int:
    return len(wire.encode({job.spec.id: packed}))


def _final_state(job: Job, progress: Progress) -> JobState | None:
    """The state in which the job ends with this progress; None if it goes on."""
    if job.status == JobState.LIVE and progress.done == job.all_tasks:
        return JobState.DONE
    if job.is_cancelled and not progress.claims:
        return JobState.CANCELLED
    return None
