"""Tells faulty machines from faulty jobs by where tasks fail."""

from __future__ import annotations

from dataclasses import dataclass, field

# Failures on that many machines with no success anywhere mark a job as faulty; failures of that many
# in a row mark a machine as faulty.
FAULTY_JOB_MACHINES = 3
QUARANTINE_FAILURES = 2


@dataclass
class JobHealth:
    failed_on: set[str] = field(default_factory=set)
    succeeded: bool = False
    pause_s: float = 0.0
    retry_at: float = 0.0


class Health:
    """Failures of this controller's machines and of the jobs seen on them."""

    def __init__(self, first_pause_s: float, last_pause_s: float) -> None:
        self.first_pause_s = first_pause_s
        self.last_pause_s = last_pause_s
        self.jobs: dict[str, JobHealth] = {}
        self.consecutive_failures: dict[str, int] = {}

    def record_success(self, job: str, machine: str) -> None:
        self.consecutive_failures.pop(machine, None)
        health = self.jobs.get(job)
        if health is not None:
            health.succeeded = True
            health.pause_s = health.retry_at = 0.0

    def record_failure(self, job: str, machine: str, now: float) -> None:
        health = self.jobs.setdefault(job, JobHealth())
        health.failed_on.add(machine)
        if self.is_job_faulty(job):
            # Not the machine's fault: take back what the job's earlier failures put on it.
            for name in health.failed_on:
                self.consecutive_failures.pop(name, None)
            if now >= health.retry_at:
                health.pause_s = min(self.last_pause_s, max(self.first_pause_s, 2 * health.pause_s))
                health.retry_at = now + health.pause_s
            return
        self.consecutive_failures[machine] = self.consecutive_failures.get(machine, 0) + 1

    def is_job_faulty(self, job: str) -> bool:
        health = self.jobs.get(job)
        return health is not None and not health.succeeded and len(health.failed_on) >= FAULTY_JOB_MACHINES

    def is_job_paused(self, job: str, now: float) -> bool:
        """A faulty job waits between tries, and then tries one task."""
        health = self.jobs.get(job)
        return health is not None and now < health.retry_at

    def has_failed_on(self, job: str, machine: str) -> bool:
        health = self.jobs.get(job)
        return health is not None and machine in health.failed_on and not self.is_job_faulty(job)

    def is_machine_quarantined(self, machine: str) -> bool:
        return self.consecutive_failures.get(machine, 0) >= QUARANTINE_FAILURES

    def forget_job(self, job: str) -> None:
        self.jobs.pop(job, None)

    def forget_machine(self, machine: str) -> None:
        self.consecutive_failures.pop(machine, None)
