"""Cancelled jobs: their tasks on this controller's machines are stopped, their unplaced claims released.

Called by the machines actor at each tick.
"""

from __future__ import annotations

from sloeswitch.actors.cancellation_watch import CancellationWatch
from sloeswitch.actors.commands import CommandSender
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core.machine import Attempt, Machine
from sloeswitch.core.records import Job


class CancelledTasks:
    """Stops tasks of jobs that are cancelled or gone, and records since when machines have held any."""

    def __init__(self, shard: ShardState, commands: CommandSender, cancellations: CancellationWatch) -> None:
        self.tables = shard.context.tables
        self.clock = shard.context.clock
        self.registry = shard.registry
        self.task_updates = shard.task_updates
        self.commands = commands
        self.cancellations = cancellations

    def stop_all(self) -> None:
        """Releases claims of cancelled jobs on tasks that are nowhere, and stops those that are on machines."""
        self._release_unplaced()
        ended: dict[str, Job | None] = {}
        for name in self.registry.placed_tasks:
            job = self.tables.jobs.get(name)
            if job is None or job.is_cancelled:
                ended[name] = job
        if not ended:
            return
        now = self.clock.now()
        for machine in self.registry.machines.values():
            for attempt in list(machine.attempts.values()):
                if attempt.job in ended:
                    self.commands.kill(machine, attempt, 0.0)
                    if machine.attempts.get(attempt.task) is attempt:
                        self._record_cancelled(machine, attempt, ended[attempt.job], now)

    def _release_unplaced(self) -> None:
        cancelled = [job for job in self.tables.jobs.values() if job.is_cancelled]
        if not cancelled:
            return
        foreign = self._foreign_jobs()
        for job in cancelled:
            unplaced = self.task_updates.unplaced_tasks(job)
            if unplaced and job.spec.id not in foreign:
                self.task_updates.release(job.spec.id, unplaced)

    def _foreign_jobs(self) -> set[str]:
        """Jobs of which machines hold tasks that are not ours to keep.

        Collected once for all cancelled jobs: a pass over the machines for each of them took most of a tick in a wave
        of cancellations on thousands of machines.
        """
        return {
            key[0].rpartition("/")[0] for machine in self.registry.machines.values() for key in machine.foreign_attempts
        }

    def _record_cancelled(self, machine: Machine, attempt: Attempt, job: Job | None, now: float) -> None:
        """Records since when a task has been on the machine whose user may know of its cancellation.

        That is by our own clock; the time of the cancellation holds over changes of owner.
        """
        attempt.killed_at = attempt.killed_at or now
        since = attempt.killed_at
        if job is not None:
            since = min(since, now - self.cancellations.age_s(job, now))
        machine.cancelled_since = min(since, now if machine.cancelled_since is None else machine.cancelled_since)
