"""Registers this controller's machines in the state service, and unregisters deleted ones.

A machine is stored before any task starts on it, so that a later owner knows of it. It is removed once the cloud has
confirmed its deletion. Only the machines actor calls this module, except for the background loop `unregister_forever`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from sloeswitch import wire
from sloeswitch.actors.context import ControllerContext
from sloeswitch.core import keys
from sloeswitch.core.machine import Machine
from sloeswitch.core.row_codec import encode_machine, split_machine_groups
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority

# The share of a transaction's bytes that its values may use; the rest is for keys and conditions.
VALUES_SHARE = 0.8

# The fields of a machine in a group, and the machines of one group by name.
StoredMachine = list[str | bool]
MachineGroup = dict[str, StoredMachine]
# The stored form of a machine or of a group: the value of one key.
StoredValue = dict[str, str | bool] | dict[str, MachineGroup]


def _encode_machine(machine: Machine) -> dict[str, str | bool]:
    """Encodes a machine that is stored under its own key, as layout 1 reads it."""
    return {"a": machine.address, "t": machine.type, "z": machine.zone, "s": machine.spot}


@dataclass
class NewMachines:
    """The new machines that one transaction stores: their names, and the values to write by key."""

    names: set[str] = field(default_factory=set)
    writes: dict[str, StoredValue] = field(default_factory=dict)


class Registration:
    """Stores new machines and removes deleted ones in batches, because the state service limits the rate of changes.

    `write_pause_s`: how long, in seconds, the machines of a write still count as pending after it has ended. The
    replica reads the stored machines in this time; a tick before that would store them again. `on_change`: called when
    machines no longer count as pending, whether or not they were stored.
    """

    def __init__(self, context: ControllerContext, write_pause_s: float, on_change: Callable[[], None]) -> None:
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.tables = context.tables
        self.leadership = context.leadership
        self.write_pause_s = write_pause_s
        self.on_change = on_change
        self.sleep: Callable[[float], Awaitable[None]] = anyio.sleep
        # Machines whose registration is in flight or has ended less than `write_pause_s` ago, and deleted machines that
        # are still stored.
        self.pending_registrations: set[str] = set()
        self.pending_removals: set[str] = set()
        self.groups_created = 0

    def _new_group_key(self, split_from: str = "") -> str:
        """Returns a key that was never used.

        The key of a group that is split off another one sorts after it. Machines in both groups belong to the last one
        (`core/row_application.py`), and so to the group that was split off.
        """
        self.groups_created += 1
        prefix = f"{split_from}." if split_from else keys.machine_group_key("")
        return f"{prefix}{self.leadership.incarnation_id}.{self.groups_created}"

    def _max_values_bytes(self) -> int:
        """The maximum total size of the values of one transaction, in bytes."""
        return max(self.client.max_value_bytes, int(VALUES_SHARE * wire.MAX_BODY_BYTES))

    # -- new machines

    def machines_to_store(self, machines: list[Machine]) -> NewMachines:
        """Selects reconciled machines that are neither stored nor being stored, as many as fit in one transaction."""
        unstored = [
            machine
            for machine in machines
            if machine.reconciled
            and machine.name not in self.tables.machines
            and machine.name not in self.pending_registrations
        ]
        if all(row.layout >= keys.MACHINE_GROUPS_LAYOUT for row in self.tables.members.values()):
            return self._grouped(unstored)
        # A member with an earlier layout cannot read groups.
        return self._one_by_one(unstored[: self.client.max_transaction_changes])

    @staticmethod
    def _one_by_one(machines: list[Machine]) -> NewMachines:
        return NewMachines(
            {machine.name for machine in machines},
            {keys.machine_key(machine.name): _encode_machine(machine) for machine in machines},
        )

    def _grouped(self, machines: list[Machine]) -> NewMachines:
        rows = {machine.name: [machine.address, machine.type, machine.zone, machine.spot] for machine in machines}
        max_groups = min(
            self.client.max_transaction_changes, max(1, self._max_values_bytes() // self.client.max_value_bytes)
        )
        groups = split_machine_groups(rows, self.client.max_value_bytes)[:max_groups]
        return NewMachines(
            {name for group in groups for name in group}, {self._new_group_key(): {"m": group} for group in groups}
        )

    async def store(self, new: NewMachines, view_number: int) -> None:
        """Stores new machines on condition of the view under which they were reconciled.

        They count as pending until `write_pause_s` after the write, whether or not it succeeded. The next tick retries
        those that are not stored by then.
        """
        change = Transaction(self.leadership.view_conditions(), dict(new.writes))
        try:
            if self.leadership.view.number == view_number:
                await self.client.compare_and_swap(change, RequestPriority.CLAIM)
                self.replica.request_read()
                await anyio.sleep(self.write_pause_s)
        finally:
            self.pending_registrations -= new.names
            self.on_change()

    # -- deleted machines

    async def unregister_forever(self) -> None:
        """Removes the rows of deleted machines in batches, until cancelled."""
        while True:
            await self.sleep(2 * self.settings.report_s)
            change = self._removals()
            if change:
                await self.client.compare_and_swap(change, RequestPriority.PROGRESS)
                self.replica.request_read()

    def _removals(self) -> Transaction:
        """Returns a transaction that removes deleted machines from their groups, limited to the size of a transaction.

        After deletions in many full groups, one transaction for all groups would exceed the limit. It would be refused
        on each retry, and the machines would never be removed.
        """
        self.pending_removals &= self.tables.machines.keys()
        remaining_bytes = self._max_values_bytes()
        removals = Transaction()
        for key in sorted({self.tables.machines[name].key for name in self.pending_removals}):
            groups = self._remaining_groups(key)
            if len(groups) > 1 and not self.tables.layout_complete:
                # A controller with an earlier layout would treat machines that move between groups as deleted. Until
                # no controller has that layout, the group and its deleted machines stay stored, which does little harm.
                continue
            # Deleting a group is one change; splitting one takes a change per resulting group.
            changes = max(1, len(groups))
            value_bytes = changes * self.client.max_value_bytes
            if not removals and changes > self.client.max_transaction_changes:
                return self._split_group(key, groups)
            if removals and (
                len(removals) + changes > self.client.max_transaction_changes or remaining_bytes < value_bytes
            ):
                break
            remaining_bytes -= value_bytes
            self._replace_group(removals, key, groups)
        return removals

    def _remaining_groups(self, key: str) -> list[MachineGroup]:
        """The machines under a key that were not deleted, in groups that each fit in one value."""
        names = sorted(
            name
            for name in self.tables.machine_groups.get(keys.machine_group_name(key), ())
            if name not in self.pending_removals and self.tables.machines[name].key == key
        )
        rows = {name: encode_machine(self.tables.machines[name]) for name in names}
        return split_machine_groups(rows, self.client.max_value_bytes)

    def _replace_group(self, removals: Transaction, key: str, groups: list[MachineGroup]) -> None:
        """Adds the replacement of one group to a transaction: the first group under `key`, the others under new keys.

        Without any groups, `key` is deleted.
        """
        removals.conditions[key] = self.tables.mod_revision(key)
        if groups:
            removals.writes[key] = {"m": groups[0]}
            removals.writes.update((self._new_group_key(key), {"m": group}) for group in groups[1:])
        else:
            removals.deletes.append(key)

    def _split_group(self, key: str, groups: list[MachineGroup]) -> Transaction:
        """Returns the first step of splitting a group whose replacement has too many changes for one transaction.

        It copies parts of the group, except the first, to new groups and leaves the group itself unchanged, so that no
        machine is lost. The group is rewritten in a later transaction, once the copies are stored.
        """
        split_off = groups[1 : self.client.max_transaction_changes]
        writes = {self._new_group_key(key): {"m": group} for group in split_off}
        return Transaction({key: self.tables.mod_revision(key)}, writes)
