"""Registration: which machines are stored as ours, before anything starts on them and after they are deleted."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.leadership import Leadership
from sloeswitch.core import keys
from sloeswitch.core.machine_registry import Machine
from sloeswitch.core.row_codec import split_machine_groups
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import Replica
from sloeswitch.settings import Settings
from sloeswitch.state_client import StateClient

# What values of a transaction may take together; the rest is for keys and conditions.
VALUES_SHARE = 0.8


class Registration:
    """Stores new machines and takes deleted ones out, many at a time: the state service takes few changes."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        replica: Replica,
        leadership: Leadership,
        pace_s: float,
        changed: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.client = client
        self.replica = replica
        self.tables: Tables = replica.tables
        self.leadership = leadership
        self.pace_s = pace_s
        self.on_change = changed
        self.sleep: Callable[[float], Awaitable[None]] = anyio.sleep
        # Machines whose registration is under way, and deleted ones that are still stored.
        self.pending_registrations: set[str] = set()
        self.pending_removals: set[str] = set()
        self.groups_made = 0

    def _new_group(self, parted: str = "") -> str:
        """A name never used before. What is parted from another group comes after it by name (see tables)."""
        self.groups_made += 1
        return (f"{parted}." if parted else keys.group_key("")) + f"{self.leadership.incarnation_id}.{self.groups_made}"

    def _transaction_bytes(self) -> int:
        """What values of a transaction may take together."""
        return max(self.client.value_bytes, int(VALUES_SHARE * wire.MAX_BODY_BYTES))

    # -- new machines

    def rows_to_store(self, machines: list[Machine]) -> tuple[set[str], dict[str, Any]]:
        """As many new machines as one transaction takes: their names, and the values that hold them."""
        fresh = [
            machine
            for machine in machines
            if machine.reconciled
            and machine.name not in self.tables.machines
            and machine.name not in self.pending_registrations
        ]
        if not all(row.layout >= keys.MACHINE_GROUPS_LAYOUT for row in self.tables.members.values()):
            fresh = fresh[: self.client.txn_ops]
            writes = {keys.machine_key(m.name): {"a": m.address, "t": m.type, "z": m.zone, "s": m.spot} for m in fresh}
            return {machine.name for machine in fresh}, writes
        rows = {machine.name: [machine.address, machine.type, machine.zone, machine.spot] for machine in fresh}
        most = min(self.client.txn_ops, max(1, self._transaction_bytes() // self.client.value_bytes))
        groups = split_machine_groups(rows, self.client.value_bytes)[:most]
        return {name for group in groups for name in group}, {self._new_group(): {"m": group} for group in groups}

    async def store(self, names: set[str], writes: dict[str, Any], view_number: int) -> None:
        """Stores new machines on condition of the view under which they were heard."""
        conditions = self.leadership.view_conditions()
        try:
            if self.leadership.view.number == view_number:
                await self.client.compare_and_swap(conditions, writes, [], RequestPriority.CLAIM)
                self.replica.request_read()
                await anyio.sleep(self.pace_s)
        finally:
            self.pending_registrations -= names
            self.on_change()

    # -- deleted machines

    async def unregister_forever(self) -> None:
        """Takes deleted machines out of what is stored, many at a time."""
        while True:
            await self.sleep(2 * self.settings.report_s)
            transaction = self._removals()
            if transaction:
                await self.client.compare_and_swap(
                    transaction.conditions, transaction.writes, transaction.deletes, RequestPriority.PROGRESS
                )
                self.replica.request_read()

    def _removals(self) -> Transaction:
        """As many groups without their deleted machines as fit a transaction.

        Guards against a wave of deletions in many full groups: all of them in one transaction would be over the
        limit, refused again and again, and the machines reckoned with for ever.
        """
        self.pending_removals &= self.tables.machines.keys()
        room = self._transaction_bytes()
        found = Transaction()
        for key in sorted({self.tables.machines[name].key for name in self.pending_removals}):
            groups = self._without_leaving(key)
            if len(groups) > 1 and not self.tables.layout_complete:
                # An earlier layout would take machines that leave one group for another as deleted. Until
                # none is left a machine too many in the tables costs little.
                continue
            changes = max(1, len(groups))
            if found:
                if len(found) + changes > self.client.txn_ops or room < changes * self.client.value_bytes:
                    break
            elif changes > self.client.txn_ops:
                return self._split_group(key, groups)
            room -= changes * self.client.value_bytes
            found.conditions[key] = self.tables.mod_revision(key)
            if groups:
                found.writes[key] = {"m": groups[0]}
                found.writes.update((self._new_group(key), {"m": group}) for group in groups[1:])
            else:
                found.deletes.append(key)
        return found

    def _without_leaving(self, key: str) -> list[dict[str, list[Any]]]:
        """The machines that stay of those that a key holds, in groups that each fit a value."""
        names = sorted(
            name
            for name in self.tables.machine_groups.get(keys.group_name(key), ())
            if name not in self.pending_removals and self.tables.machines[name].key == key
        )
        rows = {name: self.tables.machines[name].stored() for name in names}
        return split_machine_groups(rows, self.client.value_bytes)

    def _split_group(self, key: str, groups: list[dict[str, list[Any]]]) -> Transaction:
        """For a group that is too large for one transaction: first all but the first part get groups of their own,
        which loses no machine."""
        parted = groups[1 : self.client.txn_ops]
        writes = {self._new_group(key): {"m": group} for group in parted}
        return Transaction({key: self.tables.mod_revision(key)}, writes)
