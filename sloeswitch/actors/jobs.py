"""Jobs: every write to job records. Owns what is learnt but not yet stored.

One round at a time: completions, releases and adoptions that are due, together with the claims that the
machines actor asked for (its ClaimRequest), go into one conditional transaction. A conflict means that
somebody else was quicker: the tables are read afresh and the next round starts from them.
"""

from __future__ import annotations

import contextlib
import itertools
import logging
from dataclasses import dataclass, field
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import Actor, ActorRequest
from sloeswitch.actors.context import ControllerContext
from sloeswitch.cells.handoff import OriginRow, request_cancellation
from sloeswitch.core import keys, quota, taskset
from sloeswitch.core.records import Job, JobState, Progress
from sloeswitch.core.row_codec import encode_finished_job, encode_handoff, encode_job, encode_job_links, split_spec
from sloeswitch.core.tables import Tables
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("jobs")


@dataclass
class ClaimRequest(ActorRequest):
    """Claim so many tasks of these jobs, and ask for these allowances of teams. Answered when that is
    in the tables, or not to be had."""

    task_counts: dict[str, int] = field(default_factory=dict)
    quota_increases: dict[str, tuple[float, float]] = field(default_factory=dict)
    # Smaller allowances, each with the stamp of the stored ones that the asker went by.
    quota_decreases: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    # Teams whose allowance is to be written even if it stays, so that an earlier write fails for certain.
    forced_rewrites: set[str] = field(default_factory=set)
    zones: dict[str, str] = field(default_factory=dict)
    # Of jobs whose tasks are bound to zones, which ones: those for which there is room.
    zone_bound_tasks: dict[str, int] = field(default_factory=dict)
    # What was taken, as sets of tasks by job: free until then, whether or not the write went through.
    granted: dict[str, int] = field(default_factory=dict)


@dataclass
class TaskUpdates:
    """What the machines actor learnt since it last told, as sets of tasks by job: one message however
    much there is. Found on the bench: a message a task overran the inbox when a controller took over
    all machines at once."""

    done: dict[str, int] = field(default_factory=dict)
    # Claimed by this controller, and nowhere: to be open to others.
    released: dict[str, int] = field(default_factory=dict)
    # Found on machines that were another controller's and are ours under this view.
    adopted: dict[str, int] = field(default_factory=dict)
    view_number: int = 0

    def __bool__(self) -> bool:
        return bool(self.done or self.released or self.adopted)


def add_tasks(sets: dict[str, int], job: str, tasks: int) -> None:
    sets[job] = sets.get(job, 0) | tasks


@dataclass
class UncommittedUpdates:
    """What is learnt of a job and not yet in the tables, as sets of tasks."""

    done: int = 0
    released: int = 0
    adopted: int = 0
    adopted_view: int = 0
    since: float = 0.0


