"""The state that the modules of the machines actor share: this controller's shard, its machines and their tasks."""

from __future__ import annotations

from dataclasses import dataclass

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.quota_ledger import QuotaLedger
from sloeswitch.actors.runnable_queue import RunnableQueue
from sloeswitch.actors.task_update_outbox import TaskUpdateOutbox
from sloeswitch.core.health import Health
from sloeswitch.core.machine_registry import MachineRegistry

# The longest delay between two retries of a faulty job, which may have failed because of its machines alone.
MAX_FAULTY_JOB_BACKOFF_S = 60.0
# How long a job avoids a machine on which it failed, in worker leases. Another machine can come up meanwhile.
MACHINE_AVOIDANCE_WORKER_LEASES = 2


@dataclass(frozen=True)
class ShardState:
    """The machines that this controller owns, and the state for the placement and accounting of their tasks.

    Created once by the machines actor; only the modules of that actor modify it.
    """

    context: ControllerContext
    # The machines and the attempts on them.
    registry: MachineRegistry
    # Failure counts of machines and jobs.
    health: Health
    # The share of the teams' quotas that this controller may use.
    quota: QuotaLedger
    # Jobs in the order in which they get free capacity.
    queue: RunnableQueue
    # Completions, releases and adoptions of tasks that are to be sent to the jobs actor.
    task_updates: TaskUpdateOutbox
    # The pause between two ticks in seconds, except under load.
    tick_interval_s: float

    @staticmethod
    def create(context: ControllerContext, jobs: Jobs) -> ShardState:
        """Creates an empty shard."""
        settings = context.settings
        registry = MachineRegistry()
        return ShardState(
            context=context,
            registry=registry,
            health=Health(
                settings.report_s,
                MAX_FAULTY_JOB_BACKOFF_S,
                MACHINE_AVOIDANCE_WORKER_LEASES * settings.lease_s,
            ),
            quota=QuotaLedger(context, registry),
            queue=RunnableQueue(context, registry),
            task_updates=TaskUpdateOutbox(context, registry, jobs),
            tick_interval_s=max(settings.report_s / 10, settings.lease_s / 60),
        )
