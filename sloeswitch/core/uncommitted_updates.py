"""Task updates of this controller that are not committed to the state service yet.

The machines actor reports them as `TaskUpdates`; the jobs actor keeps them in `UncommittedUpdates` until the
replicated tables contain them. Sets of tasks are integers, see `core.taskset`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables


@dataclass
class TaskUpdates:
    """The updates that the machines actor observed since its last message, as sets of tasks by job.

    One message carries all updates. One message per task would overflow the inbox when a controller takes over all
    machines at once.
    """

    done: dict[str, int] = field(default_factory=dict)
    # Tasks claimed by this controller but not placed on any machine, which other controllers may claim instead.
    released: dict[str, int] = field(default_factory=dict)
    # Tasks found running on machines that another controller owned before and that this one owns under the view
    # `view_number`.
    adopted: dict[str, int] = field(default_factory=dict)
    view_number: int = 0

    def __bool__(self) -> bool:
        return bool(self.done or self.released or self.adopted)


def add_tasks(tasks_by_job: dict[str, int], job: str, tasks: int) -> None:
    """Adds a set of tasks to those of the job."""
    tasks_by_job[job] = tasks_by_job.get(job, 0) | tasks


@dataclass
class JobUpdates:
    """The uncommitted updates of one job, as sets of tasks."""

    done: int = 0
    released: int = 0
    adopted: int = 0
    # The number of the view under which this controller owns the machines of the adopted tasks.
    adopted_view: int = 0
    # When the first of these updates arrived, in seconds on the monotonic clock.
    first_arrival_s: float = 0.0

    def ends_claims(self, job: Job, incarnation_id: str) -> bool:
        """Whether these updates end all of this controller's claims on the job, or release some of them.

        Users or other controllers may be waiting for the commit of such updates.
        """
        own_claims = job.progress.claims.get(incarnation_id, 0)
        return not own_claims & ~(job.completed_with(self.done) | self.released) or bool(self.released)


class UncommittedUpdates:
    """The uncommitted updates of all jobs. Only the jobs actor changes them."""

    def __init__(self) -> None:
        self.by_job: dict[str, JobUpdates] = {}

    def __bool__(self) -> bool:
        return bool(self.by_job)

    def merge(self, updates: TaskUpdates, now_s: float) -> None:
        """Adds the updates of a message that arrives at `now_s`."""
        for name, tasks in updates.done.items():
            self._updates_of(name, now_s).done |= tasks
        for name, tasks in updates.released.items():
            self._updates_of(name, now_s).released |= tasks
        for name, tasks in updates.adopted.items():
            job_updates = self._updates_of(name, now_s)
            if updates.view_number > job_updates.adopted_view:
                job_updates.adopted, job_updates.adopted_view = 0, updates.view_number
            if updates.view_number == job_updates.adopted_view:
                job_updates.adopted |= tasks

    def _updates_of(self, name: str, now_s: float) -> JobUpdates:
        job_updates = self.by_job.get(name)
        if job_updates is None:
            job_updates = self.by_job[name] = JobUpdates(first_arrival_s=now_s)
        return job_updates

    def reset_claims(self) -> None:
        """Drops releases and adoptions, which are valid only for the incarnation that made them; keeps completions."""
        for job_updates in self.by_job.values():
            job_updates.released = job_updates.adopted = 0

    def expire_adoptions(self, view_number: int, is_member: bool) -> None:
        """Drops the adoptions that were not made under the present view, and all if this controller is not in it.

        An adoption is valid only under the view in which this controller owns the machine. Committed under a later
        view, it would take the claim away from the machine's new owner, and the task would be started a second time.
        """
        for job_updates in self.by_job.values():
            if job_updates.adopted_view != view_number or not is_member:
                job_updates.adopted = 0

    def jobs_with_adoptions(self, jobs: Mapping[str, Job]) -> list[str]:
        """Returns the known jobs with adopted tasks, sorted by team.

        Adoptions of one team's jobs share the change of the team's quota allocation, so they should be committed
        together.
        """
        names = [name for name, job_updates in self.by_job.items() if job_updates.adopted and name in jobs]
        return sorted(names, key=lambda name: jobs[name].spec.team)

    def prune_committed(self, tables: Tables, incarnation_id: str) -> None:
        """Drops the updates that the tables already contain, and all updates of finished jobs."""
        for name in list(self.by_job):
            job_updates = self.by_job[name]
            job = tables.jobs.get(name)
            if job is None:
                if name in tables.finished_jobs:
                    del self.by_job[name]
                continue
            own_claims = job.progress.claims.get(incarnation_id, 0)
            job_updates.done &= ~job.progress.done
            job_updates.released &= own_claims
            job_updates.adopted &= ~own_claims & ~job.progress.done
            if not (job_updates.done or job_updates.released or job_updates.adopted):
                del self.by_job[name]
