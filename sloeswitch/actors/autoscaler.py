"""Fleet: renting by the coordinator, returning by each machine's owner.

Owns what was booked and not yet heard, the kinds the cloud refused, and the machines on their way back.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

import anyio
import msgspec

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.machine_messages import InstancesDeleted
from sloeswitch.actors.machine_termination import TerminationReason
from sloeswitch.actors.machines import Machines
from sloeswitch.cloud import CloudClient, CloudError
from sloeswitch.core import keys
from sloeswitch.core import scaling as plan
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("fleet")


# A list begins so many times as long after the one before as that one took, so that at most a third of the cloud's rate
# goes into lists. Guards against a fleet of thousands, whose list takes longer than the pause between two of them:
# nothing but lists was asked for, and one booking fell in between.
LIST_PAUSE = 3.0


@dataclass
class PendingInstance:
    """A machine that was rented and is not registered yet."""

    kind: InstanceKind
    requested_at: float


class Autoscaler:
    def __init__(self, context: ControllerContext, cloud: CloudClient) -> None:
        self.settings = context.settings
        self.client = context.client
        self.cloud = cloud
        self.replica = context.replica
        self.tables: Tables = context.replica.tables
        self.leadership = context.leadership
        self.clock = context.clock
        self.now = context.clock.now
        self.machines: Machines | None = None
        self.types: dict[str, wire.MachineType] = {}
        self.pending_instances: dict[str, PendingInstance] = {}
        self.refused_until: dict[InstanceKind, float] = {}
        # Machines on their way back; True for those that the coordinator gives back, whoever owns them.
        self.terminating: dict[str, bool] = {}
        # Those of them on which cancelled tasks may be.
        self.urgent: set[str] = set()
        self.wake = anyio.Event()
        self.requests_made = 0
        self.listed_at = float("-inf")
        # How long the last list took: thousands of machines are many pages, and the cloud's rate paces them.
        self.listing_s = 0.0
        self.catalog_at = float("-inf")
        self.idle_since: dict[str, float] = {}

    # -- returning

    def scale_in(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        """Has the machine deleted; if `pressing`, also while this controller may only answer machines, or nobody may.
        False when that is under way already."""
        if machine in self.terminating and pressing <= (machine in self.urgent):
            return False
        self.terminating[machine] = listed
        if pressing:
            self.urgent.add(machine)
        self.wake.set()
        return True

    def _may_terminate(self, machine: str) -> bool:
        if self.terminating[machine]:
            return self.leadership.is_coordinator
        return self.leadership.owner_of(machine) == self.settings.member

    async def terminate_forever(self) -> None:
        while True:
            if not self.terminating:
                await self.wake.wait()
            self.wake = anyio.Event()
            may_press = self.leadership.may_answer_workers or self.leadership.is_leaderless
            pressing = list(self.urgent) if may_press else []
            if not self.leadership.is_leader and not pressing:
                await anyio.sleep(self.settings.report_s / 4)
                continue
            # Guards against a controller that stood still, or lost the state service, since it decided: the
            # machine may have another owner by now, and work on it.
            for name in [name for name in self.terminating if not self._may_terminate(name)]:
                if self.leadership.is_leader:
                    del self.terminating[name]
                    self.urgent.discard(name)
            # Those on which cancelled tasks may be go first; the others only while we may act.
            others = [name for name in self.terminating if name not in self.urgent] if self.leadership.is_leader else []
            batch = [name for name in (*pressing, *others) if name in self.terminating][:100]
            if not batch:
                continue
            try:
                await self.cloud.delete_instances(batch)
            except CloudError as error:
                log.info("deleting %s: %s", ", ".join(batch), error)
                await anyio.sleep(self.settings.report_s)
                continue
            for name in batch:
                self.terminating.pop(name, None)
                self.urgent.discard(name)
                self.pending_instances.pop(name, None)
            assert self.machines is not None
            self.machines.tell(InstancesDeleted(batch))

    # -- renting

    async def scale_out_forever(self) -> None:
        while True:
            if self.tables.machine_types:
                await anyio.sleep(self.settings.list_lag_s / 10)
            else:
                await self.replica.wait_change(self.settings.list_lag_s / 10)
            if not self.replica.loaded:
                continue
            try:
                if self.leadership.is_coordinator:
                    await self._read_catalog()
                    await self._list_instances()
                    while await self._scale_out():
                        pass
                elif self.pending_instances:
                    self.pending_instances.clear()
            except CloudError as error:
                log.info("cloud: %s", error)
                await anyio.sleep(self.settings.list_lag_s / 5)
            except Exception:
                log.exception("while renting")

    async def _read_catalog(self) -> None:
        now = self.now()
        if now - self.catalog_at < 6 * self.settings.list_lag_s and self.types:
            return
        catalog = await self.cloud.read_catalog()
        self.catalog_at = now
        self.types = {kind.name: kind for kind in catalog.types}
        stored = self.tables.machine_types
        if stored.keys() != self.types.keys() or any(
            (a.cores, a.gpus, a.memory, a.zones) != (b.cores, b.gpus, b.memory, b.zones)
            for a, b in ((stored[name], self.types[name]) for name in stored)
        ):
            await self._store_catalog(catalog.types)
            log.info("machine types: %s", ", ".join(self.types))

    async def _store_catalog(self, kinds: list[wire.MachineType]) -> None:
        """All types in one value if they fit. If not, each has its own, which an earlier layout does not read."""
        together = {keys.CATALOG_KEY: msgspec.to_builtins(wire.MachineTypeCatalog(kinds))}
        fits = len(wire.encode(together[keys.CATALOG_KEY])) <= self.client.value_bytes
        if not fits and not self.tables.layout_complete:
            log.error("the machine types fit no value yet: stored once all controllers are upgraded")
            return
        writes = together if fits else {keys.type_key(kind.name): msgspec.to_builtins(kind) for kind in kinds}
        stored = {keys.CATALOG_KEY, *(keys.type_key(name) for name in self.tables.machine_types)}
        drops = [key for key in stored if key not in writes and self.tables.mod_revision(key)]
        # Written before the others are dropped, so that no type is missing in between.
        changes = [*writes, *drops]
        while changes:
            batch = set(changes[: self.client.txn_ops])
            del changes[: self.client.txn_ops]
            outcome, _ = await self.client.compare_and_swap(
                Transaction(
                    {keys.COORDINATOR_KEY: self.tables.mod_revision(keys.COORDINATOR_KEY)},
                    {key: value for key, value in writes.items() if key in batch},
                    [key for key in drops if key in batch],
                ),
                RequestPriority.CLAIM,
            )
            self.replica.request_read()
            if outcome is not TransactionOutcome.COMMITTED:
                return

    async def _list_instances(self) -> None:
        now = self.now()
        if now - self.listed_at < max(self.settings.list_lag_s / 2, LIST_PAUSE * self.listing_s):
            return
        self.listed_at = now
        listed = await self.cloud.list_instances()
        self.listing_s = self.now() - now
        lag = 2.5 * self.settings.list_lag_s + self.listing_s
        for item in listed:
            if item.id in self.tables.deleted_machines or item.id in self.terminating:
                continue
            if item.state == "failed":
                # It stopped on its own; deleting it accounts for its tasks.
                self.scale_in(item.id, listed=True)
                continue
            if item.id in self.tables.machines or item.id in self.pending_instances:
                continue
            log.info("%s was not expected", item.id)
            self.pending_instances[item.id] = PendingInstance((item.type, item.zone, item.spot), now - item.age_s)
        names = {item.id for item in listed}
        for name, item2 in list(self.pending_instances.items()):
            kind = self.types.get(item2.kind[0])
            age = now - item2.requested_at
            if (
                name in self.tables.machines
                or name in self.tables.deleted_machines
                or (age > lag and name not in names)
            ):
                del self.pending_instances[name]
            elif kind is not None and age > 3 * kind.boot_s:
                log.info("%s does not come up", name)
                self.refused_until[item2.kind] = now + self.settings.list_lag_s
                self.scale_in(name, listed=True)

    async def _scale_out(self) -> bool:
        """One booking, if one is needed. Whether there may be another; the cloud's rate paces them."""
        now = self.now()
        for name in [name for name in self.pending_instances if name in self.tables.machines]:
            del self.pending_instances[name]
        supply = self._registered_supply()
        for item in self.pending_instances.values():
            supply[item.kind] = supply.get(item.kind, 0) + 1
        refused = {kind for kind, until in self.refused_until.items() if now < until}
        wanted = plan.current_demand(self.tables, self.settings, self.clock.wall_clock_ms(), plan.SCALE_OUT_SPREAD)
        choice = plan.plan_scale_out(wanted, supply, self.types, refused, 50)
        if choice is None:
            return False
        self.requests_made += 1
        # The view number is stored and never given twice; within it the coordinator counts.
        name = f"{self.leadership.view.number}-{self.leadership.incarnation_id}-{self.requests_made}"
        kind_name, zone, spot = choice.kind
        rented = await self.cloud.create_instances(wire.InstanceRequest(name, kind_name, zone, spot, choice.count))
        if rented is None or len(rented) < choice.count:
            self.refused_until[choice.kind] = now + 2 * self.settings.list_lag_s
        for machine in rented or ():
            self.pending_instances[machine] = PendingInstance(choice.kind, now)
        log.info(
            "rented %d of %d %s in %s%s", len(rented or ()), choice.count, kind_name, zone, " (spot)" if spot else ""
        )
        list_again_s = max(self.settings.list_lag_s, LIST_PAUSE * self.listing_s)
        return self.leadership.is_coordinator and now - self.listed_at < list_again_s

    def _registered_supply(self) -> dict[InstanceKind, int]:
        supply: dict[InstanceKind, int] = {}
        for row in self.tables.machines.values():
            kind = (row.type, row.zone, row.spot)
            supply[kind] = supply.get(kind, 0) + 1
        return supply

    # -- machines not needed

    def _mark_surplus(self) -> None:
        """Lets machines run empty that are not needed, the dearest first. Every controller reckons from the
        same tables and picks by name, so that together they spare the right number."""
        assert self.machines is not None
        wanted = plan.current_demand(self.tables, self.settings, self.clock.wall_clock_ms(), plan.SCALE_IN_SPREAD)
        spared = plan.plan_scale_in(wanted, self._registered_supply(), self.tables.machine_types)
        chosen: set[str] = set()
        for name in sorted(self.tables.machines):
            row = self.tables.machines[name]
            kind = (row.type, row.zone, row.spot)
            if spared.get(kind, 0) > 0:
                spared[kind] -= 1
                chosen.add(name)
        for machine in self.machines.registry.machines.values():
            machine.surplus = machine.name in chosen

    def scale_in_idle(self) -> None:
        """Returns this controller's machines that had nothing to do for about a boot time."""
        if self.machines is None or not self.leadership.is_leader:
            return
        now = self.now()
        self._mark_surplus()
        settled = self.tables.recovery_complete()
        backlog = self.machines.quota.startable(
            [
                job.spec
                for job in self.tables.jobs.values()
                if job.is_runnable and self.tables.unclaimed_tasks(job, settled)
            ]
        )
        for machine in list(self.machines.registry.machines.values()):
            kind = self.tables.machine_types.get(machine.type)
            if kind is None or not machine.reconciled or machine.draining:
                continue
            offer = plan.InstanceOffer((machine.type, machine.zone, machine.spot), kind)
            if machine.attempts or (not machine.surplus and any(offer.suits(spec) for spec in backlog)):
                self.idle_since.pop(machine.name, None)
                continue
            since = self.idle_since.setdefault(machine.name, now)
            if now - since > kind.boot_s or (machine.surplus and now - since > 2 * self.settings.report_s):
                del self.idle_since[machine.name]
                self.machines.termination.drain_and_scale_in(machine, TerminationReason.IDLE)

    async def scale_in_idle_forever(self) -> None:
        while True:
            await anyio.sleep(self.settings.report_s)
            try:
                self.scale_in_idle()
            except Exception:
                log.exception("while looking for idle machines")
