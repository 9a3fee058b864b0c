"""Distinguishes faulty machines from faulty jobs by the machines on which tasks fail.

A machine on which tasks of different jobs fail is quarantined: it gets no more tasks. A job avoids a machine for a time
after a failure there, but not for ever: no other machine may come up. A job that fails on several machines and succeeds
on none is faulty: its failures do not count against the machines, and it is retried with exponential backoff.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# A job is faulty when it has failed on this many machines without a success on any machine.
FAULTY_JOB_MACHINES = 3
# A machine is quarantined after this many consecutive failures.
QUARANTINE_FAILURES = 2


@dataclass
class JobHealth:
    """The failures of one job.

    Attributes:
        avoided_until: By machine on which its tasks failed, the time until which it avoids the machine, in seconds of
            the controller's monotonic clock.
        succeeded: Whether any of its tasks was completed since its first failure.
        backoff_s: The delay before its next retry, in seconds; 0 for no delay.
        retry_at: When it may be retried, in seconds of the controller's monotonic clock.
    """

    avoided_until: dict[str, float] = field(default_factory=dict)
    succeeded: bool = False
    backoff_s: float = 0.0
    retry_at: float = 0.0


class Health:
    """The failures on this controller's machines, by machine and by job.

    The machines actor records them. They are not stored: a new incarnation of the controller starts without any.

    Attributes:
        min_backoff_s: The first delay of a faulty job.
        max_backoff_s: The longest delay of a faulty job.
        avoidance_s: How long a job avoids a machine after a failure there.
        jobs: The jobs that have failed, by id.
        consecutive_failures: By machine, the number of failures since its last success that count against it.
    """

    def __init__(self, min_backoff_s: float, max_backoff_s: float, avoidance_s: float) -> None:
        self.min_backoff_s = min_backoff_s
        self.max_backoff_s = max_backoff_s
        self.avoidance_s = avoidance_s
        self.jobs: dict[str, JobHealth] = {}
        self.consecutive_failures: dict[str, int] = {}

    def record_success(self, job: str, machine: str) -> None:
        """Records that a task of the job was completed on the machine: neither is faulty."""
        self.consecutive_failures.pop(machine, None)
        health = self.jobs.get(job)
        if health is not None:
            health.succeeded = True
            health.backoff_s = health.retry_at = 0.0

    def record_failure(self, job: str, machine: str, now: float) -> None:
        """Records that a task of the job failed on the machine; counts against the machine unless the job is faulty."""
        health = self.jobs.setdefault(job, JobHealth())
        health.avoided_until[machine] = now + self.avoidance_s
        if not self.is_job_faulty(job):
            self.consecutive_failures[machine] = self.consecutive_failures.get(machine, 0) + 1
            return
        # The job is faulty, not the machines: resets the failures that were counted against them.
        for name in health.avoided_until:
            self.consecutive_failures.pop(name, None)
        if now >= health.retry_at:
            health.backoff_s = min(self.max_backoff_s, max(self.min_backoff_s, 2 * health.backoff_s))
            health.retry_at = now + health.backoff_s

    def is_job_faulty(self, job: str) -> bool:
        """Whether the job failed on FAULTY_JOB_MACHINES machines and succeeded on none."""
        health = self.jobs.get(job)
        return health is not None and not health.succeeded and len(health.avoided_until) >= FAULTY_JOB_MACHINES

    def is_job_paused(self, job: str, now: float) -> bool:
        """Whether the job is in backoff; its next retry is limited to one task."""
        health = self.jobs.get(job)
        return health is not None and now < health.retry_at

    def is_machine_avoided(self, job: str, machine: str, now: float) -> bool:
        """Whether the job failed on the machine a short while ago; a faulty job may run on any machine."""
        health = self.jobs.get(job)
        return health is not None and now < health.avoided_until.get(machine, now) and not self.is_job_faulty(job)

    def is_machine_quarantined(self, machine: str) -> bool:
        """Whether the machine has had QUARANTINE_FAILURES consecutive failures, so that it gets no more tasks."""
        return self.consecutive_failures.get(machine, 0) >= QUARANTINE_FAILURES

    def forget_job(self, job: str) -> None:
        """Drops the failures of a finished job."""
        self.jobs.pop(job, None)

    def forget_machine(self, machine: str) -> None:
        """Drops the failures of a removed machine."""
        self.consecutive_failures.pop(machine, None)
