"""The queue of runnable jobs as one controller sees it, rebuilt with every tick of the machines actor.

Owns the order of the queue and what follows from it. The order itself is computed by core.job_queue. Rebuilt by the
machines actor only; other modules read it.
"""

from __future__ import annotations

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.machine_messages import JobAdmission
from sloeswitch.core import job_queue, placement
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.records import Job


class RunnableQueue:
    """The runnable jobs, in the order in which they get free capacity, as of the last tick."""

    def __init__(self, context: ControllerContext, registry: MachineRegistry) -> None:
        self.settings = context.settings
        self.tables = context.tables
        self.leadership = context.leadership
        self.clock = context.clock
        self.registry = registry
        # Where admission is on: what marks deferred jobs.
        self.admission: JobAdmission | None = None
        self.jobs: list[Job] = []
        # When the jobs of the queue were first seen in it, in seconds of the clock.
        self.queued_since: dict[str, float] = {}
        # The smallest number of cores that a task of any queued job wants.
        self.least_cores = 0.0
        # Machine types kept for jobs that fit no other.
        self.scarce_types: set[str] = set()
        # Whether all controllers had recovered their shards under the view, as of the last tick.
        self.recovery_complete = False

    def rebuild(self) -> None:
        """Computes the order anew from the tables."""
        self.recovery_complete = self.tables.recovery_complete()
        if self.admission is not None:
            self.admission.apply()
        self.jobs = job_queue.queue_order(self.tables, self.settings, self.clock.wall_clock_ms(), self._has_begun)
        self.scarce_types = placement.scarce_types((job.spec for job in self.jobs), self.tables.machine_types)
        self.least_cores = min((job.spec.cores for job in self.jobs), default=0.0)

    def record_queued(self, now: float) -> None:
        """Notes when jobs are first seen in the queue, and forgets those that left it."""
        self.queued_since = {job.spec.id: self.queued_since.get(job.spec.id, now) for job in self.jobs}

    def waiting_jobs(self) -> list[Job]:
        """The queue, followed by the jobs that admission defers, oldest first: those may go to another cell too."""
        if self.admission is None:
            return self.jobs
        deferred = [job for job in self.tables.jobs.values() if job.deferred and job.is_runnable]
        return self.jobs + sorted(deferred, key=lambda job: job.ready_revision)

    def has_image_affinity(self, job: Job) -> bool:
        """Whether the job's image is one that this controller's machines are to have."""
        return self.leadership.owner_of("image " + job.spec.image) == self.settings.member

    def _has_begun(self, job: Job) -> bool:
        """Whether any of the job's tasks has begun, so that the job is no longer ordered as a new one.

        Tasks claimed by this controller and placed nowhere yet have not begun: the job must not lose its place in the
        queue for that. Nor have those that only an incarnation claimed that is gone, once recovery is complete: such
        a job never went first for having waited.
        """
        if job.progress.done or self.registry.placed_tasks.get(job.spec.id):
            return True
        claims, own = job.progress.claims, self.leadership.incarnation_id
        if len(claims) == (own in claims):
            return False
        incarnations = self.leadership.view.incarnation_ids
        return not self.recovery_complete or any(holder in incarnations for holder in claims if holder != own)
