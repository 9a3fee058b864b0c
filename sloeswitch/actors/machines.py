"""Machines: reports, orders, placement and accounting of the machines this controller owns.

Owns the registry. It is the ClaimRequest side of dwork: free room asks the jobs actor for the oldest ready tasks,
completions go back as Complete, and work that comes back is placed first.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from sloeswitch import wire
from sloeswitch.actors.base import Actor, ActorRequest, InboxFullError
from sloeswitch.actors.cancellation_watch import CancellationWatch
from sloeswitch.actors.commands import CommandReply, CommandSender, InspectionReply
from sloeswitch.actors.gang_preemption import GangPreemption
from sloeswitch.actors.jobs import ClaimRequest, Jobs, TaskUpdates, add_tasks
from sloeswitch.actors.membership import Leadership, Membership, ShardRecovered
from sloeswitch.actors.registration import Registration
from sloeswitch.actors.team_limits import QuotaLedger
from sloeswitch.core import placement, preemption, quota, ready, taskset
from sloeswitch.core.cancellation_guard import OVERDUE_SHARE
from sloeswitch.core.claim_planner import CapacitySnapshot, ClaimPlanner, PlanLimits
from sloeswitch.core.health import Health
from sloeswitch.core.quota import fits_type
from sloeswitch.core.registry import FETCHING, RUNNING, Attempt, Machine, MachineRegistry, ReconcileResult
from sloeswitch.core.tables import LIVE, Job, Tables
from sloeswitch.http import Answer, refuse
from sloeswitch.settings import Settings
from sloeswitch.state import Replica, StateClient

log = logging.getLogger("machines")


@dataclass
class HeartbeatRequest(ActorRequest):
    report: wire.WorkerReport | None = None
    # Whether the machine is seen to have received our last answer to it, a short while ago.
    received: bool = False


@dataclass
class InstancesDeleted:
    """The cloud confirmed that these machines, and all on them, are gone."""

    machines: list[str]


class InstanceTerminator(Protocol):
    """Has machines deleted at the cloud; Deleted follows."""

    def give_back(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        """Whether that was not under way yet. `listed`: found in the cloud's list, whoever owns it. `pressing`: also
        while this controller may only answer machines, or nobody may."""


class JobAdmission(Protocol):
    """Marks jobs that may not enter the line yet."""

    def apply(self) -> None:
        """Brings `Job.deferred` up to date with the tables."""


@dataclass
class TickRequest(ActorRequest):
    """Look after what no report brings up."""


def wall_clock_ms() -> int:
    """The time of day, which jobs' ages are reckoned by; right within the settings' clock error."""
    return int(time.time() * 1000)


# Machines that are not needed are emptied once no more than this part of them is in use.
DRAIN_UTILIZATION = 0.5


class Machines(Actor):
    name = "machines"

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        replica: Replica,
        leadership: Leadership,
        jobs: Jobs,
        membership: Membership,
        now: Callable[[], float],
    ) -> None:
        super().__init__(settings.fd_limit)
        self.settings = settings
        self.client = client
        self.replica = replica
        self.tables: Tables = replica.tables
        self.leadership = leadership
        self.jobs = jobs
        self.membership = membership
        self.now = now
        self.group: TaskGroup | None = None
        self.fleet: InstanceTerminator | None = None
        # Where admission is on: what marks deferred jobs, and what is told of the room that is left over.
        self.gate: JobAdmission | None = None
        self.on_rooms_left: Callable[[list[placement.FreeCapacity], float], None] | None = None
        self.registry = MachineRegistry()
        self.health = Health(settings.report_s, 20 * settings.lease_s)
        self.boot = 0
        self.seen_view = 0
        self.counter = 0
        self.requesting = False
        self.unknown: set[str] = set()
        self.broken: set[str] = set()
        self.commands = CommandSender(settings, leadership, self.registry, self.tables, self._spawn, self.tell, now)
        self.waiting_since: dict[str, float] = {}
        # When the jobs in the line were first seen there.
        self.met: dict[str, float] = {}
        self.wake = anyio.Event()
        self.learnt = TaskUpdates()
        # Told and not yet in the tables, as sets of tasks by job.
        self.finished: dict[str, int] = {}
        self.releasing: dict[str, int] = {}
        # As of the last tick: jobs in the order in which they get room, those of them with work claimed and
        # not placed, the smallest cores any wants, and when machines are looked at again.
        self.line: list[Job] = []
        self.all_settled = False
        # Machine types kept for jobs that fit no other.
        self.scarce: set[str] = set()
        self.idle_line: list[Job] = []
        self.least_cores = 0.0
        self.watch_at = 0.0
        # Whether a task of a job that was cancelled some time ago may still be anywhere.
        self.cancellation_overdue = False
        self.cancellations = CancellationWatch(
            settings, self.tables, leadership, self.registry, self.commands, self._press_back
        )
        self.ticked_at = float("-inf")
        # Since when reports have been answered without a break: who is silent longer than that may be well.
        self.answering_since = float("-inf")
        self.summary_at = 0.0
        self.pace_s = max(settings.report_s / 10, settings.lease_s / 60)
        self.registration = Registration(settings, client, replica, leadership, self.pace_s, self._woken)
        self.limits = QuotaLedger(settings, client, self.tables, leadership, self.registry)
        self.gang_preemption = GangPreemption(
            settings, self.tables, leadership, self.registry, self.health, self.limits, self, self.kill, self.pace_s
        )
        # Work is claimed about this long before it can start.
        self.ahead_s = 0.2 * settings.lease_s

    # -- messages

    async def handle(self, message: Any) -> None:
        if isinstance(message, HeartbeatRequest):
            assert message.report is not None
            message.reply(self._heartbeat(message.report, message.received))
        elif isinstance(message, TickRequest):
            self._tick()
            message.reply(None)
        elif isinstance(message, CommandReply):
            self._command_reply(message.report)
        elif isinstance(message, InspectionReply):
            self.cancellations.inspected(message, self.now())
            self.wake.set()
        elif isinstance(message, InstancesDeleted):
            self._deleted(message.machines)

    async def tick_forever(self) -> None:
        self.replica.on_change(self._woken)
        while True:
            with anyio.move_on_after(2.5 * self.pace_s):
                await self.wake.wait()
            self.wake = anyio.Event()
            started = self.now()
            with contextlib.suppress(InboxFullError):
                await self.ask(TickRequest())
            # Under load the reports come first: a tick takes at most a quarter of the time, but leases and
            # silent machines are looked after at least about as often as reports come.
            await anyio.sleep(max(self.pace_s, min(3 * (self.now() - started), self.settings.report_s)))

    def _spawn(self, call: Callable[..., Any], *args: Any) -> None:
        """Starts a call beside this actor, once it runs."""
        if self.group is not None:
            self.group.start_soon(call, *args)

    def _woken(self) -> None:
        self.wake.set()

    # -- ownership

    def _follow_view(self) -> None:
        leadership = self.leadership
        if leadership.boot != self.boot:
            self.boot = leadership.boot
            self.seen_view = 0
            self.registry.reset()
            self.limits.forget()
            self.releasing.clear()
            self.learnt.released.clear()
            self.learnt.adopted.clear()
            self.jobs.forget()
        if not leadership.included or leadership.view.number == self.seen_view:
            return
        view = leadership.view
        consecutive = view.number == self.seen_view + 1
        me = self.settings.member
        gone_at = self.now() + self.settings.takeover_gone_s
        for name in list(self.registry.machines):
            machine = self.registry.machines[name]
            if leadership.owner(name) != me:
                self.registry.give_up(name)
            elif not consecutive:
                self.registry.unhear(machine, view.number, gone_at)
        for name, row in self.tables.machines.items():
            if leadership.owner(name) == me and name not in self.registry.machines:
                self.registry.take(name, row.address, row.type, row.zone, row.spot, view.number, gone_at)
        self.seen_view = view.number
        self.limits.reckon_limbo()
        self.learnt.adopted = dict(self.registry.still_adopting())
        self.learnt.view = view.number
        log.info(
            "view %d: %d machines are ours, %d of them to be heard",
            view.number,
            len(self.registry.machines),
            sum(not machine.known for machine in self.registry.machines.values()),
        )

    # -- reports

    def _heartbeat(self, report: wire.WorkerReport, received: bool) -> Answer:
        leadership = self.leadership
        self.cancellations.any_heard_at = self.now()
        if not leadership.may_answer:
            return refuse(1)
        owner = leadership.owner(report.machine)
        if owner != self.settings.member:
            return Answer(421, wire.redirect_reply(owner))
        self._follow_view()
        if report.token > leadership.view.number or report.machine in self.tables.deleted:
            return refuse(1)
        now = self.now()
        machine = self.registry.machines.get(report.machine)
        if machine is None:
            # Never registered, so that nobody can have started anything on it.
            machine = self.registry.take(
                report.machine,
                report.address,
                report.type,
                report.zone,
                report.spot,
                leadership.view.number,
                now + self.settings.worker_gone_s,
            )
            machine.accounted = True
            if self.tables.types and report.type not in self.tables.types and report.type not in self.unknown:
                self.unknown.add(report.type)
                log.error("%s is of unknown type %s: machines of it get no work", report.machine, report.type)
        elif self.registry.is_late(machine, report):
            # Neither a sign of life nor worth an answer that could renew the machine's lease: our own books
            # go by newer reports. Were it the machine's last word after all, its next one is newer.
            return refuse(1)
        was_heard = machine.heard
        try:
            heard = self.registry.hear(machine, report, True, now, leadership.view.number, self.tables)
        except wire.MalformedError as error:
            self._complain(report.machine, error)
            return Answer(400)
        orders: list[wire.WorkerCommand] = []
        if heard.fresh:
            # Reports can arrive while nothing reaches the machine: until it is seen to have received an
            # answer it is told no start, so that no task waits there for its lease to run out.
            machine.reached = received
            if received or not was_heard:
                machine.reached_at = now
            self._after(machine, heard)
            self._fill(machine)
            orders = self.registry.orders(machine, self.tables, report.serial)
        machine.answered_at = now
        machine.gone_at = max(machine.gone_at if not machine.known else 0.0, now + self.settings.worker_gone_s)
        return Answer(200, wire.encode(wire.WorkerCommands(leadership.view.number, orders)))

    def _complain(self, machine: str, error: wire.MalformedError) -> None:
        """Once for each machine: a broken one says the same with every report."""
        if machine not in self.broken and len(self.broken) < self.settings.fd_limit:
            self.broken.add(machine)
            log.error("report of %s: %s", machine, error)

    def _command_reply(self, report: wire.WorkerReport) -> None:
        machine = self.registry.machines.get(report.machine)
        if machine is None or self.seen_view != self.leadership.view.number:
            return
        try:
            heard = self.registry.hear(machine, report, False, self.now(), self.seen_view, self.tables)
        except wire.MalformedError as error:
            self._complain(report.machine, error)
            return
        if heard.fresh:
            # It carried out what was sent, and its reply came.
            machine.reached, machine.reached_at = True, self.now()
            self._after(machine, heard)

    def _after(self, machine: Machine, heard: ReconcileResult) -> None:
        now = self.now()
        self.commands.answered(machine.name)
        for (job, index), name in heard.done:
            self.health.success(job, name)
            add_tasks(self.learnt.done, job, 1 << index)
            add_tasks(self.finished, job, 1 << index)
        for (job, index), name in heard.failed:
            was = self.health.machine_faulty(name)
            self.health.failure(job, name, now)
            log.info("%s failed on %s", wire.task_name(job, index), name)
            if not was and self.health.machine_faulty(name):
                log.info("%s fails what it is given: no more work for it", name)
        for job, index in heard.adopt:
            add_tasks(self.learnt.adopted, job, 1 << index)
        self._tell_jobs()
        if heard.freed or heard.done:
            self.wake.set()

    def _tell_jobs(self) -> None:
        if self.learnt:
            try:
                self.jobs.tell(self.learnt)
            except InboxFullError:
                return  # told later, with what comes until then
            self.learnt = TaskUpdates(view=self.seen_view)

    def _prune_told(self) -> None:
        """Forgets what the tables show by now, and the failures of jobs that are over."""
        for name in [name for name in self.health.jobs if name in self.tables.over]:
            self.health.forget_job(name)
        for told, mine in ((self.finished, False), (self.releasing, True)):
            for name in list(told):
                job = self.tables.jobs.get(name)
                mask = 0
                if job is not None:
                    mask = told[name] & ~job.progress.done
                    if mine:
                        mask &= job.progress.claims.get(self.leadership.tag, 0)
                if mask:
                    told[name] = mask
                else:
                    del told[name]

    def _release(self, job: str, tasks: int) -> None:
        add_tasks(self.learnt.released, job, tasks)
        add_tasks(self.releasing, job, tasks)

    def _idle_claims(self, job: Job) -> int:
        """Tasks claimed by this controller that are nowhere and may be placed. Those that ended, or are
        being released, are neither: telling the jobs actor and storing take a while."""
        claimed = job.progress.claims.get(self.leadership.tag, 0)
        if not claimed:
            return 0
        name = job.spec.id
        settled = job.progress.done | self.finished.get(name, 0) | self.releasing.get(name, 0)
        return self.registry.waiting(name, claimed, settled)

    # -- the tick

    def _tick(self) -> None:
        leadership = self.leadership
        now = self.now()
        if not leadership.may_answer or now - self.ticked_at > self.settings.late_s:
            self.answering_since = now
        self.ticked_at = now
        self.cancellations.look(now, wall_clock_ms())
        if not leadership.included:
            if leadership.boot != self.boot:
                self._follow_view()
            return
        self._follow_view()
        if now >= self.summary_at:
            self.summary_at = now + 2 * self.settings.lease_s
            self._summary()
            self._take_unknown()
        if now >= self.watch_at:
            self.watch_at = now + self.settings.report_s / 4
            self.cancellation_overdue = self.cancellations.overdue(wall_clock_ms())
            for machine in list(self.registry.machines.values()):
                self._watch_over(machine, now)
            if leadership.may_act:
                self._empty_spared(now)
        self._stop_cancelled()
        if self.tables.all_settled():
            self.registry.limbo.clear()
        self.registry.prune_limbo(self.tables, leadership.tag)
        self.limits.reckon_limbo()
        self._prune_told()
        self._line_up()
        if leadership.may_answer:
            self._place_waiting()
        if leadership.may_act:
            self.gang_preemption.make_room(now)
            if self.registry.settled(self.tables, leadership.tag) and self.membership.settled != self.seen_view:
                self.membership.tell(ShardRecovered(self.seen_view))
            self._register()
            self._request_claims()
        self._tell_jobs()

    def _take_unknown(self) -> None:
        """Machines of ours in the tables that the registry lacks. Guards against a registration that is carried out
        late, after its machine was deleted and left out: nobody would look after it, and it would count as supply."""
        gone_at = self.now() + self.settings.takeover_gone_s
        for name, row in self.tables.machines.items():
            if name not in self.registry.machines and name not in self.registration.leaving:
                if self.leadership.owner(name) != self.settings.member:
                    continue
                log.info("%s is in the tables and was not looked after", name)
                self.registry.take(name, row.address, row.type, row.zone, row.spot, self.seen_view, gone_at)

    def _has_begun(self, job: Job) -> bool:
        """Claimed by us and nowhere yet is not begun: it must not lose its place in the line for that. Nor is what only
        a run claimed that is gone, once all is settled: such a job never went first for having waited."""
        if job.progress.done or self.registry.placed.get(job.spec.id):
            return True
        claims, own = job.progress.claims, self.leadership.tag
        if len(claims) == (own in claims):
            return False
        tags = self.leadership.view.tags
        return not self.all_settled or any(tag in tags for tag in claims if tag != own)

    def _summary(self) -> None:
        """What an operator wants to know at a glance, once in a while."""
        machines = [m for m in self.registry.machines.values() if m.heard and m.type in self.tables.types]
        live = [job for job in self.tables.jobs.values() if job.status == LIVE]
        log.info(
            "%d machines up (%d not to be used), %.0f of %.0f cores in use, %d tasks placed, %d fetching;"
            " %d jobs live, %d of them wait for others, %d have work open",
            len(machines),
            sum(not self.registry.usable(m) for m in machines),
            sum(m.use.cores for m in machines),
            sum(self.tables.types[m.type].cores for m in machines),
            sum(len(m.attempts) for m in machines),
            sum(attempt.state == FETCHING for m in machines for attempt in m.attempts.values()),
            len(live),
            sum(not job.runnable for job in live),
            sum(job.runnable and bool(self.tables.open_tasks(job, self.tables.all_settled())) for job in live),
        )

    def _line_up(self) -> None:
        self.all_settled = self.tables.all_settled()
        if self.gate is not None:
            self.gate.apply()
        self.line = ready.order(self.tables, self.settings, wall_clock_ms(), self._has_begun)
        self.scarce = placement.scarce_types((job.spec for job in self.line), self.tables.types)
        self.least_cores = min((job.spec.cores for job in self.line), default=0.0)

    def _watch_over(self, machine: Machine, now: float) -> None:
        if now >= machine.gone_at and (machine.heard or not machine.accounted):
            lost = self.registry.lease_over(machine)
            log.info("%s is silent and its lease is over: %d tasks come back", machine.name, len(lost))
        silent = now - max(machine.heard_at, machine.answered_at, machine.gone_at - self.settings.takeover_gone_s)
        if (machine.heard and silent > self.settings.late_s) or not machine.known:
            self.commands.probe(machine, now)
        mute_s = deaf_s = 0.0
        if machine.reported_at is not None:
            mute_s = now - max(machine.reported_at, self.answering_since)
        if machine.heard:
            deaf_s = now - max(machine.reached_at, self.answering_since)
        unreached = max(silent, mute_s) > self.settings.late_s or not machine.reached
        if unreached and self.registry.withdraw_unsent(machine):
            self.wake.set()
        patience = max(3.5 * self.settings.report_s, 0.35 * self.settings.lease_s)
        if self._may_hold_cancelled(machine, now, silent > patience) and self.leadership.may_answer:
            # Whether it hangs, is cut off or hears nothing: its deletion ends what is on it in time, also while
            # the state service is down. Should it have got another owner after all, that one counts it as silent:
            # work is lost, nothing is started twice.
            self.return_machine(machine, "cancelled tasks may be on it", pressing=True)
        failed = self.commands.failures.get(machine.name, 0)
        if silent > patience and failed >= 2 and self.leadership.may_act and not self._blind(now):
            self.return_machine(machine, "silent")
        elif max(mute_s, deaf_s) > 2 * self.settings.lease_s and self.leadership.may_act and not self._blind(now):
            # Its reports come and nothing reaches it, or it answers commands and cannot report: by now its lease is
            # over and it has nothing on it, and it would be paid for in vain for as long as that lasts.
            self.return_machine(machine, "unreached")
        elif self.health.machine_faulty(machine.name) and self.leadership.may_act:
            machine.draining = True
            if not machine.attempts:
                self.return_machine(machine, "faulty")
        if machine.notice_s is not None:
            for attempt in list(machine.attempts.values()):
                if attempt.spec.checkpoint_s > 0 and attempt.state == RUNNING:
                    self.kill(machine, attempt, attempt.spec.save_s)

    def _may_hold_cancelled(self, machine: Machine, now: float, silent: bool) -> bool:
        """Whether a cancelled task may be on the machine that must be gone soon.

        Nothing is known of what is on a machine that was taken over and is not heard. Guards against one that hangs
        with a cancelled task while its owner changes and the state service is down: nobody deleted it (found by the
        random world, tests/test_world.py).
        """
        if machine.cancelled_since is not None:
            return now - machine.cancelled_since > OVERDUE_SHARE * self.settings.cancel_s
        return self.cancellation_overdue and not machine.heard and silent

    def _empty_spared(self, now: float) -> None:
        """Moves the last tasks off machines that are not needed, where that loses next to nothing: all of
        them save, have run for a while, and there is room elsewhere. One long task would else keep a whole
        machine for minutes."""
        lean = [
            machine
            for machine in self.registry.machines.values()
            if machine.spared
            and machine.reached
            and machine.attempts
            and machine.type in self.tables.types
            and machine.use.cores <= DRAIN_UTILIZATION * self.tables.types[machine.type].cores
            and all(preemption.movable(attempt, now) for attempt in machine.attempts.values())
        ]
        if not lean:
            return
        free = sum(room.cores for room in self._rooms(now))
        for machine in sorted(lean, key=lambda machine: machine.use.cores):
            free -= machine.use.cores
            if free < 0:
                return
            log.info("%s is not needed: %d tasks save and move", machine.name, len(machine.attempts))
            for attempt in list(machine.attempts.values()):
                self.kill(machine, attempt, attempt.spec.save_s)

    def _blind(self, now: float) -> bool:
        """Most machines silent or unreached at once points to our own network; then their leases must do."""
        heard = [machine for machine in self.registry.machines.values() if machine.heard]
        late = sum(
            now - min(machine.heard_at, machine.reported_at or 0.0) > self.settings.late_s or not machine.reached
            for machine in heard
        )
        return len(heard) > 3 and late > 0.75 * len(heard)

    def _press_back(self, machine: str) -> bool:
        return self.fleet is not None and self.fleet.give_back(machine, pressing=True)

    def return_machine(self, machine: Machine, why: str, pressing: bool = False) -> None:
        """Has a machine deleted, for the reason that is logged. `pressing`: also while nothing else may be done."""
        machine.draining = True
        if self.fleet is not None and self.fleet.give_back(machine.name, pressing=pressing):
            log.info("%s goes back: %s", machine.name, why)

    def _deleted(self, machines: list[str]) -> None:
        for name in machines:
            machine = self.registry.machines.get(name)
            if machine is not None:
                lost = self.registry.lose(machine)
                if lost:
                    log.info("%s is deleted: %d tasks come back", name, len(lost))
                del self.registry.machines[name]
            self.health.forget_machine(name)
            self.commands.forget(name)
            self.tables.deleted.add(name)
            if name in self.tables.machines:
                self.registration.leaving.add(name)
        self.wake.set()

    def _register(self) -> None:
        """Stores machines before anything is started on them, so that a later owner knows of them."""
        names, writes = self.registration.rows_to_store(list(self.registry.machines.values()))
        if writes and self.group is not None:
            self.registration.arriving |= names
            self.group.start_soon(self.registration.store, names, writes, self.seen_view)

    def _stop_cancelled(self) -> None:
        cancelled = [job for job in self.tables.jobs.values() if job.cancelled]
        if cancelled:
            unwanted = self._unwanted_jobs()
            for job in cancelled:
                waiting = self._idle_claims(job)
                if waiting and job.spec.id not in unwanted:
                    self._release(job.spec.id, waiting)
        over: dict[str, Job | None] = {}
        for name in self.registry.placed:
            record = self.tables.jobs.get(name)
            if record is None or record.cancelled:
                over[name] = record
        if not over:
            return
        now = self.now()
        for machine in self.registry.machines.values():
            for attempt in list(machine.attempts.values()):
                if attempt.job in over:
                    self.kill(machine, attempt, 0.0)
                    if machine.attempts.get(attempt.task) is attempt:
                        self._note_cancelled(machine, attempt, over[attempt.job], now)

    def _unwanted_jobs(self) -> set[str]:
        """Jobs of which machines hold tasks that are not ours to keep. Collected once for all cancelled jobs: a look at
        each machine for each of them took most of a tick in a wave of cancellations on thousands of machines."""
        return {key[0].rpartition("/")[0] for machine in self.registry.machines.values() for key in machine.unwanted}

    def _note_cancelled(self, machine: Machine, attempt: Attempt, job: Job | None, now: float) -> None:
        """A task of a cancelled job may be on the machine: since when a user may have been told, by our own clock.
        The time that is stored with the cancellation holds over changes of owner."""
        attempt.killed_at = attempt.killed_at or now
        since = attempt.killed_at
        if job is not None and job.cancelled_ms:
            since = min(since, now - max(0, wall_clock_ms() - job.cancelled_ms) / 1000)
        machine.cancelled_since = min(since, now if machine.cancelled_since is None else machine.cancelled_since)

    def kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> None:
        """Stops a task on a machine; it has so long to save."""
        if self.registry.kill(machine, attempt, grace_s) and machine.heard:
            self.commands.send(machine)

    # -- placement

    def _room(self, machine: Machine, now: float) -> placement.FreeCapacity | None:
        """What the machine has free, or None if no task may go there or none would fit."""
        kind = self.tables.types.get(machine.type)
        if (
            kind is None
            or self.registry.free_cores(machine, kind) + quota.SLACK < self.least_cores
            or not self.registry.usable(machine)
            # A machine that misses its reports gets nothing new. Guards against one that answers commands and cannot
            # report: it was given work again and again, which was taken back when no report came to be answered.
            or machine.reported_at is None
            or now - machine.reported_at >= self.settings.late_s
            or machine.name not in self.tables.machines
            or self.health.machine_faulty(machine.name)
        ):
            return None
        room = self.registry.room(machine, kind)
        room.scarce = machine.type in self.scarce
        return room

    def _rooms(self, now: float) -> list[placement.FreeCapacity]:
        rooms = (self._room(machine, now) for machine in self.registry.machines.values())
        return [room for room in rooms if room is not None]

    def waiting_jobs(self) -> list[Job]:
        """The line, and behind it the jobs that admission defers, oldest first: those may go to another cell too."""
        if self.gate is None:
            return self.line
        deferred = [job for job in self.tables.jobs.values() if job.deferred and job.runnable]
        return self.line + sorted(deferred, key=lambda job: job.born)

    def _place_waiting(self) -> None:
        """Puts claimed work on machines; work that came back stands before anything newly claimed."""
        rooms: list[placement.FreeCapacity] | None = None
        now = self.now()
        self.idle_line = []
        seen: set[str] = set()
        tag = self.leadership.tag
        for job in self.line:
            name = job.spec.id
            if name in seen:
                continue
            seen.add(name)
            waiting = self._idle_claims(job) if tag in job.progress.claims else 0
            if not waiting:
                self.waiting_since.pop(name, None)
                continue
            if rooms is None:
                rooms = self._rooms(now)
            if rooms and not self.health.paused(name, now) and self._place(job, waiting, rooms, now):
                rooms = placement.without_full(rooms, self.least_cores)
                waiting = self._idle_claims(job)
            if waiting:
                self.idle_line.append(job)
                since = self.waiting_since.setdefault(name, now)
                if now - since > self.ahead_s + 2 * self.settings.report_s and self.leadership.may_act:
                    self._release(name, waiting)
                    del self.waiting_since[name]

    def _fill(self, machine: Machine) -> None:
        """Puts claimed work on one machine, with the answer to its report."""
        if not self.idle_line:
            return
        now = self.now()
        room = self._room(machine, now)
        if room is None:
            return
        # Little is claimed ahead, so that whose image is here may go first: it saves a fetch and bends the
        # order among a few only. What is more urgent than usual stands before all that: a stage of a pipeline
        # waited for twenty seconds beside machines that had the images of others (found on the bench).
        for job in sorted(
            self.idle_line,
            key=lambda job: (
                not job.beginning,
                min(ready.urgency(job), ready.STANDARD_RANK),
                job.spec.image not in room.images,
            ),
        ):
            if room.scarce and any(
                fits_type(job.spec, kind) for name, kind in self.tables.types.items() if name not in self.scarce
            ):
                continue  # placed there at the tick, if nowhere else
            if room.count(job.spec) and job.runnable and not job.spec.gang:
                waiting = self._idle_claims(job)
                if waiting and not self.health.paused(job.spec.id, now):
                    self._place(job, waiting, [room], now)

    def _place(self, job: Job, tasks: int, rooms: list[placement.FreeCapacity], now: float) -> bool:
        name = job.spec.id
        team = job.spec.team
        tasks = taskset.lowest(
            tasks, quota.room_for(job.spec, self.limits.allowance(team), self.gang_preemption.use_beside(job))
        )
        if self.health.job_faulty(name):
            tasks = taskset.lowest(tasks, 1)
        usable = placement.usable(name, rooms, self.gang_preemption.held, self.health)
        if job.spec.gang:
            if tasks != job.everything:
                return False
            trial = [placement.FreeCapacity(**vars(room)) for room in usable]
            if len(placement.place(job, tasks, trial)) < job.spec.tasks:
                return False
        placed = placement.place(job, tasks, usable)
        if not placed:
            return False
        self.waiting_since[name] = now
        number = self._number()
        for index, room in placed:
            self.registry.start(self.registry.machines[room.machine], name, index, number, job.spec, now)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("%s: %d tasks on %s", name, len(placed), {room.machine for _, room in placed})
            if job.spec.awaits and not job.progress.done:
                log.debug("%s: %.2f s since the last that it needs", name, (wall_clock_ms() - job.ready_ms) / 1000)
        return True

    def _number(self) -> int:
        """An attempt number that no other controller, and no other view, gives out."""
        self.counter += 1
        tags = [member for member, _ in self.leadership.view.members]
        position = tags.index(self.settings.member)
        return (self.leadership.view.number << 28) + (position << 24) + self.counter % (1 << 24)

    def _request_claims(self) -> None:
        """Asks the jobs actor for work for the free room, and for the allowances that it takes."""
        if self.requesting or self.replica.client.failing_since is not None:
            return
        now = self.now()
        members = [member for member, _ in self.leadership.view.members]
        self.met = {job.spec.id: self.met.get(job.spec.id, now) for job in self.line}
        limits = PlanLimits.of(self.settings, self.client.txn_ops, self.pace_s)
        planner = ClaimPlanner(self.picture(now), limits, self.tables)
        claims = planner.plan(self.line, len(members), members.index(self.settings.member))
        if self.on_rooms_left is not None and claims.rooms_left is not None:
            self.on_rooms_left(claims.rooms_left, now)
        request = ClaimRequest(wants=claims.wants, zones=claims.zones, picks=claims.picks)
        self.limits.request_allowances(request, claims.useful, len(members), now)
        if request.wants or request.grow or request.shrink:
            self.requesting = True
            assert self.group is not None
            self.group.start_soon(self._ask_for, request)

    def picture(self, now: float) -> CapacitySnapshot:
        """What is free here, and what may be used, for the planner to take from."""
        teams = self.settings.teams
        uses = {team: self.limits.use(team) for team in teams}
        return CapacitySnapshot(
            rooms=self._rooms(now),
            uses=uses,
            spare={team.name: self.limits.spare(team, uses[team.name]) for team in teams.values()},
            allowances={team: self.limits.allowance(team) for team in teams},
            idle_claims=self._idle_claims,
            cores_ahead=self._cores_ahead(),
            least_cores=self.least_cores,
            held=self.gang_preemption.held,
            reserved=self.gang_preemption.reserved(),
            health=self.health,
            met=self.met,
            at_home=self.at_home,
            now=now,
        )

    def at_home(self, job: Job) -> bool:
        """Whether the job's image is one that this controller's machines are to have."""
        return self.leadership.owner("image " + job.spec.image) == self.settings.member

    def _cores_ahead(self) -> float:
        """Cores likely to fall free on this controller's machines in the time that a claim takes."""
        cores = 0.0
        for name, mask in self.registry.placed.items():
            job = self.tables.jobs.get(name)
            if job is not None:
                share = self.ahead_s / max(job.spec.estimate_s, self.ahead_s)
                cores += mask.bit_count() * job.spec.cores * share
        return cores

    async def _ask_for(self, request: ClaimRequest) -> None:
        try:
            await self.jobs.ask(request)
        except InboxFullError:
            pass
        finally:
            # Claimed anew, so not being released any more. Found on the bench: tasks were released and claimed
            # again between two ticks, counted as on their way to others, and were never run by anybody.
            for name, tasks in request.gained.items():
                if name in self.releasing:
                    self.releasing[name] &= ~tasks
            self.requesting = False
            self.wake.set()
