"""Plans one transaction of the jobs actor: completions, releases, adoptions, claims and quota allocations.

Pure functions, without I/O and without a clock. The actor takes a `CommitSnapshot`, calls `plan_commit` to compute a
`CommitPlan` from it, and commits the plan's transaction. On a conflict, another controller has changed a row first; the
next plan starts from the tables with that change.
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
from sloeswitch.core.row_codec import encode_finished_job, encode_job_handoffs, encode_progress
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.core.uncommitted_updates import JobUpdates
from sloeswitch.settings import Team


@dataclass(frozen=True)
class RequestedClaims:
    """The tasks to claim and the quota allocations to change, as the machines actor requests them."""

    # The number of tasks to claim, by job.
    task_counts: Mapping[str, int] = field(default_factory=dict)
    quota_increases: Mapping[str, ResourceAmount] = field(default_factory=dict)
    quota_decreases: Mapping[str, QuotaDecrease] = field(default_factory=dict)
    # The zone that a zone-bound job (all tasks in one zone) is bound to with its first claim, by job.
    zones: Mapping[str, str] = field(default_factory=dict)
    # The tasks of a zone-bound job that fit into the free capacity of its zone, by job.
    zone_bound_tasks: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class CommitLimits:
    """The limits of one transaction."""

    # The number of changes that the write rate allows now.
    changes: int
    # The number of changes that the state service accepts in one transaction.
    transaction_changes: int
    # The size limit of one value.
    value_bytes: int
    # No further job is added once the values together are larger than this, because the request might exceed its size
    # limit.
    total_bytes: int


@dataclass(frozen=True)
class CommitSnapshot:
    """The input of a plan. The tables and the updates must not change while the plan is computed."""

    tables: Tables
    teams: Mapping[str, Team]
    incarnation_id: str
    updates: Mapping[str, JobUpdates]
    limits: CommitLimits
    # Whether this controller is the leader of its machines, and may therefore claim tasks and drop void claims.
    is_leader: bool
    # Whether all machines are reconciled under the present view. From then on, the claims of departed incarnations are
    # void, because their tasks run nowhere.
    recovery_complete: bool
    # The transaction condition that the view has not changed.
    view_conditions: Mapping[str, int]
    # The revision up to which the tables contain all changes.
    applied_revision: int
    wall_clock_ms: int
    # The number of this incarnation's next adoption row.
    adoption_number: int = 0
    # None if nothing is requested, or if this controller may not claim tasks now.
    claims: RequestedClaims | None = None
    # Teams whose quota row is written even if it does not change. An earlier write of the row whose response was lost
    # then fails on its condition, if it is still to be applied.
    forced_rewrites: Set[str] = frozenset()

    @property
    def groups_adoptions(self) -> bool:
        """Whether adoptions of many jobs are written as one row.

        All controllers must support such a row, and the transaction must have space for two changes in addition to the
        decreases of quota allocations: the adoption row and the allocation of one team.
        """
        decreases = 0 if self.claims is None else len(self.claims.quota_decreases)
        return self.tables.layout_complete and decreases + 2 <= self.limits.transaction_changes


@dataclass(frozen=True)
class CommitPlan:
    """One transaction, and what it changes for this controller."""

    transaction: Transaction
    # The tasks that the transaction claims, as sets by job.
    granted: Mapping[str, int]
    # Whether the transaction is valid only under the present view, and therefore has the view conditions.
    relies_on_view: bool
    # The number of this incarnation's next adoption row.
    adoption_number: int
    # Jobs that are left out because their progress exceeds the size limit of a value.
    oversized_jobs: Sequence[str]
    # The changes of quota allocations in the transaction, by team.
    quota_changes: Sequence[QuotaRowChange] = ()


class _PackedAdoption(NamedTuple):
    """Adopted tasks of one job, as a set and in the stored form."""

    tasks: int
    packed: list[int | str]


def plan_commit(snapshot: CommitSnapshot, due_jobs: Sequence[str]) -> CommitPlan:
    """Plans the next transaction.

    Args:
        snapshot: The state to plan from.
        due_jobs: The jobs to write, the most urgent first (see `core.commit_schedule`). Jobs that do not fit into the
            transaction are left for the next one.
    """
    return _CommitPlanner(snapshot).plan(due_jobs)


class _CommitPlanner:
    """Builds one plan; each instance is used once."""

    def __init__(self, snapshot: CommitSnapshot) -> None:
        self._snapshot = snapshot
        self._tables = snapshot.tables
        self._limits = snapshot.limits
        self._incarnation_id = snapshot.incarnation_id
        self._transaction = Transaction()
        self._quota = QuotaChanges(snapshot.tables, snapshot.incarnation_id, snapshot.recovery_complete)
        self._adoption_number = snapshot.adoption_number
        # Jobs whose adoptions are in the adoption row.
        self._grouped_jobs: Set[str] = frozenset()
        self._granted: dict[str, int] = {}
        self._oversized_jobs: list[str] = []
        self._relies_on_view = False
        self._changes_left = self._limits.changes
        self._total_bytes = 0

    def plan(self, due_jobs: Sequence[str]) -> CommitPlan:
        """Returns the plan for the given jobs, the most urgent first."""
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

        After a crash of all controllers, one change per job and controller would use up much of the write rate of the
        state service, and free capacity would stay unused meanwhile.

        The row adds to the progress rows that do not contain its revision yet (see `core.row_application`). Its key is
        written only once, and the row is kept as long as this incarnation is in the view. A write that is applied late
        therefore fails on one of its conditions: that the key does not exist, or that the view has not changed.
        """
        adoptions: dict[str, list[int | str]] = {}
        bytes_left = self._limits.value_bytes - len('{"m":{}}')
        for job in self._jobs_with_adoptions():
            if self._quota and not self._can_change_allocation(job.spec.team):
                break
            tasks = self._snapshot.updates[job.spec.id].adopted & ~job.progress.done
            # The first job's tasks are reduced until they fit, so that every row contains some tasks.
            adoption = self._pack_adoption(job, tasks, None if adoptions else bytes_left)
            bytes_left -= _adoption_bytes(job, adoption.packed)
            if bytes_left < 0:
                break
            if adoption.tasks:
                adoptions[job.spec.id] = adoption.packed
                self._move_quota(job, adoption.tasks)
        # A write whose response was lost is retried under the same key, unless the tables show that it was applied.
        if keys.adoption_key(self._incarnation_id, self._adoption_number) in self._tables.adoption_keys:
            self._adoption_number += 1
        if adoptions:
            key = keys.adoption_key(self._incarnation_id, self._adoption_number)
            self._transaction.writes[key], self._transaction.conditions[key] = {"m": adoptions}, 0
            self._grouped_jobs = adoptions.keys()
            self._relies_on_view = True

    def _jobs_with_adoptions(self) -> list[Job]:
        """Returns the known jobs with adopted tasks, sorted by team, because a team's jobs share one quota change."""
        known = self._tables.jobs
        adopting = [
            known[name] for name, updates in self._snapshot.updates.items() if updates.adopted and name in known
        ]
        return sorted(adopting, key=lambda job: job.spec.team)

    def _move_quota(self, job: Job, adopted: int) -> None:
        """Moves the quota of adopted tasks that are not done from their former claim holders to this controller.

        The quota of a done task is not moved. Its former holder may have used it for another task, and it moves with
        that task when a controller adopts it. Moved twice, it would leave running tasks without quota.
        """
        running = adopted & ~job.completed_with(self._snapshot.updates[job.spec.id].done)
        if running:
            self._quota.move_with_adoption(job, running)

    def _can_change_allocation(self, team: str) -> bool:
        """Whether the transaction can change the team's allocation besides the adoption row and the changes so far."""
        return team in self._quota or len(self._quota) + 1 < self._limits.changes

    @staticmethod
    def _pack_adoption(job: Job, tasks: int, max_bytes: int | None) -> _PackedAdoption:
        """Packs the tasks for the adoption row; halves the set until it fits `max_bytes`, if that is given."""
        packed = taskset.pack_dense(tasks)
        while max_bytes is not None and tasks and _adoption_bytes(job, packed) > max_bytes:
            tasks = taskset.lowest(tasks, tasks.bit_count() // 2)
            packed = taskset.pack_dense(tasks)
        return _PackedAdoption(tasks, packed)

    def _change_quotas(self, claims: RequestedClaims) -> None:
        for team, wanted in claims.quota_increases.items():
            # If adoptions leave no change for the team's row, the machines actor requests the increase again.
            if not self._grouped_jobs or self._can_change_allocation(team):
                self._quota.increase(self._snapshot.teams[team], wanted)
        for team, decrease in claims.quota_decreases.items():
            self._quota.decrease(team, decrease)

    # -- one job

    def _add_job(self, job: Job) -> bool:
        """Adds the job's changes; returns False if the transaction has no space left for them."""
        adopted = self._single_adoption(job)
        allocation_changes = 1 if adopted and job.spec.team not in self._quota else 0
        if (
            len(self._transaction.writes) + 1 + allocation_changes > self._changes_left
            or self._total_bytes > self._limits.total_bytes
        ):
            return False
        voids_claims = (
            self._snapshot.recovery_complete
            and self._snapshot.is_leader
            and bool(self._tables.departed_claim_holders(job))
        )
        progress = self._progress_after(job, voids_claims)
        claims_tasks = self._claim(job, progress)
        if not progress.claims:
            # No claimed task binds the job to its zone any more. If the zone were kept, the job could wait forever for
            # a zone without machines.
            progress.zone = None
        if not self._write_job(job, progress):
            return True
        if adopted:
            # The quota of the adopted tasks moves in the same transaction.
            self._changes_left -= allocation_changes
            self._move_quota(job, adopted)
        if adopted or voids_claims or claims_tasks:
            self._relies_on_view = True
        return True

    def _single_adoption(self, job: Job) -> int:
        """Returns the adopted tasks to write in the job's progress row; none if the job ends with this transaction."""
        updates = self._snapshot.updates.get(job.spec.id)
        if updates is None or job.spec.id in self._grouped_jobs:
            return 0
        return 0 if job.completed_with(job.progress.done | updates.done) == job.all_tasks else updates.adopted

    def _progress_after(self, job: Job, voids_claims: bool) -> Progress:
        """Returns the job's progress with its uncommitted updates, and without void claims if `voids_claims`."""
        progress = job.progress.copy()
        if voids_claims:
            for holder in self._tables.departed_claim_holders(job):
                del progress.claims[holder]
        updates = self._snapshot.updates.get(job.spec.id)
        # Also without updates: an earlier version stored the completion of some tasks of a gang only.
        progress.done = job.completed_with(progress.done | (0 if updates is None else updates.done))
        if updates is None:
            return progress
        adopted = updates.adopted & ~progress.done & job.all_tasks
        for holder in list(progress.claims):
            tasks = progress.claims[holder] & ~progress.done
            progress.claims[holder] = tasks & ~(updates.released if holder == self._incarnation_id else adopted)
        if adopted:
            progress.claims[self._incarnation_id] = progress.claims.get(self._incarnation_id, 0) | adopted
        progress.claims = {holder: tasks for holder, tasks in progress.claims.items() if tasks}
        return progress

    def _claim(self, job: Job, progress: Progress) -> bool:
        """Adds the requested claims to the job's progress; returns whether any task is claimed."""
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
        """Returns the tasks of the job that this controller may claim now, as a set."""
        name = job.spec.id
        updates = self._snapshot.updates.get(name)
        # Tasks that this controller is releasing are left to other controllers.
        released = 0 if updates is None else updates.released
        free = job.all_tasks & ~progress.done & ~progress.claimed_tasks() & ~released
        if job.spec.gang and claims.task_counts[name] < free.bit_count():
            return 0
        if not job.spec.zone_bound:
            return free
        if progress.zone is None and (name not in claims.zones or progress.claims):
            # Tasks of a job without a zone must not be claimed, because they could then be placed in different zones.
            # An earlier version did claim such tasks: the job gets a zone only after none of these claims is left.
            return 0
        return free & claims.zone_bound_tasks.get(name, 0)

    # -- rows

    def _write_job(self, job: Job, progress: Progress) -> bool:
        """Writes the job's row if the job ends, or else its progress row if that changes.

        The progress row of a finished job is deleted later (see `actors.garbage_collection`), so that the end of a job
        takes only one change.

        Returns:
            Whether a row is written; False if nothing changes or if the progress exceeds the size limit of a value.
        """
        job_key, progress_key = keys.job_key(job.spec.id), keys.progress_key(job.spec.id)
        end = _final_state(job, progress)
        if end is not None:
            self._transaction.writes[job_key] = encode_finished_job(
                end, job.spec, self._snapshot.wall_clock_ms
            ) | encode_job_handoffs(job, finished=True)
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
        """Returns the new value of the job's progress row, or None if it does not change."""
        dense = self._tables.layout_complete
        value = encode_progress(progress, dense)
        if value == encode_progress(job.progress, dense):
            return None
        if self._tables.adoption_keys:
            # Right after a full read, the row may contain adoptions newer than the revision up to which the tables are
            # complete.
            value["e"] = max(self._snapshot.applied_revision, job.progress.adoption_revision)
        return value


def _adoption_bytes(job: Job, packed: list[int | str]) -> int:
    return len(wire.encode({job.spec.id: packed}))


def _final_state(job: Job, progress: Progress) -> JobState | None:
    """Returns the state in which the job ends with this progress, or None if it does not end."""
    if job.status == JobState.LIVE and progress.done == job.all_tasks:
        return JobState.DONE
    if job.is_cancelled and not progress.claims:
        return JobState.CANCELLED
    return None
