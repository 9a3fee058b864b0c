"""Users' requests on jobs: submit, cancel, status. The first two write their own conditional transactions."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.spec_chunks import SpecChunkStore
from sloeswitch.cells.handoff import OriginRow, request_cancellation
from sloeswitch.core import keys
from sloeswitch.core.records import Job, JobState, SpecChunks
from sloeswitch.core.row_codec import encode_finished_job, encode_handoffs, encode_job, encode_job_handoffs
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome
from sloeswitch.wire import JobStatus

# The number of attempts at a cancellation that conflicts with other writes of the job.
MAX_CANCEL_ATTEMPTS = 4


class CancelFailure(StrEnum):
    """Why a job can never be cancelled. The value is not sent to users."""

    # No job of this name was ever accepted.
    NOT_FOUND = ""


FINAL_STATUSES = frozenset({JobStatus.DONE, JobStatus.CANCELLED})


class Submission(NamedTuple):
    """An accepted job: its status, and whether this request created it."""

    status: JobStatus
    is_new: bool


class _CancelAttempt(NamedTuple):
    """The result of one attempt to cancel a job (see `JobRequests.cancel`), and whether to retry it."""

    result: JobStatus | CancelFailure | None = None
    is_conflict: bool = False


class JobRequests:
    """Executes users' requests on jobs. Called through the jobs actor; has no state except the replicated tables."""

    def __init__(self, context: ControllerContext) -> None:
        self._client = context.client
        self._replica = context.replica
        self._tables = context.tables
        self._clock = context.clock
        self._spec_chunks = SpecChunkStore(context)

    def status(self, name: str) -> JobStatus | None:
        """The job's status according to the replicated tables; None if they do not contain the job."""
        finished = self._tables.finished_jobs.get(name)
        if finished is not None:
            return JobStatus.DONE if finished.is_done else JobStatus.CANCELLED
        job = self._tables.jobs.get(name)
        if job is None:
            return None
        if job.is_cancelled:
            return JobStatus.CANCELLED
        return JobStatus.RUNNING if any(job.progress.claims.values()) else JobStatus.QUEUED

    # -- submit

    async def submit(self, spec: wire.JobSpec) -> Submission | None:
        """Accepts a job; returns None if it cannot be stored now."""
        transaction = await self._submission_transaction(spec)
        if transaction is None:
            return None
        outcome = await self._commit(transaction)
        if outcome is TransactionOutcome.COMMITTED:
            return Submission(self.status(spec.id) or self._initial_status(spec), is_new=True)
        # If the transaction was not rejected, another controller stored the job first or the answer was lost. A read
        # shows whether the job is stored.
        if outcome is TransactionOutcome.REJECTED or not await self._read_linearizable():
            return None
        status = self.status(spec.id)
        return None if status is None else Submission(status, is_new=False)

    async def _submission_transaction(self, spec: wire.JobSpec) -> Transaction | None:
        """Returns the transaction that creates the job's row; None if the spec cannot be stored now."""
        key = keys.job_key(spec.id)
        submitted_ms = self._clock.wall_clock_ms()
        value = encode_job(JobState.LIVE, spec, submitted_ms)
        if len(wire.encode(value)) <= self._client.max_value_bytes:
            return Transaction({key: 0}, {key: value})
        # Controllers with an earlier layout cannot read chunks.
        stored = await self._spec_chunks.store(spec) if self._tables.layout_complete else None
        if stored is None:
            return None
        value = encode_job(JobState.LIVE, spec, submitted_ms, SpecChunks(stored.attempt, stored.chunk_count))
        first_chunk = keys.chunk_key(spec.id, stored.attempt, 0)
        return Transaction({key: 0, first_chunk: stored.first_chunk_revision}, {key: value})

    def _initial_status(self, spec: wire.JobSpec) -> JobStatus:
        """The status of a job that was just accepted: cancelled if one of its prerequisites is cancelled."""
        is_cancelled = any(self.status(name) is JobStatus.CANCELLED for name in spec.prerequisites)
        return JobStatus.CANCELLED if is_cancelled else JobStatus.QUEUED

    # -- cancel

    async def cancel(self, name: str, only_unclaimed: bool = False) -> JobStatus | CancelFailure | None:
        """Cancels a job.

        Args:
            name: The job.
            only_unclaimed: Cancel the job only if none of its tasks was ever claimed.

        Returns:
            The job's final status, or why it can never be cancelled. None if the cancellation cannot be stored now, if
            `only_unclaimed` is set and a task was claimed, or if another cell may still have or start tasks of the job.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            attempt = await self._attempt_cancel(name, only_unclaimed)
            if not attempt.is_conflict:
                return attempt.result
        return None

    async def _attempt_cancel(self, name: str, only_unclaimed: bool) -> _CancelAttempt:
        if name in self._tables.finished_jobs:
            return _CancelAttempt(self.status(name))
        job = self._tables.jobs.get(name)
        if job is None:
            if not await self._read_linearizable():
                return _CancelAttempt()
            is_known = self.status(name) is not None
            return _CancelAttempt(None if is_known else CancelFailure.NOT_FOUND, is_conflict=is_known)
        if job.is_cancelled:
            return _CancelAttempt(JobStatus.CANCELLED)
        if only_unclaimed and job.progress_revision:
            return _CancelAttempt()
        if job.outgoing_handoffs is not None and job.outgoing_handoffs.open_handoffs:
            await self._request_cancellation(job, job.outgoing_handoffs)
            return _CancelAttempt()
        outcome = await self._commit(self._cancellation_transaction(job))
        if outcome is TransactionOutcome.COMMITTED:
            return _CancelAttempt(JobStatus.CANCELLED)
        if outcome is TransactionOutcome.REJECTED:
            return _CancelAttempt()
        return _CancelAttempt(is_conflict=await self._read_linearizable())

    def _cancellation_transaction(self, job: Job) -> Transaction:
        """Returns the transaction that cancels a job without tasks in other cells."""
        key, progress_key = keys.job_key(job.spec.id), keys.progress_key(job.spec.id)
        now_ms = self._clock.wall_clock_ms()
        if not job.progress_revision:
            # The job was never claimed, so it has no tasks on machines and the same transaction finishes it.
            finished = encode_finished_job(JobState.CANCELLED, job.spec, now_ms) | encode_job_handoffs(
                job, finished=True
            )
            return Transaction({key: job.mod_revision, progress_key: 0}, {key: finished})
        value = _encode_row(job, JobState.CANCELLED) | encode_job_handoffs(job)
        # The time of the cancellation. The time limit for stopping the job's tasks counts from it, also after the
        # machines that run them get another owner.
        value["x"] = now_ms
        return Transaction({key: job.mod_revision}, {key: value})

    async def _request_cancellation(self, job: Job, handoff: OriginRow) -> None:
        """Stores a cancellation request in the job's row; the cells that may have the job are then asked to stop it."""
        if handoff.cancelling:
            return
        key = keys.job_key(job.spec.id)
        cancelling = encode_handoffs(request_cancellation(handoff), job.returned_ms)
        value = _encode_row(job, job.status) | {"h": cancelling}
        await self._commit(Transaction({key: job.mod_revision}, {key: value}))

    # -- state service

    async def _commit(self, transaction: Transaction) -> TransactionOutcome:
        """Commits a transaction. If it succeeds, applies its rows to the tables at once."""
        outcome, revision = await self._client.compare_and_swap(transaction, RequestPriority.USER)
        if outcome is TransactionOutcome.COMMITTED:
            self._replica.apply_own_write(revision, transaction.writes)
        return outcome

    async def _read_linearizable(self) -> bool:
        """Updates the tables by a linearizable read; returns whether it succeeded."""
        try:
            await self._replica.read_linearizable(self._client.timeout_s)
        except StaleReplicaError:
            return False
        return True


def _encode_row(job: Job, state: str) -> dict[str, Any]:
    """Encodes the job's row with the given state."""
    return encode_job(state, job.spec, job.submitted_ms, job.spec_chunks)
