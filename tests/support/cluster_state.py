"""The fake state service of the simulated cluster, with outages, rejections, lost answers and late commits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sloeswitch.core.transaction import Transaction
from sloeswitch.replica import Replica
from sloeswitch.state_client import StateClient, TransactionOutcome, TransactionResult

if TYPE_CHECKING:
    from tests.support.cluster_node import Node


class ClusterStateClient(StateClient):
    """Commits to the simulated store. Some transactions get no answer; of these some are committed late."""

    node: Node

    @property
    def is_reachable(self) -> bool:
        return self.node.reaches

    async def acquire_changes(self, changes: int, priority: Any) -> None:
        return None

    async def compare_and_swap(
        self,
        transaction: Transaction,
        priority: Any,
        *,
        leases: dict[str, int] | None = None,
        acquired_changes: int = 0,
    ) -> TransactionResult:
        await self.travel()
        result = self._carry_out_or_lose(transaction, leases)
        await self.travel()
        return result

    async def travel(self) -> None:
        """Waits while a request or its answer is in transit; here that takes no time."""

    def _carry_out_or_lose(self, transaction: Transaction, leases: dict[str, int] | None) -> TransactionResult:
        conditions, writes, drops = transaction.conditions, transaction.writes, transaction.deletes
        world = self.node.world
        world.recorder.transaction(self.node.settings.member, conditions, writes, drops, leases)
        if not self.node.reaches:
            return TransactionResult(TransactionOutcome.REJECTED, 0)

        def carry_out() -> TransactionResult:
            stored = world.store.tables
            if any(stored.mod_revision(key) != stamp for key, stamp in conditions.items()):
                return TransactionResult(TransactionOutcome.CONFLICT, world.store.epoch)
            # All changes of a transaction get the same revision.
            world.store.epoch += 1
            for key, value in [*writes.items(), *((key, None) for key in drops)]:
                world.store.epoch -= 1
                world.store.put(key, value)
            return TransactionResult(TransactionOutcome.COMMITTED, world.store.epoch)

        luck = world.rng.random()
        if luck < 0.04:
            world.late.append((world.clock.time + 10 * world.rng.random(), carry_out))
            return TransactionResult(TransactionOutcome.UNKNOWN, 0)
        outcome = carry_out()
        return TransactionResult(TransactionOutcome.UNKNOWN) if luck < 0.08 else outcome


class ClusterReplica(Replica):
    """Applies the stored changes in order while the state service can be reached."""

    node: Node

    async def read_linearizable(self, timeout_s: float) -> None:
        self.node.read()
