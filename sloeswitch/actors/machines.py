"""The machines actor: heartbeats, commands, placement and accounting of the machines that this controller owns.

For free capacity it claims tasks of the first jobs in the queue from the jobs actor (ClaimRequest), and it sends
completions back (TaskUpdates), as a worker does in dwork (docs/design.md cites the paper). Claimed tasks that are not
placed, such as those of lost machines, are placed before new ones are claimed.

This module receives the messages and calls the modules that do the work, in order. Each module owns its own state; the
state that they share is in shard_state.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sloeswitch.actors.base import Actor, InboxFullError
from sloeswitch.actors.cancellation_watch import CancellationWatch
from sloeswitch.actors.cancelled_tasks import CancelledTasks
from sloeswitch.actors.claim_requester import ClaimRequester
from sloeswitch.actors.commands import CommandReply, CommandSender, InspectionReply
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.gang_preemption import GangPreemption
from sloeswitch.actors.heartbeat_handler import HeartbeatHandler
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.machine_messages import (
    HeartbeatRequest,
    InstancesDeleted,
    MachinesMessage,
    TickRequest,
)
from sloeswitch.actors.machine_monitor import MachineMonitor
from sloeswitch.actors.machine_ownership import MachineOwnership
from sloeswitch.actors.machine_termination import MachineTermination
from sloeswitch.actors.membership import Membership
from sloeswitch.actors.registration import Registration
from sloeswitch.actors.shard_recovery import ShardRecovery
from sloeswitch.actors.shard_state import ShardState
from sloeswitch.actors.shard_summary import log_summary
from sloeswitch.actors.surplus_drain import SurplusDrain
from sloeswitch.actors.task_placement import TaskPlacement
from sloeswitch.core.tables import Tables

log = logging.getLogger("machines")


class Machines(Actor[MachinesMessage]):
    """Handles heartbeats, ticks, replies of machines and confirmed deletions, one at a time.

    `group` has to be set before `run`; `termination.autoscaler`, `queue.admission` and `claims.on_remaining_capacities`
    are optional. Users, the autoscaler, cells and admission use `queue`, `quota`, `registry` and `termination`.
    """

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
        self.shard = shard = ShardState.create(context, jobs)
        self.registry = shard.registry
        self.health = shard.health
        self.quota = shard.quota
        self.queue = shard.queue
        self.task_updates = shard.task_updates
        self.commands = CommandSender(context, self.registry, self._spawn, self.tell)
        self.wake = anyio.Event()
        self.tick_interval_s = shard.tick_interval_s
        self.registration = Registration(context, self.tick_interval_s, self._wake)
        self.termination = MachineTermination(shard, self.commands, self.registration)
        self.cancellations = CancellationWatch(
            context, self.registry, self.commands, self.termination.terminate_urgently
        )
        self.next_summary_at = 0.0
        # The last view whose completed recovery was logged.
        self.recovery_logged_view = 0
        self.gang_preemption = GangPreemption(shard, self.commands.kill)
        self.task_placement = TaskPlacement(shard, self.gang_preemption)
        self.ownership = MachineOwnership(shard)
        self.recovery = ShardRecovery(shard, self.ownership, membership, jobs)
        self.heartbeats = HeartbeatHandler(shard, self.ownership, self.task_placement, self.commands, self._wake)
        self.monitor = MachineMonitor(shard, self.commands, self.cancellations, self.termination, self._wake)
        self.surplus_drain = SurplusDrain(shard, self.task_placement, self.commands)
        self.cancelled_tasks = CancelledTasks(shard, self.commands, self.cancellations)
        self.claims = ClaimRequester(shard, self.task_placement, jobs, self._spawn, self._wake)

    # -- messages

    async def handle(self, message: MachinesMessage) -> None:
        """Handles one message, and replies to it if it is a request."""
        if isinstance(message, HeartbeatRequest):
            self.cancellations.last_machine_contact_at = self.now()
            message.reply(self.heartbeats.answer(message.report, message.last_answer_received))
        elif isinstance(message, TickRequest):
            self._tick()
            message.reply(None)
        elif isinstance(message, CommandReply):
            self.cancellations.last_machine_contact_at = self.now()
            self.heartbeats.apply_command_reply(message.report)
        elif isinstance(message, InspectionReply):
            self.cancellations.apply_inspection(message, self.now())
            self.wake.set()
        elif isinstance(message, InstancesDeleted):
            self.termination.apply_deleted(message.machines)
            self.wake.set()

    async def tick_forever(self) -> None:
        """Runs a tick after each change that may need one, and at least once every few tick intervals."""
        self.replica.add_listener(self._wake)
        while True:
            with anyio.move_on_after(2.5 * self.tick_interval_s):
                await self.wake.wait()
            self.wake = anyio.Event()
            started = self.now()
            with contextlib.suppress(InboxFullError):
                await self.ask(TickRequest())
            # Heartbeats take priority under load: the pause is three times as long as the tick took, so that ticks use
            # at most a quarter of the time. The pause is at most a report interval, so that leases and silent machines
            # are checked about as often as heartbeats arrive.
            await anyio.sleep(max(self.tick_interval_s, min(3 * (self.now() - started), self.settings.report_s)))

    def _spawn(self, call: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        """Starts a coroutine that runs concurrently with this actor; does nothing unless `group` is set."""
        if self.group is not None:
            self.group.start_soon(call, *args)

    def _wake(self) -> None:
        self.wake.set()

    # -- the tick

    def _tick(self) -> None:
        """Does the periodic work.

        Later steps depend on earlier ones: the state is updated first, then tasks are stopped, then tasks are placed.
        """
        leadership = self.leadership
        now = self.now()
        self.monitor.begin_tick(now)
        self.cancellations.inspect_suspects(now, self.clock.wall_clock_ms())
        self.ownership.follow_view()
        if not leadership.is_member:
            return
        if now >= self.next_summary_at:
            self.next_summary_at = now + 2 * self.settings.lease_s
            log_summary(self.shard)
            self.ownership.add_missing_machines(self.registration.pending_removals)
        if self.monitor.check_if_due(now) and leadership.is_leader:
            self.surplus_drain.drain(now)
        self.cancelled_tasks.stop_all()
        self._update_accounting()
        self.queue.rebuild()
        if leadership.may_answer_workers:
            self.task_placement.place_unplaced()
        if leadership.is_leader:
            self.gang_preemption.preempt_for_gangs(now)
            self._report_recovery()
            self._register()
            self.claims.request_claims()
        self.task_updates.send()

    def _update_accounting(self) -> None:
        """Brings the accounting up to date with the tables, and checks the teams' usage.

        Drops handed-off tasks that their new owners account for, failures of finished jobs, and stored updates.
        """
        if self.tables.recovery_complete():
            self._log_recovery()
            self.registry.settle_handed_off()
        self.registry.prune_handed_off(self.tables, self.leadership.incarnation_id)
        self.quota.update_handed_off_usage()
        if self.registry.adoptions_stored(self.tables, self.leadership.incarnation_id):
            self.quota.check_usage()
        for name in [name for name in self.health.jobs if name in self.tables.finished_jobs]:
            self.health.forget_job(name)
        self.task_updates.prune_stored()

    def _log_recovery(self) -> None:
        """Logs once per view that recovery is complete.

        Claims and allocations of departed controllers are then void.
        """
        view_number = self.leadership.view.number
        if self.recovery_logged_view != view_number:
            self.recovery_logged_view = view_number
            log.info("recovery complete: view=%d revision=%d", view_number, self.replica.applied_revision)

    def _report_recovery(self) -> None:
        """Reports the recovery of this shard to the membership actor once it is complete."""
        self.recovery.report(self.registration.pending_removals)

    def _register(self) -> None:
        """Stores new machines before any task is started on them, so that a later owner knows of them."""
        new = self.registration.machines_to_store(list(self.registry.machines.values()))
        if new.writes and self.group is not None:
            self.registration.pending_registrations |= new.names
            self.group.start_soon(self.registration.store, new, self.ownership.followed_view)
