"""When the uncommitted updates of jobs are committed, and in which order: no I/O, no clock."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sloeswitch.core.tables import Tables
from sloeswitch.core.uncommitted_updates import JobUpdates, UncommittedUpdates


@dataclass(frozen=True)
class CommitDelays:
    """How long updates of a job wait for others that share their transaction."""

    # The last updates that this controller has of a job; users expect to see a job's end within 3 s (protocol).
    last_s: float
    # All others: until they are committed the worker reports them again to whoever asks. What is lost with a machine
    # in that time is run once more, which costs less than the writes.
    other_s: float


@dataclass(frozen=True)
class CommitSchedule:
    """Selects and orders the jobs of the next transaction."""

    tables: Tables
    updates: UncommittedUpdates
    incarnation_id: str
    is_coordinator: bool
    delays: CommitDelays
    # Seconds of the monotonic clock.
    now_s: float

    def due_jobs(self, requested: Iterable[str]) -> list[str]:
        """The jobs to be written, the most urgent first. `requested`: those of which tasks are to be claimed.

        Ends of jobs come first, and among them those of jobs that others depend on. Guards against users waiting for
        ever to see a job's end: where a transaction takes few changes, claims alone would fill every one.
        """
        ending, others = self._due_updates()
        # Until the layout is complete, adoptions are committed job by job, in turns with claims: what is adopted runs
        # meanwhile, but free capacity should not wait.
        adopting = [] if self.tables.layout_complete else self.updates.jobs_with_adoptions(self.tables.jobs)
        claimed = [name for pair in itertools.zip_longest(requested, adopting) for name in pair if name is not None]
        return list(dict.fromkeys([*ending, *claimed, *others, *self._cancelled_jobs_to_finish()]))

    def _due_updates(self) -> tuple[list[str], list[str]]:
        """Jobs whose updates have waited long enough: those that end with them, and the others."""
        ending: list[str] = []
        others: list[str] = []
        for name, job_updates in self.updates.by_job.items():
            if self.now_s - job_updates.since_s < self._delay_s(name, job_updates):
                continue
            job = self.tables.jobs.get(name)
            ends = job is not None and job.all_tasks == job.progress.done | job_updates.done
            (ending if ends else others).append(name)
        ending.sort(key=lambda name: not self._has_successors(name))
        return ending, others

    def _delay_s(self, name: str, job_updates: JobUpdates) -> float:
        if not self._others_may_wait(name, job_updates):
            return self.delays.other_s
        return 0.0 if self._has_successors(name) else self.delays.last_s

    def _has_successors(self, name: str) -> bool:
        return name in self.tables.graph.successors

    def _others_may_wait(self, name: str, job_updates: JobUpdates) -> bool:
        job = self.tables.jobs.get(name)
        return job is not None and job_updates.leaves_nothing_claimed(job, self.incarnation_id)

    def _cancelled_jobs_to_finish(self) -> list[str]:
        """Cancelled jobs without a task that may still exist; the coordinator ends those that no claim holder will."""
        if not self.is_coordinator:
            return []
        members = self.tables.view.incarnation_ids
        recovery_complete = self.tables.recovery_complete()

        def may_have_tasks(claims: Mapping[str, int]) -> bool:
            return any(tasks for holder, tasks in claims.items() if holder in members or not recovery_complete)

        return [
            name
            for name, job in self.tables.jobs.items()
            if job.is_cancelled and not may_have_tasks(job.progress.claims)
        ]

    def is_urgent(self) -> bool:
        """Whether somebody waits: adoptions hold up the recovery of the view, and users expect to see a job's end."""
        return any(
            job_updates.adopted or self._others_may_wait(name, job_updates)
            for name, job_updates in self.updates.by_job.items()
        )
