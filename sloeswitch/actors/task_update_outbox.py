"""Task updates on their way to the jobs actor, until the tables show them.

Owns the updates that are not sent yet, and the completions and releases that are sent and not stored. Called by the
modules of the machines actor only.
"""

from __future__ import annotations

from sloeswitch.actors.base import InboxFullError
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.records import Job
from sloeswitch.core.uncommitted_updates import TaskUpdates, add_tasks


class TaskUpdateOutbox:
    """Collects completed, released and adopted tasks and sends them to the jobs actor, many in one message.

    Sets of tasks are bit masks over a job's task indexes.
    """

    def __init__(self, context: ControllerContext, registry: MachineRegistry, jobs: Jobs) -> None:
        self.tables = context.tables
        self.leadership = context.leadership
        self.registry = registry
        self.jobs = jobs
        # Not sent yet, and the view that this controller follows.
        self.pending = TaskUpdates()
        self.followed_view = 0
        # Recorded here and not yet in the tables, as sets of tasks by job.
        self.unstored_done: dict[str, int] = {}
        self.unstored_releases: dict[str, int] = {}

    def reset_claims(self) -> None:
        """Another incarnation of this controller begins: earlier claims are not its own. Completions stay true."""
        self.followed_view = 0
        self.unstored_releases.clear()
        self.pending.released.clear()
        self.pending.adopted.clear()
        self.jobs.reset_claims()

    def begin_view(self, view_number: int) -> None:
        """Starts the adoptions of a view, from those that the registry has pending."""
        self.followed_view = view_number
        self.pending.adopted = dict(self.registry.pending_adoptions())
        self.pending.view_number = view_number

    def record_done(self, job: str, index: int) -> None:
        """A task completed."""
        add_tasks(self.pending.done, job, 1 << index)
        add_tasks(self.unstored_done, job, 1 << index)

    def record_adopted(self, job: str, index: int) -> None:
        """A task was found on a machine that was taken over with it."""
        add_tasks(self.pending.adopted, job, 1 << index)

    def release(self, job: str, tasks: int) -> None:
        """Gives up claims on tasks that are on no machine, so that other controllers may claim them."""
        add_tasks(self.pending.released, job, tasks)
        add_tasks(self.unstored_releases, job, tasks)

    def withdraw_releases(self, claimed: dict[str, int]) -> None:
        """Tasks were claimed anew, so they are not being released any more.

        Guards against tasks that are released and claimed again between two ticks: counted as on their way to others,
        they would never be run by anybody.
        """
        for name, tasks in claimed.items():
            if name in self.unstored_releases:
                self.unstored_releases[name] &= ~tasks

    def send(self) -> None:
        """Sends what is pending; with a full inbox it stays pending and is sent with what comes until then."""
        if self.pending:
            try:
                self.jobs.tell(self.pending)
            except InboxFullError:
                return
            self.pending = TaskUpdates(view_number=self.followed_view)

    def prune_stored(self) -> None:
        """Forgets completions and releases that the tables show by now."""
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
        """The set of the job's tasks that this controller has claimed, that are on no machine, and may be placed.

        Those that ended, or are being released, are left out: sending that to the jobs actor and storing it take a
        while.
        """
        claimed = job.progress.claims.get(self.leadership.incarnation_id, 0)
        if not claimed:
            return 0
        name = job.spec.id
        excluded = job.progress.done | self.unstored_done.get(name, 0) | self.unstored_releases.get(name, 0)
        return self.registry.unplaced_tasks(name, claimed, excluded)
