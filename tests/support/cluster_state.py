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
        return self.node.reaches_service

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
        await self.wait_in_transit()
        result = self._commit_or_lose(transaction, leases)
        await self.wait_in_transit()
        return result

    async def wait_in_transit(self) -> None:
        """Waits while a request or its answer is in transit; here that takes no time."""

    def _commit_or_lose(self, transaction: Transaction, leases: dict[str, int] | None) -> TransactionResult:
        conditions, writes, deletes = transaction.conditions, transaction.writes, transaction.deletes
        world = self.node.world
        world.recorder.transaction(self.node.settings.member, conditions, writes, deletes, leases)
        if not self.node.reaches_service:
            return TransactionResult(TransactionOutcome.REJECTED, 0)

        def commit() -> TransactionResult:
            stored = world.store.tables
            if any(stored.mod_revision(key) != revision for key, revision in conditions.items()):
                return TransactionResult(TransactionOutcome.CONFLICT, world.store.revision)
            # All changes of a transaction get the same revision.
            world.store.revision += 1
            for key, value in [*writes.items(), *((key, None) for key in deletes)]:
                world.store.revision -= 1
                world.store.put(key, value)
            return TransactionResult(TransactionOutcome.COMMITTED, world.store.revision)

        draw = world.rng.random()
        if draw < 0.04:
            world.delayed_calls.append((world.clock.time + 10 * world.rng.random(), commit))
            return TransactionResult(TransactionOutcome.UNKNOWN, 0)
        outcome = commit()
        return TransactionResult(TransactionOutcome.UNKNOWN) if draw < 0.08 else outcome


class ClusterReplica(Replica):
    """Applies the stored changes in order while the state service can be reached."""

    node: Node

    async def read_linearizable(self, timeout_s: float) -> None:
        self.node.read()
