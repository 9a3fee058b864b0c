"""Changes to jobs that this controller knows of and that are not committed to the state service yet.

The machines actor reports them as `TaskUpdates`; the jobs actor keeps them in `UncommittedUpdates` until the
replicated tables hold them. Sets of tasks are the integers of `core.taskset`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables


@dataclass
class TaskUpdates:
    """What the machines actor observed since its last message, as sets of tasks by job.

    One message carries all of it, however much there is: a message for each task would overrun the inbox when a
    controller takes over all machines at once.
    """

    done: dict[str, int] = field(default_factory=dict)
    # Claimed by this controller but placed on no machine: other controllers may claim them again.
    released: dict[str, int] = field(default_factory=dict)
    # Found running on machines that belonged to another controller and are this one's under the view `view_number`.
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
    # The number of the view under which the adopted tasks' machines are this controller's.
    adopted_view: int = 0
    # When the first of these updates arrived, in seconds of the monotonic clock.
    since_s: float = 0.0

    def leaves_nothing_claimed(self, job: Job, incarnation_id: str) -> bool:
        """Whether this controller has no claim on the job left, or releases some: others may wait for the commit."""
        own_claims = job.progress.claims.get(incarnation_id, 0)
        return not own_claims & ~(self.done | self.released) or bool(self.released)


class UncommittedUpdates:
    """Owns the uncommitted updates of all jobs. Only the jobs actor changes them."""

    def __init__(self) -> None:
        self.by_job: dict[str, JobUpdates] = {}

    def __bool__(self) -> bool:
        return bool(self.by_job)

    def merge(self, updates: TaskUpdates, now_s: float) -> None:
        """Adds the updates of a message that arrived at `now_s`."""
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
            job_updates = self.by_job[name] = JobUpdates(since_s=now_s)
        return job_updates

    def reset_claims(self) -> None:
        """Drops releases and adoptions: those of an earlier incarnation are not this one's. Completions stay true."""
        for job_updates in self.by_job.values():
            job_updates.released = job_updates.adopted = 0

    def expire_adoptions(self, view_number: int, is_member: bool) -> None:
        """Drops the adoptions that do not belong to the present view.

        An adoption holds for the view in which the machine was this controller's. Committed later, it would take the
        task back from the machine's new owner, and the task would be started a second time.
        """
        for job_updates in self.by_job.values():
            if job_updates.adopted_view != view_number or not is_member:
                job_updates.adopted = 0

    def jobs_with_adoptions(self, jobs: Mapping[str, Job]) -> list[str]:
        """The known jobs with adopted tasks, those of one team together: they share the change of its allocation."""
        names = [name for name, job_updates in self.by_job.items() if job_updates.adopted and name in jobs]
        return sorted(names, key=lambda name: jobs[name].spec.team)

    def prune_committed(self, tables: Tables, incarnation_id: str) -> None:
        """Drops what the tables hold by now."""
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
