"""Users' requests on jobs: submit, cancel, status. Each is its own conditional write, beside other transactions."""

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

# A cancellation that conflicts with another write of the job is planned anew this often.
MAX_CANCEL_ATTEMPTS = 4


class CancelFailure(StrEnum):
    """Why a job can never be cancelled. Not sent to users as it is."""

    # No job of that name was ever accepted.
    NOT_FOUND = ""


FINAL_STATUSES = frozenset({JobStatus.DONE, JobStatus.CANCELLED})


class Submission(NamedTuple):
    """An accepted job: its status, and whether this request created it."""

    status: JobStatus
    is_new: bool


class _CancelAttempt(NamedTuple):
    """The result of one attempt to cancel a job (see `JobRequests.cancel`), and whether to try again."""

    result: JobStatus | CancelFailure | None = None
    is_conflict: bool = False


class JobRequests:
    """Carries out users' requests on jobs. Called through the jobs actor; its state is the replicated tables only."""

    def __init__(self, context: ControllerContext) -> None:
        self._client = context.client
        self._replica = context.replica
        self._tables = context.tables
        self._clock = context.clock
        self._spec_chunks = SpecChunkStore(context)

    def status(self, name: str) -> JobStatus | None:
        """The job's status by the replicated tables; None if they have no such job."""
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
        """Accepts a job; None if it cannot be stored now."""
        transaction = await self._submission(spec)
        if transaction is None:
            return None
        outcome = await self._commit(transaction)
        if outcome is TransactionOutcome.COMMITTED:
            return Submission(self.status(spec.id) or self._first_status(spec), is_new=True)
        # Unless it was refused, another controller stored it before, or the answer was lost: read what is stored.
        if outcome is TransactionOutcome.REJECTED or not await self._read_linearizable():
            return None
        status = self.status(spec.id)
        return None if status is None else Submission(status, is_new=False)

    async def _submission(self, spec: wire.JobSpec) -> Transaction | None:
        """The transaction that creates the job's row; None if its spec cannot be stored now."""
        key = keys.job_key(spec.id)
        submitted_ms = self._clock.wall_clock_ms()
        value = encode_job(JobState.LIVE, spec, submitted_ms)
        if len(wire.encode(value)) <= self._client.max_value_bytes:
            return Transaction({key: 0}, {key: value})
        # Controllers of an earlier layout read no chunks.
        stored = await self._spec_chunks.store(spec) if self._tables.layout_complete else None
        if stored is None:
            return None
        value = encode_job(JobState.LIVE, spec, submitted_ms, SpecChunks(stored.attempt, stored.chunk_count))
        first_chunk = keys.chunk_key(spec.id, stored.attempt, 0)
        return Transaction({key: 0, first_chunk: stored.first_chunk_revision}, {key: value})

    def _first_status(self, spec: wire.JobSpec) -> JobStatus:
        """The status of a job that was just accepted: cancelled at once if a prerequisite is cancelled."""
        is_cancelled = any(self.status(name) is JobStatus.CANCELLED for name in spec.prerequisites)
        return JobStatus.CANCELLED if is_cancelled else JobStatus.QUEUED

    # -- cancel

    async def cancel(self, name: str, only_unclaimed: bool = False) -> JobStatus | CancelFailure | None:
        """Cancels a job.

        Args:
            name: The job.
            only_unclaimed: Not if a task of it was ever claimed.

        Returns:
            The job's final status, or why it can never be cancelled. None if the cancellation cannot be stored now, or
            another cell may still start or hold a task of the job.
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
        outcome = await self._commit(self._cancellation(job))
        if outcome is TransactionOutcome.COMMITTED:
            return _CancelAttempt(JobStatus.CANCELLED)
        if outcome is TransactionOutcome.REJECTED:
            return _CancelAttempt()
        return _CancelAttempt(is_conflict=await self._read_linearizable())

    def _cancellation(self, job: Job) -> Transaction:
        """The transaction that cancels a job of which no other cell has a task."""
        key, progress_key = keys.job_key(job.spec.id), keys.progress_key(job.spec.id)
        now_ms = self._clock.wall_clock_ms()
        if not job.progress_revision:
            # Never claimed, so none of its tasks is anywhere: it is over with the same change.
            finished = encode_finished_job(JobState.CANCELLED, job.spec, now_ms) | encode_job_handoffs(
                job, finished=True
            )
            return Transaction({key: job.mod_revision, progress_key: 0}, {key: finished})
        value = _encode_row(job, JobState.CANCELLED) | encode_job_handoffs(job)
        # Whoever has its tasks then is to be done with them in time, over changes of owner too.
        value["x"] = now_ms
        return Transaction({key: job.mod_revision}, {key: value})

    async def _request_cancellation(self, job: Job, handoff: OriginRow) -> None:
        """Stores that the user wants the cancellation; the cells that may have the job are asked to stop it."""
        if handoff.cancelling:
            return
        key = keys.job_key(job.spec.id)
        cancelling = encode_handoffs(request_cancellation(handoff), job.returned_ms)
        value = _encode_row(job, job.status) | {"h": cancelling}
        await self._commit(Transaction({key: job.mod_revision}, {key: value}))

    # -- the state service

    async def _commit(self, transaction: Transaction) -> TransactionOutcome:
        """Commits a transaction; the tables have its rows at once."""
        outcome, revision = await self._client.compare_and_swap(transaction, RequestPriority.USER)
        if outcome is TransactionOutcome.COMMITTED:
            self._replica.apply_own_write(revision, transaction.writes)
        return outcome

    async def _read_linearizable(self) -> bool:
        """Reads the tables afresh; returns whether that was possible."""
        try:
            await self._replica.read_linearizable(self._client.timeout_s)
        except StaleReplicaError:
            return False
        return True


def _encode_row(job: Job, state: str) -> dict[str, Any]:
    """The job's row in another state."""
    return encode_job(state, job.spec, job.submitted_ms, job.spec_chunks)
