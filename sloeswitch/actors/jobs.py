"""The jobs actor: writes all job records, and keeps the updates of jobs that are not committed yet.

It commits one conditional transaction at a time (see `core.commit_planner`). A transaction contains the completions,
releases and adoptions that are due, together with the claims that the machines actor requests (`ClaimRequest`). After a
conflict with a write of another controller, the tables are read again and the next transaction is planned from them.
"""

from __future__ import annotations

import logging

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import Actor
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.garbage_collection import GarbageCollector
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.job_requests import CancelFailure, JobRequests, Submission
from sloeswitch.actors.quota_log import log_row_changes
from sloeswitch.actors.spec_chunks import transaction_values_bytes
from sloeswitch.core import keys
from sloeswitch.core.commit_planner import CommitLimits, CommitPlan, CommitSnapshot, plan_commit
from sloeswitch.core.commit_schedule import CommitDelays, CommitSchedule
from sloeswitch.core.uncommitted_updates import TaskUpdates, UncommittedUpdates
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome
from sloeswitch.wire import JobStatus

log = logging.getLogger("jobs")


class Jobs(Actor[TaskUpdates | ClaimRequest]):
    """Owns the uncommitted updates of jobs. All writes of job records go through this actor.

    The machines actor sends it `TaskUpdates` and `ClaimRequest`. Users' requests and other cells call `submit`,
    `cancel` and `status`, which run concurrently with the transactions of `commit_forever`.
    """

    name = "jobs"

    def __init__(self, context: ControllerContext) -> None:
        super().__init__(context.settings.fd_limit)
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.tables = context.tables
        self.leadership = context.leadership
        self.clock = context.clock
        self.uncommitted = UncommittedUpdates()
        # The claim request for the next transaction, and the event that is set when a message arrives.
        self.claim_request: ClaimRequest | None = None
        self.wake = anyio.Event()
        # How long the commit loop waits when no message arrives, in seconds. Also the delay of updates that end this
        # controller's claims on a job (see CommitDelays), and the pause after an error.
        self.commit_interval_s = 0.3
        self.job_requests = JobRequests(context)
        self.garbage_collector = GarbageCollector(context)
        # A transaction whose values are larger than this may not fit another value.
        self.values_bytes = transaction_values_bytes(context.settings.value_bytes)
        # The number of the next adoption row of this incarnation.
        self.adoption_number = 0
        # Jobs whose progress was too large for a row at the last attempt to write it.
        self.oversized_jobs: set[str] = set()

    # -- messages

    async def handle(self, message: TaskUpdates | ClaimRequest) -> None:
        """Stores updates or a claim request for the next transaction; a new request replaces one that still waits."""
        if isinstance(message, TaskUpdates):
            self.uncommitted.merge(message, self.clock.now())
        else:
            if self.claim_request is not None:
                self.claim_request.reply(False)
            self.claim_request = message
        self.wake.set()

    def reset_claims(self) -> None:
        """Drops uncommitted releases and adoptions, as a new incarnation does not own earlier claims."""
        self.uncommitted.reset_claims()

    # -- transactions

    async def commit_forever(self) -> None:
        """Commits due updates and requested claims, one transaction after the other."""
        while True:
            with anyio.move_on_after(self.commit_interval_s):
                await self.wake.wait()
            self.wake = anyio.Event()
            try:
                await self._commit_round()
            except Exception:
                log.exception("transaction failed")
                await anyio.sleep(self.commit_interval_s)

    async def _commit_round(self) -> None:
        """Commits at most one transaction and answers the waiting claim request."""
        request, self.claim_request = self.claim_request, None
        outcome = await self._commit_due(request)
        if request is not None:
            request.reply(outcome is TransactionOutcome.COMMITTED)
        if outcome in (TransactionOutcome.UNKNOWN, TransactionOutcome.REJECTED):
            await anyio.sleep(self.commit_interval_s / 2)

    async def _commit_due(self, request: ClaimRequest | None) -> TransactionOutcome | None:
        """Commits the due updates together with the request; returns None if there is nothing to commit."""
        if not self.replica.loaded or not self.leadership.incarnation:
            return None
        is_leader = self.leadership.is_leader
        self._expire_adoptions()
        needed_changes = self._estimate_changes(request if is_leader else None)
        if not needed_changes:
            return None
        is_urgent = request is not None or self._schedule().is_urgent()
        priority = RequestPriority.CLAIM if is_urgent else RequestPriority.PROGRESS
        # Waits for the write rate first and reads the tables afterwards. The other way round, the conditions of the
        # transaction could become stale during the wait, and a failed transaction costs as much as a successful one.
        available_changes = self.client.available_changes(priority)
        acquired_changes = min(needed_changes, available_changes)
        await self.client.acquire_changes(acquired_changes, priority)
        if request is not None and is_leader:
            is_leader = await self._read_linearizable()
        self._prune_committed()
        plan = self._plan(request, is_leader and self.leadership.is_leader, available_changes)
        if not plan.transaction.writes:
            self.client.refund_changes(acquired_changes)
            return None
        return await self._commit(plan, priority, acquired_changes)

    def _estimate_changes(self, request: ClaimRequest | None) -> int:
        """Estimates, before the tables are read again, how many changes the next transaction needs."""
        changes = len(self._schedule().due_jobs(() if request is None else request.task_counts))
        if request is not None:
            changes += request.quota_change_count
        if self.tables.layout_complete and self.uncommitted.jobs_with_adoptions(self.tables.jobs):
            # The adoption row and the allocation of one team.
            changes += 2
        return changes

    def _plan(self, request: ClaimRequest | None, is_leader: bool, available_changes: int) -> CommitPlan:
        """Plans the next transaction from the current tables, with the claims only if this controller is the leader."""
        claiming = request if is_leader else None
        snapshot = CommitSnapshot(
            tables=self.tables,
            teams=self.settings.teams,
            incarnation_id=self.leadership.incarnation_id,
            updates=self.uncommitted.by_job,
            limits=CommitLimits(
                available_changes,
                self.client.max_transaction_changes,
                self.client.max_value_bytes,
                total_bytes=self.values_bytes,
            ),
            is_leader=is_leader,
            recovery_complete=self.tables.recovery_complete(),
            view_conditions=self.leadership.view_conditions(),
            applied_revision=self.replica.applied_revision,
            wall_clock_ms=self.clock.wall_clock_ms(),
            adoption_number=self.adoption_number,
            claims=None if claiming is None else claiming.requested_claims(),
            forced_rewrites=frozenset() if request is None else request.forced_rewrites,
        )
        # The preceding read may have changed the view.
        self._expire_adoptions()
        due_jobs = self._schedule().due_jobs(() if claiming is None else claiming.task_counts)
        plan = plan_commit(snapshot, due_jobs)
        self.adoption_number = plan.adoption_number
        if request is not None:
            request.granted.update(plan.granted)
        self._record_oversized(plan)
        return plan

    def _record_oversized(self, plan: CommitPlan) -> None:
        """Logs jobs whose progress is too large for a row, once until it is written again."""
        for name in plan.oversized_jobs:
            if name not in self.oversized_jobs:
                log.error("progress not stored: job=%s reason=oversized", name)
        written = {name for name in self.oversized_jobs if keys.progress_key(name) in plan.transaction.writes}
        self.oversized_jobs -= written
        self.oversized_jobs.update(plan.oversized_jobs)
        self.oversized_jobs &= self.tables.jobs.keys()

    async def _commit(self, plan: CommitPlan, priority: RequestPriority, acquired_changes: int) -> TransactionOutcome:
        """Commits the plan's transaction and updates the tables afterwards."""
        transaction = plan.transaction
        view_number, planned_at = self.leadership.view.number, self.replica.applied_revision
        outcome, revision = await self.client.compare_and_swap(transaction, priority, acquired_changes=acquired_changes)
        log_row_changes(plan.quota_changes, outcome, view_number, revision or planned_at)
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(revision, transaction.writes)
        else:
            log.debug("transaction not committed: keys=%d outcome=%s", len(transaction.conditions), outcome.value)
            await self._read_linearizable()
        self._prune_committed()
        return outcome

    async def _read_linearizable(self) -> bool:
        """Updates the tables by a linearizable read; returns whether it succeeded."""
        try:
            await self.replica.read_linearizable(self.client.timeout_s)
        except StaleReplicaError:
            return False
        return True

    def _schedule(self) -> CommitSchedule:
        return CommitSchedule(
            tables=self.tables,
            updates=self.uncommitted,
            incarnation_id=self.leadership.incarnation_id,
            is_coordinator=self.leadership.is_coordinator,
            delays=CommitDelays(claim_end_s=self.commit_interval_s, other_s=self.settings.lease_s),
            now_s=self.clock.now(),
        )

    def _expire_adoptions(self) -> None:
        self.uncommitted.expire_adoptions(self.leadership.view.number, self.leadership.is_member)

    def _prune_committed(self) -> None:
        self.uncommitted.prune_committed(self.tables, self.leadership.incarnation_id)

    # -- users' requests and garbage collection, concurrent with the transactions above

    async def submit(self, spec: wire.JobSpec) -> Submission | None:
        """Accepts a job; returns None if it cannot be stored now."""
        return await self.job_requests.submit(spec)

    async def cancel(self, name: str, only_unclaimed: bool = False) -> JobStatus | CancelFailure | None:
        """Cancels a job; see `JobRequests.cancel`."""
        return await self.job_requests.cancel(name, only_unclaimed)

    def status(self, name: str) -> JobStatus | None:
        """The job's status according to the replicated tables; None if they do not contain the job."""
        return self.job_requests.status(name)

    async def collect_garbage_forever(self) -> None:
        """Deletes stored rows that are no longer needed, while this controller is the coordinator."""
        await self.garbage_collector.collect_forever()
