"""Jobs: every write to job records. Owns what is learnt but not yet stored.

One round at a time: completions, releases and adoptions that are due, together with the claims that the
machines actor asked for (its Steal), go into one conditional transaction. A conflict means that
somebody else was quicker: the tables are read afresh and the next round starts from them.
"""

from __future__ import annotations

import contextlib
import itertools
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from sloeswitch import wire
from sloeswitch.actors.base import Actor, Ask
from sloeswitch.actors.membership import Standing
from sloeswitch.core import quota, taskset
from sloeswitch.core import tables as t
from sloeswitch.core.tables import DONE, LIVE, WITHDRAWN, Job, Progress, Tables
from sloeswitch.settings import Settings
from sloeswitch.state import Outcome, Replica, Stale, StateClient, Urgency

log = logging.getLogger("jobs")


@dataclass
class Steal(Ask):
    """Claim so many tasks of these jobs, and ask for these allowances of teams. Answered when that is
    in the tables, or not to be had."""

    wants: dict[str, int] = field(default_factory=dict)
    grow: dict[str, tuple[float, float]] = field(default_factory=dict)
    # Smaller allowances, each with the stamp of the stored ones that the asker went by.
    shrink: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    # Teams whose allowance is to be written even if it stays, so that an earlier write fails for certain.
    rewrite: set[str] = field(default_factory=set)
    zones: dict[str, str] = field(default_factory=dict)
    # What was taken, as sets of tasks by job: free until then, whether or not the write went through.
    gained: dict[str, int] = field(default_factory=dict)


@dataclass
class Learnt:
    """What the machines actor learnt since it last told, as sets of tasks by job: one message however
    much there is. Found on the bench: a message a task overran the inbox when a controller took over
    all machines at once."""

    done: dict[str, int] = field(default_factory=dict)
    # Claimed by this controller, and nowhere: to be open to others.
    released: dict[str, int] = field(default_factory=dict)
    # Found on machines that were another controller's and are ours under this view.
    adopted: dict[str, int] = field(default_factory=dict)
    view: int = 0

    def __bool__(self) -> bool:
        return bool(self.done or self.released or self.adopted)


def note_task(sets: dict[str, int], job: str, tasks: int) -> None:
    sets[job] = sets.get(job, 0) | tasks


def stored_job(status: str, spec: wire.JobSpec, submitted_ms: int) -> dict[str, Any]:
    """A job that is not over, as it is stored."""
    return {"s": status, "n": spec.tasks, "t": submitted_ms, "spec": msgspec.to_builtins(spec)}


@dataclass
class Unstored:
    """What is learnt of a job and not yet in the tables, as sets of tasks."""

    done: int = 0
    released: int = 0
    adopted: int = 0
    adopted_view: int = 0
    since: float = 0.0


