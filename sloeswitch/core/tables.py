"""The replicated tables: this controller's copy of the rows in the state service, with queries over them.

`core.keys` lists the keys and layouts of the rows, `core.stored_state` defines the fields of the tables, and
`core.row_application` updates these fields from each kind of row.
"""

from __future__ import annotations

import logging
from typing import Any

from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.keys import RowKind
from sloeswitch.core.quota import NO_RESOURCES, ResourceAmount
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.row_application import DECODE_ERRORS, ROW_FUNCTIONS
from sloeswitch.core.stored_state import StoredState
from sloeswitch.core.taskset import TaskSet
from sloeswitch.settings import Team

log = logging.getLogger("tables")

# A module constant, because looking up an enum member is slow and `apply` runs for every changed row.
_JOB = RowKind.JOB


class Tables(StoredState):
    """The decoded rows, with the methods that update them and the queries that scheduling uses.

    The replica applies rows. Two other writers add what is not read from rows yet: leadership applies cancellations
    that siblings send over the mesh (`apply_peer_cancellation`), and the machines actor adds machines whose deletion
    the cloud confirmed to `deleted_machines`. Scheduling also sets the computed fields of `Job`. All other code only
    reads.
    """

    # -- updates

    def apply(self, key: str, value: Any, mod_revision: int) -> None:
        """Applies one change of a row.

        Changes that are not newer than the known row are ignored, and so are keys with another prefix. A row of a kind
        that this version does not know only has its revision recorded. A value that this version cannot decode is
        logged, so that it does not stop the application of other rows.

        Args:
            key: The row's key.
            value: The row's value; None when the key was deleted.
            mod_revision: The revision of the change.
        """
        if not key.startswith(keys.KEY_PREFIX):
            return
        kind, _, name = key[len(keys.KEY_PREFIX) :].partition("/")
        if kind == _JOB and name in self.finished_jobs and self.finished_jobs[name].is_final:
            return  # The row is final; an overlapping read may still return an earlier version of it.
        if mod_revision <= self.mod_revisions.get(key, 0):
            return
        if value is None:
            self.mod_revisions.pop(key, None)
        else:
            self.mod_revisions[key] = mod_revision
        apply_row = ROW_FUNCTIONS.get(kind)
        if apply_row is None:
            return
        try:
            apply_row(self, name, value, mod_revision)
        except DECODE_ERRORS as error:
            log.error("stored value is malformed: key=%s error=%r", key, error)

    def replace_by_snapshot(self, snapshot: Tables) -> None:
        """Replaces all rows by those of a snapshot, which must not be used afterwards.

        Siblings may have reported cancellations while the snapshot was read, after the pages with the rows of the jobs.
        They are applied to the snapshot's rows, unless these already show them.
        """
        self.replace_rows(snapshot)
        for job_id in list(self.peer_cancellations):
            if self._is_stored_as_cancelled(job_id):
                del self.peer_cancellations[job_id]
            else:
                self._cancel_by_sibling(job_id)

    def _is_stored_as_cancelled(self, job_id: str) -> bool:
        """Whether the row read last shows the job as cancelled, provided that no sibling's report is applied to it."""
        known = self.finished_jobs.get(job_id) or self.jobs.get(job_id)
        return known is not None and known.status == JobState.CANCELLED

    def _cancel_by_sibling(self, job_id: str) -> None:
        """Treats a job as cancelled before its row is read."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.status = JobState.CANCELLED
        self.graph.cancel(job_id)

    def apply_peer_cancellation(self, cancellation: Cancellation) -> None:
        """Applies a cancellation that is stored, as a sibling reports, but whose row this controller has not read.

        The job counts as cancelled before its row is read. Its revision stays that of the row read last, so that
        conditional writes depend only on rows that this controller has read.
        """
        job_id = cancellation.job
        job = self.jobs.get(job_id)
        if (
            job_id in self.finished_jobs
            or job_id in self.peer_cancellations
            or (job is not None and job.status == JobState.CANCELLED)
        ):
            return
        self.peer_cancellations[job_id] = cancellation.revision
        self.cancellations.add(job_id, cancellation.revision)
        self._cancel_by_sibling(job_id)

    # -- queries

    def recovery_complete(self) -> bool:
        """Whether every member of the present view has completed the recovery of its machines.

        Each machine has then reported its tasks or has certainly lost them. A task that a controller outside the view
        claims, and that no member adopted, therefore runs nowhere.
        """
        return bool(self.view.members) and not self.unrecovered_members()

    def unrecovered_members(self) -> set[str]:
        """Returns the members of the view whose completed recovery under this view is not stored."""
        return {
            member
            for member, lease_id in self.view.members
            if (row := self.members.get(member)) is None
            or row.lease_id != lease_id
            or row.recovered_view != self.view.number
        }

    def departed_claim_holders(self, job: Job) -> list[str]:
        """Returns the incarnation ids outside the view that hold claims on a job.

        Their claims are void only if `recovery_complete()`.
        """
        in_view = self.view.incarnation_ids
        return [incarnation_id for incarnation_id in job.progress.claims if incarnation_id not in in_view]

    def unclaimed_tasks(self, job: Job, recovered: bool) -> TaskSet:
        """Returns the tasks of a job that are neither done nor claimed.

        The claims of a departed controller count until the recovery is complete, because their tasks may still run on
        machines that it owned.

        Args:
            job: The job.
            recovered: The result of `recovery_complete()`, which callers compute once for many jobs.
        """
        progress = job.progress
        done_or_claimed = progress.done
        in_view = self.view.incarnation_ids if recovered else None
        for incarnation_id, tasks in progress.claims.items():
            if in_view is None or incarnation_id in in_view:
                done_or_claimed |= tasks
        return job.all_tasks & ~done_or_claimed

    def quota_allocation(self, team: str, incarnation_id: str) -> ResourceAmount:
        """Returns the part of a team's quota that is allocated to one incarnation of a controller."""
        return self.quota_allocations.get(team, {}).get(incarnation_id, NO_RESOURCES)

    def unallocated_quota(self, team: Team) -> ResourceAmount:
        """Returns the part of the team's quota that is allocated to no controller.

        Allocations of departed controllers are left out once the recovery is complete, because no task that they
        covered runs any more. If they still counted, they could use up the quota: no controller would request more of
        it, and the team's jobs would never start.
        """
        recovered = self.recovery_complete()
        in_view = self.view.incarnation_ids
        counted = [
            amount
            for incarnation_id, amount in self.quota_allocations.get(team.name, {}).items()
            if incarnation_id in in_view or not recovered
        ]
        return ResourceAmount(
            team.cpus_max - sum(amount.cores for amount in counted),
            team.gpus_max - sum(amount.gpus for amount in counted),
        )
