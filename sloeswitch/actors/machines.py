"""Machines: reports, orders, placement and accounting of the machines this controller owns.

Owns the registry. It is the ClaimRequest side of dwork: free room asks the jobs actor for the oldest ready tasks,
completions go back as Complete, and work that comes back is placed first.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from sloeswitch import wire
from sloeswitch.actors.base import Actor, ActorRequest, InboxFullError
from sloeswitch.actors.cancellation_watch import CancellationWatch
from sloeswitch.actors.commands import CommandReply, CommandSender, InspectionReply
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.gang_preemption import GangPreemption
from sloeswitch.actors.jobs import ClaimRequest, Jobs, TaskUpdates, add_tasks
from sloeswitch.actors.membership import Membership, ShardRecovered
from sloeswitch.actors.quota_ledger import QuotaLedger
from sloeswitch.actors.registration import Registration
from sloeswitch.core import job_priority, job_queue, placement, preemption, quota, taskset
from sloeswitch.core.cancellation_guard import OVERDUE_SHARE
from sloeswitch.core.claim_planner import CapacitySnapshot, ClaimPlanner, PlanLimits
from sloeswitch.core.health import Health
from sloeswitch.core.machine_registry import FETCHING, RUNNING, Attempt, Machine, MachineRegistry, ReconcileResult
from sloeswitch.core.quota import fits_type
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.tables import Tables
from sloeswitch.http import Answer, refuse

log = logging.getLogger("machines")


@dataclass
class HeartbeatRequest(ActorRequest[Answer]):
    report: wire.WorkerReport | None = None
    # Whether the machine is seen to have received our last answer to it, a short while ago.
    last_answer_received: bool = False


@dataclass
class InstancesDeleted:
    """The cloud confirmed that these machines, and all on them, are gone."""

    machines: list[str]


class InstanceTerminator(Protocol):
    """Has machines deleted at the cloud; Deleted follows."""

    def scale_in(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        """Whether that was not under way yet. `listed`: found in the cloud's list, whoever owns it. `pressing`: also
        while this controller may only answer machines, or nobody may."""


class JobAdmission(Protocol):
    """Marks jobs that may not enter the line yet."""

    def apply(self) -> None:
        """Brings `Job.deferred` up to date with the tables."""


@dataclass
class TickRequest(ActorRequest[None]):
    """Look after what no report brings up."""


# Machines that are not needed are emptied once no more than this part of them is in use.
DRAIN_UTILIZATION = 0.5


class Machines(Actor[Any]):
    name = "machines"

    def __init__(self, context: ControllerContext, jobs: Jobs, membership: Membership) -> None:
        super().__init__(context.settings.fd_limit)
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.tables: Tables = context.replica.tables
        self.leadership = context.leadership
        self.jobs = jobs
        self.membership = membership
        self.clock = context.clock
        self.now = context.clock.now
        self.group: TaskGroup | None = None
        self.autoscaler: InstanceTerminator | None = None
        # Where admission is on: what marks deferred jobs, and what is told of the room that is left over.
        self.admission: JobAdmission | None = None
        self.on_remaining_capacities: Callable[[list[placement.FreeCapacity], float], None] | None = None
        self.registry = MachineRegistry()
        self.health = Health(context.settings.report_s, 20 * context.settings.lease_s)
        self.incarnation = 0
        self.followed_view = 0
        self.attempts_started = 0
        self.claim_in_flight = False
        self.unknown_types: set[str] = set()
        self.malformed_reporters: set[str] = set()
        self.commands = CommandSender(
            context.settings, context.leadership, self.registry, self.tables, self._spawn, self.tell, context.clock.now
        )
        self.unplaced_since: dict[str, float] = {}
        # When the jobs in the line were first seen there.
        self.queued_since: dict[str, float] = {}
        self.wake = anyio.Event()
        self.task_updates = TaskUpdates()
        # Told and not yet in the tables, as sets of tasks by job.
        self.unstored_done: dict[str, int] = {}
        self.unstored_releases: dict[str, int] = {}
        # As of the last tick: jobs in the order in which they get room, those of them with work claimed and
        # not placed, the smallest cores any wants, and when machines are looked at again.
        self.queue: list[Job] = []
        self.recovery_complete = False
        # Machine types kept for jobs that fit no other.
        self.scarce_types: set[str] = set()
        self.unplaced_jobs: list[Job] = []
        self.least_cores = 0.0
        self.next_check_at = 0.0
        # Whether a task of a job that was cancelled some time ago may still be anywhere.
        self.cancellation_overdue = False
        self.cancellations = CancellationWatch(
            context.settings, self.tables, context.leadership, self.registry, self.commands, self._scale_in_urgently
        )
        self.ticked_at = float("-inf")
        # Since when reports have been answered without a break: who is silent longer than that may be well.
        self.answering_since = float("-inf")
        self.summary_at = 0.0
        self.pace_s = max(context.settings.report_s / 10, context.settings.lease_s / 60)
        self.registration = Registration(context, self.pace_s, self._wake)
        self.quota = QuotaLedger(context.settings, context.client, self.tables, context.leadership, self.registry)
        self.gang_preemption = GangPreemption(
            context.settings,
            self.tables,
            context.leadership,
            self.registry,
            self.health,
            self.quota,
            self,
            self.kill,
            self.pace_s,
        )
        # Work is claimed about this long before it can start.
        self.ahead_s = 0.2 * context.settings.lease_s

    # -- messages

    async def handle(self, message: Any) -> None:
        if isinstance(message, HeartbeatRequest):
            assert message.report is not None
            message.reply(self._heartbeat(message.report, message.last_answer_received))
        elif isinstance(message, TickRequest):
            self._tick()
            message.reply(None)
        elif isinstance(message, CommandReply):
            self._command_reply(message.report)
        elif isinstance(message, InspectionReply):
            self.cancellations.apply_inspection(message, self.now())
            self.wake.set()
        elif isinstance(message, InstancesDeleted):
            self._instances_deleted(message.machines)

    async def tick_forever(self) -> None:
        self.replica.add_listener(self._wake)
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

    def _wake(self) -> None:
        self.wake.set()

    # -- ownership

    def _apply_view(self) -> None:
        leadership = self.leadership
        if leadership.incarnation != self.incarnation:
            self.incarnation = leadership.incarnation
            self.followed_view = 0
            self.registry.reset()
            self.quota.reset()
            self.unstored_releases.clear()
            self.task_updates.released.clear()
            self.task_updates.adopted.clear()
            self.jobs.reset_claims()
        if not leadership.is_member or leadership.view.number == self.followed_view:
            return
        view = leadership.view
        consecutive = view.number == self.followed_view + 1
        me = self.settings.member
        gone_at = self.now() + self.settings.takeover_gone_s
        for name in list(self.registry.machines):
            machine = self.registry.machines[name]
            if leadership.owner_of(name) != me:
                self.registry.release_machine(name)
            elif not consecutive:
                self.registry.mark_unreconciled(machine, view.number, gone_at)
        for name, row in self.tables.machines.items():
            if leadership.owner_of(name) == me and name not in self.registry.machines:
                self.registry.add_machine(name, row.address, row.type, row.zone, row.spot, view.number, gone_at)
        self.followed_view = view.number
        self.quota.update_handed_off_usage()
        self.task_updates.adopted = dict(self.registry.pending_adoptions())
        self.task_updates.view_number = view.number
        log.info(
            "view %d: %d machines are ours, %d of them to be heard",
            view.number,
            len(self.registry.machines),
            sum(not machine.is_recovered for machine in self.registry.machines.values()),
        )

    # -- reports

    def _heartbeat(self, report: wire.WorkerReport, received: bool) -> Answer:
        leadership = self.leadership
        self.cancellations.any_heard_at = self.now()
        if not leadership.may_answer_workers:
            return refuse(1)
        owner = leadership.owner_of(report.machine)
        if owner != self.settings.member:
            return Answer(421, wire.redirect_reply(owner))
        self._apply_view()
        if report.fencing_token > leadership.view.number or report.machine in self.tables.deleted_machines:
            return refuse(1)
        now = self.now()
        machine = self.registry.machines.get(report.machine)
        if machine is None:
            # Never registered, so that nobody can have started anything on it.
            machine = self.registry.add_machine(
                report.machine,
                report.address,
                report.type,
                report.zone,
                report.spot,
                leadership.view.number,
                now + self.settings.worker_gone_s,
            )
            machine.accounted_for = True
            if (
                self.tables.machine_types
                and report.type not in self.tables.machine_types
                and report.type not in self.unknown_types
            ):
                self.unknown_types.add(report.type)
                log.error("%s is of unknown type %s: machines of it get no work", report.machine, report.type)
        elif self.registry.is_outdated(machine, report):
            # Neither a sign of life nor worth an answer that could renew the machine's lease: our own books
            # go by newer reports. Were it the machine's last word after all, its next one is newer.
            return refuse(1)
        was_heard = machine.reconciled
        try:
            heard = self.registry.reconcile(machine, report, True, now, leadership.view.number, self.tables)
        except wire.MalformedError as error:
            self._log_malformed(report.machine, error)
            return Answer(400)
        orders: list[wire.WorkerCommand] = []
        if heard.accepted:
            # Reports can arrive while nothing reaches the machine: until it is seen to have received an
            # answer it is told no start, so that no task waits there for its lease to run out.
            machine.reachable = received
            if received or not was_heard:
                machine.reachable_at = now
            self._apply_reconciled(machine, heard)
            self._fill_machine(machine)
            orders = self.registry.commands(machine, self.tables, report.sequence)
        machine.answered_at = now
        machine.lease_expires_at = max(
            machine.lease_expires_at if not machine.is_recovered else 0.0, now + self.settings.worker_gone_s
        )
        return Answer(200, wire.encode(wire.WorkerCommands(leadership.view.number, orders)))

    def _log_malformed(self, machine: str, error: wire.MalformedError) -> None:
        """Once for each machine: a broken one says the same with every report."""
        if machine not in self.malformed_reporters and len(self.malformed_reporters) < self.settings.fd_limit:
            self.malformed_reporters.add(machine)
            log.error("report of %s: %s", machine, error)

    def _command_reply(self, report: wire.WorkerReport) -> None:
        machine = self.registry.machines.get(report.machine)
        if machine is None or self.followed_view != self.leadership.view.number:
            return
        try:
            heard = self.registry.reconcile(machine, report, False, self.now(), self.followed_view, self.tables)
        except wire.MalformedError as error:
            self._log_malformed(report.machine, error)
            return
        if heard.accepted:
            # It carried out what was sent, and its reply came.
            machine.reachable, machine.reachable_at = True, self.now()
            self._apply_reconciled(machine, heard)

    def _apply_reconciled(self, machine: Machine, heard: ReconcileResult) -> None:
        now = self.now()
        self.commands.record_reply(machine.name)
        for (job, index), name in heard.done:
            self.health.record_success(job, name)
            add_tasks(self.task_updates.done, job, 1 << index)
            add_tasks(self.unstored_done, job, 1 << index)
        for (job, index), name in heard.failed:
            was = self.health.is_machine_quarantined(name)
            self.health.record_failure(job, name, now)
            log.info("%s failed on %s", wire.task_name(job, index), name)
            if not was and self.health.is_machine_quarantined(name):
                log.info("%s fails what it is given: no more work for it", name)
        for job, index in heard.adopted:
            add_tasks(self.task_updates.adopted, job, 1 << index)
        self._send_updates()
        if heard.capacity_freed or heard.done:
            self.wake.set()

    def _send_updates(self) -> None:
        if self.task_updates:
            try:
                self.jobs.tell(self.task_updates)
            except InboxFullError:
                return  # told later, with what comes until then
            self.task_updates = TaskUpdates(view_number=self.followed_view)

    def _prune_stored_updates(self) -> None:
        """Forgets what the tables show by now, and the failures of jobs that are over."""
        for name in [name for name in self.health.jobs if name in self.tables.finished_jobs]:
            self.health.forget_job(name)
        for told, mine in ((self.unstored_done, False), (self.unstored_releases, True)):
            for name in list(told):
                job = self.tables.jobs.get(name)
                mask = 0
                if job is not None:
                    mask = told[name] & ~job.progress.done
                    if mine:
                        mask &= job.progress.claims.get(self.leadership.incarnation_id, 0)
                if mask:
                    told[name] = mask
                else:
                    del told[name]

    def _release(self, job: str, tasks: int) -> None:
        add_tasks(self.task_updates.released, job, tasks)
        add_tasks(self.unstored_releases, job, tasks)

    def _unplaced_tasks(self, job: Job) -> int:
        """Tasks claimed by this controller that are nowhere and may be placed. Those that ended, or are
        being released, are neither: telling the jobs actor and storing take a while."""
        claimed = job.progress.claims.get(self.leadership.incarnation_id, 0)
        if not claimed:
            return 0
        name = job.spec.id
        settled = job.progress.done | self.unstored_done.get(name, 0) | self.unstored_releases.get(name, 0)
        return self.registry.unplaced_tasks(name, claimed, settled)

    # -- the tick

    def _tick(self) -> None:
        leadership = self.leadership
        now = self.now()
        if not leadership.may_answer_workers or now - self.ticked_at > self.settings.late_s:
            self.answering_since = now
        self.ticked_at = now
        self.cancellations.inspect_suspects(now, self.clock.wall_clock_ms())
        if not leadership.is_member:
            if leadership.incarnation != self.incarnation:
                self._apply_view()
            return
        self._apply_view()
        if now >= self.summary_at:
            self.summary_at = now + 2 * self.settings.lease_s
            self._log_summary()
            self._add_unowned_machines()
        if now >= self.next_check_at:
            self.next_check_at = now + self.settings.report_s / 4
            self.cancellation_overdue = self.cancellations.has_overdue(self.clock.wall_clock_ms())
            for machine in list(self.registry.machines.values()):
                self._check_machine(machine, now)
            if leadership.is_leader:
                self._drain_surplus(now)
        self._kill_cancelled()
        if self.tables.recovery_complete():
            self.registry.handed_off_tasks.clear()
        self.registry.prune_handed_off(self.tables, leadership.incarnation_id)
        self.quota.update_handed_off_usage()
        self._prune_stored_updates()
        self._rebuild_queue()
        if leadership.may_answer_workers:
            self._place_unplaced()
        if leadership.is_leader:
            self.gang_preemption.preempt_for_gangs(now)
            if (
                self.registry.is_recovered(self.tables, leadership.incarnation_id)
                and self.membership.recovered_view != self.followed_view
            ):
                self.membership.tell(ShardRecovered(self.followed_view))
            self._register()
            self._request_claims()
        self._send_updates()

    def _add_unowned_machines(self) -> None:
        """Machines of ours in the tables that the registry lacks. Guards against a registration that is carried out
        late, after its machine was deleted and left out: nobody would look after it, and it would count as supply."""
        gone_at = self.now() + self.settings.takeover_gone_s
        for name, row in self.tables.machines.items():
            if name not in self.registry.machines and name not in self.registration.pending_removals:
                if self.leadership.owner_of(name) != self.settings.member:
                    continue
                log.info("%s is in the tables and was not looked after", name)
                self.registry.add_machine(name, row.address, row.type, row.zone, row.spot, self.followed_view, gone_at)

    def _has_begun(self, job: Job) -> bool:
        """Claimed by us and nowhere yet is not begun: it must not lose its place in the line for that. Nor is what only
        a run claimed that is gone, once all is settled: such a job never went first for having waited."""
        if job.progress.done or self.registry.placed_tasks.get(job.spec.id):
            return True
        claims, own = job.progress.claims, self.leadership.incarnation_id
        if len(claims) == (own in claims):
            return False
        tags = self.leadership.view.incarnation_ids
        return not self.recovery_complete or any(tag in tags for tag in claims if tag != own)

    def _log_summary(self) -> None:
        """What an operator wants to know at a glance, once in a while."""
        machines = [m for m in self.registry.machines.values() if m.reconciled and m.type in self.tables.machine_types]
        live = [job for job in self.tables.jobs.values() if job.status == JobState.LIVE]
        log.info(
            "%d machines up (%d not to be used), %.0f of %.0f cores in use, %d tasks placed, %d fetching;"
            " %d jobs live, %d of them wait for others, %d have work open",
            len(machines),
            sum(not self.registry.is_schedulable(m) for m in machines),
            sum(m.usage.cores for m in machines),
            sum(self.tables.machine_types[m.type].cores for m in machines),
            sum(len(m.attempts) for m in machines),
            sum(attempt.state == FETCHING for m in machines for attempt in m.attempts.values()),
            len(live),
            sum(not job.is_runnable for job in live),
            sum(
                job.is_runnable and bool(self.tables.unclaimed_tasks(job, self.tables.recovery_complete()))
                for job in live
            ),
        )

    def _rebuild_queue(self) -> None:
        self.recovery_complete = self.tables.recovery_complete()
        if self.admission is not None:
            self.admission.apply()
        self.queue = job_queue.queue_order(self.tables, self.settings, self.clock.wall_clock_ms(), self._has_begun)
        self.scarce_types = placement.scarce_types((job.spec for job in self.queue), self.tables.machine_types)
        self.least_cores = min((job.spec.cores for job in self.queue), default=0.0)

    def _check_machine(self, machine: Machine, now: float) -> None:
        if now >= machine.lease_expires_at and (machine.reconciled or not machine.accounted_for):
            lost = self.registry.expire_lease(machine)
            log.info("%s is silent and its lease is over: %d tasks come back", machine.name, len(lost))
        silent = now - max(
            machine.last_heard_at, machine.answered_at, machine.lease_expires_at - self.settings.takeover_gone_s
        )
        if (machine.reconciled and silent > self.settings.late_s) or not machine.is_recovered:
            self.commands.probe(machine, now)
        mute_s = deaf_s = 0.0
        if machine.reported_at is not None:
            mute_s = now - max(machine.reported_at, self.answering_since)
        if machine.reconciled:
            deaf_s = now - max(machine.reachable_at, self.answering_since)
        unreached = max(silent, mute_s) > self.settings.late_s or not machine.reachable
        if unreached and self.registry.remove_unsent(machine):
            self.wake.set()
        patience = max(3.5 * self.settings.report_s, 0.35 * self.settings.lease_s)
        if self._may_hold_cancelled(machine, now, silent > patience) and self.leadership.may_answer_workers:
            # Whether it hangs, is cut off or hears nothing: its deletion ends what is on it in time, also while
            # the state service is down. Should it have got another owner after all, that one counts it as silent:
            # work is lost, nothing is started twice.
            self.drain_and_scale_in(machine, "cancelled tasks may be on it", pressing=True)
        failed = self.commands.failures.get(machine.name, 0)
        if silent > patience and failed >= 2 and self.leadership.is_leader and not self._most_machines_silent(now):
            self.drain_and_scale_in(machine, "silent")
        elif (
            max(mute_s, deaf_s) > 2 * self.settings.lease_s
            and self.leadership.is_leader
            and not self._most_machines_silent(now)
        ):
            # Its reports come and nothing reaches it, or it answers commands and cannot report: by now its lease is
            # over and it has nothing on it, and it would be paid for in vain for as long as that lasts.
            self.drain_and_scale_in(machine, "unreached")
        elif self.health.is_machine_quarantined(machine.name) and self.leadership.is_leader:
            machine.draining = True
            if not machine.attempts:
                self.drain_and_scale_in(machine, "faulty")
        if machine.preemption_notice_s is not None:
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
        return self.cancellation_overdue and not machine.reconciled and silent

    def _drain_surplus(self, now: float) -> None:
        """Moves the last tasks off machines that are not needed, where that loses next to nothing: all of
        them save, have run for a while, and there is room elsewhere. One long task would else keep a whole
        machine for minutes."""
        lean = [
            machine
            for machine in self.registry.machines.values()
            if machine.surplus
            and machine.reachable
            and machine.attempts
            and machine.type in self.tables.machine_types
            and machine.usage.cores <= DRAIN_UTILIZATION * self.tables.machine_types[machine.type].cores
            and all(preemption.is_movable(attempt, now) for attempt in machine.attempts.values())
        ]
        if not lean:
            return
        free = sum(room.cores for room in self._capacities(now))
        for machine in sorted(lean, key=lambda machine: machine.usage.cores):
            free -= machine.usage.cores
            if free < 0:
                return
            log.info("%s is not needed: %d tasks save and move", machine.name, len(machine.attempts))
            for attempt in list(machine.attempts.values()):
                self.kill(machine, attempt, attempt.spec.save_s)

    def _most_machines_silent(self, now: float) -> bool:
        """Most machines silent or unreached at once points to our own network; then their leases must do."""
        heard = [machine for machine in self.registry.machines.values() if machine.reconciled]
        late = sum(
            now - min(machine.last_heard_at, machine.reported_at or 0.0) > self.settings.late_s or not machine.reachable
            for machine in heard
        )
        return len(heard) > 3 and late > 0.75 * len(heard)

    def _scale_in_urgently(self, machine: str) -> bool:
        return self.autoscaler is not None and self.autoscaler.scale_in(machine, pressing=True)

    def drain_and_scale_in(self, machine: Machine, why: str, pressing: bool = False) -> None:
        """Has a machine deleted, for the reason that is logged. `pressing`: also while nothing else may be done."""
        machine.draining = True
        if self.autoscaler is not None and self.autoscaler.scale_in(machine.name, pressing=pressing):
            log.info("%s goes back: %s", machine.name, why)

    def _instances_deleted(self, machines: list[str]) -> None:
        for name in machines:
            machine = self.registry.machines.get(name)
            if machine is not None:
                lost = self.registry.fail_machine(machine)
                if lost:
                    log.info("%s is deleted: %d tasks come back", name, len(lost))
                del self.registry.machines[name]
            self.health.forget_machine(name)
            self.commands.forget(name)
            self.tables.deleted_machines.add(name)
            if name in self.tables.machines:
                self.registration.pending_removals.add(name)
        self.wake.set()

    def _register(self) -> None:
        """Stores machines before anything is started on them, so that a later owner knows of them."""
        new = self.registration.machines_to_store(list(self.registry.machines.values()))
        if new.writes and self.group is not None:
            self.registration.pending_registrations |= new.names
            self.group.start_soon(self.registration.store, new, self.followed_view)

    def _kill_cancelled(self) -> None:
        cancelled = [job for job in self.tables.jobs.values() if job.is_cancelled]
        if cancelled:
            unwanted = self._foreign_jobs()
            for job in cancelled:
                waiting = self._unplaced_tasks(job)
                if waiting and job.spec.id not in unwanted:
                    self._release(job.spec.id, waiting)
        over: dict[str, Job | None] = {}
        for name in self.registry.placed_tasks:
            record = self.tables.jobs.get(name)
            if record is None or record.is_cancelled:
                over[name] = record
        if not over:
            return
        now = self.now()
        for machine in self.registry.machines.values():
            for attempt in list(machine.attempts.values()):
                if attempt.job in over:
                    self.kill(machine, attempt, 0.0)
                    if machine.attempts.get(attempt.task) is attempt:
                        self._record_cancelled(machine, attempt, over[attempt.job], now)

    def _foreign_jobs(self) -> set[str]:
        """Jobs of which machines hold tasks that are not ours to keep. Collected once for all cancelled jobs: a look at
        each machine for each of them took most of a tick in a wave of cancellations on thousands of machines."""
        return {
            key[0].rpartition("/")[0] for machine in self.registry.machines.values() for key in machine.foreign_attempts
        }

    def _record_cancelled(self, machine: Machine, attempt: Attempt, job: Job | None, now: float) -> None:
        """A task of a cancelled job may be on the machine: since when a user may have been told, by our own clock.
        The time that is stored with the cancellation holds over changes of owner."""
        attempt.killed_at = attempt.killed_at or now
        since = attempt.killed_at
        if job is not None and job.cancelled_ms:
            since = min(since, now - max(0, self.clock.wall_clock_ms() - job.cancelled_ms) / 1000)
        machine.cancelled_since = min(since, now if machine.cancelled_since is None else machine.cancelled_since)

    def kill(self, machine: Machine, attempt: Attempt, grace_s: float) -> None:
        """Stops a task on a machine; it has so long to save."""
        if self.registry.mark_for_kill(machine, attempt, grace_s) and machine.reconciled:
            self.commands.send(machine)

    # -- placement

    def _capacity_of(self, machine: Machine, now: float) -> placement.FreeCapacity | None:
        """What the machine has free, or None if no task may go there or none would fit."""
        kind = self.tables.machine_types.get(machine.type)
        if (
            kind is None
            or self.registry.free_cores(machine, kind) + quota.SLACK < self.least_cores
            or not self.registry.is_schedulable(machine)
            # A machine that misses its reports gets nothing new. Guards against one that answers commands and cannot
            # report: it was given work again and again, which was taken back when no report came to be answered.
            or machine.reported_at is None
            or now - machine.reported_at >= self.settings.late_s
            or machine.name not in self.tables.machines
            or self.health.is_machine_quarantined(machine.name)
        ):
            return None
        room = self.registry.free_capacity(machine, kind)
        room.scarce = machine.type in self.scarce_types
        return room

    def _capacities(self, now: float) -> list[placement.FreeCapacity]:
        rooms = (self._capacity_of(machine, now) for machine in self.registry.machines.values())
        return [room for room in rooms if room is not None]

    def waiting_jobs(self) -> list[Job]:
        """The line, and behind it the jobs that admission defers, oldest first: those may go to another cell too."""
        if self.admission is None:
            return self.queue
        deferred = [job for job in self.tables.jobs.values() if job.deferred and job.is_runnable]
        return self.queue + sorted(deferred, key=lambda job: job.ready_revision)

    def _place_unplaced(self) -> None:
        """Puts claimed work on machines; work that came back stands before anything newly claimed."""
        rooms: list[placement.FreeCapacity] | None = None
        now = self.now()
        self.unplaced_jobs = []
        seen: set[str] = set()
        tag = self.leadership.incarnation_id
        for job in self.queue:
            name = job.spec.id
            if name in seen:
                continue
            seen.add(name)
            waiting = self._unplaced_tasks(job) if tag in job.progress.claims else 0
            if not waiting:
                self.unplaced_since.pop(name, None)
                continue
            if rooms is None:
                rooms = self._capacities(now)
            if rooms and not self.health.is_job_paused(name, now) and self._place(job, waiting, rooms, now):
                rooms = placement.without_full(rooms, self.least_cores)
                waiting = self._unplaced_tasks(job)
            if waiting:
                self.unplaced_jobs.append(job)
                since = self.unplaced_since.setdefault(name, now)
                if now - since > self.ahead_s + 2 * self.settings.report_s and self.leadership.is_leader:
                    self._release(name, waiting)
                    del self.unplaced_since[name]

    def _fill_machine(self, machine: Machine) -> None:
        """Puts claimed work on one machine, with the answer to its report."""
        if not self.unplaced_jobs:
            return
        now = self.now()
        room = self._capacity_of(machine, now)
        if room is None:
            return
        # Little is claimed ahead, so that whose image is here may go first: it saves a fetch and bends the
        # order among a few only. What is more urgent than usual stands before all that: a stage of a pipeline
        # waited for twenty seconds beside machines that had the images of others (found on the bench).
        for job in sorted(
            self.unplaced_jobs,
            key=lambda job: (
                not job.starved,
                min(job_priority.effective_priority(job), job_priority.STANDARD),
                job.spec.image not in room.images,
            ),
        ):
            if room.scarce and any(
                fits_type(job.spec, kind)
                for name, kind in self.tables.machine_types.items()
                if name not in self.scarce_types
            ):
                continue  # placed there at the tick, if nowhere else
            if room.max_tasks(job.spec) and job.is_runnable and not job.spec.gang:
                waiting = self._unplaced_tasks(job)
                if waiting and not self.health.is_job_paused(job.spec.id, now):
                    self._place(job, waiting, [room], now)

    def _place(self, job: Job, tasks: int, rooms: list[placement.FreeCapacity], now: float) -> bool:
        name = job.spec.id
        team = job.spec.team
        tasks = taskset.lowest(
            tasks,
            quota.tasks_within_quota(
                job.spec, self.quota.allocation(team), self.gang_preemption.usage_with_reservations(job)
            ),
        )
        if self.health.is_job_faulty(name):
            tasks = taskset.lowest(tasks, 1)
        usable = placement.eligible(name, rooms, self.gang_preemption.reservations, self.health)
        if job.spec.gang:
            if tasks != job.all_tasks:
                return False
            trial = [placement.FreeCapacity(**vars(room)) for room in usable]
            if len(placement.pack_tasks(job, tasks, trial)) < job.spec.tasks:
                return False
        placed = placement.pack_tasks(job, tasks, usable)
        if not placed:
            return False
        self.unplaced_since[name] = now
        number = self._next_attempt_number()
        for index, room in placed:
            self.registry.add_attempt(self.registry.machines[room.machine], name, index, number, job.spec, now)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("%s: %d tasks on %s", name, len(placed), {room.machine for _, room in placed})
            if job.spec.prerequisites and not job.progress.done:
                log.debug(
                    "%s: %.2f s since the last that it needs", name, (self.clock.wall_clock_ms() - job.ready_ms) / 1000
                )
        return True

    def _next_attempt_number(self) -> int:
        """An attempt number that no other controller, and no other view, gives out."""
        self.attempts_started += 1
        tags = [member for member, _ in self.leadership.view.members]
        position = tags.index(self.settings.member)
        return (self.leadership.view.number << 28) + (position << 24) + self.attempts_started % (1 << 24)

    def _request_claims(self) -> None:
        """Asks the jobs actor for work for the free room, and for the allowances that it takes."""
        if self.claim_in_flight or self.replica.client.failing_since is not None:
            return
        now = self.now()
        members = [member for member, _ in self.leadership.view.members]
        self.queued_since = {job.spec.id: self.queued_since.get(job.spec.id, now) for job in self.queue}
        limits = PlanLimits.of(self.settings, self.client.txn_ops, self.pace_s)
        planner = ClaimPlanner(self.capacity_snapshot(now), limits, self.tables)
        claims = planner.plan(self.queue, len(members), members.index(self.settings.member))
        if self.on_remaining_capacities is not None and claims.remaining_capacities is not None:
            self.on_remaining_capacities(claims.remaining_capacities, now)
        request = ClaimRequest(
            task_counts=claims.task_counts, zones=claims.zones, zone_bound_tasks=claims.zone_bound_tasks
        )
        self.quota.request_allocations(request, claims.usable_quota, len(members), now)
        if request.task_counts or request.quota_increases or request.quota_decreases:
            self.claim_in_flight = True
            assert self.group is not None
            self.group.start_soon(self._await_claims, request)

    def capacity_snapshot(self, now: float) -> CapacitySnapshot:
        """What is free here, and what may be used, for the planner to take from."""
        teams = self.settings.teams
        uses = {team: self.quota.usage(team) for team in teams}
        return CapacitySnapshot(
            capacities=self._capacities(now),
            team_usage=uses,
            available_quota={team.name: self.quota.available(team, uses[team.name]) for team in teams.values()},
            quota_allocations={team: self.quota.allocation(team) for team in teams},
            idle_claims=self._unplaced_tasks,
            cores_ahead=self._cores_ahead(),
            least_cores=self.least_cores,
            reservations=self.gang_preemption.reservations,
            reserved_usage=self.gang_preemption.reserved_usage(),
            health=self.health,
            queued_since=self.queued_since,
            has_image_affinity=self.has_image_affinity,
            now=now,
        )

    def has_image_affinity(self, job: Job) -> bool:
        """Whether the job's image is one that this controller's machines are to have."""
        return self.leadership.owner_of("image " + job.spec.image) == self.settings.member

    def _cores_ahead(self) -> float:
        """Cores likely to fall free on this controller's machines in the time that a claim takes."""
        cores = 0.0
        for name, mask in self.registry.placed_tasks.items():
            job = self.tables.jobs.get(name)
            if job is not None:
                share = self.ahead_s / max(job.spec.estimate_s, self.ahead_s)
                cores += mask.bit_count() * job.spec.cores * share
        return cores

    async def _await_claims(self, request: ClaimRequest) -> None:
        try:
            await self.jobs.ask(request)
        except InboxFullError:
            pass
        finally:
            # Claimed anew, so not being released any more. Found on the bench: tasks were released and claimed
            # again between two ticks, counted as on their way to others, and were never run by anybody.
            for name, tasks in request.granted.items():
                if name in self.unstored_releases:
                    self.unstored_releases[name] &= ~tasks
            self.claim_in_flight = False
            self.wake.set()
