"""Scaling in: which machines are returned to the cloud, and their termination.

The owner of a machine returns it, when it is idle or when the machines actor finds a reason; the coordinator returns
what only the cloud's list shows. Machines are drained first, where there is time for it.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.machine_messages import InstancesDeleted
from sloeswitch.actors.machine_termination import TerminationReason
from sloeswitch.actors.machines import Machines
from sloeswitch.cloud import CloudClient, CloudError
from sloeswitch.core import scaling
from sloeswitch.core.machine import Machine
from sloeswitch.core.scaling import InstanceKind, InstanceOffer
from sloeswitch.core.tables import Tables
from sloeswitch.wire import JobSpec, MachineType

log = logging.getLogger("fleet")

# Machines that are deleted with one request.
MAX_DELETIONS_PER_REQUEST = 100


def registered_supply(tables: Tables) -> Counter[InstanceKind]:
    """The stored machines by kind, whoever owns them."""
    return Counter(InstanceKind(row.type, row.zone, row.spot) for row in tables.machines.values())


@dataclass
class Termination:
    """A machine that is to be deleted at the cloud."""

    # Found in the cloud's list: the coordinator deletes it, whoever owns it.
    listed: bool
    # Cancelled tasks may be on it: deleted first, and also while nobody is leader.
    urgent: bool


class ScaleIn:
    """Owns the machines on their way back. The machines actor and `ScaleOut` have machines deleted by `scale_in`."""

    def __init__(self, context: ControllerContext, cloud: CloudClient) -> None:
        self.settings = context.settings
        self.cloud = cloud
        self.tables = context.tables
        self.leadership = context.leadership
        self.clock = context.clock
        # Set once the machines actor is there; it receives what was deleted.
        self.machines: Machines | None = None
        self.on_deleted: Callable[[list[str]], None] = lambda _names: None
        self.terminating: dict[str, Termination] = {}
        # Seconds of the monotonic clock; this controller's machines that have nothing to do.
        self.idle_since: dict[str, float] = {}
        self.wake = anyio.Event()

    # -- termination

    def scale_in(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        """Has a machine deleted; False when that is under way already, as urgently.

        `listed`: found in the cloud's list, so that the coordinator deletes it, whoever owns it. `pressing`: cancelled
        tasks may be on it, so that it is deleted also while this controller may only answer machines, or nobody may.
        """
        known = self.terminating.get(machine)
        if known is not None and pressing <= known.urgent:
            return False
        self.terminating[machine] = Termination(listed, pressing)
        self.wake.set()
        return True

    async def terminate_forever(self) -> None:
        """Deletes machines at the cloud, as far as this controller may, until cancelled."""
        while True:
            if not self.terminating:
                await self.wake.wait()
            self.wake = anyio.Event()
            self._drop_foreign()
            batch = self._next_batch()
            if batch:
                await self._delete(batch)
            elif not self.leadership.is_leader:
                await anyio.sleep(self.settings.report_s / 4)

    def _drop_foreign(self) -> None:
        """Drops machines that this controller, as leader, is not to delete any more.

        Guards against a controller that stood still, or lost the state service, since it decided: the machine may have
        another owner by now, and work on it.
        """
        if self.leadership.is_leader:
            for name in [name for name in self.terminating if not self._may_terminate(name)]:
                del self.terminating[name]

    def _may_terminate(self, machine: str) -> bool:
        termination = self.terminating[machine]
        if termination.listed:
            return self.leadership.is_coordinator
        if self.leadership.owner_of(machine) == self.settings.member:
            return True
        return termination.urgent and self.machines is not None and self.machines.cancellations.is_deletable(machine)

    def _next_batch(self) -> list[str]:
        """What may be deleted now, the urgent first; the others only by a leader."""
        urgent = [name for name, termination in self.terminating.items() if termination.urgent]
        others = [name for name, termination in self.terminating.items() if not termination.urgent]
        may_delete_urgent = self.leadership.may_answer_workers or self.leadership.is_leaderless
        batch = (urgent if may_delete_urgent else []) + (others if self.leadership.is_leader else [])
        return batch[:MAX_DELETIONS_PER_REQUEST]

    async def _delete(self, batch: list[str]) -> None:
        """Deletes machines at the cloud; after a failure they are tried again a report's time later."""
        try:
            await self.cloud.delete_instances(batch)
        except CloudError as error:
            log.info("instance deletion failed: machines=%s error=%s", ",".join(batch), error)
            await anyio.sleep(self.settings.report_s)
            return
        for name in batch:
            self.terminating.pop(name, None)
        self.on_deleted(batch)
        assert self.machines is not None
        self.machines.tell(InstancesDeleted(batch))

    # -- machines that are not needed

    async def scale_in_idle_forever(self) -> None:
        """Looks after idle machines about once in a report's time, until cancelled."""
        while True:
            await anyio.sleep(self.settings.report_s)
            try:
                self.scale_in_idle()
            except Exception:
                log.exception("scale-in failed")

    def scale_in_idle(self) -> None:
        """Returns this controller's machines that had nothing to do for about a boot time."""
        if self.machines is None or not self.leadership.is_leader:
            return
        now = self.clock.now()
        self._mark_surplus(self.machines)
        backlog = self._startable_backlog(self.machines)
        for machine in list(self.machines.registry.machines.values()):
            machine_type = self.tables.machine_types.get(machine.type)
            if machine_type is None or not machine.reconciled or machine.draining:
                continue
            if machine.attempts or (not machine.surplus and _is_useful(machine, machine_type, backlog)):
                self.idle_since.pop(machine.name, None)
                continue
            idle_s = now - self.idle_since.setdefault(machine.name, now)
            if idle_s > machine_type.boot_s or (machine.surplus and idle_s > 2 * self.settings.report_s):
                del self.idle_since[machine.name]
                self.machines.termination.drain_and_scale_in(machine, TerminationReason.IDLE)

    def _mark_surplus(self, machines: Machines) -> None:
        """Marks machines that are not needed, the dearest first, so that nothing new is placed on them.

        Every controller decides by the same tables and chooses by name, so that together they choose the right number.
        """
        demand = scaling.current_demand(self.tables, self.settings, self.clock.wall_clock_ms(), scaling.SCALE_IN_SPREAD)
        surplus = scaling.plan_scale_in(demand, registered_supply(self.tables), self.tables.machine_types)
        chosen: set[str] = set()
        for name in sorted(self.tables.machines):
            row = self.tables.machines[name]
            kind = InstanceKind(row.type, row.zone, row.spot)
            if surplus.get(kind, 0) > 0:
                surplus[kind] -= 1
                chosen.add(name)
        for machine in machines.registry.machines.values():
            machine.surplus = machine.name in chosen

    def _startable_backlog(self, machines: Machines) -> list[JobSpec]:
        """The jobs with unclaimed tasks that their teams' quotas let start here."""
        recovery_complete = self.tables.recovery_complete()
        return machines.quota.startable(
            [
                job.spec
                for job in self.tables.jobs.values()
                if job.is_runnable and self.tables.unclaimed_tasks(job, recovery_complete)
            ]
        )


def _is_useful(machine: Machine, machine_type: MachineType, backlog: list[JobSpec]) -> bool:
    """Whether any of the jobs could run there."""
    offer = InstanceOffer(InstanceKind(machine.type, machine.zone, machine.spot), machine_type)
    return any(offer.suits(spec) for spec in backlog)