class Jobs(Actor):
    name = "jobs"

    def __init__(
        self, settings: Settings, client: StateClient, replica: Replica, standing: Standing,
        now: Callable[[], float],
    ) -> None:  # fmt: skip
        super().__init__(settings.fd_limit)
        self.settings = settings
        self.client = client
        self.replica = replica
        self.tables: Tables = replica.tables
        self.standing = standing
        self.now = now
        self.unstored: dict[str, Unstored] = {}
        self.steal: Steal | None = None
        self.wake = anyio.Event()
        # A job's last completions wait this long for company; users expect them within 3 s (protocol).
        self.batch_s = 0.3
        # Others wait longer: until they are stored the worker reports them again to whoever asks. What is
        # lost with a machine in that time is done once more, which costs less than the writes.
        self.lazy_s = settings.lease_s
        self.largest = int(settings.value_kb * 1024 * 0.9)
        # Values of a round beyond this size may leave no place for another one in a transaction.
        self.most_bytes = max(0, int(0.8 * wire.MAX_BODY) - self.largest)

    # -- messages

    async def handle(self, message: Any) -> None:
        if isinstance(message, Learnt):
            for name, tasks in message.done.items():
                self._note(name).done |= tasks
            for name, tasks in message.released.items():
                self._note(name).released |= tasks
            for name, tasks in message.adopted.items():
                note = self._note(name)
                if message.view > note.adopted_view:
                    note.adopted, note.adopted_view = 0, message.view
                if message.view == note.adopted_view:
                    note.adopted |= tasks
        elif isinstance(message, Steal):
            if self.steal is not None:
                self.steal.reply(False)
            self.steal = message
        self.wake.set()

    def _note(self, job: str) -> Unstored:
        note = self.unstored.get(job)
        if note is None:
            note = self.unstored[job] = Unstored(since=self.now())
        return note

    def forget(self) -> None:
        """A new run of the controller: claims are not its own any more. Completions stay true."""
        for note in self.unstored.values():
            note.released = note.adopted = 0

    # -- rounds

    async def store_forever(self) -> None:
        while True:
            with anyio.move_on_after(self.batch_s):
                await self.wake.wait()
            self.wake = anyio.Event()
            try:
                await self._round()
            except Exception:
                log.exception("while storing")
                await anyio.sleep(self.batch_s)

    async def _round(self) -> None:
        steal, self.steal = self.steal, None
        if not self.replica.loaded or not self.standing.boot:
            if steal is not None:
                steal.reply(False)
            return
        acting = self.standing.may_act
        names = self._due(steal if acting else None)
        cost = len(names) + (len(steal.grow) + len(steal.shrink) if steal is not None and acting else 0)
        if not cost:
            if steal is not None:
                steal.reply(False)
            return
        urgency = Urgency.PROGRESS if steal is None and not self._pressing() else Urgency.CLAIM
        # The rate first, then the freshest tables: conditions that wait for their turn grow stale, and a
        # transaction that fails on them costs as much as one that does not.
        room = self.client.most_changes(urgency)
        paid = min(cost, room)
        await self.client.pay(paid, urgency)
        if steal is not None and acting:
            try:
                await self.replica.fresh(self.client.timeout_s)
            except Stale:
                acting = False
        self._tidy()
        acting = acting and self.standing.may_act
        names = self._due(steal if acting else None)
        settled = self.tables.all_settled()
        conditions: dict[str, int] = {}
        writes: dict[str, Any] = {}
        drops: list[str] = []
        claimed = False
        size = 0
        teams: dict[str, dict[str, tuple[float, float]]] = {}
        if steal is not None and acting:
            tag = self.standing.tag
            for team, wanted in steal.grow.items():
                limit = self.settings.teams[team]
                held = self._held(teams, team, settled)
                # An adoption may have raised it since; only the asker knows when less will do.
                mine = held.get(tag, (0.0, 0.0))
                more = max(wanted[0], mine[0]), max(wanted[1], mine[1])
                teams[team] = quota.reallot(held, (limit.cpus_max, limit.gpus_max), tag, more)
            for team, (stamp, cores, gpus) in steal.shrink.items():
                if stamp == self.tables.stamp(t.team_key(team)):
                    held = self._held(teams, team, settled)
                    mine = held.get(tag, (0.0, 0.0))
                    held[tag] = min(mine[0], cores), min(mine[1], gpus)
                    teams[team] = held
            room -= len(teams)
        for name in names:
            job = self.tables.jobs.get(name)
            if job is None:
                continue
            want = steal.wants.get(name, 0) if steal is not None and acting else 0
            team = job.spec.team
            adopting = name in self.unstored and self.unstored[name].adopted
            done = job.progress.done | (self.unstored[name].done if name in self.unstored else 0)
            # What ends a job takes two changes, also when it was cancelled. Found on the bench: counted as
            # one, it made a transaction larger than the state service takes.
            ends = done == job.everything or job.status == WITHDRAWN
            cost = (2 if ends else 1) + (1 if adopting and team not in teams else 0)
            if len(writes) + len(drops) + cost > room or size > self.most_bytes:
                break
            if adopting:
                # The task's part of the limit comes with it, in the same transaction.
                room -= team not in teams
                held = self._held(teams, team, settled)
                for holder, mask in job.progress.claims.items():
                    if holder != self.standing.tag and mask & adopting:
                        count = (mask & adopting).bit_count()
                        held = quota.move(held, holder, self.standing.tag, job.spec, count)
                teams[team] = held
            voiding = settled and acting and bool(self.tables.abandoned(job))
            progress = self._updated(job, voiding)
            if voiding:
                claimed = True  # relies on the view
            gained = False
            if want and job.status == LIVE:
                gained = self._claim(job, progress, want, steal)
            if gained or adopting:
                claimed = True
            size += self._put(job, progress, conditions, writes, drops)
        for team, held in teams.items():
            value = {tag: list(amounts) for tag, amounts in held.items() if amounts[0] > 0 or amounts[1] > 0}
            if held != self.tables.allowances.get(team, {}) or (steal is not None and team in steal.rewrite):
                writes[t.team_key(team)] = value
                conditions[t.team_key(team)] = self.tables.stamp(t.team_key(team))
                claimed = True
        if not writes and not drops:
            if steal is not None:
                steal.reply(False)
            return
        if claimed:
            conditions.update(self.standing.claim_conditions())
        outcome, _epoch = await self.client.commit(conditions, writes, drops, urgency, paid=paid)
        if outcome is not Outcome.DONE:
            log.debug("stored nothing of %d values: %s", len(conditions), outcome.value)
        with contextlib.suppress(Stale):
            await self.replica.fresh(self.client.timeout_s)
        self._tidy()
        if steal is not None:
            steal.reply(outcome is Outcome.DONE)
        if outcome in (Outcome.UNKNOWN, Outcome.REFUSED):
            await anyio.sleep(self.batch_s / 2)

    def _due(self, steal: Steal | None) -> list[str]:
        """Jobs to be written in this round, the most urgent first."""
        adopting: list[str] = []
        for name, note in self.unstored.items():
            # An adoption holds for the view in which the machine was ours. Stored later, it would take
            # the task back from the machine's new owner, and the task would be started a second time.
            if note.adopted_view != self.standing.view.number or not self.standing.included:
                note.adopted = 0
            if note.adopted and name in self.tables.jobs:
                adopting.append(name)
        # Adoptions and claims take turns: what is adopted runs meanwhile, but free room should not wait.
        # Those of one team share the change of its allowance.
        adopting.sort(key=lambda name: self.tables.jobs[name].spec.team)
        wanted = list(steal.wants) if steal is not None else []
        pairs = itertools.zip_longest(wanted, adopting)
        names = dict.fromkeys(name for pair in pairs for name in pair if name is not None)
        now = self.now()
        for name, note in self.unstored.items():
            if now - note.since >= (self.batch_s if self._runs_dry(name, note) else self.lazy_s):
                names[name] = None
        settled = self.tables.all_settled()
        for name, job in self.tables.jobs.items():
            if job.status == WITHDRAWN and self._withdrawn_over(job, settled):
                names[name] = None
        return list(names)

    def _pressing(self) -> bool:
        """Whether somebody waits for what is learnt: adoptions hold up the view, and users expect to be
        told of a job's end."""
        return any(note.adopted or self._runs_dry(name, note) for name, note in self.unstored.items())

    def _held(
        self, teams: dict[str, dict[str, tuple[float, float]]], team: str, settled: bool
    ) -> dict[str, tuple[float, float]]:
        """The team's allowances so far in this round, those of departed controllers left out once no
        task that they covered can exist."""
        if team in teams:
            return teams[team]
        held = self.tables.allowances.get(team, {})
        if not settled:
            return dict(held)
        tags = self.tables.view.tags
        return {tag: amounts for tag, amounts in held.items() if tag in tags}

    def _runs_dry(self, name: str, note: Unstored) -> bool:
        """Whether this controller has nothing of the job left to do, so that others may wait for it."""
        job = self.tables.jobs.get(name)
        if job is None:
            return False
        mine = job.progress.claims.get(self.standing.tag, 0)
        return not mine & ~(note.done | note.released) or bool(note.released)

    def _withdrawn_over(self, job: Job, settled: bool) -> bool:
        """Whether a cancelled job has no task left that may exist. The coordinator puts those away
        that no claim holder will."""
        if not self.standing.coordinating:
            return False
        tags = self.tables.view.tags
        return not any(mask for tag, mask in job.progress.claims.items() if tag in tags or not settled)

    def _updated(self, job: Job, settled: bool) -> Progress:
        """The job's progress with what is not yet stored."""
        progress = job.progress.copy()
        if settled:
            for tag in self.tables.abandoned(job):
                del progress.claims[tag]
        note = self.unstored.get(job.spec.id)
        if note is None:
            return progress
        tag = self.standing.tag
        progress.done |= note.done & job.everything
        adopted = note.adopted & ~progress.done & job.everything
        for holder in list(progress.claims):
            mask = progress.claims[holder] & ~progress.done
            mask &= ~(note.released if holder == tag else adopted)
            progress.claims[holder] = mask
        if adopted:
            progress.claims[tag] = progress.claims.get(tag, 0) | adopted
        progress.claims = {holder: mask for holder, mask in progress.claims.items() if mask}
        return progress

    def _claim(self, job: Job, progress: Progress, want: int, steal: Steal | None) -> bool:
        spec = job.spec
        note = self.unstored.get(spec.id)
        # What is being released is for others to take.
        free = job.everything & ~progress.done & ~progress.claimed() & ~(note.released if note else 0)
        if spec.gang and want < free.bit_count():
            return False
        gained = taskset.lowest(free, want)
        if not gained:
            return False
        tag = self.standing.tag
        progress.claims[tag] = progress.claims.get(tag, 0) | gained
        if steal is not None:
            steal.gained[spec.id] = gained
            if spec.id in steal.zones and progress.zone is None:
                progress.zone = steal.zones[spec.id]
        return True

    def _put(
        self, job: Job, progress: Progress, conditions: dict[str, int], writes: dict[str, Any], drops: list[str]
    ) -> int:
        """Adds what is to be stored of the job to a transaction, and tells about how many bytes that is."""
        name = job.spec.id
        job_key, progress_key = t.job_key(name), t.progress_key(name)
        conditions[job_key] = job.stamp
        conditions[progress_key] = job.progress_stamp
        if job.status == LIVE and progress.done == job.everything:
            writes[job_key] = {"s": DONE, "n": job.spec.tasks}
            if job.progress_stamp:
                drops.append(progress_key)
            return 0
        if job.status == WITHDRAWN and not progress.claims:
            writes[job_key] = {"s": WITHDRAWN, "n": job.spec.tasks}
            if job.progress_stamp:
                drops.append(progress_key)
            return 0
        value = progress.stored()
        if value == job.progress.stored():
            del conditions[job_key], conditions[progress_key]
            return 0
        size = len(wire.encode(value))
        if size > self.largest:
            log.error("progress of %s is too scattered to be stored now", name)
            del conditions[job_key], conditions[progress_key]
            return 0
        writes[progress_key] = value
        return size

    def _tidy(self) -> None:
        """Forgets what the tables hold by now."""
        tag = self.standing.tag
        for name in list(self.unstored):
            note = self.unstored[name]
            job = self.tables.jobs.get(name)
            if job is None:
                if name in self.tables.over:
                    del self.unstored[name]
                continue
            progress = job.progress
            note.done &= ~progress.done
            note.released &= progress.claims.get(tag, 0)
            note.adopted &= ~progress.claims.get(tag, 0) & ~progress.done
            if not (note.done or note.released or note.adopted):
                del self.unstored[name]

    # -- users' requests; each runs beside the rounds, as its own conditional write

    async def submit(self, spec: wire.JobSpec) -> tuple[str, bool] | None:
        """Accepts a job. Its status and whether it is new, or None when it cannot be stored now."""
        key = t.job_key(spec.id)
        value = stored_job(LIVE, spec, int(time.time() * 1000))
        outcome, _epoch = await self.client.commit({key: 0}, {key: value}, [], Urgency.USER)
        if outcome is Outcome.DONE:
            self.replica.hint()
            return wire.QUEUED, True
        if outcome is Outcome.REFUSED:
            return None
        # Somebody stored it before us, or the answer was lost: read what is there.
        try:
            await self.replica.fresh(self.client.timeout_s)
        except Stale:
            return None
        status = self.status(spec.id)
        return None if status is None else (status, False)

    async def cancel(self, name: str) -> str | None:
        """Cancels a job: the final status, "" when there is no such job, None when it cannot be stored now."""
        for _ in range(4):
            if name in self.tables.over:
                return self.status(name)
            job = self.tables.jobs.get(name)
            if job is None:
                try:
                    await self.replica.fresh(self.client.timeout_s)
                except Stale:
                    return None
                if self.status(name) is None:
                    return ""
                continue
            if job.status == WITHDRAWN:
                return wire.CANCELLED
            key = t.job_key(name)
            value = stored_job(WITHDRAWN, job.spec, job.submitted_ms)
            outcome, _epoch = await self.client.commit({key: job.stamp}, {key: value}, [], Urgency.USER)
            if outcome is Outcome.DONE:
                self.replica.hint()
                return wire.CANCELLED
            if outcome is Outcome.REFUSED:
                return None
            try:
                await self.replica.fresh(self.client.timeout_s)
            except Stale:
                return None
        return None

    def status(self, name: str) -> str | None:
        """The status that the tables tell, in the users' words."""
        over = self.tables.over.get(name)
        if over is not None:
            return wire.DONE if over[0] == DONE else wire.CANCELLED
        job = self.tables.jobs.get(name)
        if job is None:
            return None
        if job.status == WITHDRAWN:
            return wire.CANCELLED
        return wire.RUNNING if any(job.progress.claims.values()) else wire.QUEUED
