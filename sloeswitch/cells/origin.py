"""The origin: chooses jobs that move, and sees each handoff through to its end.

Each job's handoffs are looked after by one controller of the view, chosen by hash, so that a controller that ends
leaves its part to the others; two that look after the same job for a while only ask twice: every change is conditional.
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
from sloeswitch.cells.frames import MOST_SPEC_BYTES, CellAnswer, CellRequest, Offer
from sloeswitch.cells.handoff import OriginRow, Placement, Result
from sloeswitch.cells.messages import Answer, AnswerMessage, HandoffId, Request, RequestMessage
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.cells.selection import candidates, choose, limits_of
from sloeswitch.cells.summary import Resources, Summary, SummaryBook, summarise, task_resources
from sloeswitch.core import keys
from sloeswitch.core.records import FinishedJob, Job, JobState
from sloeswitch.core.row_codec import encode_finished_job, encode_handoff, encode_job
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.features import CellFeatures
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("cells")

# A summary counts for so many controller leases after it was asked for.
SUMMARY_LEASES = 3.0
# A repeatable job runs at home too when its target has not answered for so many worker leases.
TAKE_BACK_LEASES = 4.0
# A job that could start at home is asked for back after so many worker leases, and one that came back stays as long.
STAY_LEASES = 4.0


class Link(Protocol):
    """The way to another cell. Both raise NoAnswerError when there is no answer."""

    async def request(self, request: CellRequest) -> CellAnswer:
        """Asks about a handoff."""

    async def summary(self) -> Summary | None:
        """Asks for the cell's summary."""


@dataclass
class Contact:
    """When a handoff was first looked after here, and when its target last answered."""

    since: float
    answered_at: float
    last_answer: Answer | None = None


