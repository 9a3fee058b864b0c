"""Fleet: renting by the coordinator, returning by each machine's owner.

Owns what was booked and not yet heard, the kinds the cloud refused, and the machines on their way back.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec

from sloeswitch import wire
from sloeswitch.actors.machines import InstancesDeleted, Machines
from sloeswitch.actors.membership import Leadership
from sloeswitch.cloud import CloudClient, CloudError
from sloeswitch.core import fleet as plan
from sloeswitch.core import tables as t
from sloeswitch.core.fleet import InstanceKind
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.state import Replica, RequestPriority, StateClient, TransactionOutcome

log = logging.getLogger("fleet")


# A list begins so many times as long after the one before as that one took, so that at most a third of the cloud's rate
# goes into lists. Guards against a fleet of thousands, whose list takes longer than the pause between two of them:
# nothing but lists was asked for, and one booking fell in between.
LIST_PAUSE = 3.0


@dataclass
class PendingInstance:
    """A machine that was rented and is not registered yet."""

    kind: InstanceKind
    since: float


class Autoscaler:
    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        cloud: CloudClient,
        replica: Replica,
        leadership: Leadership,
        now: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.client = client
        self.cloud = cloud
        self.replica = replica
        self.tables: Tables = replica.tables
        self.leadership = leadership
        self.now = now
        self.machines: Machines | None = None
        self.types: dict[str, wire.MachineType] = {}
        self.expected: dict[str, PendingInstance] = {}
        self.refused: dict[InstanceKind, float] = {}
        # Machines on their way back; True for those that the coordinator gives back, whoever owns them.
        self.returning: dict[str, bool] = {}
        # Those of them on which cancelled tasks may be.
        self.pressing: set[str] = set()
        self.wake = anyio.Event()
        self.bookings = 0
        self.listed_at = float("-inf")
        # How long the last list took: thousands of machines are many pages, and the cloud's rate paces them.
        self.listing_s = 0.0
        self.catalog_at = float("-inf")
        self.idle_since: dict[str, float] = {}

    # -- returning

    def give_back(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        """Has the machine deleted; if `pressing`, also while this controller may only answer machines, or nobody may.
        False when that is under way already."""
        if machine in self.returning and pressing <= (machine in self.pressing):
            return False
        self.returning[machine] = listed
        if pressing:
            self.pressing.add(machine)
        self.wake.set()
        return True

    def _still_ours(self, machine: str) -> bool:
        if self.returning[machine]:
            return self.leadership.coordinating
        return self.leadership.owner(machine) == self.settings.member

    async def return_forever(self) -> None:
        while True:
            if not self.returning:
                await self.wake.wait()
            self.wake = anyio.Event()
            may_press = self.leadership.may_answer or self.leadership.unattended
            pressing = list(self.pressing) if may_press else []
            if not self.leadership.may_act and not pressing:
                await anyio.sleep(self.settings.report_s / 4)
                continue
            # Guards against a controller that stood still, or lost the state service, since it decided: the
            # machine may have another owner by now, and work on it.
            for name in [name for name in self.returning if not self._still_ours(name)]:
                if self.leadership.may_act:
                    del self.returning[name]
                    self.pressing.discard(name)
            # Those on which cancelled tasks may be go first; the others only while we may act.
            others = [name for name in self.returning if name not in self.pressing] if self.leadership.may_act else []
            batch = [name for name in (*pressing, *others) if name in self.returning][:100]
            if not batch:
                continue
            try:
                await self.cloud.delete(batch)
            except CloudError as error:
                log.info("deleting %s: %s", ", ".join(batch), error)
                await anyio.sleep(self.settings.report_s)
                continue
            for name in batch:
                self.returning.pop(name, None)
                self.pressing.discard(name)
                self.expected.pop(name, None)
            assert self.machines is not None
            self.machines.tell(InstancesDeleted(batch))

    # -- renting

    async def rent_forever(self) -> None:
        while True:
            if self.tables.types:
                await anyio.sleep(self.settings.list_lag_s / 10)
            else:
                await self.replica.wait_change(self.settings.list_lag_s / 10)
            if not self.replica.loaded:
                continue
            try:
                if self.leadership.coordinating:
                    await self._read_catalog()
                    await self._list()
                    while await self._rent():
                        pass
                elif self.expected:
                    self.expected.clear()
            except CloudError as error:
                log.info("cloud: %s", error)
                await anyio.sleep(self.settings.list_lag_s / 5)
            except Exception:
                log.exception("while renting")

    async def _read_catalog(self) -> None:
        now = self.now()
        if now - self.catalog_at < 6 * self.settings.list_lag_s and self.types:
            return
        catalog = await self.cloud.catalog()
        self.catalog_at = now
        self.types = {kind.name: kind for kind in catalog.types}
        stored = self.tables.types
        if stored.keys() != self.types.keys() or any(
            (a.cores, a.gpus, a.memory, a.zones) != (b.cores, b.gpus, b.memory, b.zones)
            for a, b in ((stored[name], self.types[name]) for name in stored)
        ):
            await self._store_catalog(catalog.types)
            log.info("machine types: %s", ", ".join(self.types))

    async def _store_catalog(self, kinds: list[wire.MachineType]) -> None:
        """All types in one value if they fit. If not, each has its own, which an earlier layout does not read."""
        together = {t.CATALOG_KEY: msgspec.to_builtins(wire.MachineTypeCatalog(kinds))}
        fits = len(wire.encode(together[t.CATALOG_KEY])) <= self.client.value_bytes
        if not fits and not self.tables.upgraded:
            log.error("the machine types fit no value yet: stored once all controllers are upgraded")
            return
        writes = together if fits else {t.type_key(kind.name): msgspec.to_builtins(kind) for kind in kinds}
        stored = {t.CATALOG_KEY, *(t.type_key(name) for name in self.tables.types)}
        drops = [key for key in stored if key not in writes and self.tables.stamp(key)]
        # Written before the others are dropped, so that no type is missing in between.
        changes = [*writes, *drops]
        while changes:
            batch = set(changes[: self.client.txn_ops])
            del changes[: self.client.txn_ops]
            outcome, _ = await self.client.commit(
                {t.COORDINATOR_KEY: self.tables.stamp(t.COORDINATOR_KEY)},
                {key: value for key, value in writes.items() if key in batch},
                [key for key in drops if key in batch],
                RequestPriority.CLAIM,
            )
            self.replica.hint()
            if outcome is not TransactionOutcome.DONE:
                return

    async def _list(self) -> None:
        now = self.now()
        if now - self.listed_at < max(self.settings.list_lag_s / 2, LIST_PAUSE * self.listing_s):
            return
        self.listed_at = now
        listed = await self.cloud.machines()
        self.listing_s = self.now() - now
        lag = 2.5 * self.settings.list_lag_s + self.listing_s
        for item in listed:
            if item.id in self.tables.deleted or item.id in self.returning:
                continue
            if item.state == "failed":
                # It stopped on its own; deleting it accounts for its tasks.
                self.give_back(item.id, listed=True)
                continue
            if item.id in self.tables.machines or item.id in self.expected:
                continue
            log.info("%s was not expected", item.id)
            self.expected[item.id] = PendingInstance((item.type, item.zone, item.spot), now - item.age_s)
        names = {item.id for item in listed}
        for name, item2 in list(self.expected.items()):
            kind = self.types.get(item2.kind[0])
            age = now - item2.since
            if name in self.tables.machines or name in self.tables.deleted or (age > lag and name not in names):
                del self.expected[name]
            elif kind is not None and age > 3 * kind.boot_s:
                log.info("%s does not come up", name)
                self.refused[item2.kind] = now + self.settings.list_lag_s
                self.give_back(name, listed=True)

    async def _rent(self) -> bool:
        """One booking, if one is needed. Whether there may be another; the cloud's rate paces them."""
        now = self.now()
        for name in [name for name in self.expected if name in self.tables.machines]:
            del self.expected[name]
        supply = self._registered()
        for item in self.expected.values():
            supply[item.kind] = supply.get(item.kind, 0) + 1
        refused = {kind for kind, until in self.refused.items() if now < until}
        wanted = plan.needs(self.tables, self.settings, int(time.time() * 1000), plan.SCALE_OUT_SPREAD)
        choice = plan.rent(wanted, supply, self.types, refused, 50)
        if choice is None:
            return False
        self.bookings += 1
        # The view number is stored and never given twice; within it the coordinator counts.
        name = f"{self.leadership.view.number}-{self.leadership.tag}-{self.bookings}"
        kind_name, zone, spot = choice.kind
        rented = await self.cloud.rent(wire.InstanceRequest(name, kind_name, zone, spot, choice.count))
        if rented is None or len(rented) < choice.count:
            self.refused[choice.kind] = now + 2 * self.settings.list_lag_s
        for machine in rented or ():
            self.expected[machine] = PendingInstance(choice.kind, now)
        log.info(
            "rented %d of %d %s in %s%s", len(rented or ()), choice.count, kind_name, zone, " (spot)" if spot else ""
        )
        list_again_s = max(self.settings.list_lag_s, LIST_PAUSE * self.listing_s)
        return self.leadership.coordinating and now - self.listed_at < list_again_s

    def _registered(self) -> dict[InstanceKind, int]:
        supply: dict[InstanceKind, int] = {}
        for row in self.tables.machines.values():
            kind = (row.type, row.zone, row.spot)
            supply[kind] = supply.get(kind, 0) + 1
        return supply

    # -- machines not needed

    def _spare_dear(self) -> None:
        """Lets machines run empty that are not needed, the dearest first. Every controller reckons from the
        same tables and picks by name, so that together they spare the right number."""
        assert self.machines is not None
        wanted = plan.needs(self.tables, self.settings, int(time.time() * 1000), plan.SCALE_IN_SPREAD)
        spared = plan.surplus(wanted, self._registered(), self.tables.types)
        chosen: set[str] = set()
        for name in sorted(self.tables.machines):
            row = self.tables.machines[name]
            kind = (row.type, row.zone, row.spot)
            if spared.get(kind, 0) > 0:
                spared[kind] -= 1
                chosen.add(name)
        for machine in self.machines.registry.machines.values():
            machine.spared = machine.name in chosen

    def watch_idle(self) -> None:
        """Returns this controller's machines that had nothing to do for about a boot time."""
        if self.machines is None or not self.leadership.may_act:
            return
        now = self.now()
        self._spare_dear()
        settled = self.tables.all_settled()
        backlog = self.machines.limits.startable(
            [job.spec for job in self.tables.jobs.values() if job.runnable and self.tables.open_tasks(job, settled)]
        )
        for machine in list(self.machines.registry.machines.values()):
            kind = self.tables.types.get(machine.type)
            if kind is None or not machine.heard or machine.draining:
                continue
            offer = plan.InstanceOffer((machine.type, machine.zone, machine.spot), kind)
            if machine.attempts or (not machine.spared and any(offer.suits(spec) for spec in backlog)):
                self.idle_since.pop(machine.name, None)
                continue
            since = self.idle_since.setdefault(machine.name, now)
            if now - since > kind.boot_s or (machine.spared and now - since > 2 * self.settings.report_s):
                del self.idle_since[machine.name]
                self.machines.return_machine(machine, "idle")

    async def watch_idle_forever(self) -> None:
        while True:
            await anyio.sleep(self.settings.report_s)
            try:
                self.watch_idle()
            except Exception:
                log.exception("while looking for idle machines")
