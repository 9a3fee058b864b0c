"""Scaling out: reads the cloud's catalog and list of instances, and rents machines.

Only the coordinator does this. A new coordinator learns from the list which instances its predecessor rented.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

import anyio
import msgspec

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.scale_in import ScaleIn, registered_supply
from sloeswitch.cloud import CloudClient, CloudError
from sloeswitch.core import keys, scaling
from sloeswitch.core.scaling import InstanceKind, ScaleOutPlan
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("fleet")

# The time between the starts of two lists is at least this many times the duration of the first, so that lists use at
# most a third of the cloud's request rate. Without this limit, a list of thousands of machines takes longer than the
# fixed pause between lists, and only one request for instances is made between two lists.
LIST_PAUSE_FACTOR = 3.0
# The catalog is read again after this many times the lag of the cloud's list.
CATALOG_AGE_LIST_LAGS = 6
# The maximum number of machines that one request rents.
MAX_INSTANCES_PER_REQUEST = 50
# A machine that is not registered after this many times its type's boot time counts as failed.
MAX_BOOT_TIMES = 3


@dataclass
class PendingInstance:
    """A rented machine that is not registered yet."""

    kind: InstanceKind
    # Seconds of the monotonic clock.
    requested_at: float


class ScaleOut:
    """Owns the rented machines that are not registered yet, and the kinds that the cloud refused recently."""

    def __init__(self, context: ControllerContext, cloud: CloudClient, scale_in: ScaleIn) -> None:
        self.settings = context.settings
        self.client = context.client
        self.cloud = cloud
        self.replica = context.replica
        self.tables = context.tables
        self.leadership = context.leadership
        self.clock = context.clock
        self.now = context.clock.now
        self.scale_in = scale_in
        scale_in.on_deleted = self._drop_deleted
        # The catalog as last read from the cloud.
        self.types: dict[str, wire.MachineType] = {}
        self.pending_instances: dict[str, PendingInstance] = {}
        # All times are seconds of the monotonic clock.
        self.refused_until: dict[InstanceKind, float] = {}
        self.catalog_at = float("-inf")
        self.listed_at = float("-inf")
        # How long the last list took. With thousands of machines it has many pages, and the cloud limits the rate of
        # requests.
        self.list_duration_s = 0.0
        self.requests_made = 0

    async def scale_out_forever(self) -> None:
        """Reads the catalog and the list, and rents the machines needed, while this controller is the coordinator."""
        while True:
            if self.tables.machine_types:
                await anyio.sleep(self.settings.list_lag_s / 10)
            else:
                await self.replica.wait_for_change(self.settings.list_lag_s / 10)
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
                log.info("cloud request failed: error=%s", error)
                await anyio.sleep(self.settings.list_lag_s / 5)
            except Exception:
                log.exception("scale-out failed")

    def _drop_deleted(self, machines: list[str]) -> None:
        """Drops pending machines that were deleted."""
        for name in machines:
            self.pending_instances.pop(name, None)

    # -- the catalog

    async def _read_catalog(self) -> None:
        """Reads the machine types, and stores them if they differ from the stored ones."""
        now = self.now()
        if now - self.catalog_at < CATALOG_AGE_LIST_LAGS * self.settings.list_lag_s and self.types:
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
            log.info("machine types stored: types=%s", ",".join(self.types))

    async def _store_catalog(self, types: list[wire.MachineType]) -> None:
        """Stores all types in one value if they fit, else one value per type, which earlier layouts cannot read."""
        catalog = msgspec.to_builtins(wire.MachineTypeCatalog(types))
        fits = len(wire.encode(catalog)) <= self.client.max_value_bytes
        if not fits and not self.tables.layout_complete:
            # Operators search for this message (docs/operations).
            log.error("the machine types fit no value yet: stored once all controllers are upgraded")
            return
        if fits:
            writes = {keys.CATALOG_KEY: catalog}
        else:
            writes = {keys.machine_type_key(each.name): msgspec.to_builtins(each) for each in types}
        stored = {keys.CATALOG_KEY, *(keys.machine_type_key(name) for name in self.tables.machine_types)}
        deletes = [key for key in stored if key not in writes and self.tables.mod_revision(key)]
        await self._commit_in_batches(Transaction({}, writes, deletes))

    async def _commit_in_batches(self, change: Transaction) -> None:
        """Commits a change in several transactions, each on condition that this controller is still the coordinator.

        Writes precede deletions, so that no type is missing in between.
        """
        keys_left = [*change.writes, *change.deletes]
        while keys_left:
            batch = set(keys_left[: self.client.max_transaction_changes])
            del keys_left[: self.client.max_transaction_changes]
            outcome, _revision = await self.client.compare_and_swap(
                Transaction(
                    {keys.COORDINATOR_KEY: self.tables.mod_revision(keys.COORDINATOR_KEY)},
                    {key: value for key, value in change.writes.items() if key in batch},
                    [key for key in change.deletes if key in batch],
                ),
                RequestPriority.CLAIM,
            )
            self.replica.request_read()
            if outcome is not TransactionOutcome.COMMITTED:
                return

    # -- the list of instances

    async def _list_instances(self) -> None:
        """Compares the cloud's list with the stored and the pending machines, unless the last list is recent."""
        now = self.now()
        if now - self.listed_at < max(self.settings.list_lag_s / 2, LIST_PAUSE_FACTOR * self.list_duration_s):
            return
        self.listed_at = now
        listed = await self.cloud.list_instances()
        self.list_duration_s = self.now() - now
        for instance in listed:
            self._apply_listed(instance, now)
        self._expire_pending({instance.id for instance in listed}, now)

    def _apply_listed(self, instance: wire.Instance, now: float) -> None:
        """Has a failed instance deleted; an unknown one becomes pending, because a former coordinator rented it."""
        name = instance.id
        if name in self.tables.deleted_machines or name in self.scale_in.terminating:
            return
        if instance.state == "failed":
            # The instance stopped by itself. Its confirmed deletion allows its tasks to be placed again.
            self.scale_in.request_termination(name, by_coordinator=True)
        elif name not in self.tables.machines and name not in self.pending_instances:
            log.info("unexpected instance: machine=%s", name)
            kind = InstanceKind(instance.type, instance.zone, instance.spot)
            self.pending_instances[name] = PendingInstance(kind, now - instance.age_s)

    def _expire_pending(self, listed: set[str], now: float) -> None:
        """Drops pending machines that are registered or deleted; has those deleted that did not register in time."""
        lag_s = 2.5 * self.settings.list_lag_s + self.list_duration_s
        for name, pending in list(self.pending_instances.items()):
            machine_type = self.types.get(pending.kind.type)
            age_s = now - pending.requested_at
            if (
                name in self.tables.machines
                or name in self.tables.deleted_machines
                or (age_s > lag_s and name not in listed)
            ):
                del self.pending_instances[name]
            elif machine_type is not None and age_s > MAX_BOOT_TIMES * machine_type.boot_s:
                log.info("instance did not come up: machine=%s type=%s", name, machine_type.name)
                self.refused_until[pending.kind] = now + self.settings.list_lag_s
                self.scale_in.request_termination(name, by_coordinator=True)

    # -- renting

    async def _scale_out(self) -> bool:
        """Rents machines of one kind if any are needed; returns whether to go on before the next list.

        The cloud client limits the rate of the requests.
        """
        now = self.now()
        plan = self._plan(now)
        if plan is None:
            return False
        await self._rent(plan, now)
        list_again_s = max(self.settings.list_lag_s, LIST_PAUSE_FACTOR * self.list_duration_s)
        return self.leadership.is_coordinator and now - self.listed_at < list_again_s

    def _plan(self, now: float) -> ScaleOutPlan | None:
        """Plans the next request; registered and pending machines count as supply."""
        for name in [name for name in self.pending_instances if name in self.tables.machines]:
            del self.pending_instances[name]
        supply = registered_supply(self.tables)
        supply.update(pending.kind for pending in self.pending_instances.values())
        refused = {kind for kind, until in self.refused_until.items() if now < until}
        demand = scaling.current_demand(
            self.tables, self.settings, self.clock.wall_clock_ms(), scaling.SCALE_OUT_SPREAD
        )
        return scaling.plan_scale_out(demand, supply, self.types, refused, MAX_INSTANCES_PER_REQUEST)

    async def _rent(self, plan: ScaleOutPlan, now: float) -> None:
        """Rents machines; if the cloud has fewer of the kind, it is not requested again for a while."""
        self.requests_made += 1
        # The name is unique: view numbers are never reused, and the coordinator counts its requests.
        name = f"{self.leadership.view.number}-{self.leadership.incarnation_id}-{self.requests_made}"
        kind = plan.kind
        created = await self.cloud.create_instances(
            wire.InstanceRequest(name, kind.type, kind.zone, kind.spot, plan.count)
        )
        if created is None or len(created) < plan.count:
            self.refused_until[kind] = now + 2 * self.settings.list_lag_s
        for machine in created or ():
            self.pending_instances[machine] = PendingInstance(kind, now)
        log.info(
            "instances created: count=%d requested=%d type=%s zone=%s spot=%s",
            len(created or ()),
            plan.count,
            kind.type,
            kind.zone,
            kind.spot,
        )
