"""A fake state service in memory, for one or several controllers, and a replica that is always up to date."""

from __future__ import annotations

from typing import Any

from sloeswitch import wire
from sloeswitch.core.transaction import Transaction
from sloeswitch.replica import Replica
from sloeswitch.state_client import StateClient, TransactionOutcome, TransactionResult
from tests.conftest import Store


class ScriptedState(StateClient):
    """A state client that checks transactions against the limits of the settings and commits them to a Store.

    The next `lose_answers` transactions get no answer and are not committed. They are kept, so that a test may commit
    them late with `apply`.
    """

    store: Store
    lose_answers = 0
    lost_transactions: list[tuple[dict[str, int], dict[str, Any], list[str]]]
    # The limits that the service enforces, if they are below those of the settings.
    enforced_max_changes: int | None = None
    enforced_max_bytes: int | None = None

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
        conditions, writes, deletes = transaction.conditions, transaction.writes, transaction.deletes
        if self.lose_answers:
            self.lose_answers -= 1
            self.lost_transactions.append((conditions, writes, deletes))
            return TransactionResult(TransactionOutcome.UNKNOWN, 0)
        sizes = [len(wire.encode(value)) for value in writes.values()]
        if (self.enforced_max_changes is not None and len(writes) + len(deletes) > self.enforced_max_changes) or (
            self.enforced_max_bytes is not None and max(sizes, default=0) > self.enforced_max_bytes
        ):
            self._lower_limits(transaction)
            return TransactionResult(TransactionOutcome.REJECTED, 0)
        return self.apply(conditions, writes, deletes)

    def apply(self, conditions: dict[str, int], writes: dict[str, Any], deletes: list[str]) -> TransactionResult:
        tables = self.store.tables
        # The limits of the protocol, beyond which the state service rejects a transaction.
        assert len(writes) + len(deletes) <= self.settings.txn_ops
        assert len(conditions) <= 4 * self.settings.txn_ops
        assert len(wire.commit_body(conditions, writes, deletes, {})) <= wire.MAX_BODY_BYTES
        assert all(len(wire.encode(value)) <= self.settings.value_kb * 1024 for value in writes.values())
        if any(tables.mod_revision(key) != revision for key, revision in conditions.items()):
            return TransactionResult(TransactionOutcome.CONFLICT, self.store.revision)
        for key, value in writes.items():
            self.store.put(key, value)
        for key in deletes:
            self.store.put(key, None)
        return TransactionResult(TransactionOutcome.COMMITTED, self.store.revision)


class ScriptedReplica(Replica):
    """A replica whose applied revision is always the latest stored one."""

    @property
    def applied_revision(self) -> int:
        return self.client.store.revision  # type: ignore[attr-defined, no-any-return]

    @applied_revision.setter
    def applied_revision(self, revision: int) -> None:
        pass
