"""Kills the tasks of cancelled jobs on this controller's machines, and releases the jobs' unplaced claims.

Called by the machines actor at each tick.
"""

from __future__ import annotations

from sloeswitch.actors.cancellation_watch import CancellationWatch
from sloeswitch.actors.commands import CommandSender
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core.machine import Attempt, Machine
from sloeswitch.core.records import Job


class CancelledTasks:
    """Kills tasks of jobs that are cancelled or no longer stored, and records how long machines have held them."""

    def __init__(self, shard: ShardState, commands: CommandSender, cancellations: CancellationWatch) -> None:
        self.tables = shard.context.tables
        self.clock = shard.context.clock
        self.registry = shard.registry
        self.task_updates = shard.task_updates
        self.commands = commands
        self.cancellations = cancellations

    def stop_all(self) -> None:
        """Releases this controller's claims on unplaced tasks of cancelled jobs, and kills their placed tasks."""
        self._release_unplaced()
        jobs_to_stop: dict[str, Job | None] = {}
        for name in self.registry.placed_tasks:
            job = self.tables.jobs.get(name)
            if job is None or job.is_cancelled:
                jobs_to_stop[name] = job
        if not jobs_to_stop:
            return
        now = self.clock.now()
        for machine in self.registry.machines.values():
            for attempt in list(machine.attempts.values()):
                if attempt.job in jobs_to_stop:
                    self.commands.kill(machine, attempt, 0.0)
                    if machine.attempts.get(attempt.task) is attempt:
                        self._record_cancelled(machine, attempt, jobs_to_stop[attempt.job], now)

    def _release_unplaced(self) -> None:
        """Releases the claims on unplaced tasks of cancelled jobs, except jobs with foreign attempts.

        Those jobs keep their claims, because a cancelled job without claims is stored as finished, while a foreign
        attempt may still run.
        """
        cancelled = [job for job in self.tables.jobs.values() if job.is_cancelled]
        if not cancelled:
            return
        foreign_jobs = self._foreign_jobs()
        for job in cancelled:
            unplaced = self.task_updates.unplaced_tasks(job)
            if unplaced and job.spec.id not in foreign_jobs:
                self.task_updates.release(job.spec.id, unplaced)

    def _foreign_jobs(self) -> set[str]:
        """Jobs with foreign attempts on this controller's machines.

        Collected once for all cancelled jobs. With thousands of machines and many cancellations at once, one pass over
        the machines for each job would take most of a tick.
        """
        return {
            key[0].rpartition("/")[0] for machine in self.registry.machines.values() for key in machine.foreign_attempts
        }

    def _record_cancelled(self, machine: Machine, attempt: Attempt, job: Job | None, now: float) -> None:
        """Records since when the machine has held a task whose cancellation the user may know of.

        This is the earlier of two times: when this controller decided to kill the task, by its own clock, and the
        stored time of the job's cancellation, which is the same for every owner of the machine.
        """
        attempt.killed_at = attempt.killed_at or now
        since = attempt.killed_at
        if job is not None:
            since = min(since, now - self.cancellations.age_s(job, now))
        machine.cancelled_since = min(since, now if machine.cancelled_since is None else machine.cancelled_since)
