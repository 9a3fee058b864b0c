"""The simulated state service of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sloeswitch.core.transaction import Transaction
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome, TransactionResult
from tests.support.scripted_state import ScriptedReplica, ScriptedState

if TYPE_CHECKING:
    from tests.support.cell import Cell


class CellState(ScriptedState):
    """The state service of a cell as seen by one controller.

    Some answers are lost: the transaction was applied, or is applied later.
    """

    cell: Cell

    async def compare_and_swap(
        self,
        transaction: Transaction,
        priority: Any,
        *,
        leases: dict[str, int] | None = None,
        acquired_changes: int = 0,
    ) -> TransactionResult:
        conditions, writes, drops = transaction.conditions, transaction.writes, transaction.deletes
        world, cell = self.cell.world, self.cell
        world.recorder.transaction(f"{cell.name}/{self.settings.member}", conditions, writes, drops, leases)
        if cell.outage:
            return TransactionResult(TransactionOutcome.REJECTED, 0)
        draw = world.rng.random() if world.faults_enabled else 1.0
        if draw < 0.03:
            world.late_transactions.append(
                (world.clock.time + 20 * world.rng.random(), cell, self, (conditions, writes, drops))
            )
            return TransactionResult(TransactionOutcome.UNKNOWN, 0)
        outcome = self.apply(conditions, writes, drops)
        return TransactionResult(TransactionOutcome.UNKNOWN) if draw < 0.06 else outcome


class CellReplica(ScriptedReplica):
    """A replica that is always up to date; reads fail while the state service is out."""

    cell: Cell

    async def read_linearizable(self, timeout_s: float) -> None:
        if self.cell.outage:
            raise StaleReplicaError
        self.linearizable_at = self.cell.world.clock.time
