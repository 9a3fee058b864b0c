"""Reports the recovery of this controller's shard under a view, once all tasks on its machines are known and stored.

Owns the time of the next log line about a delayed recovery. Called by the machines actor at each tick, while this
controller is leader.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.machine_ownership import MachineOwnership
from sloeswitch.actors.membership import Membership, ShardRecovered
from sloeswitch.actors.shard_state import ShardState

log = logging.getLogger("machines")


@dataclass(frozen=True)
class RecoveryBlockers:
    """The numbers of items that a recovery is waiting for.

    Attributes:
        machines: Machines that are not recovered.
        adoptions: Adopted tasks whose adoption is not stored.
        completions: Unsettled completions found on machines (`MachineRegistry.unsettled_completions`).
    """

    machines: int
    adoptions: int
    completions: int


class ShardRecovery:
    """Reports the recovery of the shard to the membership actor, and logs what delays it."""

    def __init__(self, shard: ShardState, ownership: MachineOwnership, membership: Membership, jobs: Jobs) -> None:
        context = shard.context
        self.tables = context.tables
        self.leadership = context.leadership
        self.now = context.clock.now
        self.registry = shard.registry
        self.ownership = ownership
        self.membership = membership
        self.jobs = jobs
        # The interval in seconds at which a delayed recovery is logged, and the time of the next log line.
        self.log_interval_s = context.settings.lease_s
        self.next_log_at = float("-inf")

    @property
    def is_reported(self) -> bool:
        """Whether recovery of the view that the registry reflects has already been reported."""
        return self.membership.recovered_view == self.ownership.followed_view

    def report(self, pending_removals: set[str]) -> None:
        """Reports the recovery to the membership actor, which stores it, once nothing delays it.

        First adds machines whose rows were read after the view, as can happen when all rows are read by key. Without
        this, the tasks on such a machine would count as not running and could be started a second time.

        Args:
            pending_removals: Deleted machines whose rows are not removed yet.
        """
        if self.is_reported:
            return
        self.ownership.add_missing_machines(pending_removals)
        if self.registry.is_recovered(self.tables, self.leadership.incarnation_id, self.jobs.oversized_jobs):
            self.membership.tell(ShardRecovered(self.ownership.followed_view))
        elif self.now() >= self.next_log_at:
            self._log_blockers()

    def blockers(self) -> RecoveryBlockers:
        """Counts what delays the recovery of the present view; all counts are 0 once it was reported."""
        if self.is_reported:
            return RecoveryBlockers(0, 0, 0)
        incarnation_id = self.leadership.incarnation_id
        completions = self.registry.unsettled_completions(self.tables, incarnation_id, self.jobs.oversized_jobs)
        return RecoveryBlockers(
            machines=sum(not machine.is_recovered for machine in self.registry.machines.values()),
            adoptions=_count(self.registry.unstored_adoptions(self.tables, incarnation_id)),
            completions=_count(completions),
        )

    def _log_blockers(self) -> None:
        self.next_log_at = self.now() + self.log_interval_s
        found = self.blockers()
        log.info(
            "recovery waits: view=%d machines=%d adoptions=%d completions=%d",
            self.ownership.followed_view,
            found.machines,
            found.adoptions,
            found.completions,
        )


def _count(tasks_by_job: dict[str, int]) -> int:
    return sum(tasks.bit_count() for tasks in tasks_by_job.values())
