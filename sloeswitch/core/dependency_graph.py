"""Dependencies between jobs: join counters and successors, as in dwork (docs/design.md cites the paper).

Both are derived from the stored rows and are not stored themselves. The row of a job names its prerequisites, and its
join counter is the number of prerequisites that are not stored as done. The completion of a job therefore changes only
one row, however many jobs wait for it, and applying that change twice, or seeing it from another controller, releases
no job twice. A cancellation also changes only one row: it implicitly cancels all jobs that depend on the cancelled one,
directly or indirectly.

Rows may arrive in any order, since the initial read returns them in the order of their keys. No traversal recurses,
since chains of jobs may be long.
"""

from __future__ import annotations

from sloeswitch.core.records import FinishedJob, Job


class DependencyGraph:
    """Maintains the fields of jobs that are derived from their prerequisites; changed only when rows are applied."""

    def __init__(self, jobs: dict[str, Job], finished_jobs: dict[str, FinishedJob]) -> None:
        # Shared with the tables, which change them when rows are applied.
        self.jobs = jobs
        self.finished_jobs = finished_jobs
        # By prerequisite that is not finished, whether its row was read yet or not: the known jobs that depend on it. A
        # job that is known to be cancelled has no entry.
        self.successors: dict[str, set[str]] = {}
        # Whether priorities and deadlines must be propagated to prerequisites again (see core.job_priority).
        self.priorities_stale = False

    def add_job(self, job: Job) -> None:
        """Adds an unfinished job whose row was read for the first time."""
        for prerequisite in job.spec.prerequisites:
            finished = self.finished_jobs.get(prerequisite)
            if finished is not None and finished.is_done:
                self._update_ready_time(job, finished)
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
        """Decrements the join counters of the successors of a job that is stored as done."""
        for successor in self.successors.pop(job_id, ()):
            job = self.jobs.get(successor)
            if job is not None:
                job.unfinished_prerequisites -= 1
                self._update_ready_time(job, finished)

    @staticmethod
    def _update_ready_time(job: Job, finished: FinishedJob) -> None:
        """Sets the ready time of a job to the completion of its last prerequisite so far.

        A prerequisite whose row has no completion time was stored by an earlier version. It was done before the job was
        submitted, so the job keeps its submission time.
        """
        job.ready_ms = max(job.ready_ms, finished.finished_ms)
        job.ready_revision = max(job.ready_revision, finished.mod_revision)
        job.slo_targets_s = None

    def cancel(self, job_id: str) -> None:
        """Marks all jobs that depend on a cancelled job, directly or indirectly, as cancelled."""
        self.priorities_stale = True
        cancelled = [job_id]
        while cancelled:
            for successor in self.successors.pop(cancelled.pop(), ()):
                job = self.jobs.get(successor)
                if job is not None and not job.prerequisite_cancelled:
                    job.prerequisite_cancelled = True
                    cancelled.append(successor)