class Jobs(Actor):
    name = "jobs"

    def __init__(self, context: ControllerContext) -> None:
        super().__init__(context.settings.fd_limit)
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.tables: Tables = context.replica.tables
        self.leadership = context.leadership
        self.clock = context.clock
        self.now = context.clock.now
        self.uncommitted: dict[str, UncommittedUpdates] = {}
        self.request: ClaimRequest | None = None
        self.wake = anyio.Event()
        # A job's last completions wait this long for company; users expect them within 3 s (protocol).
        self.batch_s = 0.3
        # Others wait longer: until they are stored the worker reports them again to whoever asks. What is
        # lost with a machine in that time is done once more, which costs less than the writes.
        self.lazy_s = context.settings.lease_s
        # Values of a round beyond this size may leave no place for another one in a transaction.
        self.most_bytes = max(0, int(0.8 * wire.MAX_BODY_BYTES) - context.settings.value_bytes)
        self.tries = 0
        self.adoptions_made = 0
        # When parts of a spec without a job were first seen.
        self.lone_since: dict[tuple[str, str], float] = {}

    # -- messages

    async def handle(self, message: Any) -> None:
        if isinstance(message, TaskUpdates):
            for name, tasks in message.done.items():
                self._uncommitted_for(name).done |= tasks
            for name, tasks in message.released.items():
                self._uncommitted_for(name).released |= tasks
            for name, tasks in message.adopted.items():
                note = self._uncommitted_for(name)
                if message.view_number > note.adopted_view:
                    note.adopted, note.adopted_view = 0, message.view_number
                if message.view_number == note.adopted_view:
                    note.adopted |= tasks
        elif isinstance(message, ClaimRequest):
            if self.request is not None:
                self.request.reply(False)
            self.request = message
        self.wake.set()

    def _uncommitted_for(self, job: str) -> UncommittedUpdates:
        note = self.uncommitted.get(job)
        if note is None:
            note = self.uncommitted[job] = UncommittedUpdates(since=self.now())
        return note

    def reset_claims(self) -> None:
        """A new run of the controller: claims are not its own any more. Completions stay true."""
        for note in self.uncommitted.values():
            note.released = note.adopted = 0

    # -- rounds

    async def commit_forever(self) -> None:
        while True:
            with anyio.move_on_after(self.batch_s):
                await self.wake.wait()
            self.wake = anyio.Event()
            try:
                await self._commit_round()
            except Exception:
                log.exception("while storing")
                await anyio.sleep(self.batch_s)

    async def _commit_round(self) -> None:
        request, self.request = self.request, None
        if not self.replica.loaded or not self.leadership.incarnation:
            if request is not None:
                request.reply(False)
            return
        acting = self.leadership.is_leader
        names = self._due(request if acting else None)
        cost = len(names) + (
            len(request.quota_increases) + len(request.quota_decreases) if request is not None and acting else 0
        )
        cost += 2 * bool(self.tables.layout_complete and self._adopted())
        if not cost:
            if request is not None:
                request.reply(False)
            return
        urgency = RequestPriority.PROGRESS if request is None and not self._pressing() else RequestPriority.CLAIM
        # The rate first, then the freshest tables: conditions that wait for their turn grow stale, and a
        # transaction that fails on them costs as much as one that does not.
        room = self.client.available_changes(urgency)
        paid = min(cost, room)
        await self.client.acquire_changes(paid, urgency)
        if request is not None and acting:
            try:
                await self.replica.read_linearizable(self.client.timeout_s)
            except StaleReplicaError:
                acting = False
        self._prune_committed()
        acting = acting and self.leadership.is_leader
        names = self._due(request if acting else None)
        settled = self.tables.recovery_complete()
        conditions: dict[str, int] = {}
        writes: dict[str, Any] = {}
        claimed = False
        size = 0
        teams: dict[str, dict[str, tuple[float, float]]] = {}
        shrinking = len(request.quota_decreases) if request is not None and acting else 0
        adopted: dict[str, Any] = {}
        if self.tables.layout_complete and shrinking + 2 <= self.client.txn_ops:
            adopted = self._adopt_together(teams, settled, room)
        if adopted:
            key = keys.adoption_key(self.leadership.incarnation_id, self.adoptions_made)
            writes[key], conditions[key] = {"m": adopted}, 0
            claimed = True
        if request is not None and acting:
            tag = self.leadership.incarnation_id
            for team, wanted in request.quota_increases.items():
                if adopted and team not in teams and len(teams) + 1 >= room:
                    continue  # asked for again
                limit = self.settings.teams[team]
                held = self._held(teams, team, settled)
                # An adoption may have raised it since; only the asker knows when less will do.
                mine = held.get(tag, (0.0, 0.0))
                more = max(wanted[0], mine[0]), max(wanted[1], mine[1])
                teams[team] = quota.reallocate(held, (limit.cpus_max, limit.gpus_max), tag, more)
            for team, (stamp, cores, gpus) in request.quota_decreases.items():
                if stamp == self.tables.mod_revision(keys.team_key(team)):
                    held = self._held(teams, team, settled)
                    mine = held.get(tag, (0.0, 0.0))
                    held[tag] = min(mine[0], cores), min(mine[1], gpus)
                    teams[team] = held
        room -= len(teams)
        for name in names:
            job = self.tables.jobs.get(name)
            if job is None:
                continue
            want = request.task_counts.get(name, 0) if request is not None and acting else 0
            team = job.spec.team
            adopting = self.uncommitted[name].adopted if name in self.uncommitted and name not in adopted else 0
            done = job.progress.done | (self.uncommitted[name].done if name in self.uncommitted else 0)
            if done == job.all_tasks:
                adopting = 0
            cost = 1 + (1 if adopting and team not in teams else 0)
            if len(writes) + cost > room or size > self.most_bytes:
                break
            if adopting:
                # The task's part of the limit comes with it, in the same transaction.
                room -= team not in teams
                self._move_allowance(teams, job, adopting, settled)
            voiding = settled and acting and bool(self.tables.void_claim_holders(job))
            progress = self._updated(job, voiding)
            if voiding:
                claimed = True  # relies on the view
            gained = False
            if want and job.is_runnable:
                gained = self._claim(job, progress, want, request)
            if gained or adopting:
                claimed = True
            if not progress.claims:
                # None of its tasks is anywhere, so that none binds the others to a zone. Guards against a job that
                # waits for ever in a zone whose machines are gone.
                progress.zone = None
            size += self._put(job, progress, conditions, writes)
        for team, held in teams.items():
            value = {tag: list(amounts) for tag, amounts in held.items() if amounts[0] > 0 or amounts[1] > 0}
            if held != self.tables.quota_allocations.get(team, {}) or (
                request is not None and team in request.forced_rewrites
            ):
                writes[keys.team_key(team)] = value
                conditions[keys.team_key(team)] = self.tables.mod_revision(keys.team_key(team))
                claimed = True
        if not writes:
            self.client.refund_changes(paid)
            if request is not None:
                request.reply(False)
            return
        if claimed:
            conditions.update(self.leadership.view_conditions())
        outcome, epoch = await self.client.compare_and_swap(conditions, writes, [], urgency, paid=paid)
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(epoch, writes)
        else:
            log.debug("stored nothing of %d values: %s", len(conditions), outcome.value)
            with contextlib.suppress(StaleReplicaError):
                await self.replica.read_linearizable(self.client.timeout_s)
        self._prune_committed()
        if request is not None:
            request.reply(outcome is TransactionOutcome.COMMITTED)
        if outcome in (TransactionOutcome.UNKNOWN, TransactionOutcome.REJECTED):
            await anyio.sleep(self.batch_s / 2)

    def _adopted(self) -> list[str]:
        """Jobs with adoptions to be stored. Those of one team share the change of its allowance."""
        for note in self.uncommitted.values():
            # An adoption holds for the view in which the machine was ours. Stored later, it would take
            # the task back from the machine's new owner, and the task would be started a second time.
            if note.adopted_view != self.leadership.view.number or not self.leadership.is_member:
                note.adopted = 0
        names = [name for name, note in self.uncommitted.items() if note.adopted and name in self.tables.jobs]
        return sorted(names, key=lambda name: self.tables.jobs[name].spec.team)

    def _adopt_together(
        self, teams: dict[str, dict[str, tuple[float, float]]], settled: bool, room: int
    ) -> dict[str, Any]:
        """Adoptions of many jobs as one value. Found on the bench: after a crash of all a change for each job and
        controller took half a minute of the state service's rate, and free room waited for it. The value counts
        in addition to the jobs' own rows, by the epoch that these tell (see tables). Its key is written once,
        and is kept while this run is in the view that the write is conditional on: carried out late, it fails."""
        names = self._adopted()
        stored: dict[str, Any] = {}
        left = self.client.value_bytes - len('{"m":{}}')
        for name in names:
            job = self.tables.jobs[name]
            if job.spec.team not in teams and teams and len(teams) + 1 >= room:
                break
            tasks = self.uncommitted[name].adopted & ~job.progress.done
            packed = taskset.pack_dense(tasks)
            while not stored and tasks and len(wire.encode({name: packed})) > left:
                tasks = taskset.lowest(tasks, tasks.bit_count() // 2)
                packed = taskset.pack_dense(tasks)
            left -= len(wire.encode({name: packed}))
            if left < 0:
                break
            if tasks:
                stored[name] = packed
                self._move_allowance(teams, job, tasks, settled)
        # A write without an answer is tried again under its own key, unless it was carried out.
        if keys.adoption_key(self.leadership.incarnation_id, self.adoptions_made) in self.tables.adoption_keys:
            self.adoptions_made += 1
        return stored

    def _move_allowance(
        self, teams: dict[str, dict[str, tuple[float, float]]], job: Job, adopted: int, settled: bool
    ) -> None:
        """The part of the limit that adopted tasks take comes with them."""
        held = self._held(teams, job.spec.team, settled)
        for holder, mask in job.progress.claims.items():
            if holder != self.leadership.incarnation_id and mask & adopted:
                held = quota.transfer(
                    held, holder, self.leadership.incarnation_id, job.spec, (mask & adopted).bit_count()
                )
        teams[job.spec.team] = held

    def _due(self, request: ClaimRequest | None) -> list[str]:
        """Jobs to be written in this round, the most urgent first."""
        # Before the mark adoptions are stored job by job, in turns with claims: what is adopted runs meanwhile,
        # but free room should not wait.
        adopting = [] if self.tables.layout_complete else self._adopted()
        wanted = list(request.task_counts) if request is not None else []
        pairs = itertools.zip_longest(wanted, adopting)
        taken = [name for pair in pairs for name in pair if name is not None]
        now = self.now()
        ending: list[str] = []
        others: list[str] = []
        for name, note in self.uncommitted.items():
            if now - note.since >= self._patience_s(name, note):
                job = self.tables.jobs.get(name)
                ends = job is not None and job.all_tasks == job.progress.done | note.done
                (ending if ends else others).append(name)
        # Ends of jobs come first, those that others wait for before all. Where a transaction takes few changes
        # claims alone would fill every round, and jobs that are done would not be told so.
        ending.sort(key=lambda name: name not in self.tables.graph.successors)
        settled = self.tables.recovery_complete()
        for name, job in self.tables.jobs.items():
            if job.is_cancelled and self._withdrawn_over(job, settled):
                others.append(name)
        return list(dict.fromkeys([*ending, *taken, *others]))

    def _patience_s(self, name: str, note: UncommittedUpdates) -> float:
        """How long what is learnt of a job waits for company."""
        if not self._runs_dry(name, note):
            return self.lazy_s
        return 0.0 if name in self.tables.graph.successors else self.batch_s

    def _pressing(self) -> bool:
        """Whether somebody waits for what is learnt: adoptions hold up the view, and users expect to be
        told of a job's end."""
        return any(note.adopted or self._runs_dry(name, note) for name, note in self.uncommitted.items())

    def _held(
        self, teams: dict[str, dict[str, tuple[float, float]]], team: str, settled: bool
    ) -> dict[str, tuple[float, float]]:
        """The team's allowances so far in this round, those of departed controllers left out once no
        task that they covered can exist."""
        if team in teams:
            return teams[team]
        held = self.tables.quota_allocations.get(team, {})
        if not settled:
            return dict(held)
        tags = self.tables.view.incarnation_ids
        return {tag: amounts for tag, amounts in held.items() if tag in tags}

    def _runs_dry(self, name: str, note: UncommittedUpdates) -> bool:
        """Whether this controller has nothing of the job left to do, so that others may wait for it."""
        job = self.tables.jobs.get(name)
        if job is None:
            return False
        mine = job.progress.claims.get(self.leadership.incarnation_id, 0)
        return not mine & ~(note.done | note.released) or bool(note.released)

    def _withdrawn_over(self, job: Job, settled: bool) -> bool:
        """Whether a cancelled job has no task left that may exist. The coordinator puts those away
        that no claim holder will."""
        if not self.leadership.is_coordinator:
            return False
        tags = self.tables.view.incarnation_ids
        return not any(mask for tag, mask in job.progress.claims.items() if tag in tags or not settled)

    def _updated(self, job: Job, settled: bool) -> Progress:
        """The job's progress with what is not yet stored."""
        progress = job.progress.copy()
        if settled:
            for tag in self.tables.void_claim_holders(job):
                del progress.claims[tag]
        note = self.uncommitted.get(job.spec.id)
        if note is None:
            return progress
        tag = self.leadership.incarnation_id
        progress.done |= note.done & job.all_tasks
        adopted = note.adopted & ~progress.done & job.all_tasks
        for holder in list(progress.claims):
            mask = progress.claims[holder] & ~progress.done
            mask &= ~(note.released if holder == tag else adopted)
            progress.claims[holder] = mask
        if adopted:
            progress.claims[tag] = progress.claims.get(tag, 0) | adopted
        progress.claims = {holder: mask for holder, mask in progress.claims.items() if mask}
        return progress

    def _claim(self, job: Job, progress: Progress, want: int, request: ClaimRequest | None) -> bool:
        spec = job.spec
        note = self.uncommitted.get(spec.id)
        # What is being released is for others to take.
        free = job.all_tasks & ~progress.done & ~progress.claimed_tasks() & ~(note.released if note else 0)
        if spec.gang and want < free.bit_count():
            return False
        if (
            spec.zone_bound
            and progress.zone is None
            and (request is None or spec.id not in request.zones or progress.claims)
        ):
            # Guards against tasks claimed ahead of any room: without a stored zone they would go to any. Those that
            # an earlier version claimed so are to be gone before there is one.
            return False
        if spec.zone_bound and request is not None:
            free &= request.zone_bound_tasks.get(spec.id, 0)
        gained = taskset.lowest(free, want)
        if not gained:
            return False
        tag = self.leadership.incarnation_id
        progress.claims[tag] = progress.claims.get(tag, 0) | gained
        if request is not None:
            request.granted[spec.id] = gained
            if spec.id in request.zones and progress.zone is None:
                progress.zone = request.zones[spec.id]
        return True

    def _put(self, job: Job, progress: Progress, conditions: dict[str, int], writes: dict[str, Any]) -> int:
        """Adds what is to be stored of the job to a transaction, and tells about how many bytes that is. The
        progress of a job that is over is dropped later (see _clear_away): its end should be one change."""
        name = job.spec.id
        job_key, progress_key = keys.job_key(name), keys.progress_key(name)
        known = {job_key: job.mod_revision, progress_key: job.progress_revision}
        if job.status == JobState.LIVE and progress.done == job.all_tasks:
            writes[job_key] = self._finished_row(job, JobState.DONE)
        elif job.is_cancelled and not progress.claims:
            writes[job_key] = self._finished_row(job, JobState.CANCELLED)
        else:
            dense = self.tables.layout_complete
            value = progress.stored(dense)
            if value == job.progress.stored(dense):
                return 0
            if self.tables.adoption_keys:
                # Right after a first reading the job's row may be newer than all that is surely known.
                value["e"] = max(self.replica.applied_revision, job.progress.adoption_revision)
            size = len(wire.encode(value))
            if size > self.client.value_bytes:
                log.error("progress of %s is too scattered to be stored now", name)
                return 0
            writes[progress_key] = value
            conditions.update(known)
            return size
        conditions.update(known)
        return 0

    def _finished_row(self, job: Job, status: JobState) -> dict[str, Any]:
        """The row of a job that ends now, with what it keeps of other cells."""
        return encode_finished_job(status, job.spec, self.clock.wall_clock_ms()) | encode_job_links(job, over=True)

    def _prune_committed(self) -> None:
        """Forgets what the tables hold by now."""
        tag = self.leadership.incarnation_id
        for name in list(self.uncommitted):
            note = self.uncommitted[name]
            job = self.tables.jobs.get(name)
            if job is None:
                if name in self.tables.finished_jobs:
                    del self.uncommitted[name]
                continue
            progress = job.progress
            note.done &= ~progress.done
            note.released &= progress.claims.get(tag, 0)
            note.adopted &= ~progress.claims.get(tag, 0) & ~progress.done
            if not (note.done or note.released or note.adopted):
                del self.uncommitted[name]

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
