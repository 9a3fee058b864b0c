"""The target: answers other cells' requests, each from what is stored, and stores first what follows from it."""

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
from sloeswitch.cells.selection import may_move_by_shape
from sloeswitch.cells.summary import Summary, summarise, task_resources
from sloeswitch.core import keys
from sloeswitch.core.quota import unschedulable_reason
from sloeswitch.core.records import DelegationOrigin, FeatureStatus, JobState
from sloeswitch.core.row_codec import encode_job
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.features import CellFeatures
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("cells")

# Handoffs without an acknowledgement that are told in one summary; the others follow when these are done.
MOST_ENDED = 100


class CellTarget:
    """Owns nothing but the highest incarnation heard of each cell: all else is in the tables."""

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
    def switched_on(self) -> bool:
        """Whether every configured controller of this cell runs with the feature."""
        return self.tables.features.get("cells", FeatureStatus()).complete

    def summary(self, origin: str = "") -> Summary | None:
        """This cell's summary for another one; None while it cannot know. Without room while it takes no jobs."""
        if not (self.switched_on and self.leadership.is_leader):
            return None
        name, incarnation, sequence = self.features.name, self.features.incarnation, self.replica.applied_revision
        if not self.features.moving:
            return Summary(name, incarnation, sequence, ended=self._ended(origin))
        summary = summarise(self.tables, self.settings, name, incarnation, sequence)
        return replace(summary, ended=self._ended(origin))

    def _ended(self, origin: str) -> tuple[tuple[str, int], ...]:
        """Handoffs of an origin that it has not acknowledged.

        Guards against an acknowledgement that is lost: the origin has forgotten the handoff by then and asks no more,
        and the record would be kept for ever.
        """
        found = (
            (name, over.delegated.number)
            for name in sorted(self.tables.unsettled_jobs)
            if (over := self.tables.finished_jobs[name]).delegated is not None and over.delegated.origin == origin
        )
        return tuple(itertools.islice(found, MOST_ENDED))

    async def answer(self, request: CellRequest) -> Answer | None:
        """What another cell is told; None when that cannot be said now, so that it asks again."""
        handoff = request.message.handoff
        if not self._heard_from(handoff.origin, request.incarnation) or not self.switched_on:
            return None
        if not self.replica.loaded or not self.leadership.is_leader:
            return None
        try:
            await self.replica.read_linearizable(self.client.timeout_s)
        except StaleReplicaError:
            return None
        record = self.record(handoff)
        decision = decide(record, handoff, request.message.request, self._has_room(handoff, request.offer))
        if not await self._store(record, decision, request):
            return None
        after = self.record(handoff).delegation
        if decision.record.delegation is not None and after is not None and after.handoff == handoff:
            # A claim may have been quicker than a withdrawal or a stop: what is stored counts.
            return Answer(after.state.value)
        return decision.answer

    def _heard_from(self, origin: str, incarnation: int) -> bool:
        """Whether the cell is a peer, in the highest incarnation that it was heard in."""
        if origin not in {peer.name for peer in self.features.peers}:
            log.error("%s is no peer of this cell", origin)
            return False
        if incarnation < self.incarnations.get(origin, 0):
            log.error("%s speaks as incarnation %d, which is over", origin, incarnation)
            return False
        self.incarnations[origin] = incarnation
        return True

    def record(self, handoff: HandoffId) -> TargetRecord:
        """What is stored of an origin's handoffs of one job."""
        floor = self.tables.handoff_floors.get(handoff.origin, 0)
        job = self.tables.jobs.get(handoff.job)
        over = self.tables.finished_jobs.get(handoff.job)
        delegated = job.delegated if job is not None else over.delegated if over is not None else None
        if delegated is None or delegated.origin != handoff.origin:
            return TargetRecord(floor)
        if job is None:
            state = DelegationState.DONE if over is not None and over.is_done else DelegationState.STOPPED
        elif job.is_cancelled:
            state = DelegationState.STOPPING
        else:
            state = DelegationState.BEGUN if job.progress_revision else DelegationState.ACCEPTED
        return TargetRecord(floor, Delegation(HandoffId(handoff.origin, handoff.job, delegated.number), state))

    def _has_room(self, handoff: HandoffId, offer: Offer | None) -> bool:
        """Whether an offer is to be accepted: it can run here, and there is room now."""
        tables, summary = self.tables, self.summary()
        if offer is None or summary is None or summary.saturated:
            return False
        spec = offer.spec
        # A job of this cell's own users, or what is left of an earlier handoff, has the name.
        known = handoff.job in tables.jobs or handoff.job in tables.finished_jobs
        if known or tables.mod_revision(keys.progress_key(handoff.job)) or spec.id != handoff.job:
            return False
        if spec.prerequisites or not may_move_by_shape(spec):
            return False
        if unschedulable_reason(spec, self.settings.teams, tables.machine_types) is not None:
            return False
        if len(wire.encode(self._delegated_job(handoff, offer))) > self.client.max_value_bytes:
            return False
        task = task_resources(spec)
        least = spec.tasks if spec.gang else 1
        return min(task.times_in(summary.free), task.times_in(summary.room_of_team(spec.team))) >= least

    @staticmethod
    def _delegated_job(handoff: HandoffId, offer: Offer) -> dict[str, Any]:
        """A handed over job, as it is stored."""
        value = encode_job(JobState.LIVE, offer.spec, offer.submitted_ms)
        return {**value, "o": list(DelegationOrigin(handoff.origin, handoff.number))}

    async def _store(self, before: TargetRecord, decision: TargetDecision, request: CellRequest) -> bool:
        """Stores what was decided, on condition of what it was decided from; whether that is stored for certain."""
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
        drops: list[str] = []
        if after.floor != before.floor:
            writes[floor] = {"n": after.floor}
        if before.delegation is not None:
            conditions[job] = self.tables.mod_revision(job)
            drops.append(job)
        elif after.delegation is not None:
            assert request.offer is not None
            conditions[job] = conditions[keys.progress_key(name)] = 0
            writes[job] = self._delegated_job(after.delegation.handoff, request.offer)
        outcome, epoch = await self.client.compare_and_swap(
            Transaction(conditions, writes, drops), RequestPriority.CLAIM
        )
        if outcome is TransactionOutcome.COMMITTED and not drops:
            self.replica.apply_own_write(epoch, writes)
        self.replica.request_read()
        return outcome is TransactionOutcome.COMMITTED
