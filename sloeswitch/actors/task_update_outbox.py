"""Task updates from the machines actor for the jobs actor, kept until the tables contain them.

Owns the updates that are not sent yet, and the completions and releases that are not stored yet. Only the modules of
the machines actor call it.
"""

from __future__ import annotations

from sloeswitch.actors.base import InboxFullError
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.records import Job
from sloeswitch.core.uncommitted_updates import TaskUpdates, add_tasks


class TaskUpdateOutbox:
    """Collects completed, released and adopted tasks and sends them to the jobs actor in batches.

    Sets of tasks are bit masks, see `core.taskset`.
    """

    def __init__(self, context: ControllerContext, registry: MachineRegistry, jobs: Jobs) -> None:
        self.tables = context.tables
        self.leadership = context.leadership
        self.registry = registry
        self.jobs = jobs
        # The updates that are not sent yet, and the number of the view that this controller follows.
        self.pending = TaskUpdates()
        self.followed_view = 0
        # The completions and releases that the tables do not contain yet, as sets of tasks by job.
        self.unstored_done: dict[str, int] = {}
        self.unstored_releases: dict[str, int] = {}

    def reset_claims(self) -> None:
        """Drops releases and adoptions, as a new incarnation does not own earlier claims; completions stay valid."""
        self.followed_view = 0
        self.unstored_releases.clear()
        self.pending.released.clear()
        self.pending.adopted.clear()
        self.jobs.reset_claims()

    def begin_view(self, view_number: int) -> None:
        """Replaces the pending adoptions by those that the registry has for a new view."""
        self.followed_view = view_number
        self.pending.adopted = dict(self.registry.pending_adoptions())
        self.pending.view_number = view_number

    def record_done(self, job: str, index: int) -> None:
        """Records that a task completed."""
        add_tasks(self.pending.done, job, 1 << index)
        add_tasks(self.unstored_done, job, 1 << index)

    def record_adopted(self, job: str, index: int) -> None:
        """Records a task that was found on a machine taken over by this controller."""
        add_tasks(self.pending.adopted, job, 1 << index)

    def release(self, job: str, tasks: int) -> None:
        """Releases claims on tasks that are not placed, so that other controllers may claim them."""
        add_tasks(self.pending.released, job, tasks)
        add_tasks(self.unstored_releases, job, tasks)

    def withdraw_releases(self, claimed: dict[str, int]) -> None:
        """Ends the release of tasks that a transaction of this controller claims again, even if that is not committed.

        A task may be released and claimed again between two ticks. If it still counted as being released, this
        controller would never place it, and no other could claim it.
        """
        for name, tasks in claimed.items():
            if name in self.unstored_releases:
                self.unstored_releases[name] &= ~tasks

    def send(self) -> None:
        """Sends the pending updates; if the inbox is full they stay pending and are sent with later ones."""
        if self.pending:
            try:
                self.jobs.tell(self.pending)
            except InboxFullError:
                return
            self.pending = TaskUpdates(view_number=self.followed_view)

    def prune_stored(self) -> None:
        """Drops the completions and releases that the tables already contain."""
        for unstored, own_claims_only in ((self.unstored_done, False), (self.unstored_releases, True)):
            for name in list(unstored):
                job = self.tables.jobs.get(name)
                mask = 0
                if job is not None:
                    mask = unstored[name] & ~job.progress.done
                    if own_claims_only:
                        mask &= job.progress.claims.get(self.leadership.incarnation_id, 0)
                if mask:
                    unstored[name] = mask
                else:
                    del unstored[name]

    def unplaced_tasks(self, job: Job) -> int:
        """The set of the job's tasks that this controller has claimed, that are on no machine, and that may be placed.

        Tasks that completed or are being released are excluded even while the tables do not show it yet.
        """
        claimed = job.progress.claims.get(self.leadership.incarnation_id, 0)
        if not claimed:
            return 0
        name = job.spec.id
        excluded = job.progress.done | self.unstored_done.get(name, 0) | self.unstored_releases.get(name, 0)
        return self.registry.unplaced_tasks(name, claimed, excluded)
