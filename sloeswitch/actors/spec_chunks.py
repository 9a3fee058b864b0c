"""Splits a job's spec that exceeds the size limit of a value, and stores each chunk under its own key."""

from __future__ import annotations

from typing import NamedTuple

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.core import keys
from sloeswitch.core.row_codec import split_spec
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

# The fraction of the maximum request size that the values of one transaction may take.
VALUES_SHARE = 0.8


def transaction_values_bytes(value_bytes: int) -> int:
    """The size of a transaction's values above which another value of `value_bytes` may not fit into the request."""
    return max(0, int(VALUES_SHARE * wire.MAX_BODY_BYTES) - value_bytes)


class StoredSpec(NamedTuple):
    """The chunks of one spec: the attempt that stored them, their number, and the revision of the first one."""

    attempt: str
    chunk_count: int
    first_chunk_revision: int


class SpecChunkStore:
    """Writes the chunks of specs. Called by `JobRequests` only, before the job's row is written."""

    def __init__(self, context: ControllerContext) -> None:
        self._client = context.client
        self._replica = context.replica
        self._tables = context.tables
        self._leadership = context.leadership
        self._values_bytes = transaction_values_bytes(context.settings.value_bytes)
        # The number of attempts of this process. The keys of an attempt contain it and the incarnation, so that no two
        # attempts share a key.
        self._attempt_count = 0

    async def store(self, spec: wire.JobSpec) -> StoredSpec | None:
        """Stores the spec's chunks, the first one last; returns None unless all of them are known to be stored.

        The caller writes the job's row on the condition that the first chunk still has the returned revision. So no job
        is accepted after its chunks were deleted as garbage (see `actors.garbage_collection`).
        """
        self._attempt_count += 1
        attempt = f"{self._leadership.incarnation_id}.{self._attempt_count}"
        texts = split_spec(spec, self._client.max_value_bytes)
        chunk_keys = [keys.chunk_key(spec.id, attempt, number) for number in range(len(texts))]
        if not await self._write_from_last(list(zip(chunk_keys, texts, strict=True))):
            return None
        try:
            await self._replica.read_linearizable(self._client.timeout_s)
        except StaleReplicaError:
            return None
        stored = self._tables.spec_chunks.get(spec.id, {}).get(attempt, {})
        if len(stored) != len(texts):
            return None
        return StoredSpec(attempt, len(texts), self._tables.mod_revision(chunk_keys[0]))

    async def _write_from_last(self, chunks: list[tuple[str, str]]) -> bool:
        """Writes the chunks, given as keys and texts, from the last to the first in as few transactions as possible."""
        batch_size = max(
            1, min(self._client.max_transaction_changes, self._values_bytes // self._client.max_value_bytes)
        )
        while chunks:
            batch = dict(chunks[-batch_size:])
            del chunks[-batch_size:]
            transaction = Transaction(dict.fromkeys(batch, 0), dict(batch))
            outcome, _revision = await self._client.compare_and_swap(transaction, RequestPriority.USER)
            if outcome is not TransactionOutcome.COMMITTED:
                return False
        return True
