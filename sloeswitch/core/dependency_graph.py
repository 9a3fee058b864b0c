"""Join counters and successors, as in dwork: which jobs wait for which.

Both follow from the stored rows and nothing of them is stored: a job's row names what it awaits, and its
counter is the number of those not stored as done. So the end of a job is one row's change however many wait
for it, and seeing that change twice, or from another controller, releases nobody twice. A cancellation is one
row's change in the same way: whatever needs a cancelled job, directly or through others, is cancelled by it.

Rows may come in any order, since a first reading is by key. No walk recurses: chains may be long.
"""

from __future__ import annotations

from sloeswitch.core.records import FinishedJob, Job


class DependencyGraph:
    """Owned by the tables, whose jobs it marks."""

    def __init__(self, jobs: dict[str, Job], over: dict[str, FinishedJob]) -> None:
        self.jobs = jobs
        self.over = over
        # Awaited job, known or not and not over -> jobs that wait for it.
        self.successors: dict[str, set[str]] = {}
        # Whether priorities and deadlines that pass upstream are to be reckoned anew (see ready).
        self.priorities_stale = False

    def add_job(self, job: Job) -> None:
        """A job's row was read for the first time."""
        for name in job.spec.prerequisites:
            ended = self.over.get(name)
            if ended is not None and ended.is_done:
                self._passed(job, ended)
                continue
            job.unfinished_prerequisites += 1
            known = self.jobs.get(name)
            if ended is not None or (known is not None and known.is_cancelled):
                job.prerequisite_cancelled = True
            else:
                self.successors.setdefault(name, set()).add(job.spec.id)
        if job.unfinished_prerequisites or job.spec.id in self.successors:
            self.priorities_stale = True
        if job.is_cancelled:
            self.cancel(job.spec.id)

    def finish(self, name: str, ended: FinishedJob) -> None:
        """A job is stored as done."""
        for waiting in self.successors.pop(name, ()):
            job = self.jobs.get(waiting)
            if job is not None:
                job.unfinished_prerequisites -= 1
                self._passed(job, ended)

    @staticmethod
    def _passed(job: Job, ended: FinishedJob) -> None:
        """The moment from which a job's times count is the end of the last that it needs. A row of a version
        that stored no such time was written before anything could await it: the submission is later."""
        job.ready_ms = max(job.ready_ms, ended.finished_ms)
        job.ready_revision = max(job.ready_revision, ended.mod_revision)
        job.targets = None

    def cancel(self, name: str) -> None:
        """A job is cancelled, by its user or by what it needs: so is all that needs it."""
        self.priorities_stale = True
        walk = [name]
        while walk:
            for waiting in self.successors.pop(walk.pop(), ()):
                job = self.jobs.get(waiting)
                if job is not None and not job.prerequisite_cancelled:
                    job.prerequisite_cancelled = True
                    walk.append(waiting)
