"""The periodic log line that summarizes a shard for operators."""

from __future__ import annotations

import logging

from sloeswitch.actors.shard_state import ShardState
from sloeswitch.core.machine import AttemptState
from sloeswitch.core.records import JobState

log = logging.getLogger("machines")


def log_summary(shard: ShardState) -> None:
    """Logs the numbers of machines, cores and tasks of the shard, and of jobs of all controllers."""
    tables, registry = shard.context.tables, shard.registry
    machines = [m for m in registry.machines.values() if m.reconciled and m.type in tables.machine_types]
    live = [job for job in tables.jobs.values() if job.status == JobState.LIVE]
    log.info(
        "shard summary: machines=%d unschedulable=%d cores_used=%.0f cores=%.0f tasks=%d fetching=%d"
        " live_jobs=%d blocked_jobs=%d jobs_with_unclaimed_tasks=%d",
        len(machines),
        sum(not registry.is_schedulable(m) for m in machines),
        sum(m.usage.cores for m in machines),
        sum(tables.machine_types[m.type].cores for m in machines),
        sum(len(m.attempts) for m in machines),
        sum(attempt.state == AttemptState.FETCHING for m in machines for attempt in m.attempts.values()),
        len(live),
        sum(not job.is_runnable for job in live),
        sum(job.is_runnable and bool(tables.unclaimed_tasks(job, tables.recovery_complete())) for job in live),
    )
