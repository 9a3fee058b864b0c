"""The replicated tables: what the state service holds, as this controller last saw it, and what follows from that.

The keys and layouts of the rows are listed in `core.keys`, the fields in `core.stored_state`, and what each kind of row
does to them in `core.row_application`.
"""

from __future__ import annotations

import logging
from typing import Any

from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.keys import RowKind
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.row_application import ROW_FUNCTIONS, UNREADABLE
from sloeswitch.core.stored_state import StoredState
from sloeswitch.core.taskset import TaskSet
from sloeswitch.settings import Team

log = logging.getLogger("tables")

# Looked up once: `apply` runs for every change of every row.
_JOB = RowKind.JOB

NO_RESOURCES = ResourceAmount(0.0, 0.0)


class Tables(StoredState):
    """The stored state with its changes and the questions that scheduling asks of it.

    Changed by the replica only, except that the mesh brings cancellations that siblings know; everybody else in the
    process reads.
    """

    # -- changes

    def apply(self, key: str, value: Any, mod_revision: int) -> None:
        """Applies one change of a row.

        A change that is older than what is known is ignored, and so is a key of another prefix or of a kind that this
        version does not know. A value that this version cannot read is logged and must not stop the rest.

        Args:
            key: The row's key.
            value: The row's value; None when the key was deleted.
            mod_revision: The revision of the change.
        """
        if not key.startswith(keys.KEY_PREFIX):
            return
        kind, _, name = key[len(keys.KEY_PREFIX) :].partition("/")
        if kind == _JOB and name in self.finished_jobs and self.finished_jobs[name].is_final:
            return  # final; an overlapping read may still bring what was before
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
        except UNREADABLE as error:
            log.error("stored value is malformed: key=%s error=%r", key, error)

    def apply_peer_cancellation(self, cancellation: Cancellation) -> None:
        """Applies a cancellation that a sibling knows to be stored and whose row is not read here yet.

        It is acted on and answered before the row is read; the job's revision stays that of the row as read, so that
        no write relies on more.
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
        if job is not None:
            job.status = JobState.CANCELLED
        self.graph.cancel(job_id)

    # -- queries

    def recovery_complete(self) -> bool:
        """Whether every machine has reported, or surely lost its tasks, under the present view.

        From then on a task claimed by a controller outside the view, and adopted by nobody, runs nowhere.
        """
        return bool(self.view.members) and not self.unrecovered_members()

    def unrecovered_members(self) -> set[str]:
        """The members of the view that have not stored that all their machines are accounted for under it."""
        return {
            member
            for member, incarnation in self.view.members
            if (row := self.members.get(member)) is None
            or row.incarnation != incarnation
            or row.recovered_view != self.view.number
        }

    def void_claim_holders(self, job: Job) -> list[str]:
        """The incarnation ids whose claims on a job are void; only valid while `recovery_complete()`."""
        in_view = self.view.incarnation_ids
        return [incarnation_id for incarnation_id in job.progress.claims if incarnation_id not in in_view]

    def unclaimed_tasks(self, job: Job, recovered: bool) -> TaskSet:
        """The tasks of a job that are neither done nor claimed.

        A claim of a departed controller stands until the recovery is complete, since the task may still run on one of
        its machines.

        Args:
            job: The job.
            recovered: Whether `recovery_complete()`; asked once by callers that ask for many jobs.
        """
        progress = job.progress
        taken = progress.done
        in_view = self.view.incarnation_ids if recovered else None
        for incarnation_id, tasks in progress.claims.items():
            if in_view is None or incarnation_id in in_view:
                taken |= tasks
        return job.all_tasks & ~taken

    def quota_allocation(self, team: str, incarnation_id: str) -> ResourceAmount:
        """What tasks of the team on this controller's machines may use together."""
        return self.quota_allocations.get(team, {}).get(incarnation_id, NO_RESOURCES)

    def unallocated_quota(self, team: Team) -> ResourceAmount:
        """What is left of the team's quota for any controller to take.

        Once the recovery is complete, nothing that a departed controller's allocation covered exists. Guards against
        a team that stands still: counted on, such allocations would use up its quota, and nobody would ask for more.
        """
        recovered = self.recovery_complete()
        in_view = self.view.incarnation_ids
        held = [
            amount
            for incarnation_id, amount in self.quota_allocations.get(team.name, {}).items()
            if incarnation_id in in_view or not recovered
        ]
        return ResourceAmount(
            team.cpus_max - sum(amount.cores for amount in held),
            team.gpus_max - sum(amount.gpus for amount in held),
        )
