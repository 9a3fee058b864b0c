"""Deletes stored rows that are no longer needed. Only the coordinator does so, for all controllers."""

from __future__ import annotations

import itertools
import logging
from typing import NamedTuple

import anyio

from sloeswitch.actors.context import ControllerContext
from sloeswitch.core import keys
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority

log = logging.getLogger("jobs")

# The age, in worker leases, at which spec chunks without a job are garbage. No submission takes that long.
ORPHAN_AGE_LEASES = 4


class SpecAttempt(NamedTuple):
    """Identifies one attempt to store the spec of a job in chunks."""

    job: str
    attempt: str


class GarbageCollector:
    """Deletes the progress of finished jobs, adoptions of departed incarnations, and chunks of specs without a job.

    Chunks without a job remain when the submitting controller terminates or when another controller stores the same job
    first. Their deletion is conditional on the revisions of the job's row and of the first chunk, which is stored last
    and deleted first. If a submission is in flight at the same time, either the deletion or the submission fails.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._settings = context.settings
        self._client = context.client
        self._replica = context.replica
        self._tables = context.tables
        self._leadership = context.leadership
        self._now = context.clock.now
        # When this controller first saw chunks that no job refers to, in seconds on the monotonic clock.
        self._orphaned_since_s: dict[SpecAttempt, float] = {}

    async def collect_forever(self) -> None:
        """Collects garbage once per report interval while this controller is the coordinator."""
        while True:
            await anyio.sleep(self._settings.report_s)
            try:
                if self._replica.loaded and self._leadership.is_coordinator:
                    await self.collect()
            except Exception:
                log.exception("garbage collection failed")

    async def collect(self) -> None:
        """Deletes garbage in one transaction, as much as the write rate currently allows."""
        max_changes = self._client.available_changes(RequestPriority.PROGRESS)
        transaction = Transaction()
        self._add_progress(transaction, max_changes)
        self._add_adoptions(transaction, max_changes)
        self._add_orphaned_chunks(transaction, max_changes)
        if transaction.deletes:
            transaction.conditions.update({key: self._tables.mod_revision(key) for key in transaction.deletes})
            await self._client.compare_and_swap(transaction, RequestPriority.PROGRESS)
            self._replica.request_read()

    def _add_progress(self, transaction: Transaction, max_changes: int) -> None:
        """Adds the deletion of the progress of finished jobs."""
        finished = itertools.islice(self._tables.leftover_progress, max_changes)
        transaction.deletes.extend(keys.progress_key(name) for name in finished)

    def _add_adoptions(self, transaction: Transaction, max_changes: int) -> None:
        """Adds the deletion of adoptions of departed incarnations, which are void like all their claims.

        The adoptions of incarnations in the view are kept (see `core.commit_planner`).
        """
        if not self._tables.recovery_complete():
            return
        members = self._tables.view.incarnation_ids
        departed = [key for key, holder in self._tables.adoption_keys.items() if holder not in members]
        if departed and len(transaction.deletes) < max_changes:
            transaction.deletes.extend(departed[: max_changes - len(transaction.deletes)])
            transaction.conditions.update(self._leadership.view_conditions())

    def _add_orphaned_chunks(self, transaction: Transaction, max_changes: int) -> None:
        """Adds the deletion of spec chunks that no job refers to, if they are old enough or the job is finished."""
        now_s = self._now()
        max_age_s = ORPHAN_AGE_LEASES * self._settings.lease_s
        orphaned_since_s: dict[SpecAttempt, float] = {}
        for orphan in self._orphaned_attempts():
            since_s = orphaned_since_s[orphan] = self._orphaned_since_s.get(orphan, now_s)
            is_garbage = orphan.job in self._tables.finished_jobs or now_s - since_s > max_age_s
            if is_garbage and len(transaction.deletes) < max_changes:
                self._add_chunks(transaction, orphan, max_changes)
        self._orphaned_since_s = orphaned_since_s

    def _orphaned_attempts(self) -> list[SpecAttempt]:
        """Returns the stored attempts other than those that a job's row refers to."""
        orphans: list[SpecAttempt] = []
        for name, attempts in self._tables.spec_chunks.items():
            job = self._tables.jobs.get(name)
            used = None if job is None or job.spec_chunks is None else job.spec_chunks.attempt
            orphans += [SpecAttempt(name, attempt) for attempt in attempts if attempt != used]
        return orphans

    def _add_chunks(self, transaction: Transaction, orphan: SpecAttempt, max_changes: int) -> None:
        """Adds the deletion of the chunks of one attempt, from the first to the last."""
        name, attempt = orphan
        if name not in self._tables.finished_jobs:
            job = self._tables.jobs.get(name)
            first_chunk = keys.chunk_key(name, attempt, 0)
            transaction.conditions[first_chunk] = self._tables.mod_revision(first_chunk)
            transaction.conditions[keys.job_key(name)] = 0 if job is None else job.mod_revision
        chunk_keys = [keys.chunk_key(name, attempt, number) for number in sorted(self._chunks(orphan))]
        transaction.deletes.extend(chunk_keys[: max_changes - len(transaction.deletes)])

    def _chunks(self, orphan: SpecAttempt) -> dict[int, str]:
        return self._tables.spec_chunks[orphan.job][orphan.attempt]
