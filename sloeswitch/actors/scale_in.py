"""Scaling in: selects idle machines, and deletes machines at the cloud.

A machine is deleted by its owner, when it is idle or when the machines actor has another reason. The coordinator
deletes failed instances and those that never registered, which it finds in the cloud's list. A faulty machine is
drained first, and so is a surplus one if its tasks can move (`actors/surplus_drain.py`).
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

# The maximum number of machines that one request deletes.
MAX_DELETIONS_PER_REQUEST = 100


def registered_supply(tables: Tables) -> Counter[InstanceKind]:
    """The number of stored machines of all owners, by kind."""
    return Counter(InstanceKind(row.type, row.zone, row.spot) for row in tables.machines.values())


@dataclass
class Termination:
    """How a machine is to be deleted at the cloud."""

    # Whether the coordinator deletes it, regardless of its owner; for machines found in the cloud's list.
    by_coordinator: bool
    # Whether cancelled tasks may be on it; it is then deleted first, and also without leadership.
    urgent: bool


class ScaleIn:
    """Owns the machines that are to be deleted; the machines actor and `ScaleOut` request their deletion."""

    def __init__(self, context: ControllerContext, cloud: CloudClient) -> None:
        self.settings = context.settings
        self.cloud = cloud
        self.tables = context.tables
        self.leadership = context.leadership
        self.clock = context.clock
        # Set once the machines actor exists; it receives the names of deleted machines.
        self.machines: Machines | None = None
        self.on_deleted: Callable[[list[str]], None] = lambda _names: None
        self.terminating: dict[str, Termination] = {}
        # When this controller's idle machines became idle, in seconds of the monotonic clock.
        self.idle_since: dict[str, float] = {}
        self.wake = anyio.Event()

    # -- termination

    def request_termination(self, machine: str, by_coordinator: bool = False, urgent: bool = False) -> bool:
        """Requests the deletion of a machine (see `InstanceTerminator.request_termination`).

        Args:
            machine: The machine's name.
            by_coordinator: Whether the coordinator deletes it, regardless of its owner; for machines found in the
                cloud's list.
            urgent: Whether cancelled tasks may be on it, so that it is deleted also without leadership: while this
                controller may only answer machines, or while no controller may answer them.

        Returns:
            False if the deletion was already requested with at least this urgency.
        """
        known = self.terminating.get(machine)
        if known is not None and urgent <= known.urgent:
            return False
        self.terminating[machine] = Termination(by_coordinator, urgent)
        self.wake.set()
        return True

    async def terminate_forever(self) -> None:
        """Deletes the requested machines at the cloud, while this controller has permission, until cancelled."""
        while True:
            if not self.terminating:
                await self.wake.wait()
            self.wake = anyio.Event()
            self._drop_unpermitted()
            batch = self._next_batch()
            if batch:
                await self._delete(batch)
            elif not self.leadership.is_leader:
                await anyio.sleep(self.settings.report_s / 4)

    def _drop_unpermitted(self) -> None:
        """Drops machines that this controller, as leader, may no longer delete.

        After a pause of this process or an outage of the state service, the machine may have another owner and that
        owner's tasks.
        """
        if self.leadership.is_leader:
            for name in [name for name in self.terminating if not self._may_terminate(name)]:
                del self.terminating[name]

    def _may_terminate(self, machine: str) -> bool:
        termination = self.terminating[machine]
        if termination.by_coordinator:
            return self.leadership.is_coordinator
        if self.leadership.owner_of(machine) == self.settings.member:
            return True
        return termination.urgent and self.machines is not None and self.machines.cancellations.is_deletable(machine)

    def _next_batch(self) -> list[str]:
        """The machines that may be deleted now, urgent ones first; only a leader deletes the others."""
        urgent = [name for name, termination in self.terminating.items() if termination.urgent]
        others = [name for name, termination in self.terminating.items() if not termination.urgent]
        may_delete_urgent = self.leadership.may_answer_workers or self.leadership.is_leaderless
        batch = (urgent if may_delete_urgent else []) + (others if self.leadership.is_leader else [])
        return batch[:MAX_DELETIONS_PER_REQUEST]

    async def _delete(self, batch: list[str]) -> None:
        """Deletes machines at the cloud; after a failure, waits one report interval before the retry."""
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
        """Requests the deletion of idle machines about once per report interval, until cancelled."""
        while True:
            await anyio.sleep(self.settings.report_s)
            try:
                self.scale_in_idle()
            except Exception:
                log.exception("scale-in failed")

    def scale_in_idle(self) -> None:
        """Requests the deletion of this controller's machines that have been idle for longer than their boot time.

        Surplus machines are deleted after two idle report intervals, if that is sooner.
        """
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
                self.machines.termination.drain_and_terminate(machine, TerminationReason.IDLE)

    def _mark_surplus(self, machines: Machines) -> None:
        """Marks this controller's machines that are not needed, so that no new tasks are placed on them.

        All controllers compute the same surplus, the most expensive kinds first, and choose the machines by name.
        Together they therefore mark the right number.
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
        """Jobs with unclaimed tasks whose teams have quota left to start one on this controller."""
        recovery_complete = self.tables.recovery_complete()
        return machines.quota.startable(
            [
                job.spec
                for job in self.tables.jobs.values()
                if job.is_runnable and self.tables.unclaimed_tasks(job, recovery_complete)
            ]
        )


def _is_useful(machine: Machine, machine_type: MachineType, backlog: list[JobSpec]) -> bool:
    """Whether a task of any of the jobs could run on the machine."""
    offer = InstanceOffer(InstanceKind(machine.type, machine.zone, machine.spot), machine_type)
    return any(offer.can_run(spec) for spec in backlog)
