"""The origin: selects the jobs to move, and drives each handoff to its final state.

Each job's handoffs are managed by one controller of the view, chosen by hash, so that the other controllers take over
the handoffs of one that leaves. If two controllers manage the same job for a while, requests are only sent twice,
because every stored change is conditional.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Protocol

import anyio
import msgspec

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.feature_rollout import FeatureRollout
from sloeswitch.cells import handoff as rules
from sloeswitch.cells.frames import MAX_SPEC_BYTES, CellAnswer, CellRequest, Offer
from sloeswitch.cells.handoff import OpenHandoff, OriginRow, Result
from sloeswitch.cells.messages import Answer, AnswerMessage, HandoffId, Request, RequestMessage
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.cells.selection import choose_moves, find_candidates, move_limits
from sloeswitch.cells.summary import Resources, Summary, SummaryCache, summarise, task_resources
from sloeswitch.core import keys
from sloeswitch.core.records import FinishedJob, Job, JobState
from sloeswitch.core.row_codec import encode_finished_job, encode_handoffs, encode_job
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.features import CellFeatures
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("cells")

# How long a summary is used after it was requested, in controller leases.
SUMMARY_MAX_AGE_LEASES = 3.0
# A repeatable job may run in its origin too when its target has not answered for this time, in worker leases.
RECALL_LEASES = 4.0
# The minimum time in one cell, in worker leases: an offered job that could start in its origin is withdrawn after this
# time, and a returned job is not offered again before it has passed.
MIN_STAY_LEASES = 4.0


class Link(Protocol):
    """Sends requests to another cell. Both methods raise NoAnswerError if there is no answer."""

    async def request(self, request: CellRequest) -> CellAnswer:
        """Sends a request about a handoff."""

    async def summary(self) -> Summary | None:
        """Requests the cell's summary; None if the cell has none now."""


@dataclass
class HandoffContact:
    """When this controller first sent a request about a handoff, and when the target last answered."""

    first_request_at: float
    last_answer_at: float
    last_answer: Answer | None = None


