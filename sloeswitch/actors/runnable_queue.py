"""The queue of runnable jobs of one controller, rebuilt at every tick of the machines actor.

Owns the order of the queue, which core.job_queue computes, and values derived from it. Only the machines actor rebuilds
the queue; other modules read it.
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
        # Marks deferred jobs. Set if admission is enabled.
        self.admission: JobAdmission | None = None
        self.jobs: list[Job] = []
        # When each job of the queue was first seen there, in seconds on the monotonic clock.
        self.queued_since: dict[str, float] = {}
        # The smallest number of cores that a task of any queued job needs.
        self.min_task_cores = 0.0
        # The machine types that fit some queued job which does not fit all types; see core.placement.
        self.scarce_types: set[str] = set()
        # Whether all controllers of the view had recovered their shards, as of the last tick.
        self.recovery_complete = False

    def rebuild(self) -> None:
        """Recomputes the queue from the tables."""
        self.recovery_complete = self.tables.recovery_complete()
        if self.admission is not None:
            self.admission.apply()
        self.jobs = job_queue.queue_order(self.tables, self.settings, self.clock.wall_clock_ms(), self._has_started)
        self.scarce_types = placement.scarce_types((job.spec for job in self.jobs), self.tables.machine_types)
        self.min_task_cores = min((job.spec.cores for job in self.jobs), default=0.0)

    def record_queued(self, now: float) -> None:
        """Records when jobs are first seen in the queue, and drops those that left it."""
        self.queued_since = {job.spec.id: self.queued_since.get(job.spec.id, now) for job in self.jobs}

    def waiting_jobs(self) -> list[Job]:
        """The queue, followed by the jobs that admission defers, oldest first; all of them may go to another cell."""
        if self.admission is None:
            return self.jobs
        deferred = [job for job in self.tables.jobs.values() if job.deferred and job.is_runnable]
        return self.jobs + sorted(deferred, key=lambda job: job.ready_revision)

    def has_image_affinity(self, job: Job) -> bool:
        """Whether the job's image is assigned to the machines of this controller."""
        return self.leadership.owner_of("image " + job.spec.image) == self.settings.member

    def _has_started(self, job: Job) -> bool:
        """Whether any task of the job has started. A job without a started task moves to the front when it is starved.

        Tasks that this controller has claimed but not placed have not started; otherwise the job would lose its place
        in the queue by the claim. Claims of departed incarnations do not count either, once recovery is complete;
        otherwise a job with such a claim could never move to the front.
        """
        if job.progress.done or self.registry.placed_tasks.get(job.spec.id):
            return True
        claims, own = job.progress.claims, self.leadership.incarnation_id
        if len(claims) == (own in claims):
            return False
        incarnations = self.leadership.view.incarnation_ids
        return not self.recovery_complete or any(holder in incarnations for holder in claims if holder != own)
