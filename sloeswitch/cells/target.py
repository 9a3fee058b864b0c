"""The target: answers requests of other cells from the stored tables, and stores each change before it answers."""

from __future__ import annotations

import itertools
import logging
from dataclasses import replace
from typing import Any

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.jobs import Jobs
from sloeswitch.cells.delegation import Delegation, DelegationState, TargetDecision, TargetRecord, decide
from sloeswitch.cells.frames import CellRequest, Offer
from sloeswitch.cells.messages import Answer, HandoffId, Request
from sloeswitch.cells.selection import is_zone_independent
from sloeswitch.cells.summary import Summary, summarise, task_resources
from sloeswitch.core import keys
from sloeswitch.core.quota import unschedulable_reason
from sloeswitch.core.records import FeatureStatus, IncomingHandoff, JobState
from sloeswitch.core.row_codec import encode_job
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.features import CellFeatures
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("cells")

# The maximum number of unacknowledged handoffs in one summary; others are listed once these are acknowledged.
MAX_ENDED_HANDOFFS = 100


class CellTarget:
    """Answers requests about handoffs to this cell.

    Keeps only the highest incarnation received from each cell; all other state is in the stored tables.
    """

    def __init__(self, context: ControllerContext, features: CellFeatures, jobs: Jobs) -> None:
        self.settings = context.settings
        self.features = features
        self.client = context.client
        self.replica = context.replica
        self.tables: Tables = context.replica.tables
        self.leadership = context.leadership
        self.jobs = jobs
        self.incarnations: dict[str, int] = {}

    @property
    def rollout_complete(self) -> bool:
        """Whether every configured controller of this cell has run with the feature."""
        return self.tables.features.get("cells", FeatureStatus()).complete

    def summary(self, origin: str = "") -> Summary | None:
        """This cell's summary for an origin.

        None while the rollout is incomplete or this controller may not act for the cell. While `moving` is off, the
        summary has no free capacity, so that the cell is offered no jobs.
        """
        if not (self.rollout_complete and self.leadership.is_leader):
            return None
        name, incarnation, sequence = self.features.name, self.features.incarnation, self.replica.applied_revision
        if not self.features.moving:
            return Summary(name, incarnation, sequence, ended=self._unacknowledged(origin))
        summary = summarise(self.tables, self.settings, name, incarnation, sequence)
        return replace(summary, ended=self._unacknowledged(origin))

    def _unacknowledged(self, origin: str) -> tuple[tuple[str, int], ...]:
        """Handoffs in a final state that the origin has not acknowledged.

        Guards against a lost acknowledgement: the origin has deleted the handoff and sends no more requests about it,
        so that without this list the target's record would never be deleted.
        """
        ended = (
            (name, finished.incoming_handoff.number)
            for name in sorted(self.tables.finished_jobs_with_handoffs)
            if (finished := self.tables.finished_jobs[name]).incoming_handoff is not None
            and finished.incoming_handoff.origin == origin
        )
        return tuple(itertools.islice(ended, MAX_ENDED_HANDOFFS))

    async def answer(self, request: CellRequest) -> Answer | None:
        """Answers a request of another cell; None if it cannot be answered now, and the other cell has to repeat it."""
        handoff = request.message.handoff
        if not self._accept_sender(handoff.origin, request.incarnation) or not self.rollout_complete:
            return None
        if not self.replica.loaded or not self.leadership.is_leader:
            return None
        try:
            await self.replica.read_linearizable(self.client.timeout_s)
        except StaleReplicaError:
            return None
        record = self.record(handoff)
        decision = decide(record, handoff, request.message.request, self._can_accept(handoff, request.offer))
        if not await self._store(record, decision, request):
            return None
        after = self.record(handoff).delegation
        if decision.record.delegation is not None and after is not None and after.handoff == handoff:
            # A claim may have been stored before the withdrawal or stop, so the answer is the stored state.
            return Answer(after.state.value)
        return decision.answer

    def _accept_sender(self, origin: str, incarnation: int) -> bool:
        """Whether the cell is a peer and its incarnation is the highest received; records the incarnation."""
        if origin not in {peer.name for peer in self.features.peers}:
            log.error("unknown peer: cell=%s", origin)
            return False
        if incarnation < self.incarnations.get(origin, 0):
            log.error("stale peer incarnation: peer=%s incarnation=%d", origin, incarnation)
            return False
        self.incarnations[origin] = incarnation
        return True

    def record(self, handoff: HandoffId) -> TargetRecord:
        """The stored record of an origin's handoff of one job, and the origin's floor."""
        floor = self.tables.handoff_floors.get(handoff.origin, 0)
        job = self.tables.jobs.get(handoff.job)
        finished = self.tables.finished_jobs.get(handoff.job)
        delegated = (
            job.incoming_handoff if job is not None else finished.incoming_handoff if finished is not None else None
        )
        if delegated is None or delegated.origin != handoff.origin:
            return TargetRecord(floor)
        if job is None:
            state = DelegationState.DONE if finished is not None and finished.is_done else DelegationState.STOPPED
        elif job.is_cancelled:
            state = DelegationState.STOPPING
        else:
            state = DelegationState.BEGUN if job.progress_revision else DelegationState.ACCEPTED
        return TargetRecord(floor, Delegation(HandoffId(handoff.origin, handoff.job, delegated.number), state))

    def _can_accept(self, handoff: HandoffId, offer: Offer | None) -> bool:
        """Whether the job of an offer can run in this cell and there is free capacity for it now."""
        tables, summary = self.tables, self.summary()
        if offer is None or summary is None or summary.saturated:
            return False
        spec = offer.spec
        # The name is in use by a job of this cell's own users or by an earlier handoff.
        name_in_use = handoff.job in tables.jobs or handoff.job in tables.finished_jobs
        if name_in_use or tables.mod_revision(keys.progress_key(handoff.job)) or spec.id != handoff.job:
            return False
        if spec.prerequisites or not is_zone_independent(spec):
            return False
        if unschedulable_reason(spec, self.settings.teams, tables.machine_types) is not None:
            return False
        if len(wire.encode(self._delegated_job(handoff, offer))) > self.client.max_value_bytes:
            return False
        task = task_resources(spec)
        required = spec.tasks if spec.gang else 1
        return min(task.max_copies_in(summary.free), task.max_copies_in(summary.free_for_team(spec.team))) >= required

    @staticmethod
    def _delegated_job(handoff: HandoffId, offer: Offer) -> dict[str, Any]:
        """Encodes the row of an accepted job."""
        value = encode_job(JobState.LIVE, offer.spec, offer.submitted_ms)
        return {**value, "o": list(IncomingHandoff(handoff.origin, handoff.number))}

    async def _store(self, before: TargetRecord, decision: TargetDecision, request: CellRequest) -> bool:
        """Stores a decision, conditional on the rows that it was made from; returns whether it is certainly stored."""
        after, name = decision.record, request.message.handoff.job
        if after == before:
            return True
        if before.delegation is not None and after.delegation is not None:
            unclaimed = request.message.request is Request.WITHDRAW
            return await self.jobs.cancel(name, only_unclaimed=unclaimed) is not None
        origin = request.message.handoff.origin
        floor, job = keys.handoff_floor_key(origin), keys.job_key(name)
        conditions = {floor: self.tables.mod_revision(floor), **self.leadership.view_conditions()}
        writes: dict[str, Any] = {}
        deletes: list[str] = []
        if after.floor != before.floor:
            writes[floor] = {"n": after.floor}
        if before.delegation is not None:
            conditions[job] = self.tables.mod_revision(job)
            deletes.append(job)
        elif after.delegation is not None:
            assert request.offer is not None
            conditions[job] = conditions[keys.progress_key(name)] = 0
            writes[job] = self._delegated_job(after.delegation.handoff, request.offer)
        outcome, revision = await self.client.compare_and_swap(
            Transaction(conditions, writes, deletes), RequestPriority.CLAIM
        )
        if outcome is TransactionOutcome.COMMITTED and not deletes:
            self.replica.apply_own_write(revision, writes)
        self.replica.request_read()
        return outcome is TransactionOutcome.COMMITTED