class CellOrigin:
    """Selects jobs to move and drives their handoffs.

    Keeps only the peers' summaries and incarnations and when handoffs were last answered; all other state is in the
    stored tables.
    """

    def __init__(
        self,
        context: ControllerContext,
        features: CellFeatures,
        waiting_jobs: Callable[[], list[Job]],
        links: dict[str, Link],
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.settings = context.settings
        self.features = features
        self.client = context.client
        self.replica = context.replica
        self.tables: Tables = context.replica.tables
        self.leadership = context.leadership
        self.waiting_jobs = waiting_jobs
        self.links = links
        self.clock = context.clock
        self.now = context.clock.now
        self.sleep = sleep
        self.rollout = FeatureRollout("cells", context)
        self.summaries = SummaryCache(SUMMARY_MAX_AGE_LEASES * context.settings.controller_lease_s)
        self.contacts: dict[tuple[str, OpenHandoff], HandoffContact] = {}
        self.incarnations: dict[str, int] = {}

    # -- loops

    async def select_moves_forever(self) -> None:
        """Selects jobs to move in every report interval, and records that this controller runs with the feature."""
        while True:
            await self.sleep(self.settings.report_s)
            try:
                await self.record_member()
                await self.select_moves()
            except Exception:
                log.exception("move selection failed")

    async def poll_peer_forever(self, peer: str) -> None:
        """Requests one peer's summary and the state of its handoffs in every report interval."""
        while True:
            await self.sleep(self.settings.report_s)
            try:
                await self.poll_peer(peer)
            except (NoAnswerError, StaleReplicaError) as error:
                log.debug("peer request failed: peer=%s error=%s", peer, error)
            except Exception:
                log.exception("peer exchange failed: peer=%s", peer)

    # -- rollout

    async def record_member(self) -> None:
        """Stores that this controller runs with the feature; the rollout is complete once each configured one has."""
        await self.rollout.record_member()

    @property
    def rollout_complete(self) -> bool:
        """Whether every configured controller of this cell has run with the feature."""
        return self.rollout.is_complete

    # -- selection

    async def select_moves(self) -> None:
        """Selects jobs to move and stores their handoffs; the offers are sent with the next requests to the peer."""
        if not (self.features.moving and self.rollout_complete and self.leadership.is_leader):
            return
        wall_clock_ms = self.clock.wall_clock_ms()
        movable = {job.spec.id for job in self.waiting_jobs() if self._is_movable(job, wall_clock_ms)}
        if not movable:
            return
        candidates = find_candidates(self.waiting_jobs(), movable, self.tables, self.settings, wall_clock_ms)
        # Each controller may use an equal share of the free capacity of a peer.
        share = 1.0 / max(1, len(self.leadership.view.members))
        peers = [_scale_summary(summary, share) for summary in self.summaries.current(self.now())]
        max_in_flight = max(1, int(self.features.max_in_flight * share))
        for move in choose_moves(
            candidates, peers, self._in_flight_by_target(), move_limits(self.settings, max_in_flight)
        ):
            job = self.tables.jobs.get(move.job)
            if job is not None and rules.can_move(self.row(job), move.cell, not job.progress.claims):
                await self._start_handoff(job, move.cell)

    def _is_movable(self, job: Job, wall_clock_ms: int) -> bool:
        min_stay_ms = 1000 * MIN_STAY_LEASES * self.settings.lease_s
        return (
            job.incoming_handoff is None
            and job.spec_chunks is None
            and not job.progress.claims
            and self.features.policy(job.spec.job_class) is not MovePolicy.NEVER
            and not (job.returned_ms and wall_clock_ms - job.returned_ms < min_stay_ms)
            and len(msgspec.json.encode(job.spec)) <= MAX_SPEC_BYTES
            and self._manages_handoffs_of(job.spec.id)
        )

    def _manages_handoffs_of(self, name: str) -> bool:
        return self.leadership.owner_of("handoff " + name) == self.settings.member

    def _in_flight_by_target(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for name, row in self._rows_with_handoffs():
            if row.moved_to is not None and self._manages_handoffs_of(name):
                counts[row.moved_to.target] = counts.get(row.moved_to.target, 0) + 1
        return counts

    async def _start_handoff(self, job: Job, cell: str) -> None:
        # Larger than the number of any earlier handoff of the job: each is at most the revision at which it was stored.
        number = 1 + max(self.replica.applied_revision, job.mod_revision)
        row = rules.move(self.row(job), cell, number)
        conditions = {keys.progress_key(job.spec.id): job.progress_revision, **self.leadership.view_conditions()}
        if await self._store_live_row(job, row, conditions):
            log.info("job offered: job=%s peer=%s", job.spec.id, cell)

    # -- driving handoffs

    async def poll_peer(self, peer: str) -> None:
        """Requests a peer's summary, then sends the requests about each handoff to it that this controller manages."""
        link = self.links[peer]
        if self.leadership.is_leader and self.rollout_complete:
            requested_at = self.now()
            summary = await link.summary()
            if summary is not None and summary.cell == peer and self._accept_incarnation(peer, summary.incarnation):
                self.summaries.add(summary, requested_at)
                await self._acknowledge(summary, link)
        names = [
            name for name, row in self._rows_with_handoffs() if any(each.target == peer for each in row.open_handoffs)
        ]
        for name in names:
            if self.leadership.is_leader and self._manages_handoffs_of(name):
                await self._send_requests(name, peer, link)
        open_handoffs = {(name, each) for name, row in self._rows_with_handoffs() for each in row.open_handoffs}
        self.contacts = {key: contact for key, contact in self.contacts.items() if key in open_handoffs}

    async def _acknowledge(self, summary: Summary, link: Link) -> None:
        """Acknowledges again the handoffs that are in a final state at the peer and no longer on record here."""
        if not summary.ended:
            return
        # Without this read, lagging tables may lack a handoff that another controller stored just before.
        await self.replica.read_linearizable(self.client.timeout_s)
        for name, number in summary.ended:
            row = self._current_row(name)
            if row is None or OpenHandoff(summary.cell, number) not in row.open_handoffs:
                handoff = HandoffId(self.features.name, name, number)
                await link.request(CellRequest(RequestMessage(handoff, Request.ACKNOWLEDGE), self.features.incarnation))

    def _accept_incarnation(self, peer: str, incarnation: int) -> bool:
        """Records a peer's incarnation; False if it is older than the latest one.

        Guards against a cell whose state was restored from a copy and lacks handoffs that it accepted.
        """
        if incarnation < self.incarnations.get(peer, 0):
            log.error("stale peer incarnation: peer=%s incarnation=%d", peer, incarnation)
            return False
        self.incarnations[peer] = incarnation
        return True

    def _rows_with_handoffs(self) -> Iterator[tuple[str, OriginRow]]:
        """Yields the jobs with handoffs that a target may still have on record."""
        for name, job in list(self.tables.jobs.items()):
            if job.outgoing_handoffs is not None and job.outgoing_handoffs.open_handoffs:
                yield name, self.row(job)
        for name in sorted(self.tables.finished_jobs_with_handoffs):
            finished = self.tables.finished_jobs[name]
            if finished.outgoing_handoffs is not None:
                yield name, self._finished_row(name, finished)

    def row(self, job: Job) -> OriginRow:
        """The stored handoffs of a job, completed with what the handoff rules need."""
        policy = self.features.policy(job.spec.job_class)
        row = job.outgoing_handoffs or OriginRow("", job.spec.id, policy)
        result = Result.CANCELLED if job.is_cancelled else None
        return replace(row, cell=self.features.name, claimed_in_origin=bool(job.progress_revision), result=result)

    def _finished_row(self, name: str, finished: FinishedJob) -> OriginRow:
        assert finished.outgoing_handoffs is not None
        result = Result.DONE if finished.is_done else Result.CANCELLED
        return replace(finished.outgoing_handoffs, cell=self.features.name, result=result)

    async def _send_requests(self, name: str, peer: str, link: Link) -> None:
        """Sends the pending requests about a job's handoffs to a peer, and stores what its answers change."""
        row = self._current_row(name)
        if row is None:
            return
        job = self.tables.jobs.get(name)
        for target, message in list(rules.requests(row, job is not None and self._should_withdraw(job))):
            if target != peer:
                continue
            open_handoff = OpenHandoff(target, message.handoff.number)
            now = self.now()
            contact = self.contacts.setdefault((name, open_handoff), HandoffContact(now, now))
            answer = await self._ask(link, job, message)
            if answer is None:
                await self._recall_if_unreachable(name, open_handoff, contact)
                continue
            contact.last_answer_at, contact.last_answer = self.now(), answer
            await self._apply_answer(name, AnswerMessage(message.handoff, peer, answer), link)

    async def _ask(self, link: Link, job: Job | None, message: RequestMessage) -> Answer | None:
        offer = None
        if message.request is Request.OFFER and job is not None:
            offer = Offer(msgspec.structs.replace(job.spec, prerequisites=()), job.submitted_ms)
        try:
            reply = await link.request(CellRequest(message, self.features.incarnation, offer))
        except NoAnswerError:
            return None
        return reply.answer

    async def _apply_answer(self, name: str, message: AnswerMessage, link: Link) -> None:
        row = self._current_row(name)
        if row is None:
            return
        after = rules.apply_answer(row, message)
        if after != row and not await self._store_row(name, after):
            return  # the request is repeated; the target keeps its record until it is acknowledged
        if after != row:
            log.info("handoff answered: job=%s answer=%s peer=%s", name, message.answer.value, message.target)
        acknowledgement = rules.acknowledgement(message)
        if acknowledgement is not None:
            await link.request(CellRequest(acknowledgement, self.features.incarnation))

    async def _recall_if_unreachable(self, name: str, open_handoff: OpenHandoff, contact: HandoffContact) -> None:
        """Lets a repeatable job run in the origin too if its target was unreachable for too long."""
        row = self._current_row(name)
        if row is None or row.moved_to != open_handoff or row.cancelling:
            return
        if self.now() - contact.last_answer_at < RECALL_LEASES * self.settings.lease_s:
            return
        after = rules.recall(row)
        if after != row and await self._store_row(name, after):
            log.info("job recalled: job=%s peer=%s reason=unreachable", name, open_handoff.target)

    def _should_withdraw(self, job: Job) -> bool:
        """Whether to withdraw a job because it could start here now.

        The target keeps the job if it has claimed a task of it.
        """
        assert job.outgoing_handoffs is not None
        moved_to = job.outgoing_handoffs.moved_to
        contact = self.contacts.get((job.spec.id, moved_to)) if moved_to is not None else None
        if contact is None or self.now() - contact.first_request_at < MIN_STAY_LEASES * self.settings.lease_s:
            return False
        summary = summarise(self.tables, self.settings, self.features.name, 0, 0)
        task = task_resources(job.spec)
        startable = min(task.max_copies_in(summary.free), task.max_copies_in(summary.free_for_team(job.spec.team)))
        return not summary.saturated and startable >= job.spec.tasks

    # -- storing

    def _current_row(self, name: str) -> OriginRow | None:
        job, finished = self.tables.jobs.get(name), self.tables.finished_jobs.get(name)
        if job is not None:
            return self.row(job) if job.outgoing_handoffs is not None else None
        return (
            self._finished_row(name, finished)
            if finished is not None and finished.outgoing_handoffs is not None
            else None
        )

    async def _store_row(self, name: str, row: OriginRow) -> bool:
        job = self.tables.jobs.get(name)
        if job is not None:
            return await self._store_live_row(job, row, {})
        finished = self.tables.finished_jobs[name]
        value: dict[str, Any] = {"s": finished.status, "n": finished.tasks, "t": finished.finished_ms}
        if row.open_handoffs:
            value["h"] = encode_handoffs(row)
        key = keys.job_key(name)
        return await self._commit({key: self.tables.mod_revision(key)}, {key: value})

    async def _store_live_row(self, job: Job, row: OriginRow, conditions: dict[str, int]) -> bool:
        """Writes a job's row with its handoffs, conditional on the row's revision when it was read."""
        key = keys.job_key(job.spec.id)
        conditions = {**conditions, key: job.mod_revision}
        if row.result is Result.DONE:
            value = encode_finished_job(JobState.DONE, job.spec, self.clock.wall_clock_ms())
            if row.open_handoffs:
                value["h"] = encode_handoffs(row)
        elif row.result is Result.CANCELLED and not job.is_cancelled:
            value = self._encode_cancelled(job, row, conditions)
        else:
            returned = (
                job.outgoing_handoffs is not None
                and job.outgoing_handoffs.moved_to is not None
                and row.moved_to is None
            )
            returned_ms = self.clock.wall_clock_ms() if returned else job.returned_ms
            value = encode_job(job.status, job.spec, job.submitted_ms, job.spec_chunks)
            value["h"] = encode_handoffs(row, returned_ms)
            if job.cancelled_ms:
                value["x"] = job.cancelled_ms
        return await self._commit(conditions, {key: value})

    def _encode_cancelled(self, job: Job, row: OriginRow, conditions: dict[str, int]) -> dict[str, Any]:
        if not job.progress_revision:
            conditions[keys.progress_key(job.spec.id)] = 0
            return encode_finished_job(JobState.CANCELLED, job.spec, self.clock.wall_clock_ms())
        value = encode_job(JobState.CANCELLED, job.spec, job.submitted_ms, job.spec_chunks)
        return {**value, "x": self.clock.wall_clock_ms()}

    async def _commit(self, conditions: dict[str, int], writes: dict[str, Any]) -> bool:
        if any(len(wire.encode(value)) > self.client.max_value_bytes for value in writes.values()):
            return False  # the row with the handoff would exceed the value size limit, so the job is not moved
        outcome, revision = await self.client.compare_and_swap(Transaction(conditions, writes), RequestPriority.CLAIM)
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(revision, writes)
        else:
            self.replica.request_read()
        return outcome is TransactionOutcome.COMMITTED


def _scale_summary(summary: Summary, share: float) -> Summary:
    """Returns a summary with the given share of the peer's free capacity."""
    teams = tuple((name, share * cores, share * gpus) for name, cores, gpus in summary.team_room)
    return replace(summary, free=Resources().plus(summary.free, share), team_room=teams)
