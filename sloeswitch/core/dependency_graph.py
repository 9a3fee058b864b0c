"""Which jobs wait for which: join counters and successors, as in dwork (docs/design.md gives the paper).

Both follow from the stored rows and nothing of them is stored: a job's row names the jobs that it needs, and its join
counter is the number of those not stored as done. So the end of a job is one row's change however many wait for it, and
seeing that change twice, or from another controller, releases nobody twice. A cancellation is one row's change in the
same way: whatever needs a cancelled job, directly or through others, is cancelled by it.

Rows may come in any order, since a first reading goes by key. No walk recurses: chains may be long.
"""

from __future__ import annotations

from sloeswitch.core.records import FinishedJob, Job


class DependencyGraph:
    """Keeps the fields of jobs that say what they need; changed by the application of rows only."""

    def __init__(self, jobs: dict[str, Job], finished_jobs: dict[str, FinishedJob]) -> None:
        # The tables' own, which change as rows are applied.
        self.jobs = jobs
        self.finished_jobs = finished_jobs
        # Job that is not over, known or not -> known jobs that need it. A job known as cancelled has no entry.
        self.successors: dict[str, set[str]] = {}
        # Whether priorities and deadlines must be passed from jobs to those that they need anew (see core.job_queue).
        self.priorities_stale = False

    def add_job(self, job: Job) -> None:
        """A job that is not over was read for the first time."""
        for prerequisite in job.spec.prerequisites:
            finished = self.finished_jobs.get(prerequisite)
            if finished is not None and finished.is_done:
                self._count_ready_time(job, finished)
                continue
            job.unfinished_prerequisites += 1
            known = self.jobs.get(prerequisite)
            if finished is not None or (known is not None and known.is_cancelled):
                job.prerequisite_cancelled = True
            else:
                self.successors.setdefault(prerequisite, set()).add(job.spec.id)
        if job.unfinished_prerequisites or job.spec.id in self.successors:
            self.priorities_stale = True
        if job.is_cancelled:
            self.cancel(job.spec.id)

    def finish(self, job_id: str, finished: FinishedJob) -> None:
        """A job is stored as done: the join counters of its successors fall by one."""
        for successor in self.successors.pop(job_id, ()):
            job = self.jobs.get(successor)
            if job is not None:
                job.unfinished_prerequisites -= 1
                self._count_ready_time(job, finished)

    @staticmethod
    def _count_ready_time(job: Job, finished: FinishedJob) -> None:
        """A job's times count from the end of the last job that it needs.

        A row of a version that stored no such time was written before anything could need it: the submission is later.
        """
        job.ready_ms = max(job.ready_ms, finished.finished_ms)
        job.ready_revision = max(job.ready_revision, finished.mod_revision)
        job.slo_targets_s = None

    def cancel(self, job_id: str) -> None:
        """A job is cancelled, by its user or by what it needs: so is all that needs it."""
        self.priorities_stale = True
        cancelled = [job_id]
        while cancelled:
            for successor in self.successors.pop(cancelled.pop(), ()):
                job = self.jobs.get(successor)
                if job is not None and not job.prerequisite_cancelled:
                    job.prerequisite_cancelled = True
                    cancelled.append(successor)