class CellOrigin:
    """Owns the peers' summaries and how the handoffs under way were last answered; all else is in the tables."""

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
        self.feature = FeatureRollout("cells", context)
        self.book = SummaryBook(SUMMARY_LEASES * context.settings.controller_lease_s)
        self.contacts: dict[tuple[str, Placement], Contact] = {}
        self.incarnations: dict[str, int] = {}

    # -- loops

    async def select_forever(self) -> None:
        """Offers jobs while the feature is on, and marks that this controller runs with it."""
        while True:
            await self.sleep(self.settings.report_s)
            try:
                await self.mark()
                await self.select()
            except Exception:
                log.exception("while choosing jobs that move")

    async def talk_forever(self, peer: str) -> None:
        """Asks one peer about its room and about the handoffs that it has."""
        while True:
            await self.sleep(self.settings.report_s)
            try:
                await self.talk(peer)
            except (NoAnswerError, StaleReplicaError) as error:
                log.debug("%s: %s", peer, error)
            except Exception:
                log.exception("while talking to %s", peer)

    # -- the switch

    async def mark(self) -> None:
        """Notes that this controller runs with the feature; complete once every configured one does."""
        await self.feature.record_member()

    @property
    def switched_on(self) -> bool:
        """Whether every configured controller of this cell runs with the feature."""
        return self.feature.is_complete

    # -- choosing

    async def select(self) -> None:
        """Stores the moves that are to be made now; the offers follow when the peer is talked to."""
        if not (self.features.moving and self.switched_on and self.leadership.is_leader):
            return
        wall_clock_ms = self.clock.wall_clock_ms()
        movable = {job.spec.id for job in self.waiting_jobs() if self._movable(job, wall_clock_ms)}
        if not movable:
            return
        found = candidates(self.waiting_jobs(), movable, self.tables, self.settings, wall_clock_ms)
        # Every controller gives out its part of what a peer has.
        part = 1.0 / max(1, len(self.leadership.view.members))
        peers = [_part_of(summary, part) for summary in self.book.current(self.now())]
        most = max(1, int(self.features.most_under_way * part))
        for move in choose(found, peers, self._under_way(), limits_of(self.settings, most)):
            job = self.tables.jobs.get(move.job)
            if job is not None and rules.can_move(self.row(job), move.cell, not job.progress.claims):
                await self._move(job, move.cell)

    def _movable(self, job: Job, wall_clock_ms: int) -> bool:
        stays_ms = 1000 * STAY_LEASES * self.settings.lease_s
        return (
            job.delegated is None
            and job.spec_chunks is None
            and not job.progress.claims
            and self.features.policy(job.spec.job_class) is not MovePolicy.NEVER
            and not (job.returned_ms and wall_clock_ms - job.returned_ms < stays_ms)
            and len(msgspec.json.encode(job.spec)) <= MOST_SPEC_BYTES
            and self._looked_after_here(job.spec.id)
        )

    def _looked_after_here(self, name: str) -> bool:
        return self.leadership.owner_of("handoff " + name) == self.settings.member

    def _under_way(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for name, row in self._rows():
            if row.away is not None and self._looked_after_here(name):
                counts[row.away.target] = counts.get(row.away.target, 0) + 1
        return counts

    async def _move(self, job: Job, cell: str) -> None:
        # Larger than any number that this job had: that was no larger than the epoch at which it was stored.
        number = 1 + max(self.replica.applied_revision, job.mod_revision)
        row = rules.move(self.row(job), cell, number)
        conditions = {keys.progress_key(job.spec.id): job.progress_revision, **self.leadership.view_conditions()}
        if await self._store(job, row, conditions):
            log.info("%s is offered to %s", job.spec.id, cell)

    # -- seeing handoffs through

    async def talk(self, peer: str) -> None:
        """One round with a peer: its summary, and each handoff of this controller that it has."""
        link = self.links[peer]
        if self.leadership.is_leader and self.switched_on:
            asked_at = self.now()
            summary = await link.summary()
            if summary is not None and summary.cell == peer and self._heard(peer, summary.incarnation):
                self.book.hear(summary, asked_at)
                await self._acknowledge(summary, link)
        names = [name for name, row in self._rows() if any(each.target == peer for each in row.placements)]
        for name in names:
            if self.leadership.is_leader and self._looked_after_here(name):
                await self._settle(name, peer, link)
        placements = {(name, each) for name, row in self._rows() for each in row.placements}
        self.contacts = {key: contact for key, contact in self.contacts.items() if key in placements}

    async def _acknowledge(self, summary: Summary, link: Link) -> None:
        """Acknowledges once more what ended at the peer and is not on record here any more."""
        if not summary.ended:
            return
        # Guards against tables that lag: a handoff that another controller stored a moment ago is on record.
        await self.replica.read_linearizable(self.client.timeout_s)
        for name, number in summary.ended:
            row = self._current(name)
            if row is None or Placement(summary.cell, number) not in row.placements:
                handoff = HandoffId(self.features.name, name, number)
                await link.request(CellRequest(RequestMessage(handoff, Request.ACKNOWLEDGE), self.features.incarnation))

    def _heard(self, peer: str, incarnation: int) -> bool:
        """Guards against a cell whose state was restored from a copy: it has forgotten what it accepted."""
        if incarnation < self.incarnations.get(peer, 0):
            log.error("%s speaks as incarnation %d, which is over", peer, incarnation)
            return False
        self.incarnations[peer] = incarnation
        return True

    def _rows(self) -> Iterator[tuple[str, OriginRow]]:
        """Jobs with handoffs that may be somewhere."""
        for name, job in list(self.tables.jobs.items()):
            if job.handoff is not None and job.handoff.placements:
                yield name, self.row(job)
        for name in sorted(self.tables.unsettled_jobs):
            over = self.tables.finished_jobs[name]
            if over.handoff is not None:
                yield name, self._over_row(name, over)

    def row(self, job: Job) -> OriginRow:
        """What is stored of a job's handoffs, as the rules take it."""
        policy = self.features.policy(job.spec.job_class)
        row = job.handoff or OriginRow("", job.spec.id, policy)
        result = Result.CANCELLED if job.is_cancelled else None
        return replace(row, cell=self.features.name, begun_at_home=bool(job.progress_revision), result=result)

    def _over_row(self, name: str, over: FinishedJob) -> OriginRow:
        assert over.handoff is not None
        result = Result.DONE if over.is_done else Result.CANCELLED
        return replace(over.handoff, cell=self.features.name, result=result)

    async def _settle(self, name: str, peer: str, link: Link) -> None:
        """Asks a peer about its handoffs of a job, and stores what follows."""
        row = self._current(name)
        if row is None:
            return
        job = self.tables.jobs.get(name)
        for target, message in list(rules.requests(row, job is not None and self._wanted_back(job))):
            if target != peer:
                continue
            placement = Placement(target, message.handoff.number)
            now = self.now()
            contact = self.contacts.setdefault((name, placement), Contact(now, now))
            answer = await self._ask(link, job, message)
            if answer is None:
                await self._take_back(name, placement, contact)
                continue
            contact.answered_at, contact.last_answer = self.now(), answer
            await self._learn(name, AnswerMessage(message.handoff, peer, answer), link)

    async def _ask(self, link: Link, job: Job | None, message: RequestMessage) -> Answer | None:
        offer = None
        if message.request is Request.OFFER and job is not None:
            offer = Offer(msgspec.structs.replace(job.spec, prerequisites=()), job.submitted_ms)
        try:
            reply = await link.request(CellRequest(message, self.features.incarnation, offer))
        except NoAnswerError:
            return None
        return reply.answer

    async def _learn(self, name: str, message: AnswerMessage, link: Link) -> None:
        row = self._current(name)
        if row is None:
            return
        after = rules.learn(row, message)
        if after != row and not await self._store_over_or_live(name, after):
            return  # asked again; the target keeps it until it is acknowledged
        if after != row:
            log.info("%s: %s by %s", name, message.answer.value, message.target)
        acknowledgement = rules.acknowledgement(message)
        if acknowledgement is not None:
            await link.request(CellRequest(acknowledgement, self.features.incarnation))

    async def _take_back(self, name: str, placement: Placement, contact: Contact) -> None:
        """A repeatable job whose target is out of reach for long may run at home."""
        row = self._current(name)
        if row is None or row.away != placement or row.cancelling:
            return
        if self.now() - contact.answered_at < TAKE_BACK_LEASES * self.settings.lease_s:
            return
        after = rules.take_back(row)
        if after != row and await self._store_over_or_live(name, after):
            log.info("%s: %s is out of reach, it may run here too", name, placement.target)

    def _wanted_back(self, job: Job) -> bool:
        """Whether a job that did not begin elsewhere could start at home by now."""
        assert job.handoff is not None
        away = job.handoff.away
        contact = self.contacts.get((job.spec.id, away)) if away is not None else None
        if contact is None or self.now() - contact.since < STAY_LEASES * self.settings.lease_s:
            return False
        own = summarise(self.tables, self.settings, self.features.name, 0, 0)
        task = task_resources(job.spec)
        room = min(task.times_in(own.free), task.times_in(own.room_of_team(job.spec.team)))
        return not own.saturated and room >= job.spec.tasks

    # -- storing

    def _current(self, name: str) -> OriginRow | None:
        job, over = self.tables.jobs.get(name), self.tables.finished_jobs.get(name)
        if job is not None:
            return self.row(job) if job.handoff is not None else None
        return self._over_row(name, over) if over is not None and over.handoff is not None else None

    async def _store_over_or_live(self, name: str, row: OriginRow) -> bool:
        job = self.tables.jobs.get(name)
        if job is not None:
            return await self._store(job, row, {})
        over = self.tables.finished_jobs[name]
        value: dict[str, Any] = {"s": over.status, "n": over.tasks, "t": over.finished_ms}
        if row.placements:
            value["h"] = encode_handoff(row)
        key = keys.job_key(name)
        return await self._commit({key: self.tables.mod_revision(key)}, {key: value})

    async def _store(self, job: Job, row: OriginRow, conditions: dict[str, int]) -> bool:
        """Writes a job's row with its handoffs, on condition of the row as it was read."""
        key = keys.job_key(job.spec.id)
        conditions = {**conditions, key: job.mod_revision}
        if row.result is Result.DONE:
            value = encode_finished_job(JobState.DONE, job.spec, self.clock.wall_clock_ms())
            if row.placements:
                value["h"] = encode_handoff(row)
        elif row.result is Result.CANCELLED and not job.is_cancelled:
            value = self._cancelled(job, row, conditions)
        else:
            came_back = job.handoff is not None and job.handoff.away is not None and row.away is None
            returned_ms = self.clock.wall_clock_ms() if came_back else job.returned_ms
            value = encode_job(job.status, job.spec, job.submitted_ms, job.spec_chunks)
            value["h"] = encode_handoff(row, returned_ms)
            if job.cancelled_ms:
                value["x"] = job.cancelled_ms
        return await self._commit(conditions, {key: value})

    def _cancelled(self, job: Job, row: OriginRow, conditions: dict[str, int]) -> dict[str, Any]:
        if not job.progress_revision:
            conditions[keys.progress_key(job.spec.id)] = 0
            return encode_finished_job(JobState.CANCELLED, job.spec, self.clock.wall_clock_ms())
        value = encode_job(JobState.CANCELLED, job.spec, job.submitted_ms, job.spec_chunks)
        return {**value, "x": self.clock.wall_clock_ms()}

    async def _commit(self, conditions: dict[str, int], writes: dict[str, Any]) -> bool:
        if any(len(wire.encode(value)) > self.client.max_value_bytes for value in writes.values()):
            return False  # too close to the limit for the handoff beside the job; it stays
        outcome, epoch = await self.client.compare_and_swap(Transaction(conditions, writes), RequestPriority.CLAIM)
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(epoch, writes)
        else:
            self.replica.request_read()
        return outcome is TransactionOutcome.COMMITTED


def _part_of(summary: Summary, part: float) -> Summary:
    """What one of a cell's controllers may give out of a peer's room."""
    teams = tuple((name, part * cores, part * gpus) for name, cores, gpus in summary.team_room)
    return replace(summary, free=Resources().plus(summary.free, part), team_room=teams)
