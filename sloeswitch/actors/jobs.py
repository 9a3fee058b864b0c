"""The jobs actor: every write to job records, and the updates of jobs that are not committed yet.

One transaction at a time: completions, releases and adoptions that are due, together with the claims that the
machines actor requests (`ClaimRequest`), go into one conditional transaction (see `core.commit_planner`). A conflict
means that another controller was quicker: the tables are read afresh and the next transaction is planned from them.
"""

from __future__ import annotations

import itertools
import logging
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import Actor
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.cells.handoff import OriginRow, request_cancellation
from sloeswitch.core import keys
from sloeswitch.core.commit_planner import CommitLimits, CommitPlan, CommitSnapshot, plan_commit
from sloeswitch.core.commit_schedule import CommitDelays, CommitSchedule
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.row_codec import encode_finished_job, encode_handoff, encode_job, encode_job_links, split_spec
from sloeswitch.core.uncommitted_updates import TaskUpdates, UncommittedUpdates, add_tasks
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

__all__ = ["ClaimRequest", "Jobs", "TaskUpdates", "add_tasks"]

log = logging.getLogger("jobs")

# The part of a request's bytes that the values of one transaction may take.
VALUES_FRACTION = 0.8


class Jobs(Actor):
    """Owns the uncommitted updates of jobs; the only one that writes job records.

    The machines actor sends it `TaskUpdates` and `ClaimRequest`; users' requests and other cells call `submit`,
    `cancel` and `status`, which run beside the transactions of `commit_forever`.
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
        self.now = context.clock.now
        self.uncommitted = UncommittedUpdates()
        self.request: ClaimRequest | None = None
        self.wake = anyio.Event()
        # How long the last updates of a job wait for others, in seconds; see CommitDelays.
        self.batch_s = 0.3
        # Values of a transaction beyond this size may leave no place for another one in it.
        self.most_bytes = max(0, int(VALUES_FRACTION * wire.MAX_BODY) - context.settings.value_bytes)
        # The number of this incarnation's next row of adoptions.
        self.adoption_number = 0
        self.tries = 0
        # When parts of a spec without a job were first seen.
        self.lone_since: dict[tuple[str, str], float] = {}

    # -- messages

    async def handle(self, message: TaskUpdates | ClaimRequest) -> None:
        """Takes updates, or the request for the next transaction; an earlier request that still waits is refused."""
        if isinstance(message, TaskUpdates):
            self.uncommitted.merge(message, self.now())
        else:
            if self.request is not None:
                self.request.reply(False)
            self.request = message
        self.wake.set()

    def reset_claims(self) -> None:
        """Starts a new incarnation of this controller: the claims of the earlier one are not its own any more."""
        self.uncommitted.reset_claims()

    # -- transactions

    async def commit_forever(self) -> None:
        """Commits what is due, in one transaction after the other."""
        while True:
            with anyio.move_on_after(self.batch_s):
                await self.wake.wait()
            self.wake = anyio.Event()
            try:
                await self._commit_round()
            except Exception:
                log.exception("transaction failed")
                await anyio.sleep(self.batch_s)

    async def _commit_round(self) -> None:
        """Commits at most one transaction and answers the claim request that waits."""
        request, self.request = self.request, None
        outcome = await self._commit_due(request)
        if request is not None:
            request.reply(outcome is TransactionOutcome.COMMITTED)
        if outcome in (TransactionOutcome.UNKNOWN, TransactionOutcome.REJECTED):
            await anyio.sleep(self.batch_s / 2)

    async def _commit_due(self, request: ClaimRequest | None) -> TransactionOutcome | None:
        """Commits the due updates together with the request; None if there is nothing to commit."""
        if not self.replica.loaded or not self.leadership.incarnation:
            return None
        is_leader = self.leadership.is_leader
        self._expire_adoptions()
        needed_changes = self._estimate_changes(request if is_leader else None)
        if not needed_changes:
            return None
        is_urgent = request is not None or self._schedule().is_urgent()
        priority = RequestPriority.CLAIM if is_urgent else RequestPriority.PROGRESS
        # The rate first, then the freshest tables: conditions that wait for their turn grow stale, and a
        # transaction that fails on them costs as much as one that does not.
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
        """How many changes the next transaction will need, as far as can be told before the tables are read afresh."""
        changes = len(self._schedule().due_jobs(() if request is None else request.task_counts))
        if request is not None:
            changes += request.quota_change_count
        if self.tables.layout_complete and self.uncommitted.jobs_with_adoptions(self.tables.jobs):
            # The row of adoptions, and a team's allocation.
            changes += 2
        return changes

    def _plan(self, request: ClaimRequest | None, is_leader: bool, available_changes: int) -> CommitPlan:
        """Plans the next transaction from the tables as they are; without the claims unless this is the leader."""
        claiming = request if is_leader else None
        snapshot = CommitSnapshot(
            tables=self.tables,
            teams=self.settings.teams,
            incarnation_id=self.leadership.incarnation_id,
            updates=self.uncommitted.by_job,
            limits=CommitLimits(
                available_changes, self.client.txn_ops, self.client.value_bytes, total_bytes=self.most_bytes
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
        if snapshot.groups_adoptions or not self.tables.layout_complete:
            self._expire_adoptions()
        due_jobs = self._schedule().due_jobs(() if claiming is None else claiming.task_counts)
        plan = plan_commit(snapshot, due_jobs)
        self.adoption_number = plan.adoption_number
        if request is not None:
            request.granted.update(plan.granted)
        for name in plan.oversized_jobs:
            log.error("progress not stored: job=%s reason=oversized", name)
        return plan

    async def _commit(self, plan: CommitPlan, priority: RequestPriority, acquired_changes: int) -> TransactionOutcome:
        """Commits the plan's transaction, and brings the tables to the state after it."""
        transaction = plan.transaction
        outcome, revision = await self.client.compare_and_swap(
            transaction.conditions, transaction.writes, transaction.deletes, priority, paid=acquired_changes
        )
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(revision, transaction.writes)
        else:
            log.debug("transaction not committed: keys=%d outcome=%s", len(transaction.conditions), outcome.value)
            await self._read_linearizable()
        self._prune_committed()
        return outcome

    async def _read_linearizable(self) -> bool:
        """Reads the tables afresh; returns whether that was possible."""
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
            delays=CommitDelays(last_s=self.batch_s, other_s=self.settings.lease_s),
            now_s=self.now(),
        )

    def _expire_adoptions(self) -> None:
        self.uncommitted.expire_adoptions(self.leadership.view.number, self.leadership.is_member)

    def _prune_committed(self) -> None:
        self.uncommitted.prune_committed(self.tables, self.leadership.incarnation_id)

    def _finished_row(self, job: Job, status: JobState) -> dict[str, Any]:
        """The row of a job that ends now, with what it keeps of other cells."""
        return encode_finished_job(status, job.spec, self.clock.wall_clock_ms()) | encode_job_links(job, over=True)

    # -- users' requests; each runs beside the rounds, as its own conditional write

    async def submit(self, spec: wire.JobSpec) -> tuple[str, bool] | None:
        """Accepts a job. Its status and whether it is new, or None when it cannot be stored now."""
        key = keys.job_key(spec.id)
        now_ms = self.clock.wall_clock_ms()
        value = encode_job(JobState.LIVE, spec, now_ms)
        conditions = {key: 0}
        if len(wire.encode(value)) > self.client.value_bytes:
            # An earlier layout reads no parts.
            head = await self._store_parts(spec) if self.tables.layout_complete else None
            if head is None:
                return None
            attempt, count, stamp = head
            value = encode_job(JobState.LIVE, spec, now_ms, (attempt, count))
            conditions[keys.chunk_key(spec.id, attempt, 0)] = stamp
        outcome, epoch = await self.client.compare_and_swap(conditions, {key: value}, [], RequestPriority.USER)
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(epoch, {key: value})
            return self.status(spec.id) or self._first_status(spec), True
        if outcome is TransactionOutcome.REJECTED:
            return None
        # Somebody stored it before us, or the answer was lost: read what is there.
        try:
            await self.replica.read_linearizable(self.client.timeout_s)
        except StaleReplicaError:
            return None
        status = self.status(spec.id)
        return None if status is None else (status, False)

    def _first_status(self, spec: wire.JobSpec) -> str:
        """What a job that was just accepted is: cancelled at once if it names a cancelled one."""
        gone = any(self.status(name) == wire.CANCELLED for name in spec.prerequisites)
        return wire.CANCELLED if gone else wire.QUEUED

    async def _store_parts(self, spec: wire.JobSpec) -> tuple[str, int, int] | None:
        """Stores a spec that fits no value in parts, the first part last: its name, how many there are and the
        stamp of the first, or None. The job's row is written on condition of that stamp, so that no job is
        accepted whose parts were taken for left over (see _clear_away)."""
        self.tries += 1
        attempt = f"{self.leadership.incarnation_id}.{self.tries}"
        texts = split_spec(spec, self.client.value_bytes)
        chunk_keys = [keys.chunk_key(spec.id, attempt, number) for number in range(len(texts))]
        left = list(zip(chunk_keys, texts, strict=True))
        most = max(1, min(self.client.txn_ops, self.most_bytes // self.client.value_bytes))
        while left:
            batch = dict(left[-most:])
            del left[-most:]
            outcome, _epoch = await self.client.compare_and_swap(
                dict.fromkeys(batch, 0), batch, [], RequestPriority.USER
            )
            if outcome is not TransactionOutcome.COMMITTED:
                return None
        try:
            await self.replica.read_linearizable(self.client.timeout_s)
        except StaleReplicaError:
            return None
        stored = self.tables.spec_chunks.get(spec.id, {}).get(attempt, {})
        return (attempt, len(texts), self.tables.mod_revision(chunk_keys[0])) if len(stored) == len(texts) else None

    # -- what is left over

    async def collect_garbage_forever(self) -> None:
        while True:
            await anyio.sleep(self.settings.report_s)
            try:
                if self.replica.loaded and self.leadership.is_coordinator:
                    await self._collect_garbage()
            except Exception:
                log.exception("while clearing away")

    async def _collect_garbage(self) -> None:
        """Drops the progress of jobs that are over, adoptions of former runs, and parts of specs that are no job's.
        Guards against the parts of a submission whose controller ended, or that another one was quicker with, being
        kept for ever. Those go on condition of the first part, which is stored last and dropped first, and of the
        job's row: either this fails or a submission under way does."""
        now = self.now()
        most = self.client.available_changes(RequestPriority.PROGRESS)
        drops = [keys.progress_key(name) for name in itertools.islice(self.tables.leftover_progress, most)]
        conditions: dict[str, int] = {}
        if self.tables.recovery_complete():
            former = [
                key for key, tag in self.tables.adoption_keys.items() if tag not in self.tables.view.incarnation_ids
            ]
            if former and len(drops) < most:
                # Void like all else that they claimed. A run in the view keeps its own (see _adopt_together).
                drops += former[: most - len(drops)]
                conditions.update(self.leadership.view_conditions())
        lone: dict[tuple[str, str], float] = {}
        for name, attempts in self.tables.spec_chunks.items():
            job = self.tables.jobs.get(name)
            over = name in self.tables.finished_jobs
            for attempt, texts in attempts.items():
                if job is not None and job.spec_chunks is not None and job.spec_chunks[0] == attempt:
                    continue
                since = lone[name, attempt] = self.lone_since.get((name, attempt), now)
                if len(drops) >= most or not (over or now - since > 4 * self.settings.lease_s):
                    continue
                if not over:
                    first = keys.chunk_key(name, attempt, 0)
                    conditions[first] = self.tables.mod_revision(first)
                    conditions[keys.job_key(name)] = 0 if job is None else job.mod_revision
                drops += [keys.chunk_key(name, attempt, number) for number in sorted(texts)][: most - len(drops)]
        self.lone_since = lone
        if drops:
            conditions.update({key: self.tables.mod_revision(key) for key in drops})
            await self.client.compare_and_swap(conditions, {}, drops, RequestPriority.PROGRESS)
            self.replica.request_read()

    async def cancel(self, name: str, only_unclaimed: bool = False) -> str | None:
        """Cancels a job: the final status, "" when there is no such job, None when it cannot be stored now, or another
        cell may still start or hold a task of it. `only_unclaimed`: not if a task of it was ever claimed."""
        for _ in range(4):
            if name in self.tables.finished_jobs:
                return self.status(name)
            job = self.tables.jobs.get(name)
            if job is None:
                try:
                    await self.replica.read_linearizable(self.client.timeout_s)
                except StaleReplicaError:
                    return None
                if self.status(name) is None:
                    return ""
                continue
            if job.is_cancelled:
                return wire.CANCELLED
            if only_unclaimed and job.progress_revision:
                return None
            if job.handoff is not None and job.handoff.placements:
                await self._request_cancellation(job, job.handoff)
                return None
            key = keys.job_key(name)
            conditions = {key: job.mod_revision}
            if job.progress_revision:
                value = encode_job(JobState.CANCELLED, job.spec, job.submitted_ms, job.spec_chunks) | encode_job_links(
                    job
                )
                # Whoever has its tasks then is to be done with them in time, over changes of owner too.
                value["x"] = self.clock.wall_clock_ms()
            else:
                # Never claimed, so nowhere: it is over with the same change.
                value = self._finished_row(job, JobState.CANCELLED)
                conditions[keys.progress_key(name)] = 0
            outcome, epoch = await self.client.compare_and_swap(conditions, {key: value}, [], RequestPriority.USER)
            if outcome is TransactionOutcome.COMMITTED:
                self.replica.apply_own_write(epoch, {key: value})
                return wire.CANCELLED
            if outcome is TransactionOutcome.REJECTED:
                return None
            try:
                await self.replica.read_linearizable(self.client.timeout_s)
            except StaleReplicaError:
                return None
        return None

    async def _request_cancellation(self, job: Job, handoff: OriginRow) -> None:
        """Stores that the user wants the cancellation; the cells that may have the job are asked to stop it."""
        if handoff.cancelling:
            return
        wanted = encode_handoff(request_cancellation(handoff), job.returned_ms)
        value = encode_job(job.status, job.spec, job.submitted_ms, job.spec_chunks) | {"h": wanted}
        key = keys.job_key(job.spec.id)
        outcome, epoch = await self.client.compare_and_swap(
            {key: job.mod_revision}, {key: value}, [], RequestPriority.USER
        )
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(epoch, {key: value})

    def status(self, name: str) -> str | None:
        """The status that the tables tell, in the users' words."""
        over = self.tables.finished_jobs.get(name)
        if over is not None:
            return wire.DONE if over.is_done else wire.CANCELLED
        job = self.tables.jobs.get(name)
        if job is None:
            return None
        if job.is_cancelled:
            return wire.CANCELLED
        return wire.RUNNING if any(job.progress.claims.values()) else wire.QUEUED
