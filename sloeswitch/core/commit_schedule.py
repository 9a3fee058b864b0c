"""Decides when the uncommitted updates of jobs are committed, and in which order. No I/O and no clock."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sloeswitch.core.records import Job, JobState
from sloeswitch.core.tables import Tables
from sloeswitch.core.uncommitted_updates import JobUpdates, UncommittedUpdates


@dataclass(frozen=True)
class CommitDelays:
    """How long updates of a job are held back, so that they share a transaction with later ones."""

    # For updates that end this controller's claims on a job, or release some of them. Short, because the protocol
    # requires that users see the end of a job within 3 s.
    claim_end_s: float
    # For all other updates. The worker keeps reporting a completion until it is committed. If the machine is lost
    # before that, the task runs again, which costs less than writing every update at once.
    other_s: float


@dataclass(frozen=True)
class CommitSchedule:
    """Selects and orders the jobs of the next transaction."""

    tables: Tables
    updates: UncommittedUpdates
    incarnation_id: str
    is_coordinator: bool
    delays: CommitDelays
    # Seconds on the monotonic clock.
    now_s: float

    def due_jobs(self, requested: Iterable[str]) -> list[str]:
        """Returns the jobs to write, the most urgent first.

        Jobs that end come first, and among them jobs that others depend on. If a transaction takes only a few changes,
        claims alone could fill every transaction, and users would never see the end of a job.

        Args:
            requested: The jobs with tasks to claim.
        """
        ending, others = self._due_updates()
        # Until all controllers support the present layout, adoptions are committed job by job. They alternate with
        # claims: adopted tasks run meanwhile, whereas free capacity stays unused until tasks are claimed.
        adopting = [] if self.tables.layout_complete else self.updates.jobs_with_adoptions(self.tables.jobs)
        claims_and_adoptions = [
            name for pair in itertools.zip_longest(requested, adopting) for name in pair if name is not None
        ]
        return list(dict.fromkeys([*ending, *claims_and_adoptions, *others, *self._unattended_jobs()]))

    def _due_updates(self) -> tuple[list[str], list[str]]:
        """Returns the jobs whose updates have waited long enough: those that end with the updates, and the others."""
        ending: list[str] = []
        others: list[str] = []
        for name, job_updates in self.updates.by_job.items():
            if self.now_s - job_updates.first_arrival_s < self._delay_s(name, job_updates):
                continue
            job = self.tables.jobs.get(name)
            ends = job is not None and job.all_tasks == job.completed_with(job.progress.done | job_updates.done)
            (ending if ends else others).append(name)
        ending.sort(key=lambda name: not self._has_successors(name))
        return ending, others

    def _delay_s(self, name: str, job_updates: JobUpdates) -> float:
        if not self._ends_claims(name, job_updates):
            return self.delays.other_s
        return 0.0 if self._has_successors(name) else self.delays.claim_end_s

    def _has_successors(self, name: str) -> bool:
        return name in self.tables.graph.successors

    def _ends_claims(self, name: str, job_updates: JobUpdates) -> bool:
        job = self.tables.jobs.get(name)
        return job is not None and job_updates.ends_claims(job, self.incarnation_id)

    def _unattended_jobs(self) -> list[str]:
        """Returns the jobs whose rows have to change although no controller has updates of them.

        Only the coordinator writes them. The rows of these jobs change:
        - cancelled jobs without a task that may still run end;
        - gangs end of which an earlier version stored the completion of some tasks only;
        - zone-bound jobs whose claims are all void lose their zone. They would wait for machines there for ever.
        """
        if not self.is_coordinator:
            return []
        members = self.tables.view.incarnation_ids
        recovery_complete = self.tables.recovery_complete()

        def may_have_tasks(claims: Mapping[str, int]) -> bool:
            return any(tasks for holder, tasks in claims.items() if holder in members or not recovery_complete)

        def is_unattended(job: Job) -> bool:
            if job.is_cancelled:
                return not may_have_tasks(job.progress.claims)
            if job.spec.gang and job.progress.done:
                return job.status == JobState.LIVE
            return job.progress.zone is not None and not may_have_tasks(job.progress.claims)

        return [name for name, job in self.tables.jobs.items() if is_unattended(job)]

    def is_urgent(self) -> bool:
        """Whether any update is urgent.

        Adoptions are, because the recovery of the view waits for them. So are updates that end or release claims,
        because users or other controllers may be waiting for them.
        """
        return any(
            job_updates.adopted or self._ends_claims(name, job_updates)
            for name, job_updates in self.updates.by_job.items()
        )
