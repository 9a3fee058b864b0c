"""Machines: reports, orders, placement and accounting of the machines this controller owns.

Owns the registry. It is the ClaimRequest side of dwork: free room asks the jobs actor for the oldest ready tasks,
completions go back as Complete, and work that comes back is placed first.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sloeswitch.actors.base import Actor, InboxFullError
from sloeswitch.actors.cancellation_watch import CancellationWatch
from sloeswitch.actors.claim_requester import ClaimRequester
from sloeswitch.actors.commands import CommandReply, CommandSender, InspectionReply
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.gang_preemption import GangPreemption
from sloeswitch.actors.heartbeat_handler import HeartbeatHandler
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.machine_messages import (
    HeartbeatRequest,
    InstancesDeleted,
    InstanceTerminator,
    MachinesMessage,
    TickRequest,
)
from sloeswitch.actors.machine_ownership import MachineOwnership
from sloeswitch.actors.membership import Membership, ShardRecovered
from sloeswitch.actors.registration import Registration
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.actors.task_placement import TaskPlacement
from sloeswitch.core import preemption
from sloeswitch.core.cancellation_guard import OVERDUE_SHARE
from sloeswitch.core.machine_registry import FETCHING, RUNNING, Attempt, Machine
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.tables import Tables

log = logging.getLogger("machines")


# Machines that are not needed are emptied once no more than this part of them is in use.
DRAIN_UTILIZATION = 0.5


class Machines(Actor):
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
        shard = ShardState.create(context, jobs)
        self.registry = shard.registry
        self.health = shard.health
        self.quota = shard.quota
        self.queue = shard.queue
        self.task_updates = shard.task_updates
        self.commands = CommandSender(
            context.settings, context.leadership, self.registry, self.tables, self._spawn, self.tell, context.clock.now
        )
        self.wake = anyio.Event()
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
        self.tick_interval_s = shard.tick_interval_s
        self.registration = Registration(
            context.settings, context.client, context.replica, context.leadership, self.tick_interval_s, self._wake
        )
        self.gang_preemption = GangPreemption(
            context.settings,
            self.tables,
            context.leadership,
            self.registry,
            self.health,
            self.quota,
            self.queue,
            self.kill,
            self.tick_interval_s,
        )
        self.task_placement = TaskPlacement(shard, self.gang_preemption)
        self.ownership = MachineOwnership(shard)
        self.heartbeats = HeartbeatHandler(shard, self.ownership, self.task_placement, self.commands, self._wake)
        self.claims = ClaimRequester(shard, self.task_placement, jobs, self._spawn, self._wake)

    # -- messages

    async def handle(self, message: MachinesMessage) -> None:
        if isinstance(message, HeartbeatRequest):
            self.cancellations.any_heard_at = self.now()
            message.reply(self.heartbeats.answer(message.report, message.last_answer_received))
        elif isinstance(message, TickRequest):
            self._tick()
            message.reply(None)
        elif isinstance(message, CommandReply):
            self.heartbeats.apply_command_reply(message.report)
        elif isinstance(message, InspectionReply):
            self.cancellations.apply_inspection(message, self.now())
            self.wake.set()
        elif isinstance(message, InstancesDeleted):
            self._instances_deleted(message.machines)

    async def tick_forever(self) -> None:
        self.replica.add_listener(self._wake)
        while True:
            with anyio.move_on_after(2.5 * self.tick_interval_s):
                await self.wake.wait()
            self.wake = anyio.Event()
            started = self.now()
            with contextlib.suppress(InboxFullError):
                await self.ask(TickRequest())
            # Under load the reports come first: a tick takes at most a quarter of the time, but leases and
            # silent machines are looked after at least about as often as reports come.
            await anyio.sleep(max(self.tick_interval_s, min(3 * (self.now() - started), self.settings.report_s)))

    def _spawn(self, call: Callable[..., Any], *args: Any) -> None:
        """Starts a call beside this actor, once it runs."""
        if self.group is not None:
            self.group.start_soon(call, *args)

    def _wake(self) -> None:
        self.wake.set()

    # -- the tick

    def _tick(self) -> None:
        leadership = self.leadership
        now = self.now()
        if not leadership.may_answer_workers or now - self.ticked_at > self.settings.late_s:
            self.answering_since = now
        self.ticked_at = now
        self.cancellations.inspect_suspects(now, self.clock.wall_clock_ms())
        self.ownership.follow_view()
        if not leadership.is_member:
            return
        if now >= self.summary_at:
            self.summary_at = now + 2 * self.settings.lease_s
            self._log_summary()
            self.ownership.add_unowned_machines(self.registration.pending_removals)
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
        for name in [name for name in self.health.jobs if name in self.tables.finished_jobs]:
            self.health.forget_job(name)
        self.task_updates.prune_stored()
        self.queue.rebuild()
        if leadership.may_answer_workers:
            self.task_placement.place_unplaced()
        if leadership.is_leader:
            self.gang_preemption.preempt_for_gangs(now)
            if (
                self.registry.is_recovered(self.tables, leadership.incarnation_id)
                and self.membership.recovered_view != self.ownership.followed_view
            ):
                self.membership.tell(ShardRecovered(self.ownership.followed_view))
            self._register()
            self.claims.request_claims()
        self.task_updates.send()

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
        free = sum(capacity.cores for capacity in self.task_placement.free_capacities(now))
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
        names, writes = self.registration.rows_to_store(list(self.registry.machines.values()))
        if writes and self.group is not None:
            self.registration.pending_registrations |= names
            self.group.start_soon(self.registration.store, names, writes, self.ownership.followed_view)

    def _kill_cancelled(self) -> None:
        cancelled = [job for job in self.tables.jobs.values() if job.is_cancelled]
        if cancelled:
            unwanted = self._foreign_jobs()
            for job in cancelled:
                waiting = self.task_updates.unplaced_tasks(job)
                if waiting and job.spec.id not in unwanted:
                    self.task_updates.release(job.spec.id, waiting)
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
