"""What the modules of the machines actor share about this controller's shard: its machines and the work for them."""

from __future__ import annotations

from dataclasses import dataclass

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.quota_ledger import QuotaLedger
from sloeswitch.actors.runnable_queue import RunnableQueue
from sloeswitch.actors.task_update_outbox import TaskUpdateOutbox
from sloeswitch.core.health import Health
from sloeswitch.core.machine_registry import MachineRegistry


@dataclass(frozen=True)
class ShardState:
    """The machines that this controller owns, and the state that placement and accounting of their tasks need.

    Made once by the machines actor, which is the only one whose modules change it.
    """

    context: ControllerContext
    # Machines, and the attempts on them.
    registry: MachineRegistry
    # Failures of machines and jobs.
    health: Health
    # Teams' quotas as this controller may use them.
    quota: QuotaLedger
    # Jobs in the order in which they get free capacity.
    queue: RunnableQueue
    # Results of attempts on their way to the jobs actor.
    task_updates: TaskUpdateOutbox
    # Time between two ticks that are not held up by load.
    tick_interval_s: float

    @staticmethod
    def create(context: ControllerContext, jobs: Jobs) -> ShardState:
        """An empty shard."""
        settings = context.settings
        registry = MachineRegistry()
        return ShardState(
            context=context,
            registry=registry,
            health=Health(settings.report_s, 20 * settings.lease_s),
            quota=QuotaLedger(context, registry),
            queue=RunnableQueue(context, registry),
            task_updates=TaskUpdateOutbox(context, registry, jobs),
            tick_interval_s=max(settings.report_s / 10, settings.lease_s / 60),
        )
