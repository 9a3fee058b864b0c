"""Tells faulty machines from faulty jobs by where tasks fail.

A machine that fails different jobs is quarantined: it gets no more work. A job that fails on several machines and
succeeds nowhere is faulty: it spoils no machine, and is retried with exponential back-off.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Failures on that many machines with no success anywhere mark a job as faulty.
FAULTY_JOB_MACHINES = 3
# That many failures in a row quarantine a machine.
QUARANTINE_FAILURES = 2


@dataclass
class JobHealth:
    """The failures of one job.

    Attributes:
        failed_on: The machines on which its tasks failed.
        succeeded: Whether a task of it was completed anywhere since its first failure.
        backoff_s: How long it waits before its next retry; 0 while it need not.
        retry_at: When it may be tried again, in seconds of the controller's monotonic clock.
    """

    failed_on: set[str] = field(default_factory=set)
    succeeded: bool = False
    backoff_s: float = 0.0
    retry_at: float = 0.0


class Health:
    """Failures of this controller's machines and of the jobs seen on them.

    Written by the machines actor; nothing of it is stored, so that a new incarnation of the controller starts afresh.

    Attributes:
        jobs: Jobs with a failure, by id.
        consecutive_failures: By machine, since its last success.
    """

    def __init__(self, min_backoff_s: float, max_backoff_s: float) -> None:
        self.min_backoff_s = min_backoff_s
        self.max_backoff_s = max_backoff_s
        self.jobs: dict[str, JobHealth] = {}
        self.consecutive_failures: dict[str, int] = {}

    def record_success(self, job: str, machine: str) -> None:
        """A task of the job was completed on the machine: neither is faulty."""
        self.consecutive_failures.pop(machine, None)
        health = self.jobs.get(job)
        if health is not None:
            health.succeeded = True
            health.backoff_s = health.retry_at = 0.0

    def record_failure(self, job: str, machine: str, now: float) -> None:
        """A task of the job failed on the machine: counts against the one or the other."""
        health = self.jobs.setdefault(job, JobHealth())
        health.failed_on.add(machine)
        if not self.is_job_faulty(job):
            self.consecutive_failures[machine] = self.consecutive_failures.get(machine, 0) + 1
            return
        # Not the machines' fault: their failures so far, which were the job's, count no more.
        for name in health.failed_on:
            self.consecutive_failures.pop(name, None)
        if now >= health.retry_at:
            health.backoff_s = min(self.max_backoff_s, max(self.min_backoff_s, 2 * health.backoff_s))
            health.retry_at = now + health.backoff_s

    def is_job_faulty(self, job: str) -> bool:
        """Whether the job failed on several machines and succeeded nowhere."""
        health = self.jobs.get(job)
        return health is not None and not health.succeeded and len(health.failed_on) >= FAULTY_JOB_MACHINES

    def is_job_paused(self, job: str, now: float) -> bool:
        """Whether the job waits for its next retry, which is of one task only."""
        health = self.jobs.get(job)
        return health is not None and now < health.retry_at

    def has_failed_on(self, job: str, machine: str) -> bool:
        """Whether the job should run elsewhere; a faulty one may be tried anywhere."""
        health = self.jobs.get(job)
        return health is not None and machine in health.failed_on and not self.is_job_faulty(job)

    def is_machine_quarantined(self, machine: str) -> bool:
        """Whether the machine fails what it is given, and is to get no more work."""
        return self.consecutive_failures.get(machine, 0) >= QUARANTINE_FAILURES

    def forget_job(self, job: str) -> None:
        """The job is over."""
        self.jobs.pop(job, None)

    def forget_machine(self, machine: str) -> None:
        """The machine is gone."""
        self.consecutive_failures.pop(machine, None)
